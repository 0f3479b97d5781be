//! The two sections of canonical bytes: the head says which bundle it is and who may sign the
//! next one, the rest holds limits and services.
//!
//! A digest covers both by their own digests, so that a change of the operators can be shown by
//! the head alone.

use crate::canonical::DecodeError;
use crate::check::check_head;
use crate::model::{Bundle, OperatorPolicy, RequestLimits, ServicePolicy};
use bramblewheel_types::{BundleVersion, ServiceName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Stands in front of the head; the last byte is the version of the format.
const FORMAT_MARKER: &[u8] = b"bramblewheel-bundle\x02";
/// Bytes of the head's length, most significant first.
const LENGTH: usize = 4;

/// First section of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Deployment the bundle is for.
    pub deployment: String,
    /// Who may sign the next bundle.
    pub operators: OperatorPolicy,
}

#[derive(Serialize)]
struct Rest<'a> {
    limits: &'a RequestLimits,
    services: &'a BTreeMap<ServiceName, ServicePolicy>,
}

#[derive(Deserialize)]
struct OwnedRest {
    limits: RequestLimits,
    services: BTreeMap<ServiceName, ServicePolicy>,
}

/// Encodes a head: format marker, length, CBOR.
pub fn encode_head(head: &Head) -> Vec<u8> {
    let mut bytes = FORMAT_MARKER.to_vec();
    bytes.extend([0; LENGTH]);
    let start = bytes.len();
    write(head, &mut bytes);
    let length = u32::try_from(bytes.len() - start).expect("checked heads are a few KB long");
    bytes[start - LENGTH..start].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes a head that stands alone; every rule for it is checked.
///
/// # Errors
/// [`DecodeError`] unless the bytes are the one encoding of an acceptable head.
pub fn decode_head(bytes: &[u8]) -> Result<Head, DecodeError> {
    let (section, _) = split_strictly(bytes)?;
    let head: Head = read(&section[FORMAT_MARKER.len() + LENGTH..])?;
    if encode_head(&head) != bytes {
        return Err(DecodeError::NotCanonical);
    }
    check_head(&head)?;
    Ok(head)
}

pub(crate) fn encode(bundle: &Bundle) -> Vec<u8> {
    let mut bytes = encode_head(&bundle.head());
    let rest = Rest {
        limits: &bundle.limits,
        services: &bundle.services,
    };
    write(&rest, &mut bytes);
    bytes
}

/// Decodes both sections and checks no rule.
pub(crate) fn decode(bytes: &[u8]) -> Result<Bundle, DecodeError> {
    let (section, rest) = split_strictly(bytes)?;
    let head: Head = read(&section[FORMAT_MARKER.len() + LENGTH..])?;
    let rest: OwnedRest = read(rest)?;
    Ok(Bundle {
        version: head.version,
        deployment: head.deployment,
        operators: head.operators,
        limits: rest.limits,
        services: rest.services,
    })
}

/// Head section and rest. Bytes without a head are all head, so that any two different byte
/// strings differ in one of the two.
pub fn split(bytes: &[u8]) -> (&[u8], &[u8]) {
    split_strictly(bytes).unwrap_or((bytes, &[]))
}

fn split_strictly(bytes: &[u8]) -> Result<(&[u8], &[u8]), DecodeError> {
    let body = bytes
        .strip_prefix(FORMAT_MARKER)
        .ok_or(DecodeError::UnknownFormat)?;
    let cut_short = || DecodeError::Malformed("cut short".to_owned());
    let (length, _) = body.split_first_chunk().ok_or_else(cut_short)?;
    let length = u32::from_be_bytes(*length) as usize;
    let end = FORMAT_MARKER.len() + LENGTH + length;
    bytes.split_at_checked(end).ok_or_else(cut_short)
}

fn write(value: &impl Serialize, bytes: &mut Vec<u8>) {
    ciborium::into_writer(value, bytes)
        .expect("a vector takes every write and the model has only types that CBOR has");
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError::Malformed(error.to_string()))
}
