//! What a process has used, from `/proc`.

use rustix::param::clock_ticks_per_second;
use std::fs;
use std::io;
use std::time::{Duration, Instant};

/// What a process has used up to one moment.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// When it was read.
    pub at: Instant,
    /// Processor time of all threads, in user and system.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Bytes written to files so far, as the process asked for.
    pub written: u64,
}

/// Use of a process between two moments.
#[derive(Clone, Copy, Debug, Default)]
pub struct Use {
    /// Wall time between them, in seconds.
    pub seconds: f64,
    /// Processor time, in seconds.
    pub processor_seconds: f64,
    /// Bytes written to files.
    pub written: u64,
}

impl Use {
    /// Share of one core, from 0 to the number of cores.
    pub fn cores(&self) -> f64 {
        self.processor_seconds / self.seconds
    }
}

impl Usage {
    /// Reads the use of a process.
    ///
    /// # Errors
    /// What the operating system says; [`io::ErrorKind::InvalidData`] if `/proc` reads otherwise
    /// than expected.
    pub fn of(pid: u32) -> io::Result<Self> {
        let read = |file: &str| {
            let path = format!("/proc/{pid}/{file}");
            let named = |error: io::Error| io::Error::new(error.kind(), format!("{path}: {error}"));
            fs::read_to_string(&path).map_err(named)
        };
        let (stat, status, files) = (read("stat")?, read("status")?, read("io")?);
        let odd = |file: &str| {
            let text = format!("/proc/{pid}/{file} can't be read");
            io::Error::new(io::ErrorKind::InvalidData, text)
        };
        let ticks = processor_ticks(&stat).ok_or_else(|| odd("stat"))?;
        let resident = field(&status, "VmRSS:").ok_or_else(|| odd("status"))? * 1024;
        let written = field(&files, "wchar:").ok_or_else(|| odd("io"))?;
        Ok(Self {
            at: Instant::now(),
            processor: Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64),
            resident,
            written,
        })
    }

    /// Use since an earlier moment of the same process.
    pub fn since(&self, earlier: &Self) -> Use {
        Use {
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            processor_seconds: self
                .processor
                .saturating_sub(earlier.processor)
                .as_secs_f64(),
            written: self.written.saturating_sub(earlier.written),
        }
    }
}

/// User and system time: the 14th and 15th field. The second may hold spaces and ends with `)`.
pub fn processor_ticks(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// The number behind a name at the start of a line.
pub fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line[name.len()..].split_whitespace().next()?.parse().ok()
}
