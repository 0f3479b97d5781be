//! Frames with a checksummed header and a checksummed payload.
//!
//! Layout, little-endian: start mark (1 byte), payload length (4), sequence (8), CRC32C of the payload
//! (4), CRC32C of the preceding header bytes (4), payload, end mark (1). Each frame is synced before the
//! next one is written, so only the last frame of a file can be torn.

use crate::error::StorageError;

/// Size of a header, in bytes.
const HEADER: usize = 21;
/// First byte of a frame; not zero, so that a sector with the start of a frame is never all zeros.
const START_MARK: u8 = 0xB7;
/// Last byte of a frame; not zero, so that a sector with the end of a frame is never all zeros.
const END_MARK: u8 = 0xE5;
/// Bytes that a disk writes atomically.
const SECTOR: usize = 512;

/// A decoded frame.
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
    /// Length of the whole frame.
    pub(crate) end: usize,
}

/// Why a frame can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FrameFault {
    /// The write was interrupted before its sync, so nothing depends on the frame.
    Torn,
    /// The frame was written and synced, and its content has changed since.
    Damaged(&'static str),
}

/// Encodes a frame.
pub(crate) fn encode(sequence: u64, payload: &[u8]) -> Result<Vec<u8>, StorageError> {
    let length = payload.len();
    let announced = u32::try_from(length).map_err(|_| StorageError::TooLarge { length })?;
    let mut bytes = Vec::with_capacity(HEADER + length + 1);
    bytes.push(START_MARK);
    bytes.extend_from_slice(&announced.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&crc32c::crc32c(payload).to_le_bytes());
    let check = crc32c::crc32c(&bytes);
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(END_MARK);
    Ok(bytes)
}

/// Decodes the frame at `offset`; `None` at the end of the file.
pub(crate) fn decode(file: &[u8], offset: usize) -> Result<Option<Frame<'_>>, FrameFault> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Ok(None);
    }
    match parse(rest) {
        Some(frame) => Ok(Some(frame)),
        None => Err(classify(file, offset)),
    }
}

fn parse(bytes: &[u8]) -> Option<Frame<'_>> {
    let header = parse_header(bytes)?;
    let (payload, end_mark) = bytes.get(HEADER..header.end())?.split_at(header.length);
    let is_whole = end_mark == [END_MARK] && crc32c::crc32c(payload) == header.payload_check;
    is_whole.then_some(Frame {
        sequence: header.sequence,
        payload,
        end: header.end(),
    })
}

struct Header {
    length: usize,
    sequence: u64,
    payload_check: u32,
}

impl Header {
    /// Length of the whole frame.
    fn end(&self) -> usize {
        HEADER + self.length + 1
    }
}

fn parse_header(bytes: &[u8]) -> Option<Header> {
    let header: &[u8; HEADER] = bytes.first_chunk()?;
    let (checked, check) = header.split_last_chunk::<4>()?;
    if crc32c::crc32c(checked) != u32::from_le_bytes(*check) {
        return None;
    }
    let rest = checked.strip_prefix(&[START_MARK])?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (sequence, rest) = rest.split_first_chunk::<8>()?;
    let payload_check = rest.first_chunk::<4>()?;
    Some(Header {
        length: u32::from_le_bytes(*length) as usize,
        sequence: u64::from_le_bytes(*sequence),
        payload_check: u32::from_le_bytes(*payload_check),
    })
}

/// Distinguishes a torn frame from a damaged one.
///
/// A torn frame is the last one of the file and lacks bytes at its end or whole sectors. A complete frame
/// with wrong content was synced once; truncating it would lose acknowledged state.
fn classify(file: &[u8], offset: usize) -> FrameFault {
    let rest = &file[offset..];
    if (1..rest.len()).any(|start| parse(&rest[start..]).is_some()) {
        return FrameFault::Damaged("valid frames follow a bad one");
    }
    if let Some(header) = parse_header(rest) {
        let end = header.end();
        if rest.len() < end {
            return FrameFault::Torn;
        }
        if rest.len() > end {
            return FrameFault::Damaged("bytes follow a bad frame");
        }
    } else if rest.len() < HEADER {
        return FrameFault::Torn;
    }
    if has_zeroed_sector(file, offset) {
        return FrameFault::Torn;
    }
    FrameFault::Damaged("checksum mismatch")
}

fn has_zeroed_sector(file: &[u8], offset: usize) -> bool {
    let mut start = offset;
    while start < file.len() {
        let end = (start / SECTOR * SECTOR + SECTOR).min(file.len());
        if file[start..end].iter().all(|&byte| byte == 0) {
            return true;
        }
        start = end;
    }
    false
}
