//! The requests that have come and are not answered to their last byte, and how far each of them is.
//!
//! A planned stop waits for them, and names those that it can't wait for. Owns one entry for each request, from its
//! arrival until the last byte of its answer; an entry leaves when its guard is dropped.

use bramblewheel_process::invariants::lock;
use bramblewheel_types::Timestamp;
use http::HeaderValue;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sender {
    /// A caller on this machine, or the endpoint beside the daemon.
    Caller,
    /// Another daemon, for the endpoint beside this one.
    Daemon,
}

impl Sender {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Daemon => "daemon",
        }
    }
}

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Stage {
    /// Its body is being read.
    Reading,
    /// An endpoint is being chosen, or it waits for a slot at the local one; nobody runs it.
    Waiting,
    /// It was sent, to the daemon beside an endpoint or to the local endpoint; it may run.
    Sent,
    /// Its answer is being passed on.
    Answering,
}

impl Stage {
    const ALL: [Self; 4] = [Self::Reading, Self::Waiting, Self::Sent, Self::Answering];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Reading => "reading-its-body",
            Self::Waiting => "waiting",
            Self::Sent => "sent",
            Self::Answering => "answering",
        }
    }

    fn of(number: u8) -> Self {
        let stage = Self::ALL.into_iter().find(|stage| *stage as u8 == number);
        stage.expect("only numbers of stages are stored")
    }
}

/// What is known of one request in progress.
#[derive(Debug)]
pub struct Progress {
    sender: Sender,
    arrived: Timestamp,
    id: OnceLock<HeaderValue>,
    stage: AtomicU8,
    is_likely_nested: AtomicBool,
}

impl Progress {
    /// Notes the id once it is read.
    pub fn set_id(&self, id: &HeaderValue) {
        // The id of a request is read once.
        let _ = self.id.set(id.clone());
    }

    /// Notes how far the request is.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// How far the request is.
    pub fn stage(&self) -> Stage {
        Stage::of(self.stage.load(Ordering::Relaxed))
    }

    /// Notes that the local endpoint likely makes the request for one that it runs.
    pub fn mark_likely_nested(&self) {
        self.is_likely_nested.store(true, Ordering::Relaxed);
    }
}

/// One request in progress, as it is now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Who sent it.
    pub sender: Sender,
    /// Its id, if it is known yet.
    pub id: Option<HeaderValue>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// How far it is.
    pub stage: Stage,
    /// Whether the local endpoint likely makes it for a request that it runs.
    pub is_likely_nested: bool,
}

#[derive(Debug, Default)]
struct Open {
    next_number: u64,
    requests: BTreeMap<u64, Arc<Progress>>,
}

/// The requests that have come and are not answered to their last byte.
#[derive(Clone, Debug, Default)]
pub struct RequestsInProgress(Arc<Mutex<Open>>);

impl RequestsInProgress {
    /// Counts one more until the guard is dropped.
    pub fn begin(&self, sender: Sender, arrived: Timestamp) -> InProgressGuard {
        let progress = Arc::new(Progress {
            sender,
            arrived,
            id: OnceLock::new(),
            stage: AtomicU8::new(Stage::Reading as u8),
            is_likely_nested: AtomicBool::new(false),
        });
        let mut open = lock(&self.0);
        open.next_number += 1;
        let number = open.next_number;
        open.requests.insert(number, Arc::clone(&progress));
        InProgressGuard {
            all: self.clone(),
            number,
            progress,
        }
    }

    /// Requests that are not answered.
    pub fn count(&self) -> usize {
        lock(&self.0).requests.len()
    }

    /// The requests that are not answered, in the order of their arrival.
    pub fn open(&self) -> Vec<OpenRequest> {
        let open = lock(&self.0);
        let requests = open.requests.values();
        let shown = requests.map(|progress| OpenRequest {
            sender: progress.sender,
            id: progress.id.get().cloned(),
            arrived: progress.arrived,
            stage: progress.stage(),
            is_likely_nested: progress.is_likely_nested.load(Ordering::Relaxed),
        });
        shown.collect()
    }
}

/// One request that is not answered to its last byte.
#[derive(Debug)]
pub struct InProgressGuard {
    all: RequestsInProgress,
    number: u64,
    progress: Arc<Progress>,
}

impl InProgressGuard {
    /// How far it is.
    pub fn progress(&self) -> &Arc<Progress> {
        &self.progress
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        lock(&self.all.0).requests.remove(&self.number);
    }
}
