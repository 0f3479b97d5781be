//! Resource usage of other processes and processor utilization of the machine, from `/proc`.

use crate::error::CommandError;
use std::fs;
use std::ops::{Add, Sub};
use std::path::Path;
use std::time::Duration;

/// Resources that a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and system mode together.
    pub cpu: Duration,
    /// Number of voluntary context switches of its threads; each one causes a wake-up.
    pub sleeps: u64,
}

impl Add for Usage {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            sleeps: self.sleeps + other.sleeps,
        }
    }
}

impl Sub for Usage {
    type Output = Self;

    fn sub(self, earlier: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            sleeps: self.sleeps.saturating_sub(earlier.sleeps),
        }
    }
}

/// Unit of the times in `/proc/PID/stat`. The kernel interface uses 100 ticks per second on all platforms that the
/// project supports.
const TICK: Duration = Duration::from_millis(10);
/// Index of the user time among the fields after the process name, from 0; the system time is next. See proc(5).
const USER_TIME_INDEX: usize = 11;

/// Prefix of the line with the number of sleeps in a thread's `status` file.
const SLEEPS_PREFIX: &str = "voluntary_ctxt_switches:";

/// Reads the resources that a process has used since its start.
///
/// # Errors
/// [`CommandError::RunFailed`] when the process has exited or its files can't be parsed.
pub fn usage(pid: u32) -> Result<Usage, CommandError> {
    let process = format!("/proc/{pid}");
    let stat = read(&Path::new(&process).join("stat"))?;
    let cpu = parse_stat(&stat).ok_or_else(|| run_failed(&process, "can't parse stat"))?;
    let threads = fs::read_dir(Path::new(&process).join("task"));
    let mut sleeps = 0;
    for thread in threads.map_err(|error| run_failed(&process, error))? {
        let thread = thread.map_err(|error| run_failed(&process, error))?;
        let status = read(&thread.path().join("status"))?;
        sleeps += parse_sleeps(&status).unwrap_or(0);
    }
    Ok(Usage { cpu, sleeps })
}

fn read(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|error| run_failed(&file.display().to_string(), error))
}

fn run_failed(what: &str, error: impl std::fmt::Display) -> CommandError {
    CommandError::RunFailed(format!("{what}: {error}"))
}

/// Parses the number of sleeps in the text of a thread's `status` file.
pub(super) fn parse_sleeps(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(SLEEPS_PREFIX))?;
    line.trim().parse().ok()
}

/// Parses the processor time in the text of a `stat` file. The process name, in parentheses, may contain any
/// characters.
pub(super) fn parse_stat(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(USER_TIME_INDEX);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * user.checked_add(system)?)
}

/// Time counters of all processors of the machine, in ticks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    busy: u64,
    total: u64,
}

impl Machine {
    /// Reads the current counters.
    ///
    /// # Errors
    /// [`CommandError::RunFailed`] when they can't be read or parsed.
    pub fn now() -> Result<Self, CommandError> {
        const FILE: &str = "/proc/stat";
        let text = read(Path::new(FILE))?;
        Self::parse(&text).ok_or_else(|| run_failed(FILE, "can't parse the first line"))
    }

    /// Parses the text of `/proc/stat`, whose first line has the sums over all processors: user, nice, system, idle,
    /// I/O wait, interrupts, soft interrupts, steal.
    pub(super) fn parse(stat: &str) -> Option<Self> {
        const KIND_COUNT: usize = 8;
        const IDLE: [usize; 2] = [3, 4];
        let line = stat.lines().next()?.strip_prefix("cpu ")?;
        let ticks = line.split_whitespace().take(KIND_COUNT).map(str::parse);
        let ticks = ticks.collect::<Result<Vec<u64>, _>>().ok()?;
        let total = ticks.iter().sum();
        let idle: u64 = IDLE.iter().filter_map(|kind| ticks.get(*kind)).sum();
        Some(Self {
            busy: total - idle,
            total,
        })
    }

    /// Processor utilization since an earlier reading, in per cent.
    pub fn busy_percent_since(self, earlier: Self) -> f64 {
        let total = self.total.saturating_sub(earlier.total).max(1);
        100.0 * self.busy.saturating_sub(earlier.busy) as f64 / total as f64
    }
}
