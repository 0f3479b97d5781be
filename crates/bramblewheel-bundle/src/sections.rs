//! The two sections of the canonical encoding: the head holds version, deployment and the operators
//! that may sign the next bundle, the rest holds limits and services.
//!
//! The bundle digest is computed from the digests of both sections, so that a change of the operators
//! can be verified from the head and the digest of the rest.

use crate::canonical::DecodeError;
use crate::check::check_head;
use crate::model::{Bundle, OperatorPolicy, RequestLimits, ServicePolicy};
use bramblewheel_types::{BundleVersion, ServiceName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of the encoding; the last byte is the format version.
const FORMAT_MARKER: &[u8] = b"bramblewheel-bundle\x02";
/// Size in bytes of the head's length field, which is big-endian.
const LENGTH_SIZE: usize = 4;

/// First section of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Deployment the bundle is for.
    pub deployment: String,
    /// Operators that may sign the next bundle.
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
    bytes.extend([0; LENGTH_SIZE]);
    let start = bytes.len();
    write(head, &mut bytes);
    let length = u32::try_from(bytes.len() - start).expect("a validated head is a few KB long");
    bytes[start - LENGTH_SIZE..start].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Decodes a single head and checks every rule that applies to it.
///
/// # Errors
/// [`DecodeError`] unless the bytes are the canonical encoding of a valid head.
pub fn decode_head(bytes: &[u8]) -> Result<Head, DecodeError> {
    let (section, _) = try_split(bytes)?;
    let head: Head = read(&section[FORMAT_MARKER.len() + LENGTH_SIZE..])?;
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

/// Decodes both sections without validating the bundle.
pub(crate) fn decode(bytes: &[u8]) -> Result<Bundle, DecodeError> {
    let (section, rest) = try_split(bytes)?;
    let head: Head = read(&section[FORMAT_MARKER.len() + LENGTH_SIZE..])?;
    let rest: OwnedRest = read(rest)?;
    Ok(Bundle {
        version: head.version,
        deployment: head.deployment,
        operators: head.operators,
        limits: rest.limits,
        services: rest.services,
    })
}

/// Splits an encoding into head and rest. Bytes without a complete head are returned as head with an empty rest,
/// so that different byte strings always differ in one of the two.
pub fn split(bytes: &[u8]) -> (&[u8], &[u8]) {
    try_split(bytes).unwrap_or((bytes, &[]))
}

fn try_split(bytes: &[u8]) -> Result<(&[u8], &[u8]), DecodeError> {
    let body = bytes
        .strip_prefix(FORMAT_MARKER)
        .ok_or(DecodeError::UnknownFormat)?;
    let truncated = || DecodeError::Malformed("cut short".to_owned());
    let (length, _) = body.split_first_chunk().ok_or_else(truncated)?;
    let length = u32::from_be_bytes(*length) as usize;
    let end = FORMAT_MARKER.len() + LENGTH_SIZE + length;
    bytes.split_at_checked(end).ok_or_else(truncated)
}

fn write(value: &impl Serialize, bytes: &mut Vec<u8>) {
    ciborium::into_writer(value, bytes)
        .expect("writes to a vector succeed and CBOR can represent every type of the model");
}

fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    ciborium::from_reader(bytes).map_err(|error| DecodeError::Malformed(error.to_string()))
}
