//! Retry bounds: tokens per request tree, ratio budgets, detection of resends by callers.

pub(crate) mod ratio;
pub(crate) mod resend;
pub mod tokens;
