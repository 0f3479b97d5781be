//! Framing: a length of four bytes, big-endian, then one CBOR value.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum frame length accepted from daemons and operators, in bytes.
pub const MAX_CONTROL_FRAME: usize = 4 * 1024 * 1024;
/// Maximum frame length accepted between replicas, in bytes; one frame must hold a snapshot.
pub const MAX_PEER_FRAME: usize = 256 * 1024 * 1024;
/// Size of the length prefix of each frame, in bytes.
pub const LENGTH_PREFIX: usize = 4;
/// Memory allocated up front for a frame that is still being received, in bytes.
const READ_CHUNK: usize = 64 * 1024;

/// A frame could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The connection failed or ended inside a frame.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The peer announced a frame over the limit; its content was not read.
    #[error("frame of {length} bytes is over the limit of {limit}")]
    TooLong {
        /// Length announced.
        length: usize,
        /// Longest length allowed.
        limit: usize,
    },
    /// The frame is not a CBOR value of the expected type.
    #[error("not a valid message: {0}")]
    Malformed(String),
}

/// Encodes one value with its length prefix.
///
/// # Errors
/// [`CodecError::TooLong`] when the value takes more than `limit` bytes.
pub fn encode<T: Serialize>(value: &T, limit: usize) -> Result<Vec<u8>, CodecError> {
    let mut frame = vec![0; LENGTH_PREFIX];
    ciborium::into_writer(value, &mut frame)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    let length = frame.len() - LENGTH_PREFIX;
    let announced = u32::try_from(length).map_err(|_| CodecError::TooLong { length, limit })?;
    if length > limit {
        return Err(CodecError::TooLong { length, limit });
    }
    frame[..LENGTH_PREFIX].copy_from_slice(&announced.to_be_bytes());
    Ok(frame)
}

/// Decodes one value from the bytes after the length prefix; trailing bytes are an error.
///
/// # Errors
/// [`CodecError::Malformed`] when the bytes are not exactly one value of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    let mut rest = bytes;
    let value = ciborium::from_reader(&mut rest)
        .map_err(|error| CodecError::Malformed(error.to_string()))?;
    if !rest.is_empty() {
        return Err(CodecError::Malformed(format!(
            "{} bytes left over",
            rest.len()
        )));
    }
    Ok(value)
}

/// Reads one frame; `None` when the peer closed between frames.
///
/// Memory use grows with the bytes received, not with the announced length.
///
/// # Errors
/// [`CodecError`] when the connection fails or the frame is too long or malformed.
pub async fn read_frame<T, R>(reader: &mut R, limit: usize) -> Result<Option<T>, CodecError>
where
    T: DeserializeOwned,
    R: AsyncRead + Unpin,
{
    let mut prefix = [0; LENGTH_PREFIX];
    let first = reader.read(&mut prefix).await?;
    if first == 0 {
        return Ok(None);
    }
    reader.read_exact(&mut prefix[first..]).await?;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > limit {
        return Err(CodecError::TooLong { length, limit });
    }
    let mut bytes = Vec::with_capacity(length.min(READ_CHUNK));
    let arrived = reader.take(length as u64).read_to_end(&mut bytes).await?;
    if arrived < length {
        return Err(CodecError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    decode(&bytes).map(Some)
}

/// Writes one frame.
///
/// # Errors
/// [`CodecError`] when the connection fails or the value is over the limit.
pub async fn write_frame<T, W>(writer: &mut W, value: &T, limit: usize) -> Result<(), CodecError>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let frame = encode(value, limit)?;
    writer.write_all(&frame).await?;
    writer.flush().await?;
    Ok(())
}
