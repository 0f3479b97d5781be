//! The stored form of a journal, which `fleet --recheck` reads from the folder of an earlier run.

use super::*;

#[test]
fn the_end_of_a_send_keeps_its_stored_names() {
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
    assert_eq!(serde_json::to_string(&record).expect("written"), line);
    let read: Record = serde_json::from_str(line).expect("read");
    assert_eq!(read, record);
}
