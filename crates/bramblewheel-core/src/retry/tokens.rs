//! Retry tokens of one request tree.
//!
//! The daemon at the root gives an original request `R` tokens (`limits.retry_tokens` of the
//! bundle). At any time each token is in exactly one place: in the pool of the root call, in the
//! pool of an attempt that a daemon is running, in transit with an attempt, or destroyed. An extra
//! attempt destroys one token, a sub-call repeated by the application destroys one, and a missing
//! answer destroys all tokens lent with the attempt. No token is ever created later. Hence, for any
//! depth and fan-out,
//!
//! ```text
//! sum over all calls c of the tree: (attempts(c) - 1 - free(c)) + repeats  <=  R
//! free(c) <= limits.max_free_reroutes
//! ```
//!
//! where `free(c)` counts attempts that were refused by a draining endpoint or never sent; none
//! of them ran anything. For `n` sends of one request by an external caller the bound is the same
//! `R` plus the caller's own `n - 1` resends, each of which starts a tree without tokens. This
//! assumes that callers keep the request id when they resend, with an increasing resend number if
//! they change the gateway, and that endpoints pass the parent id with their sub-calls: a call that
//! names no known parent is refused, and a call that claims to be a root is a new original request.
//!
//! A pool lends the larger half of its tokens with each attempt and keeps the rest, so that tokens
//! for a retry remain if the answer is lost, and concurrent sub-calls share the pool. A single token
//! is passed to the deepest hop, where a retry is cheapest.

/// Remaining tokens of a call tree, or of the part of it below an attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenPool {
    granted: u32,
    available: u32,
    is_closed: bool,
}

impl TokenPool {
    /// Creates a pool of `granted` tokens.
    pub fn new(granted: u32) -> Self {
        Self {
            granted,
            available: granted,
            is_closed: false,
        }
    }

    /// Tokens that are neither spent nor lent.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Spends one token; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        let has_token = self.available > 0;
        self.available -= u32::from(has_token);
        has_token
    }

    /// Removes the larger half of the tokens, to be lent with an attempt.
    pub fn lend(&mut self) -> u32 {
        let lent = self.available.div_ceil(2);
        self.available -= lent;
        lent
    }

    /// Returns the tokens that an answered attempt did not spend. `spent` is capped at `lent`.
    pub fn settle(&mut self, lent: u32, spent: u32) {
        if !self.is_closed {
            self.available += lent - spent.min(lent);
        }
    }

    /// Closes the pool and returns how many of its tokens were spent or are still lent. Tokens
    /// returned later are destroyed.
    pub fn close(&mut self) -> u32 {
        let spent = self.granted - self.available;
        self.available = 0;
        self.is_closed = true;
        spent
    }
}
