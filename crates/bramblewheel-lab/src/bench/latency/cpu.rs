//! Processor time of another process, from `/proc`.

use crate::error::CommandError;
use std::fs;
use std::time::Duration;

/// One tick of the times in `/proc/PID/stat`. The kernel's interface fixes it at 100 a second on
/// all platforms that the project runs on.
const TICK: Duration = Duration::from_millis(10);
/// Place of user time among the fields after the process's name, counted from 0; system time
/// comes next. See proc(5).
const USER_TIME: usize = 11;

/// Processor time used by a process since its start, in user and system mode together.
///
/// # Errors
/// [`CommandError::Broken`] when the process is gone.
pub fn used(pid: u32) -> Result<Duration, CommandError> {
    let file = format!("/proc/{pid}/stat");
    let text = fs::read_to_string(&file)
        .map_err(|error| CommandError::Broken(format!("{file}: {error}")))?;
    parse(&text).ok_or_else(|| CommandError::Broken(format!("{file}: not understood")))
}

/// Processor time from the text of a `stat` file. The name, in parentheses, may hold anything.
pub(super) fn parse(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let mut fields = after_name.split_whitespace().skip(USER_TIME);
    let user: u32 = fields.next()?.parse().ok()?;
    let system: u32 = fields.next()?.parse().ok()?;
    Some(TICK * user.checked_add(system)?)
}
