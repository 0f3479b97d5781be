//! Simulation of a fleet on virtual time: daemons, their endpoints, callers and the control group.

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
/// Time from which the fatal request is sent.
const FATAL_FROM_MILLIS: u64 = 5_000;
/// Time after the third crash from which the request must not reach an endpoint.
const DETECTION_MILLIS: u64 = 1_000;
/// Longest time for which a content that completes may be refused.
const MAX_WRONG_REFUSAL_MILLIS: u64 = 1_000;
/// Time from a crash of an endpoint until its daemon notices it.
const CRASH_NOTICE_MILLIS: u64 = 100;
const RESTART_MILLIS: u64 = 3_000;
/// Most attempts for one send of a caller.
const MAX_ATTEMPTS: u32 = 2;
/// Most sends of one caller.
const MAX_CALLER_SENDS: u32 = 2;

const FATAL: ContentDigest = ContentDigest(0);
/// Number of contents that many callers request, from 1 on.
const POPULAR: u64 = 20;
/// First of the contents that a single caller requests.
const FIRST_RARE: u64 = 1_000;

/// Variants of reporting and retrying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Product,
    /// Daemons report nothing.
    NoReports,
    /// Each daemon counts only the crashes of its own endpoint.
    LocalOnly,
    /// All contents running at a crash are reported, even if they complete elsewhere.
    BlameAll,
    /// As the product, but daemons do not retry lost requests.
    NoRetries,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    content: ContentDigest,
    entry: usize,
    attempts: u32,
    caller_sends: u32,
}

#[derive(Debug)]
struct Run {
    request: Request,
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
    CrashNoticed(usize, EndpointId),
    Report(usize, ContentReport),
    List(usize, QuarantineList),
    Resend(Request),
}

#[derive(Debug, Default)]
pub struct Outcome {
    /// Times at which endpoints crashed because of the fatal request.
    pub fatal_crashes: Vec<u64>,
    /// Times at which it was sent to an endpoint.
    fatal_sends: Vec<u64>,
    /// Other requests lost in crashes until their callers stopped resending.
    pub abandoned: u32,
    /// First and last refusal of each content that completes.
    pub refused: std::collections::BTreeMap<ContentDigest, (u64, u64)>,
}

impl Outcome {
    pub fn violation(&self) -> Option<String> {
        if let Some(third) = self.fatal_crashes.get(2) {
            let limit = third + DETECTION_MILLIS;
            let late = self.fatal_sends.iter().filter(|at| **at > limit).count();
            if late > 0 {
                let crashes = self.fatal_crashes.len();
                return Some(format!(
                    "{late} sends after it should have been detected, {crashes} crashes"
                ));
            }
        }
        let longest = self
            .refused
            .iter()
            .max_by_key(|(_, (first, last))| last - first);
        let (content, (first, last)) = longest?;
        let is_long = last - first > MAX_WRONG_REFUSAL_MILLIS;
        is_long.then(|| format!("{content} was refused from {first} to {last}"))
    }
}

pub struct Fleet {
    variant: Variant,
    pub has_fatal: bool,
    random: Pcg64Mcg,
    now: u64,
    daemons: Vec<Daemon>,
    /// The control group, or one group per daemon if each counts alone.
    groups: Vec<ControlState>,
    index: u64,
    messages: Vec<(u64, Message)>,
    next_rare: u64,
    outcome: Outcome,
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
            outcome: Outcome::default(),
            random,
        }
    }

    pub fn run(mut self) -> Outcome {
        while self.now < LENGTH_MILLIS {
            self.now += STEP_MILLIS;
            self.deliver();
            self.arrive();
            self.end_runs();
            self.crash_by_other_causes();
        }
        self.outcome
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
                Message::CrashNoticed(daemon, endpoint) => self.crash_noticed(daemon, &endpoint),
                Message::Report(daemon, report) => self.report(daemon, report),
                Message::List(daemon, list) => self.install(daemon, &list),
                Message::Resend(request) => self.send(request),
            }
        }
    }

    fn crash_noticed(&mut self, daemon: usize, endpoint: &EndpointId) {
        let now = self.at();
        let known = &mut self.daemons[daemon];
        let Some(crash) = known.unanswered.take_crash(endpoint) else {
            return;
        };
        let contents = match self.variant {
            Variant::BlameAll => crash.contents,
            _ => known.view.suspects(now, &crash.contents),
        };
        let endpoint = crash.endpoint;
        let report = ContentReport::EndpointCrashed { endpoint, contents };
        self.later(10..60, Message::Report(daemon, report));
    }

    fn report(&mut self, daemon: usize, report: ContentReport) {
        let is_dropped = match self.variant {
            Variant::NoReports => true,
            Variant::BlameAll => matches!(report, ContentReport::Succeeded { .. }),
            Variant::Product | Variant::LocalOnly | Variant::NoRetries => false,
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
        if self.has_fatal && self.now > FATAL_FROM_MILLIS && self.random.random_bool(0.06) {
            self.enter(FATAL);
        }
    }

    fn enter(&mut self, content: ContentDigest) {
        let entry = self.random.random_range(0..self.daemons.len());
        self.send(Request {
            content,
            entry,
            attempts: 0,
            caller_sends: 1,
        });
    }

    fn send(&mut self, mut request: Request) {
        let up: Vec<usize> = (0..self.daemons.len())
            .filter(|daemon| self.daemons[*daemon].up_at <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        let target = up[self.random.random_range(0..up.len())];
        let is_quarantined = |daemon: usize| {
            self.daemons[daemon]
                .view
                .quarantine_of(request.content)
                .is_some()
        };
        if is_quarantined(request.entry) || is_quarantined(target) {
            if request.content != FATAL {
                let refused = self.outcome.refused.entry(request.content);
                refused.or_insert((self.now, self.now)).1 = self.now;
            }
            return;
        }
        if request.content == FATAL {
            self.outcome.fatal_sends.push(self.now);
        }
        request.attempts += 1;
        let ends_at = self.now + self.random.random_range(20..150);
        self.daemons[target].running.push(Run { request, ends_at });
    }

    fn end_runs(&mut self) {
        for daemon in 0..self.daemons.len() {
            let now = self.now;
            let running = &mut self.daemons[daemon].running;
            let ended: Vec<Run> = running.extract_if(.., |run| run.ends_at <= now).collect();
            if ended.iter().any(|run| run.request.content == FATAL) {
                self.outcome.fatal_crashes.push(now);
                self.daemons[daemon].running.extend(ended);
                self.crash_endpoint(daemon);
                continue;
            }
            for run in ended {
                self.completed(daemon, run.request.content);
            }
        }
    }

    fn completed(&mut self, daemon: usize, content: ContentDigest) {
        let now = self.at();
        if self.daemons[daemon].view.record_completion(now, content) {
            let contents = vec![content];
            let report = ContentReport::Succeeded { contents };
            self.later(5..60, Message::Report(daemon, report));
        }
    }

    fn crash_endpoint(&mut self, daemon: usize) {
        let now = self.at();
        let known = &mut self.daemons[daemon];
        let name = format!("e-{daemon}-{}", known.starts);
        let endpoint = EndpointId::new(&name).expect("valid name");
        known.starts += 1;
        known.up_at = self.now + RESTART_MILLIS;
        let lost = std::mem::take(&mut known.running);
        for run in &lost {
            known.unanswered.record(now, &endpoint, run.request.content);
        }
        for run in lost {
            self.handle_lost(run.request);
        }
        let noticed = CRASH_NOTICE_MILLIS..CRASH_NOTICE_MILLIS + 50;
        self.later(noticed, Message::CrashNoticed(daemon, endpoint));
    }

    /// Retries a lost request at its daemon, then lets its caller resend it at another one.
    fn handle_lost(&mut self, mut request: Request) {
        let is_suspect = self.daemons[request.entry].view.is_watched(request.content);
        let may_retry = self.variant != Variant::NoRetries;
        if may_retry && request.attempts < MAX_ATTEMPTS && !is_suspect {
            return self.later(1..10, Message::Resend(request));
        }
        if request.caller_sends < MAX_CALLER_SENDS {
            request.caller_sends += 1;
            request.attempts = 0;
            request.entry = self.random.random_range(0..self.daemons.len());
            self.later(50..300, Message::Resend(request));
        } else if request.content != FATAL {
            self.outcome.abandoned += 1;
        }
    }

    /// Crashes single endpoints, and sometimes most of a service at once.
    fn crash_by_other_causes(&mut self) {
        if self.random.random_bool(0.003) {
            let daemon = self.random.random_range(0..self.daemons.len());
            self.crash_if_up(daemon);
        }
        if self.random.random_bool(0.000_3) {
            for daemon in 0..self.daemons.len() * 2 / 3 {
                self.crash_if_up(daemon);
            }
        }
    }

    fn crash_if_up(&mut self, daemon: usize) {
        if self.daemons[daemon].up_at > self.now {
            return;
        }
        let running = &self.daemons[daemon].running;
        if running.iter().any(|run| run.request.content == FATAL) {
            self.outcome.fatal_crashes.push(self.now);
        }
        self.crash_endpoint(daemon);
    }
}
