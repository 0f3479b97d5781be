//! Texts that are kept and sent compressed.

use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::Read;
use thiserror::Error;

/// Level of the compression: a low one, since operators' texts repeat themselves and replicas have
/// little processor time. Chosen, not measured.
const LEVEL: u32 = 3;
/// Longest text that is unpacked, in bytes; chosen, not measured.
pub const LONGEST_TEXT: usize = 16 * 1024 * 1024;

/// A packed text can't be unpacked.
#[derive(Debug, Error)]
pub enum UnpackError {
    /// It was not packed by [`PackedText::pack`], or is damaged.
    #[error("not unpackable: {0}")]
    Damaged(#[from] std::io::Error),
    /// It is longer than [`LONGEST_TEXT`].
    #[error("longer than {LONGEST_TEXT} bytes")]
    TooLong,
}

/// A text, compressed (deflate). Configurations of many routes go to every daemon and through the log
/// of every replica, and mostly repeat themselves.
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
    /// Packs a text.
    pub fn pack(text: &[u8]) -> Self {
        let mut packed = Vec::with_capacity(text.len() / 4);
        DeflateEncoder::new(text, Compression::new(LEVEL))
            .read_to_end(&mut packed)
            .expect("reading from memory does not fail");
        Self(packed)
    }

    /// The text as it was packed, byte for byte.
    ///
    /// # Errors
    /// [`UnpackError`] when it is damaged or too long.
    pub fn unpack(&self) -> Result<Vec<u8>, UnpackError> {
        let mut text = Vec::new();
        let bound = LONGEST_TEXT as u64 + 1;
        let decoder = DeflateDecoder::new(self.0.as_slice());
        decoder.take(bound).read_to_end(&mut text)?;
        if text.len() > LONGEST_TEXT {
            return Err(UnpackError::TooLong);
        }
        Ok(text)
    }

    /// Bytes that it takes packed.
    pub fn packed_bytes(&self) -> usize {
        self.0.len()
    }
}
