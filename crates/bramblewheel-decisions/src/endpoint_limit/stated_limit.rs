//! Which of an endpoint's stated rate limits is in force.
//!
//! Rule: a limit is in force until an answer without one to a request that was sent after any limit was last stated.
//! An answer that was overtaken by another one therefore lifts nothing, and raises nothing.

use bramblewheel_types::{RateLimit, Timestamp};
use std::time::Duration;

/// A rate limit that an endpoint stated some time ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The limit.
    pub limit: RateLimit,
    /// Time since it was stated.
    pub age: Duration,
}

/// Change of the limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint states a limit after it had none.
    Stated(RateLimit),
    /// Another daemon knows a limit, and this one had none.
    Adopted(RateLimit),
    /// The limit changed.
    Changed {
        /// The limit before.
        before: RateLimit,
        /// The limit in force now.
        now: RateLimit,
    },
    /// The endpoint no longer states a limit; holds the former one.
    Lifted(RateLimit),
}

impl LimitChange {
    /// Value of `change` in the log.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Stated(_) => "stated",
            Self::Adopted(_) => "adopted",
            Self::Changed { .. } => "changed",
            Self::Lifted(_) => "lifted",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LimitInForce {
    limit: RateLimit,
    /// When this limit or a lower one was last stated.
    limit_stated_at: Timestamp,
    /// When any limit was last stated.
    stated_at: Timestamp,
    /// Whether the endpoint stated it to this daemon itself.
    is_own: bool,
}

/// The limit that an endpoint states, as known by one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLimit {
    in_force: Option<LimitInForce>,
    /// When the latest request was sent whose answer stated no limit.
    last_unlimited: Option<Timestamp>,
}

impl StatedLimit {
    /// Records what the answer to a request sent at `sent_at` stated. Returns the change, if there is one.
    pub fn record_answer(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        stated: Option<RateLimit>,
    ) -> Option<LimitChange> {
        match stated {
            Some(limit) => self.record_limit(now, sent_at, limit),
            None => self.record_no_limit(sent_at),
        }
    }

    /// Adopts what another daemon knows, unless an answer to this daemon tells more.
    pub fn adopt(&mut self, now: Timestamp, known: KnownLimit) -> Option<LimitChange> {
        let adopted = LimitInForce {
            limit: known.limit,
            limit_stated_at: now,
            stated_at: now,
            is_own: false,
        };
        let Some(current) = self.in_force else {
            if self.has_later_answer(now, known.age) {
                return None;
            }
            self.in_force = Some(adopted);
            return Some(LimitChange::Adopted(known.limit));
        };
        if current.is_own || known.limit >= current.limit {
            return None;
        }
        self.in_force = Some(adopted);
        Some(LimitChange::Changed {
            before: current.limit,
            now: known.limit,
        })
    }

    /// The limit in force, and how long ago it was stated.
    pub fn in_force(&self, now: Timestamp) -> Option<KnownLimit> {
        let in_force = self.in_force?;
        Some(KnownLimit {
            limit: in_force.limit,
            age: now.since(in_force.stated_at),
        })
    }

    /// Whether a limit is in force.
    pub fn is_in_force(&self) -> bool {
        self.in_force.is_some()
    }

    /// Whether a request was answered without a limit that was sent after a statement of this age.
    fn has_later_answer(&self, now: Timestamp, age: Duration) -> bool {
        self.last_unlimited
            .is_some_and(|sent_at| now.since(sent_at) <= age)
    }

    fn record_limit(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        limit: RateLimit,
    ) -> Option<LimitChange> {
        let Some(current) = &mut self.in_force else {
            self.in_force = Some(LimitInForce {
                limit,
                limit_stated_at: now,
                stated_at: now,
                is_own: true,
            });
            return Some(LimitChange::Stated(limit));
        };
        current.stated_at = now;
        current.is_own = true;
        let is_overtaken = sent_at <= current.limit_stated_at;
        if limit > current.limit && is_overtaken {
            return None;
        }
        current.limit_stated_at = now;
        let before = std::mem::replace(&mut current.limit, limit);
        (before != limit).then_some(LimitChange::Changed { before, now: limit })
    }

    fn record_no_limit(&mut self, sent_at: Timestamp) -> Option<LimitChange> {
        self.last_unlimited = self.last_unlimited.max(Some(sent_at));
        let lifted = self
            .in_force
            .take_if(|current| sent_at > current.stated_at)?;
        Some(LimitChange::Lifted(lifted.limit))
    }
}
