//! What requests and answers carry as their body, so that an answer can be told from another's.

use super::message::SendId;

/// One run of a request at an endpoint; unique in a simulation, over all restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// What is asked for. An endpoint's answer names it, so that who asked can tell whose answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Content {
    /// A send of a caller outside.
    Root(SendId),
    /// A sub-call that an endpoint makes.
    SubCall {
        /// The run that makes it.
        run: RunId,
        /// Position among the sub-calls of the run.
        position: u32,
    },
}

const ROOT: u8 = 0;
const SUB_CALL: u8 = 1;
/// Kind, number, position.
const LENGTH: usize = 1 + 8 + 4;

impl Content {
    /// Bytes as the ledger keeps them with the answer of a run-once operation.
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

    /// The reverse of [`encode`](Self::encode).
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

    /// Hash by which a daemon recognises that the same is asked again.
    pub fn fingerprint(self) -> u64 {
        match self {
            Self::Root(send) => send.0,
            Self::SubCall { position, .. } => position.into(),
        }
    }
}
