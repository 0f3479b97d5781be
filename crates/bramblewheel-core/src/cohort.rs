//! Cohorts: requests of one class are admitted or shed by a hash of their root request id.

use crate::event::AdmissionLevel;
use bramblewheel_types::{Criticality, RequestId};

/// Cohorts in each class.
pub const COHORT_COUNT: u8 = 128;

/// Cohort of a root request, 0 to 127.
///
/// All sub-calls of a request share its cohort. Endpoints that shed the same share of a class
/// therefore shed the same requests, and no work is spent on requests that fail elsewhere.
pub fn cohort_of(request: RequestId) -> u8 {
    // Fibonacci hashing: the high bits of the product depend on all bits of the folded id.
    const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
    let folded = (request.0 as u64) ^ ((request.0 >> 64) as u64);
    (folded.wrapping_mul(MULTIPLIER) >> 57) as u8
}

/// Position of a request in the shedding order; requests below an endpoint's level are shed.
///
/// Calls within a session are placed in the upper half of their class and other calls in the
/// lower half, so that new sessions are refused first. A level can still split a class whose
/// calls all belong to sessions.
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
