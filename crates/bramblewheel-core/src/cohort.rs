//! Cohorts: requests of one class are admitted or refused by a hash of their root id.

use crate::event::AdmissionLevel;
use bramblewheel_types::{Criticality, RequestId};

/// Number of cohorts per class.
pub const COHORT_COUNT: u8 = 128;

/// Cohort of a root request, 0 to 127.
///
/// All sub-calls of one request share its cohort, so that endpoints which shed the same share of
/// a class shed the same requests, and work is not spent on requests that fail elsewhere.
pub fn cohort_of(request: RequestId) -> u8 {
    // Fibonacci hashing: the high bits of the product depend on all bits of the folded id.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let folded = (request.0 as u64) ^ ((request.0 >> 64) as u64);
    (folded.wrapping_mul(MULTIPLIER) >> 57) as u8
}

/// Place of a request in the order of shedding: requests below an endpoint's level are shed.
///
/// A session's calls rank in the upper half of their class and new calls in the lower, so that
/// new sessions are refused first and a level can still part a class whose calls all have one.
pub fn shedding_position(
    criticality: Criticality,
    in_session: bool,
    request: RequestId,
) -> AdmissionLevel {
    let half = COHORT_COUNT / 2;
    let within_half = cohort_of(request) / 2;
    AdmissionLevel {
        criticality,
        cohort: within_half + if in_session { half } else { 0 },
    }
}
