//! One row for each fleet and phase.

use crate::bench::scale::fit::quantile;
use crate::bench::scale::measure::{PhaseFigures, SizeFigures};

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// Figures of one phase in the units of the tables.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Row {
    /// Number of daemons.
    pub daemons: usize,
    /// Name of the phase.
    pub phase: &'static str,
    /// Events in it.
    pub events: usize,
    /// Length.
    pub seconds: f64,
    /// Leader's share of a core, in percent.
    pub leader_core_percent: f64,
    /// A follower's, the mean of them.
    pub follower_core_percent: f64,
    /// Resident memory of the leader.
    pub leader_mb: f64,
    /// And of a follower.
    pub follower_mb: f64,
    /// File bytes a second at the leader.
    pub leader_disk_bytes_per_s: f64,
    /// Bytes a second from a daemon to the replicas.
    pub sent_bytes_per_s: f64,
    /// Bytes a second from the replicas to a daemon.
    pub received_bytes_per_s: f64,
    /// Polls answered by all replicas in a second.
    pub polls_per_s: f64,
    /// Of those, the leader's.
    pub leader_polls_per_s: f64,
    /// Bytes a second from the replica that sends most to daemons.
    pub busiest_sent_bytes_per_s: f64,
    /// A hollow daemon's share of a core, in percent.
    pub daemon_core_percent: f64,
    /// Half of the delays are below, in seconds.
    pub delay_p50: f64,
    /// 99 in 100 are below.
    pub delay_p99: f64,
    /// The longest.
    pub delay_max: f64,
}

impl Row {
    /// Figures of a phase.
    pub fn of(daemons: usize, phase: &'static str, figures: &PhaseFigures) -> Self {
        let used = &figures.used;
        let leader = used.leader().copied().unwrap_or_default();
        let seconds = used.hollow.seconds;
        let traffic = used.traffic();
        let per_daemon = |bytes: u64| bytes as f64 / seconds / daemons as f64;
        let sent = used.replicas.iter().map(|r| r.traffic.from_replica);
        let busiest = sent.max().unwrap_or_default();
        let delay = |share| quantile(&figures.delays, share).unwrap_or_default();
        Self {
            daemons,
            phase,
            events: figures.events,
            seconds,
            leader_core_percent: share_percent(leader.process.cores()),
            follower_core_percent: share_percent(used.followers(|r| r.process.cores())),
            leader_mb: leader.resident as f64 / MEGABYTE,
            follower_mb: used.followers(|r| r.resident as f64) / MEGABYTE,
            leader_disk_bytes_per_s: leader.process.written as f64 / seconds,
            sent_bytes_per_s: per_daemon(traffic.to_replica),
            received_bytes_per_s: per_daemon(traffic.from_replica),
            polls_per_s: traffic.polls as f64 / seconds,
            leader_polls_per_s: leader.traffic.polls as f64 / seconds,
            busiest_sent_bytes_per_s: busiest as f64 / seconds,
            daemon_core_percent: share_percent(used.hollow.cores()) / daemons as f64,
            delay_p50: delay(0.5),
            delay_p99: delay(0.99),
            delay_max: delay(1.0),
        }
    }

    /// Names and values, in the order of the table.
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let number = |value: f64| format!("{value:.4}");
        vec![
            ("daemons", self.daemons.to_string()),
            ("phase", self.phase.to_owned()),
            ("events", self.events.to_string()),
            ("seconds", number(self.seconds)),
            ("leader_core_percent", number(self.leader_core_percent)),
            ("follower_core_percent", number(self.follower_core_percent)),
            ("leader_mb", number(self.leader_mb)),
            ("follower_mb", number(self.follower_mb)),
            (
                "leader_disk_bytes_per_s",
                number(self.leader_disk_bytes_per_s),
            ),
            ("sent_bytes_per_s", number(self.sent_bytes_per_s)),
            ("received_bytes_per_s", number(self.received_bytes_per_s)),
            ("polls_per_s", number(self.polls_per_s)),
            ("leader_polls_per_s", number(self.leader_polls_per_s)),
            (
                "busiest_sent_bytes_per_s",
                number(self.busiest_sent_bytes_per_s),
            ),
            ("daemon_core_percent", number(self.daemon_core_percent)),
            ("delay_p50_s", number(self.delay_p50)),
            ("delay_p99_s", number(self.delay_p99)),
            ("delay_max_s", number(self.delay_max)),
        ]
    }
}

/// A phase without any leader has no share.
fn share_percent(cores: f64) -> f64 {
    if cores.is_finite() {
        cores * 100.0
    } else {
        0.0
    }
}

/// Rows of one fleet.
pub fn rows(size: &SizeFigures) -> Vec<Row> {
    let phases: [(&'static str, &PhaseFigures); 9] = [
        ("start", &size.start),
        ("idle", &size.idle),
        ("changes", &size.changes),
        ("restarts", &size.restarts),
        ("zone-lost", &size.zone_lost),
        ("zone-back", &size.zone_back),
        ("region-lost", &size.region_lost),
        ("region-back", &size.region_back),
        ("leader-lost", &size.leader_lost),
    ];
    let measured = phases
        .iter()
        .filter(|(_, figures)| figures.used.hollow.seconds > 0.0);
    let rows = measured.map(|(phase, figures)| Row::of(size.daemons, phase, figures));
    rows.collect()
}

/// The table of all fleets as CSV.
pub fn csv(sizes: &[SizeFigures]) -> String {
    let names: Vec<&str> = Row::default()
        .fields()
        .iter()
        .map(|(name, _)| *name)
        .collect();
    let mut text = names.join(",") + "\n";
    for row in sizes.iter().flat_map(rows) {
        let values: Vec<String> = row.fields().into_iter().map(|(_, value)| value).collect();
        text += &(values.join(",") + "\n");
    }
    text
}
