//! The fleet on virtual time: daemons, their endpoints, callers and the control group.

use bramblewheel_control::state::{Command, ControlState, LoggedCommand};
use bramblewheel_decisions::endpoint_crash::UnansweredRequests;
use bramblewheel_decisions::quarantine::QuarantineView;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_protocol::control::LogPosition;
use bramblewheel_protocol::routing::{ContentReport, QuarantineList};
use bramblewheel_types::{EndpointId, Timestamp};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const STEP_MILLIS: u64 = 5;
const LENGTH_MILLIS: u64 = 30_000;
/// From here on the fatal request is sent.
const CALM_MILLIS: u64 = 5_000;
/// Time from the third end on after which the request may reach no endpoint.
const FOUND_OUT_MILLIS: u64 = 1_000;
/// Longest time for which a content that ends well may be refused.
const WRONGLY_REFUSED_MILLIS: u64 = 1_000;
/// Time from an end of an endpoint until its daemon knows of it.
const NOTICED_MILLIS: u64 = 100;
const STARTS_AGAIN_MILLIS: u64 = 3_000;
/// Endpoints that may be sent one try.
const MAX_SENDS: u32 = 2;
/// Tries of one caller.
const MAX_TRIES: u32 = 2;

const FATAL: ContentDigest = ContentDigest(0);
/// Contents that many callers ask for, from 1 on.
const POPULAR: u64 = 20;
/// Contents that one caller asks for.
const FIRST_RARE: u64 = 1_000;

/// What is remembered and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Product,
    /// Nothing is reported.
    NoMemory,
    /// Each daemon counts the ends of its own endpoint.
    LocalOnly,
    /// All that ran at an end is blamed, whether it ends well or not.
    BlameAll,
    /// As the product, but what was lost is never sent on by its daemon.
    NeverSentOn,
}

#[derive(Clone, Copy, Debug)]
struct Try {
    content: ContentDigest,
    entry: usize,
    sends: u32,
    tries: u32,
}

#[derive(Debug)]
struct Run {
    of: Try,
    ends_at: u64,
}

#[derive(Debug, Default)]
struct Daemon {
    view: QuarantineView,
    unanswered: UnansweredRequests,
    starts: u32,
    up_at: u64,
    running: Vec<Run>,
}

#[derive(Debug)]
enum Message {
    Noticed(usize, EndpointId),
    Report(usize, ContentReport),
    List(usize, QuarantineList),
    Again(Try),
}

#[derive(Debug, Default)]
pub struct Found {
    /// Times at which endpoints ended under the fatal request.
    pub fatal_ends: Vec<u64>,
    /// Sends of it that reached an endpoint.
    fatal_sends: Vec<u64>,
    /// Other requests that were lost with endpoints until their callers gave up.
    pub given_up: u32,
    /// First and last refusal of each content that ends well.
    pub refused: std::collections::BTreeMap<ContentDigest, (u64, u64)>,
}

impl Found {
    pub fn breach(&self) -> Option<String> {
        if let Some(third) = self.fatal_ends.get(2) {
            let limit = third + FOUND_OUT_MILLIS;
            let late = self.fatal_sends.iter().filter(|at| **at > limit).count();
            if late > 0 {
                let ends = self.fatal_ends.len();
                return Some(format!(
                    "{late} sends after it was to be found out, {ends} ends"
                ));
            }
        }
        let longest = self
            .refused
            .iter()
            .max_by_key(|(_, (first, last))| last - first);
        let (content, (first, last)) = longest?;
        let is_long = last - first > WRONGLY_REFUSED_MILLIS;
        is_long.then(|| format!("{content} was refused from {first} to {last}"))
    }
}

pub struct Fleet {
    variant: Variant,
    pub has_fatal: bool,
    random: Pcg64Mcg,
    now: u64,
    daemons: Vec<Daemon>,
    /// The control group; one for each daemon where each counts for itself.
    groups: Vec<ControlState>,
    index: u64,
    messages: Vec<(u64, Message)>,
    next_rare: u64,
    found: Found,
}

impl Fleet {
    pub fn new(variant: Variant, seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let daemons = random.random_range(3..18);
        let groups = if variant == Variant::LocalOnly {
            daemons
        } else {
            1
        };
        let group = ControlState::without_bundle(1, LogPosition { index: 1, term: 1 });
        Self {
            variant,
            has_fatal: !seed.is_multiple_of(4),
            daemons: (0..daemons).map(|_| Daemon::default()).collect(),
            groups: vec![group; groups],
            index: 1,
            messages: Vec::new(),
            next_rare: FIRST_RARE,
            now: 0,
            found: Found::default(),
            random,
        }
    }

    pub fn run(mut self) -> Found {
        while self.now < LENGTH_MILLIS {
            self.now += STEP_MILLIS;
            self.deliver();
            self.arrive();
            self.end_runs();
            self.end_by_other_causes();
        }
        self.found
    }

    fn at(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    fn later(&mut self, range: std::ops::Range<u64>, message: Message) {
        let at = self.now + self.random.random_range(range);
        self.messages.push((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.messages.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, message) in due {
            match message {
                Message::Noticed(daemon, endpoint) => self.noticed(daemon, &endpoint),
                Message::Report(daemon, report) => self.report(daemon, report),
                Message::List(daemon, list) => self.install(daemon, &list),
                Message::Again(again) => self.send(again),
            }
        }
    }

    fn noticed(&mut self, daemon: usize, endpoint: &EndpointId) {
        let now = self.at();
        let known = &mut self.daemons[daemon];
        let Some(end) = known.unanswered.take_crash(endpoint) else {
            return;
        };
        let contents = match self.variant {
            Variant::BlameAll => end.contents,
            _ => known.view.suspects(now, &end.contents),
        };
        let endpoint = end.endpoint;
        let report = ContentReport::EndpointCrashed { endpoint, contents };
        self.later(10..60, Message::Report(daemon, report));
    }

    fn report(&mut self, daemon: usize, report: ContentReport) {
        let is_dropped = match self.variant {
            Variant::NoMemory => true,
            Variant::BlameAll => matches!(report, ContentReport::Succeeded { .. }),
            Variant::Product | Variant::LocalOnly | Variant::NeverSentOn => false,
        };
        if is_dropped {
            return;
        }
        let is_local = self.variant == Variant::LocalOnly;
        let group = &mut self.groups[if is_local { daemon } else { 0 }];
        self.index += 1;
        let position = LogPosition {
            index: self.index,
            term: 1,
        };
        let command = LoggedCommand {
            proposed_at_unix_millis: self.now,
            command: Command::Contents(vec![report]),
        };
        let applied = group.apply(position, &command.encode()).expect("a command");
        if !applied.changes.routing {
            return;
        }
        let list = group.quarantine().list();
        for to in 0..self.daemons.len() {
            if !is_local || to == daemon {
                self.later(5..150, Message::List(to, list.clone()));
            }
        }
    }

    fn install(&mut self, daemon: usize, list: &QuarantineList) {
        let now = self.at();
        let view = &mut self.daemons[daemon].view;
        if list.revision <= view.revision() {
            return;
        }
        let contents = view.install(now, list);
        if !contents.is_empty() {
            let report = ContentReport::Succeeded { contents };
            self.later(5..60, Message::Report(daemon, report));
        }
    }

    fn arrive(&mut self) {
        let daemons = self.daemons.len();
        for _ in 0..daemons / 3 + 1 {
            let content = if self.random.random_bool(0.3) {
                self.next_rare += 1;
                ContentDigest(self.next_rare)
            } else {
                ContentDigest(self.random.random_range(1..=POPULAR))
            };
            self.enter(content);
        }
        if self.has_fatal && self.now > CALM_MILLIS && self.random.random_bool(0.06) {
            self.enter(FATAL);
        }
    }

    fn enter(&mut self, content: ContentDigest) {
        let entry = self.random.random_range(0..self.daemons.len());
        self.send(Try {
            content,
            entry,
            sends: 0,
            tries: 1,
        });
    }

    fn send(&mut self, mut what: Try) {
        let up: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| self.daemons[*daemon].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        let is_kept = |daemon: usize| {
            self.daemons[daemon]
                .view
                .quarantine_of(what.content)
                .is_some()
        };
        if is_kept(what.entry) || is_kept(target) {
            if what.content != FATAL {
                let refused = self.found.refused.entry(what.content);
                refused.or_insert((self.now, self.now)).1 = self.now;
            }
            return;
        }
        if what.content == FATAL {
            self.found.fatal_sends.push(self.now);
        }
        what.sends += 1;
        let ends_at = self.now + self.random.random_range(20..150);
        self.daemons[target].running.push(Run { of: what, ends_at });
    }

    fn end_runs(&mut self) {
        for daemon in 0..self.daemons.len() {
            let now = self.now;
            let running = &mut self.daemons[daemon].running;
            let ended: Vec<Run> = running.extract_if(.., |run| run.ends_at <= now).collect();
            if ended.iter().any(|run| run.of.content == FATAL) {
                self.found.fatal_ends.push(now);
                self.daemons[daemon].running.extend(ended);
                self.end_endpoint(daemon);
                continue;
            }
            for run in ended {
                self.ended_well(daemon, run.of.content);
            }
        }
    }

    fn ended_well(&mut self, daemon: usize, content: ContentDigest) {
        let now = self.at();
        if self.daemons[daemon].view.record_completion(now, content) {
            let contents = vec![content];
            let report = ContentReport::Succeeded { contents };
            self.later(5..60, Message::Report(daemon, report));
        }
    }

    fn end_endpoint(&mut self, daemon: usize) {
        let now = self.at();
        let known = &mut self.daemons[daemon];
        let name = format!("e-{daemon}-{}", known.starts);
        let endpoint = EndpointId::new(&name).expect("a name");
        known.starts += 1;
        known.up_at = self.now + STARTS_AGAIN_MILLIS;
        let lost = std::mem::take(&mut known.running);
        for run in &lost {
            known.unanswered.record(now, &endpoint, run.of.content);
        }
        for run in lost {
            self.lost(run.of);
        }
        let noticed = NOTICED_MILLIS..NOTICED_MILLIS + 50;
        self.later(noticed, Message::Noticed(daemon, endpoint));
    }

    /// Sent on by its daemon, then again by its caller, elsewhere.
    fn lost(&mut self, mut what: Try) {
        let is_suspect = self.daemons[what.entry].view.is_watched(what.content);
        let is_sent_on = self.variant != Variant::NeverSentOn;
        if is_sent_on && what.sends < MAX_SENDS && !is_suspect {
            return self.later(1..10, Message::Again(what));
        }
        if what.tries < MAX_TRIES {
            what.tries += 1;
            what.sends = 0;
            what.entry = self.random.random_range(0..self.daemons.len());
            self.later(50..300, Message::Again(what));
        } else if what.content != FATAL {
            self.found.given_up += 1;
        }
    }

    /// Single endpoints, and now and then most of a service at once.
    fn end_by_other_causes(&mut self) {
        if self.random.random_bool(0.003) {
            let daemon = self.random.random_range(0..self.daemons.len());
            self.end_if_up(daemon);
        }
        if self.random.random_bool(0.000_3) {
            for daemon in 0..self.daemons.len() * 2 / 3 {
                self.end_if_up(daemon);
            }
        }
    }

    fn end_if_up(&mut self, daemon: usize) {
        if self.daemons[daemon].up_at > self.now {
            return;
        }
        let running = &self.daemons[daemon].running;
        if running.iter().any(|run| run.of.content == FATAL) {
            self.found.fatal_ends.push(self.now);
        }
        self.end_endpoint(daemon);
    }
}
