//! Body of requests and answers, which identifies the question that an answer belongs to.

use super::message::SendId;

/// One run of a request at an endpoint; unique in a simulation, across restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Identifies what is requested. An endpoint's answer repeats it, so that checkers detect answers
/// delivered to the wrong recipient.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Content {
    /// A send of an external caller.
    Root(SendId),
    /// A sub-call made by an endpoint.
    SubCall {
        /// The run that makes the sub-call.
        run: RunId,
        /// Position among the sub-calls of the run.
        position: u32,
    },
}

const ROOT: u8 = 0;
const SUB_CALL: u8 = 1;
/// Encoded size in bytes: kind, number, position.
const LENGTH: usize = 1 + 8 + 4;

impl Content {
    /// Encodes the content as the ledger stores it in the answer of a run-once operation.
    pub fn encode(self) -> Vec<u8> {
        let (kind, number, position) = match self {
            Self::Root(send) => (ROOT, send.0, 0),
            Self::SubCall { run, position } => (SUB_CALL, run.0, position),
        };
        let mut bytes = vec![kind];
        bytes.extend(number.to_le_bytes());
        bytes.extend(position.to_le_bytes());
        bytes
    }

    /// Inverse of [`encode`](Self::encode); `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() != LENGTH {
            return None;
        }
        let number = u64::from_le_bytes(bytes[1..9].try_into().ok()?);
        let position = u32::from_le_bytes(bytes[9..].try_into().ok()?);
        match bytes[0] {
            ROOT => Some(Self::Root(SendId(number))),
            SUB_CALL => Some(Self::SubCall {
                run: RunId(number),
                position,
            }),
            _ => None,
        }
    }

    /// Hash by which a daemon recognises a repetition of the same call.
    pub fn fingerprint(self) -> u64 {
        match self {
            Self::Root(send) => send.0,
            Self::SubCall { position, .. } => position.into(),
        }
    }
}
