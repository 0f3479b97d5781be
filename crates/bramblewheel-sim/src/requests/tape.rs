//! Records the random draws of endpoints, or plays them back.
//!
//! A run is identified by its position in the call tree of its root send, so that a tape still applies
//! when the layer sends an attempt to another endpoint than it did during recording.

use super::content::{Content, RunId};
use super::message::SendId;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Text form of the path of a root run.
const ROOT: &str = "root";

/// Position of a run in a call tree: the positions, counted from 1, of the sub-calls that lead to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallPath(Vec<NonZeroU32>);

impl CallPath {
    /// Path of the sub-call at a position, counted from 0.
    pub fn sub_call(&self, position: u32) -> Self {
        let mut path = self.0.clone();
        path.push(NonZeroU32::MIN.saturating_add(position));
        Self(path)
    }

    /// Positions of the sub-calls, counted from 0.
    pub fn positions(&self) -> impl Iterator<Item = usize> {
        self.0.iter().map(|position| position.get() as usize - 1)
    }
}

impl fmt::Display for CallPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str(ROOT);
        }
        for (index, position) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "." };
            write!(formatter, "{separator}{position}")?;
        }
        Ok(())
    }
}

impl FromStr for CallPath {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        if text == ROOT {
            return Ok(Self::default());
        }
        let positions = text.split('.').map(|part| part.parse().map_err(|_| ()));
        positions.collect::<Result<_, _>>().map(Self)
    }
}

/// Draws of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDraws {
    /// Position in the call tree. A tree may hold several runs of one position, in order; the last one
    /// is used for all further runs.
    pub path: CallPath,
    /// Whole work time drawn for each part of the work, in whole microseconds. The last one is used for
    /// all further parts.
    pub work: Vec<Duration>,
    /// Whether the run itself ended in an error.
    pub fails: bool,
}

/// Draws of the runs of each send, in the order in which the runs began.
pub type Draws = BTreeMap<SendId, Vec<RunDraws>>;

/// Recorder or player of the endpoints' draws; clones share one tape.
#[derive(Clone, Debug)]
pub struct Tape(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    is_recording: bool,
    draws: Draws,
    /// Send and position of each run, also after its end.
    runs: HashMap<RunId, RunPosition>,
    /// Number of runs begun so far at each position.
    begun: HashMap<(SendId, CallPath), usize>,
}

#[derive(Clone, Debug)]
struct RunPosition {
    send: SendId,
    path: CallPath,
    /// Index among the draws of the send; `None` if the tape holds none for the run.
    index: Option<usize>,
    parts: usize,
}

impl Tape {
    /// An empty tape that records.
    pub fn recording() -> Self {
        Self::new(true, Draws::new())
    }

    /// A tape that plays back. A run that it does not hold takes the median time.
    pub fn playing(draws: Draws) -> Self {
        Self::new(false, draws)
    }

    fn new(is_recording: bool, draws: Draws) -> Self {
        Self(Arc::new(Mutex::new(State {
            is_recording,
            draws,
            runs: HashMap::new(),
            begun: HashMap::new(),
        })))
    }

    /// A copy of the draws on the tape.
    pub fn draws(&self) -> Draws {
        self.lock().draws.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no code panics while it holds the lock")
    }

    /// Registers the start of a run.
    pub(super) fn begin(&self, run: RunId, content: Content) {
        let mut state = self.lock();
        let (send, path) = match content {
            Content::Root(send) => (send, CallPath::default()),
            Content::SubCall { run, position } => match state.runs.get(&run) {
                Some(parent) => (parent.send, parent.path.sub_call(position)),
                None => return,
            },
        };
        let index = state.index_of(send, &path);
        let position = RunPosition {
            send,
            path,
            index,
            parts: 0,
        };
        state.runs.insert(run, position);
    }

    /// Whole work time for the next part of a run: `drawn`, cut to whole microseconds, or the recorded
    /// time.
    pub(super) fn work(&self, run: RunId, median: Duration, drawn: Duration) -> Duration {
        let mut state = self.lock();
        let is_recording = state.is_recording;
        let drawn = Duration::from_micros(u64::try_from(drawn.as_micros()).unwrap_or(u64::MAX));
        let Some((part, draws)) = state.next_part(run) else {
            return if is_recording { drawn } else { median };
        };
        if is_recording {
            draws.work.push(drawn);
            return drawn;
        }
        let known = draws.work.get(part).or(draws.work.last());
        known.copied().unwrap_or(median)
    }

    /// Whether a run itself ends in an error: `drawn`, or the recorded value.
    pub(super) fn fails(&self, run: RunId, drawn: bool) -> bool {
        let mut state = self.lock();
        let is_recording = state.is_recording;
        let Some((_, draws)) = state.next_part(run) else {
            return is_recording && drawn;
        };
        if is_recording {
            draws.fails = drawn;
        }
        draws.fails
    }
}

impl State {
    /// Index of the draws of a run that begins; adds an entry while recording.
    fn index_of(&mut self, send: SendId, path: &CallPath) -> Option<usize> {
        let before = self.begun.entry((send, path.clone())).or_default();
        let repeat = *before;
        *before += 1;
        if self.is_recording {
            let draws = self.draws.entry(send).or_default();
            draws.push(RunDraws {
                path: path.clone(),
                work: Vec::new(),
                fails: false,
            });
            return Some(draws.len() - 1);
        }
        let draws = self.draws.get(&send)?.iter().enumerate();
        let same = draws.filter(|(_, draws)| draws.path == *path);
        let same = same.map(|(index, _)| index);
        same.take(repeat + 1).last()
    }

    fn next_part(&mut self, run: RunId) -> Option<(usize, &mut RunDraws)> {
        let position = self.runs.get_mut(&run)?;
        let part = position.parts;
        position.parts += 1;
        let draws = self.draws.get_mut(&position.send)?;
        Some((part, draws.get_mut(position.index?)?))
    }
}
