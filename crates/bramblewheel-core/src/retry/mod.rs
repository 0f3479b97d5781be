//! Bounds on retries: tokens per request tree, ratio budgets, callers' resends.

pub(crate) mod ratio;
pub(crate) mod resend;
pub mod tokens;
