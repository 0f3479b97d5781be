//! The serialized form of journal records is stable, because `fleet --recheck` reads journals of earlier runs.

use super::*;

#[test]
fn send_ended_keeps_its_serialized_form() {
    let line = r#"{"at_us":7,"source":"caller","event":"told","send":3,"told":{"told":{"outcome":"completed"},"status":200,"own_whole":true}}"#;
    let record = Record {
        at_us: 7,
        source: "caller".to_owned(),
        event: Event::SendEnded {
            send: 3,
            reply: ReplyFromDaemon {
                outcome: CallerOutcome::Completed,
                status: Some(200),
                own_whole: Some(true),
            },
        },
    };
    assert_eq!(
        serde_json::to_string(&record).expect("record can be serialized"),
        line
    );
    let read: Record = serde_json::from_str(line).expect("line can be parsed");
    assert_eq!(read, record);
}
