//! Load that an endpoint states in its responses: running and waiting requests, slots, and current work time.
//!
//! Rule: a statement is used only if it has a work time. It counts as absent from an age of 2 s on; until then it loses
//! weight linearly. Text that is no statement is ignored.
//!
//! Inputs: a header of the endpoint's response, and the time at which its head was read.
//!
//! Reason: an endpoint knows of its slowness before its callers do. An endpoint that stops responding says nothing more
//! of itself, so that old statements must not decide.
//!
//! State: the newest statement of one incarnation, held by the daemon beside the endpoint and by each sender.
//!
//! Observability: metrics `bramblewheel_stated_work_percent` and `bramblewheel_invalid_statements`; log line `statement
//! of the endpoint ignored`.

use bramblewheel_types::Timestamp;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Age from which a statement counts as absent, the same as that of load reports.
pub const STATEMENT_LIFETIME: Duration = Duration::from_secs(2);
/// Largest count of requests or slots.
const MAX_COUNT: u32 = 1_000_000;
/// Largest work time, in percent of the usual one.
const MAX_WORK_PERCENT: u32 = 100_000;
/// Least work time relative to the usual one that is believed: an endpoint must not draw all requests by stating that it
/// is much faster than usual.
const MIN_WORK_FACTOR: f64 = 0.25;
/// Longest text that is read, in bytes: four numbers of seven digits with separators and spaces.
const MAX_TEXT_BYTES: usize = 64;

/// Load of an endpoint, as stated by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadStatement {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the endpoint.
    pub waiting: u32,
    /// Requests that it can run at one time; at least 1.
    pub slots: u32,
    /// Current work time in percent of the usual one; at least 1.
    pub work_percent: u32,
}

/// A text that is no statement of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidLoadStatement {
    /// It is longer than any statement.
    #[error("longer than {MAX_TEXT_BYTES} bytes")]
    TooLong,
    /// It is not a list of three or four numbers.
    #[error("not three or four numbers")]
    NoNumbers,
    /// A number is out of range.
    #[error("number out of range")]
    OutOfRange,
    /// The response contains several different values.
    #[error("several values")]
    SeveralValues,
}

impl LoadStatement {
    /// Reads an endpoint's text; `None` if it states no work time.
    ///
    /// # Errors
    /// [`InvalidLoadStatement`] if the text is no statement.
    pub fn parse(text: &str) -> Result<Option<Self>, InvalidLoadStatement> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(InvalidLoadStatement::TooLong);
        }
        let numbers: Result<Vec<u64>, _> = text.split(',').map(parse_number).collect();
        let numbers = numbers?;
        let (running, waiting, slots, work) = match numbers[..] {
            [running, waiting, slots] => (running, waiting, slots, None),
            [running, waiting, slots, work] => (running, waiting, slots, Some(work)),
            _ => return Err(InvalidLoadStatement::NoNumbers),
        };
        let statement = Self {
            running: in_range(running, 0, MAX_COUNT)?,
            waiting: in_range(waiting, 0, MAX_COUNT)?,
            slots: in_range(slots, 1, MAX_COUNT)?,
            work_percent: in_range(work.unwrap_or(100), 1, MAX_WORK_PERCENT)?,
        };
        Ok(work.map(|_| statement))
    }

    /// Current work time relative to the usual one, at least 0.25; 1 is usual.
    pub fn work_factor(&self) -> f64 {
        (f64::from(self.work_percent) / 100.0).max(MIN_WORK_FACTOR)
    }
}

fn parse_number(text: &str) -> Result<u64, InvalidLoadStatement> {
    let digits = text.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(InvalidLoadStatement::NoNumbers);
    }
    u64::from_str(digits).map_err(|_| InvalidLoadStatement::OutOfRange)
}

fn in_range(number: u64, least: u32, most: u32) -> Result<u32, InvalidLoadStatement> {
    let number = u32::try_from(number).map_err(|_| InvalidLoadStatement::OutOfRange)?;
    if (least..=most).contains(&number) {
        Ok(number)
    } else {
        Err(InvalidLoadStatement::OutOfRange)
    }
}

/// A statement and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    /// The statement.
    pub statement: LoadStatement,
    /// Time since the head of the response with the statement was read.
    pub age: Duration,
}

impl StatedLoad {
    /// Remaining weight, 1 to 0.
    pub fn weight(&self) -> f64 {
        (1.0 - self.age.as_secs_f64() / STATEMENT_LIFETIME.as_secs_f64()).max(0.0)
    }

    /// Work time relative to the usual one; an aged statement moves towards `unknown`.
    pub fn work_factor(&self, unknown: f64) -> f64 {
        let weight = self.weight();
        self.statement.work_factor() * weight + unknown * (1.0 - weight)
    }
}

/// The newest statement of one incarnation.
#[derive(Clone, Copy, Debug, Default)]
pub struct NewestStatement(Option<(Timestamp, StatedLoad)>);

impl NewestStatement {
    /// Keeps a statement that is known at `now`, unless a newer one is.
    pub fn record(&mut self, now: Timestamp, stated: StatedLoad) {
        let is_newer = self.at(now).is_none_or(|known| stated.age <= known.age);
        if is_newer {
            self.0 = Some((now, stated));
        }
    }

    /// The statement with its age at `now`; `None` if there is none or it is too old.
    pub fn at(&self, now: Timestamp) -> Option<StatedLoad> {
        let (recorded, stated) = self.0?;
        let age = stated.age.saturating_add(now.since(recorded));
        (age < STATEMENT_LIFETIME).then_some(StatedLoad { age, ..stated })
    }
}
