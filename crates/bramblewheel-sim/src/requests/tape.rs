//! What endpoints draw in a run, written down or played back.
//!
//! A run is known by its position in the call tree of its root's send, so that a tape fits also when
//! the layer sends an attempt to another endpoint than it did when the tape was written.

use super::content::{Content, RunId};
use super::message::SendId;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::num::NonZeroU32;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Name of the run that a send itself asks for.
const ROOT: &str = "root";

/// Position of a run in a call tree: the positions of the sub-calls that lead to it, from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallPath(Vec<NonZeroU32>);

impl CallPath {
    /// The sub-call at a position, counted from 0.
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

/// What one run drew.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunDraws {
    /// Position in the call tree. A tree may hold several runs of one position, the first one first;
    /// the last one stands for all further runs.
    pub path: CallPath,
    /// Whole work time as drawn for each part of the work, in whole microseconds. The last one
    /// stands for all further parts.
    pub work: Vec<Duration>,
    /// Whether the run ended in an error of its own.
    pub fails: bool,
}

/// Draws by send, in the order in which the runs began.
pub type Draws = BTreeMap<SendId, Vec<RunDraws>>;

/// What endpoints draw in a run, written down or played back; clones share one tape.
#[derive(Clone, Debug)]
pub struct Tape(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    is_recording: bool,
    draws: Draws,
    /// Runs in progress or over: whose they are, and where.
    runs: HashMap<RunId, RunPosition>,
    /// Runs so far of each position.
    begun: HashMap<(SendId, CallPath), usize>,
}

#[derive(Clone, Debug)]
struct RunPosition {
    send: SendId,
    path: CallPath,
    /// Position among the draws of the send; none when the tape has none for the run.
    index: Option<usize>,
    parts: usize,
}

impl Tape {
    /// An empty tape, to be written.
    pub fn recording() -> Self {
        Self::new(true, Draws::new())
    }

    /// A tape to be played. A run of which it knows nothing takes the median time.
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

    /// What is on the tape.
    pub fn draws(&self) -> Draws {
        self.lock().draws.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().expect("nothing panics under the lock")
    }

    /// A run begins.
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

    /// Whole work time for the next part of a run: `drawn` in whole microseconds, or what the
    /// tape says.
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

    /// Whether a run ends in an error of its own: `drawn`, or what the tape says.
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
    /// Position of the draws of a run that begins; a tape that is written gets a new one.
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
