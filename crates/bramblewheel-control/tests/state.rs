//! Snapshots of the replicated state.

mod support;

use bramblewheel_control::state::ControlState;
use bramblewheel_protocol::control::{OperationAction, OperationReply, PublishReply};
use bramblewheel_types::OperationKey;
use support::log::{Log, START};
use support::{answer, claim, operation, registration, signed};

#[test]
fn decoded_snapshot_behaves_like_the_original_and_encodes_to_the_same_bytes() {
    let mut log = Log::new();
    log.publish(signed(2, 2));
    log.operate(claim("a", 1, START));
    log.operate(operation("a", 1, OperationAction::Complete(answer(201))));
    log.operate(claim("b", 1, START));
    log.operate(operation("b", 1, OperationAction::Release));
    log.register(vec![
        registration("k-1", "kassa", 1),
        registration("k-2", "kassa", 1),
    ]);
    log.expire(&registration("k-2", "kassa", 1));
    let bytes = log.state.encode();
    let mut copy = Log {
        state: ControlState::decode(&bytes).expect("encoded bytes must decode"),
        index: log.index,
    };
    assert_eq!(copy.state.encode(), bytes);
    for copy_or_original in [&mut log, &mut copy] {
        assert_eq!(
            copy_or_original.operate(claim("b", 1, START)),
            OperationReply::Absent
        );
        assert!(matches!(
            copy_or_original.publish(signed(2, 3)),
            PublishReply::Conflict { .. }
        ));
        assert!(matches!(
            copy_or_original.publish(signed(3, 3)),
            PublishReply::Accepted { .. }
        ));
        assert_eq!(copy_or_original.live(2).2, ["k-2"]);
    }
    assert_eq!(log.state.encode(), copy.state.encode());
    let key = OperationKey::new("a").expect("valid");
    assert_eq!(
        copy.state.ledger().status(&key),
        OperationReply::Completed(answer(201))
    );
    for length in [1, bytes.len() / 2, bytes.len() - 1] {
        assert!(ControlState::decode(&bytes[..length]).is_err());
    }
}
