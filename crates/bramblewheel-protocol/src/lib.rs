//! Messages between the project's own processes, their CBOR codec and framing.

pub mod codec;
pub mod control;
pub use bramblewheel_types::headers;

pub use codec::{CodecError, read_frame, write_frame};
