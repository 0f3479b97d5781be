//! A fleet on virtual time: daemons that send requests for one endpoint, the daemon beside it, restarts, late answers.

use bramblewheel_decisions::endpoint_limit::{EndpointLimit, KnownLimit, StatedLimit};
use bramblewheel_types::{RateLimit, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a fleet runs.
const RUN_TIME: Duration = Duration::from_secs(40);
/// Requests per second of all senders.
const OFFERED_RATE: f64 = 120.0;
/// Share of answers that are delivered late.
const LATE_SHARE: f64 = 0.05;
/// Longest delay of such an answer, in milliseconds.
const MAX_LATE_MILLIS: u64 = 2_500;

/// How the fleet treats a stated limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obedience {
    /// As the daemons do.
    Full,
    /// Each sender keeps the limit for its own requests.
    BySender,
    /// A restarted daemon is not told what the senders know.
    ForgottenAtRestart,
    /// Any answer without a limit lifts it.
    LiftedByOvertakenAnswers,
    /// The bucket is full again with each statement.
    RefilledByStatements,
}

impl Obedience {
    /// The ways to obey a limit only in part.
    pub const PARTIAL: [Self; 4] = [
        Self::BySender,
        Self::ForgottenAtRestart,
        Self::LiftedByOvertakenAnswers,
        Self::RefilledByStatements,
    ];
}

/// A time in which the endpoint states this limit in all answers.
#[derive(Clone, Copy, Debug)]
pub struct LimitedTime {
    pub from: Timestamp,
    pub until: Timestamp,
    pub limit: RateLimit,
}

/// A request that the endpoint received.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Timestamp,
    pub sender: usize,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub struct History {
    pub limited_times: Vec<LimitedTime>,
    pub arrivals: Vec<Arrival>,
    /// When the daemon beside the endpoint restarted.
    pub restarts: Vec<Timestamp>,
    /// When that daemon got a statement, in an answer or from a sender that had got the current one.
    pub told: Vec<Timestamp>,
    /// When a sender restarted.
    pub sender_restarts: Vec<(Timestamp, usize)>,
    /// When a sender passed a statement on.
    pub passed_on: Vec<(Timestamp, usize)>,
}

enum Event {
    /// A sender hands the next request over.
    Handover,
    /// The endpoint writes the answer to a request.
    Answer { sender: usize, sent_at: Timestamp },
    /// The answer reaches the daemon beside the endpoint.
    Delivery {
        sender: usize,
        sent_at: Timestamp,
        stated: Option<RateLimit>,
    },
    /// The daemon beside the endpoint restarts.
    Restart,
    /// A sender restarts.
    SenderRestart(usize),
}

/// A running fleet.
pub struct Fleet {
    obedience: Obedience,
    random: Pcg64Mcg,
    now: Timestamp,
    /// Ordered by time, then by number.
    events: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    beside: EndpointLimit,
    /// What each sender knows.
    known: Vec<StatedLimit>,
    /// The limit as kept by each sender, if it is kept there.
    kept_by_sender: Vec<EndpointLimit>,
    history: History,
}

impl Fleet {
    pub fn new(senders: usize, obedience: Obedience, seed: u64) -> Self {
        let mut fleet = Self {
            obedience,
            random: Pcg64Mcg::seed_from_u64(seed),
            now: Timestamp::ZERO,
            events: BTreeMap::new(),
            next_event: 0,
            beside: EndpointLimit::default(),
            known: vec![StatedLimit::default(); senders],
            kept_by_sender: (0..senders).map(|_| EndpointLimit::default()).collect(),
            history: History::default(),
        };
        fleet.draw_limits();
        fleet.draw_restarts();
        fleet.schedule(Duration::ZERO, Event::Handover);
        fleet
    }

    /// Draws when the endpoint states which limit, with times without a limit in between.
    fn draw_limits(&mut self) {
        let mut at = self.millis(1_000..4_000);
        while at < RUN_TIME {
            let limit = self.random.random_range(0.3..12.7);
            let until = at + self.millis(5_000..15_000);
            self.history.limited_times.push(LimitedTime {
                from: Timestamp::ZERO + at,
                until: Timestamp::ZERO + until,
                limit: format!("{limit:.1}").parse().expect("a limit"),
            });
            at = until + self.millis(200..6_000);
        }
    }

    fn draw_restarts(&mut self) {
        for _ in 0..self.random.random_range(0..8) {
            let at = self.millis(0..RUN_TIME.as_millis() as u64);
            self.schedule(at, Event::Restart);
        }
        for _ in 0..self.random.random_range(0..8) {
            let at = self.millis(0..RUN_TIME.as_millis() as u64);
            let sender = self.random.random_range(0..self.known.len());
            self.schedule(at, Event::SenderRestart(sender));
        }
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + after, self.next_event), event);
    }

    pub fn run(mut self) -> History {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at.since(Timestamp::ZERO) > RUN_TIME {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.history
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Handover => self.hand_over(),
            Event::Answer { sender, sent_at } => self.answer(sender, sent_at),
            Event::Delivery {
                sender,
                sent_at,
                stated,
            } => self.deliver(sender, sent_at, stated),
            Event::Restart => {
                self.beside = EndpointLimit::default();
                self.history.restarts.push(self.now);
            }
            Event::SenderRestart(sender) => {
                self.known[sender] = StatedLimit::default();
                self.kept_by_sender[sender] = EndpointLimit::default();
                self.history.sender_restarts.push((self.now, sender));
            }
        }
    }

    fn hand_over(&mut self) {
        let pause = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / OFFERED_RATE;
        self.schedule(Duration::from_secs_f64(pause), Event::Handover);
        let sender = self.random.random_range(0..self.known.len());
        if !self.may_send(sender) {
            return;
        }
        self.history.arrivals.push(Arrival {
            at: self.now,
            sender,
        });
        let work = self.millis(5..400);
        let sent_at = self.now;
        self.schedule(work, Event::Answer { sender, sent_at });
    }

    /// Whether a request is sent to the endpoint now.
    fn may_send(&mut self, sender: usize) -> bool {
        let is_exempt = self.random.random_bool(0.3);
        if self.obedience == Obedience::BySender {
            return self.kept_by_sender[sender]
                .take(self.now, is_exempt)
                .is_ok();
        }
        if let Some(known) = self.known[sender].in_force(self.now) {
            self.adopt(known);
        }
        self.beside.take(self.now, is_exempt).is_ok()
    }

    fn adopt(&mut self, known: KnownLimit) {
        let begun = self.limited_since(self.now);
        if begun.is_some_and(|begun| known.age <= self.now.since(begun)) {
            self.history.told.push(self.now);
        }
        if self.obedience != Obedience::ForgottenAtRestart {
            self.beside.adopt(self.now, known);
        }
    }

    fn answer(&mut self, sender: usize, sent_at: Timestamp) {
        let now = self.now;
        let in_force = |time: &&LimitedTime| time.from <= now && now < time.until;
        let stated = self.history.limited_times.iter().find(in_force);
        let stated = stated.map(|time| time.limit);
        let delay = if self.random.random_bool(LATE_SHARE) {
            self.millis(1..MAX_LATE_MILLIS)
        } else {
            Duration::from_micros(self.random.random_range(50..2_000))
        };
        let delivery = Event::Delivery {
            sender,
            sent_at,
            stated,
        };
        self.schedule(delay, delivery);
    }

    fn deliver(&mut self, sender: usize, sent_at: Timestamp, stated: Option<RateLimit>) {
        let now = self.now;
        let sent_at = match self.obedience {
            Obedience::LiftedByOvertakenAnswers => now,
            _ => sent_at,
        };
        if let (Some(limit), Obedience::RefilledByStatements) = (stated, self.obedience) {
            self.beside = EndpointLimit::default();
            self.beside
                .record_answer(Timestamp::ZERO, Timestamp::ZERO, Some(limit));
        }
        self.beside.record_answer(now, sent_at, stated);
        self.kept_by_sender[sender].record_answer(now, sent_at, stated);
        self.known[sender].record_answer(now, sent_at, stated);
        if stated.is_some() {
            self.history.told.push(now);
            self.history.passed_on.push((now, sender));
        }
    }

    /// Since when the endpoint has stated the limit that it states at this time.
    fn limited_since(&self, at: Timestamp) -> Option<Timestamp> {
        let mut times = self.history.limited_times.iter();
        let time = times.find(|time| time.from <= at && at < time.until);
        time.map(|time| time.from)
    }
}
