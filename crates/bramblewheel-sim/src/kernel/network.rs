//! Network model: delays between zones, loss, reordering, duplicates and cuts.

use super::process::ProcessId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;

/// Id of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Range of the delay between two zones, with uniform distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delay {
    /// Shortest delay.
    pub shortest: Duration,
    /// Longest delay.
    pub longest: Duration,
}

/// Probabilities of faults per message, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Disorder {
    /// The message is lost.
    pub loss: f64,
    /// The message is delivered twice.
    pub duplicate: f64,
    /// The message takes up to ten times as long, so that later ones overtake it.
    pub reorder: f64,
}

impl Disorder {
    fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Largest factor on the delay of a reordered message.
const REORDER_FACTOR: u32 = 10;

/// The network between all processes.
#[derive(Debug)]
pub struct Network {
    zones: usize,
    delays: Vec<Delay>,
    disorder: Disorder,
    cut_links: BTreeSet<(ProcessId, ProcessId)>,
    cut_zones: BTreeSet<(ZoneId, ZoneId)>,
    reports_undelivered: bool,
    keeps_connections: bool,
    random: Pcg64Mcg,
}

/// Sender or receiver of a message, with its zone.
#[derive(Clone, Copy, Debug)]
pub(super) struct Location {
    pub(super) process: ProcessId,
    pub(super) zone: ZoneId,
}

impl Network {
    /// A network of `zones` zones with the same delay inside every zone and the same between any two zones.
    pub fn new(zones: usize, inside: Delay, between: Delay, random: Pcg64Mcg) -> Self {
        let pairs = (0..zones).flat_map(|from| (0..zones).map(move |to| (from, to)));
        let delays = pairs
            .map(|(from, to)| if from == to { inside } else { between })
            .collect();
        Self {
            zones,
            delays,
            disorder: Disorder::default(),
            cut_links: BTreeSet::new(),
            cut_zones: BTreeSet::new(),
            reports_undelivered: false,
            keeps_connections: false,
            random,
        }
    }

    /// Sets the one-way delay from one zone to another.
    pub fn set_delay(&mut self, from: ZoneId, to: ZoneId, delay: Delay) {
        let index = self.delay_index(from, to);
        self.delays[index] = delay;
    }

    /// Sets the probabilities of loss, duplicates and reordering for all messages sent from now on.
    pub fn set_disorder(&mut self, disorder: Disorder) {
        self.disorder = disorder;
    }

    /// Sets whether a message to a process that does not take it is returned to its sender; off by default.
    pub fn set_reports_undelivered(&mut self, reports: bool) {
        self.reports_undelivered = reports;
    }

    /// Sets whether messages belong to connections; off by default. If so, a message sent to one incarnation of a
    /// process never reaches a later one.
    pub fn set_keeps_connections(&mut self, keeps: bool) {
        self.keeps_connections = keeps;
    }

    pub(super) fn keeps_connections(&self) -> bool {
        self.keeps_connections
    }

    pub(super) fn reports_undelivered(&self) -> bool {
        self.reports_undelivered
    }

    /// Cuts the link from one process to another in this direction only.
    pub fn cut_link(&mut self, from: ProcessId, to: ProcessId) {
        self.cut_links.insert((from, to));
    }

    /// Restores the link from one process to another.
    pub fn heal_link(&mut self, from: ProcessId, to: ProcessId) {
        self.cut_links.remove(&(from, to));
    }

    /// Cuts the link from one zone to another in this direction only.
    pub fn cut_zone(&mut self, from: ZoneId, to: ZoneId) {
        self.cut_zones.insert((from, to));
    }

    /// Restores the link from one zone to another.
    pub fn heal_zone(&mut self, from: ZoneId, to: ZoneId) {
        self.cut_zones.remove(&(from, to));
    }

    /// Restores all links and ends loss, duplicates and reordering.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.cut_zones.clear();
        self.disorder = Disorder::default();
    }

    pub(super) fn is_cut(&self, from: Location, to: Location) -> bool {
        if self.cut_links.is_empty() && self.cut_zones.is_empty() {
            return false;
        }
        self.cut_links.contains(&(from.process, to.process))
            || self.cut_zones.contains(&(from.zone, to.zone))
    }

    /// Delay of each copy of a message; `None` for a copy that is lost or not made.
    pub(super) fn transmit(
        &mut self,
        from: Location,
        to: Location,
        is_disorderly: bool,
    ) -> [Option<Duration>; 2] {
        if self.is_cut(from, to) {
            return [None, None];
        }
        let delay = self.delays[self.delay_index(from.zone, to.zone)];
        if !is_disorderly || self.disorder.is_none() {
            return [Some(self.draw(delay)), None];
        }
        let first = self.draw_disordered(delay);
        let is_duplicated = self.random.random_bool(self.disorder.duplicate);
        let second = if is_duplicated {
            self.draw_disordered(delay)
        } else {
            None
        };
        [first, second]
    }

    fn draw_disordered(&mut self, delay: Delay) -> Option<Duration> {
        let drawn = self.draw(delay);
        if self.random.random_bool(self.disorder.loss) {
            return None;
        }
        if self.random.random_bool(self.disorder.reorder) {
            return Some(drawn * self.random.random_range(2..=REORDER_FACTOR));
        }
        Some(drawn)
    }

    fn draw(&mut self, delay: Delay) -> Duration {
        let shortest = micros(delay.shortest);
        let longest = micros(delay.longest).max(shortest);
        Duration::from_micros(self.random.random_range(shortest..=longest))
    }

    fn delay_index(&self, from: ZoneId, to: ZoneId) -> usize {
        usize::from(from.0) * self.zones + usize::from(to.0)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
