//! Messages between the project's own processes, their CBOR codec and framing.

pub mod client;
pub mod codec;
pub mod content;
pub mod control;
pub mod packed;
pub mod routing;
pub mod socket;
pub use bramblewheel_types::headers;

pub use client::{ClientError, ControlClient, MAX_IDLE, RequestError, request_any};
pub use codec::{CodecError, read_frame, write_frame};
