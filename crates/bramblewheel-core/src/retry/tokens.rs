//! Retry tokens of one request tree.
//!
//! The daemon at the root gives an original request `R` tokens (`limits.retry_tokens` of the
//! bundle). At any moment each token is in exactly one place: in the pool of the root call, in
//! the pool of an attempt that a daemon is running, on the way with an attempt, or destroyed.
//! An extra attempt destroys one; an application's own repeat of a sub-call destroys one; an
//! answer that never comes destroys all that were lent with the attempt. Nothing makes a token.
//! Hence, for any depth and fan-out,
//!
//! ```text
//! sum over all calls c of the tree: (attempts(c) - 1 - free(c)) + repeats  <=  R
//! free(c) <= limits.max_free_reroutes
//! ```
//!
//! where `free(c)` counts attempts that were refused by a leaving endpoint or never sent; none
//! of them ran anything. The bound for `n` sends of one request by a caller outside is the same
//! `R` plus its own `n - 1` sends, each of which begins a tree with no tokens. It assumes that
//! callers keep the request id when they resend, with a rising resend number if they change the
//! gateway, and that endpoints pass the parent id on with their sub-calls: a call that names no
//! known parent is refused, and a call that claims to be a root is a new original request.
//!
//! Why half is lent: a pool lends the larger half with each attempt and keeps the rest, so that a
//! lost answer leaves something to try again with, and concurrent sub-calls split the pool. A
//! single token goes down to the deepest hop, which is the cheapest place to spend it.

/// Tokens that one call tree, or the part of it below an attempt, may still spend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TokenPool {
    granted: u32,
    available: u32,
    is_closed: bool,
}

impl TokenPool {
    /// A pool of `granted` tokens.
    pub fn new(granted: u32) -> Self {
        Self {
            granted,
            available: granted,
            is_closed: false,
        }
    }

    /// Tokens neither spent nor lent.
    pub fn available(&self) -> u32 {
        self.available
    }

    /// Destroys one token; false if there is none.
    pub fn spend(&mut self) -> bool {
        let has_token = self.available > 0;
        self.available -= u32::from(has_token);
        has_token
    }

    /// Takes out the larger half, to go with an attempt.
    pub fn lend(&mut self) -> u32 {
        let lent = self.available.div_ceil(2);
        self.available -= lent;
        lent
    }

    /// Takes back what an answered attempt did not spend. A claim of more than was lent counts
    /// as all of it.
    pub fn settle(&mut self, lent: u32, spent: u32) {
        if !self.is_closed {
            self.available += lent - spent.min(lent);
        }
    }

    /// Ends the pool and says how many of its tokens are gone: spent, or lent and not yet back.
    /// What comes back later is destroyed.
    pub fn close(&mut self) -> u32 {
        let spent = self.granted - self.available;
        self.available = 0;
        self.is_closed = true;
        spent
    }
}
