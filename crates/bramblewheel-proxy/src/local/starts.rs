//! The order of an endpoint's starts, so that a word of an earlier one changes nothing.
//!
//! The time that an endpoint says it started at orders its starts, for as long as its clock does not step back between two
//! of them. Where it does, the newest start says less than the one before it. Then its words look late; but they go on coming, one
//! after the other, while nothing is heard of the one that seems newer. Words that were held up on their way come in one burst, or
//! while the newer start is heard.

use bramblewheel_types::{EndpointId, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// Silence of the newest start after which words under an earlier time may be those of one whose clock stepped back: two and
/// a half heartbeats of 1.5 s.
const NEWEST_SILENT: Duration = Duration::from_secs(4);
/// Such words that must come one after the other.
const RISING_HEARTBEATS: u32 = 3;
/// Time that must lie between the first and the last of them: words that were held up come together.
const SPREAD: Duration = Duration::from_millis(2_500);
/// Names that are remembered.
const MAX_NAMES: usize = 256;

/// Which start a word comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// From the newest start, which is known by this id from now on.
    Newest(EndpointId),
    /// From one that a later start has followed.
    Earlier,
    /// It does not say when it started, although its name did before: its place can't be told.
    Untold,
}

/// Words of one start that seems to be earlier than the newest.
#[derive(Clone, Copy, Debug)]
struct LateWords {
    told: Option<u64>,
    first: Timestamp,
    sequence: u64,
    count: u32,
}

#[derive(Clone, Debug)]
struct Newest {
    /// The id that it is known by.
    id: EndpointId,
    /// The start that it says, which is less than that of its id where its clock stepped back.
    told: Option<u64>,
    heard: Timestamp,
    late: Option<LateWords>,
}

/// The newest start of each endpoint that was heard here.
#[derive(Debug, Default)]
pub struct Starts {
    by_name: HashMap<String, Newest>,
}

impl Starts {
    /// Takes a word that tells of being ready; `has_ended` says whether a start has ended as planned.
    pub fn take_heartbeat(
        &mut self,
        now: Timestamp,
        said: &EndpointId,
        sequence: u64,
        has_ended: impl Fn(&EndpointId) -> bool,
    ) -> Origin {
        if self.by_name.len() >= MAX_NAMES && !self.by_name.contains_key(said.name()) {
            self.by_name.clear();
        }
        let newest = self.by_name.entry(said.name().to_owned());
        let newest = newest.or_insert_with(|| Newest::of(now, said));
        if said.started() == newest.told {
            newest.heard = now;
            newest.late = None;
            return Origin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(said) {
            *newest = Newest::of(now, said);
            return Origin::Newest(said.clone());
        }
        if said.started().is_none() {
            return Origin::Untold;
        }
        // After a planned end a word that was held up must never open the endpoint again, so that no clock is believed to
        // have stepped back then.
        if newest.goes_on_late(now, said, sequence) && !has_ended(&newest.id) {
            let id = newest.id.clone();
            let follower = id.started().map(|started| started.saturating_add(1));
            *newest = Newest {
                told: said.started(),
                ..Newest::of(now, &id.started_at(follower))
            };
            return Origin::Newest(newest.id.clone());
        }
        Origin::Earlier
    }

    /// Takes a word that tells of leaving. One that does not say when its sender started means the newest start.
    pub fn take_final_heartbeat(&mut self, now: Timestamp, said: &EndpointId) -> Origin {
        let Some(newest) = self.by_name.get_mut(said.name()) else {
            let newest = Newest::of(now, said);
            self.by_name.insert(said.name().to_owned(), newest);
            return Origin::Newest(said.clone());
        };
        if said.started().is_none() || said.started() == newest.told {
            return Origin::Newest(newest.id.clone());
        }
        if newest.id.is_earlier_start_of(said) {
            *newest = Newest::of(now, said);
            return Origin::Newest(said.clone());
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
            told: id.started(),
            heard: now,
            late: None,
        }
    }

    /// Counts a word under an earlier time; returns whether such words go on coming while the newest start is silent.
    fn goes_on_late(&mut self, now: Timestamp, said: &EndpointId, sequence: u64) -> bool {
        let same = self.late.filter(|late| late.told == said.started());
        let late = match same {
            Some(late) if sequence <= late.sequence => return false,
            Some(late) => LateWords {
                sequence,
                count: late.count + 1,
                ..late
            },
            None => LateWords {
                told: said.started(),
                first: now,
                sequence,
                count: 1,
            },
        };
        self.late = Some(late);
        let is_silent = now.since(self.heard) >= NEWEST_SILENT;
        is_silent && late.count >= RISING_HEARTBEATS && now.since(late.first) >= SPREAD
    }
}
