//! What another process has used and how busy the machine is, from `/proc`.

use crate::error::CommandError;
use std::fs;
use std::ops::{Add, Sub};
use std::path::Path;
use std::time::Duration;

/// What a process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time in user and system mode together.
    pub cpu: Duration,
    /// How often one of its threads went to sleep; each must be woken again.
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

/// One tick of the times in `/proc/PID/stat`. The kernel's interface fixes it at 100 a second on
/// all platforms that the project runs on.
const TICK: Duration = Duration::from_millis(10);
/// Place of user time among the fields after the process's name, counted from 0; system time
/// comes next. See proc(5).
const USER_TIME: usize = 11;

/// Line of a thread's `status` file that counts its sleeps.
const SLEEPS: &str = "voluntary_ctxt_switches:";

/// What a process has used since its start.
///
/// # Errors
/// [`CommandError::RunFailed`] when the process is gone.
pub fn usage(pid: u32) -> Result<Usage, CommandError> {
    let process = format!("/proc/{pid}");
    let stat = read(&Path::new(&process).join("stat"))?;
    let cpu = parse_stat(&stat).ok_or_else(|| broken(&process, "stat is not understood"))?;
    let threads = fs::read_dir(Path::new(&process).join("task"));
    let mut sleeps = 0;
    for thread in threads.map_err(|error| broken(&process, error))? {
        let thread = thread.map_err(|error| broken(&process, error))?;
        let status = read(&thread.path().join("status"))?;
        sleeps += parse_sleeps(&status).unwrap_or(0);
    }
    Ok(Usage { cpu, sleeps })
}

fn read(file: &Path) -> Result<String, CommandError> {
    fs::read_to_string(file).map_err(|error| broken(&file.display().to_string(), error))
}

fn broken(what: &str, error: impl std::fmt::Display) -> CommandError {
    CommandError::RunFailed(format!("{what}: {error}"))
}

/// Sleeps from the text of a thread's `status` file.
pub(super) fn parse_sleeps(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(SLEEPS))?;
    line.trim().parse().ok()
}

/// Processor time from the text of a `stat` file. The name, in parentheses, may hold anything.
pub(super) fn parse_stat(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * user.checked_add(system)?)
}

/// Time that all processors of the machine have spent, in ticks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Machine {
    busy: u64,
    total: u64,
}

impl Machine {
    /// Reads the machine's counters.
    ///
    /// # Errors
    /// [`CommandError::RunFailed`] when they can't be read.
    pub fn now() -> Result<Self, CommandError> {
        const FILE: &str = "/proc/stat";
        let text = read(Path::new(FILE))?;
        Self::parse(&text).ok_or_else(|| broken(FILE, "not understood"))
    }

    /// Counters from the text of `/proc/stat`, whose first line sums up all processors: user,
    /// nice, system, idle, waiting for disks, interrupts, soft interrupts, taken by the host.
    pub(super) fn parse(stat: &str) -> Option<Self> {
        const KINDS: usize = 8;
        const IDLE: [usize; 2] = [3, 4];
        let line = stat.lines().next()?.strip_prefix("cpu ")?;
        let ticks = line.split_whitespace().take(KINDS).map(str::parse);
        let ticks = ticks.collect::<Result<Vec<u64>, _>>().ok()?;
        let total = ticks.iter().sum();
        let idle: u64 = IDLE.iter().filter_map(|kind| ticks.get(*kind)).sum();
        Some(Self {
            busy: total - idle,
            total,
        })
    }

    /// How busy the machine was since an earlier reading, in per cent.
    pub fn busy_percent_since(self, earlier: Self) -> f64 {
        let total = self.total.saturating_sub(earlier.total).max(1);
        100.0 * self.busy.saturating_sub(earlier.busy) as f64 / total as f64
    }
}
