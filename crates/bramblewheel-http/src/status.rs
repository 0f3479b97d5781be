//! Statuses of answers.

use http::StatusCode;

/// Whether an answer with this status can end a request. Interim answers can't, and statuses outside of 200 to 599 have no
/// meaning (RFC 9110, 15).
pub fn is_final(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}
