//! Texts that are stored and sent compressed.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::Read;
use thiserror::Error;

/// Compression level; low, since operators' texts are repetitive and replicas have little processor time.
const LEVEL: u32 = 3;
/// Maximum length of a text that is unpacked, in bytes.
pub const MAX_TEXT_LENGTH: usize = 16 * 1024 * 1024;

/// Why a packed text can't be unpacked.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// The bytes are damaged, or were not made by [`PackedText::pack`].
    #[error("not unpackable: {0}")]
    Damaged(#[from] std::io::Error),
    /// The text is longer than [`MAX_TEXT_LENGTH`].
    #[error("longer than {MAX_TEXT_LENGTH} bytes")]
    TooLong,
}

/// A text compressed with deflate. Configurations of many routes are repetitive, and they are sent to every daemon
/// and stored in the log of every replica.
///
/// ```
/// use bramblewheel_protocol::packed::PackedText;
///
/// let packed = PackedText::pack(b"route route route");
/// assert_eq!(packed.unpack().expect("packed here"), b"route route route");
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PackedText(#[serde(with = "serde_bytes")] Vec<u8>);

impl PackedText {
    /// Compresses a text.
    pub fn pack(text: &[u8]) -> Self {
        let mut packed = Vec::with_capacity(text.len() / 4);
        DeflateEncoder::new(text, Compression::new(LEVEL))
            .read_to_end(&mut packed)
            .expect("reading from memory does not fail");
        Self(packed)
    }

    /// Decompresses the text, byte for byte as it was packed.
    ///
    /// # Errors
    /// [`UnpackError`] when it is damaged or too long.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let mut text = Vec::new();
        let read_limit = MAX_TEXT_LENGTH as u64 + 1;
        let decoder = DeflateDecoder::new(self.0.as_slice());
        decoder.take(read_limit).read_to_end(&mut text)?;
        if text.len() > MAX_TEXT_LENGTH {
            return Err(UnpackError::TooLong);
        }
        Ok(text)
    }

    /// Length of the compressed text, in bytes.
    pub fn packed_bytes(&self) -> usize {
        self.0.len()
    }
}
