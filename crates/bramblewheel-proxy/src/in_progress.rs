//! Tracks the requests in progress and the stage of each.
//!
//! A planned stop waits for them and logs those that it has to cut off. Each request has an entry from its arrival
//! until the last byte of its answer; dropping the guard removes the entry.

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
    /// Value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Daemon => "daemon",
        }
    }
}

/// Stage of a request in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Stage {
    /// Its body is being read.
    Reading,
    /// An endpoint is being chosen, or the request waits for a slot at the local endpoint; it is not running.
    Waiting,
    /// It was sent to the daemon beside an endpoint or to the local endpoint; it may be running.
    Sent,
    /// Its answer is being passed on.
    Answering,
}

impl Stage {
    const ALL: [Self; 4] = [Self::Reading, Self::Waiting, Self::Sent, Self::Answering];

    /// Value in logs and metrics.
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
        stage.expect("only stage numbers are stored")
    }
}

/// State of one request in progress.
#[derive(Debug)]
pub struct Progress {
    sender: Sender,
    arrived: Timestamp,
    id: OnceLock<HeaderValue>,
    stage: AtomicU8,
    is_likely_nested: AtomicBool,
}

impl Progress {
    /// Who sent the request.
    pub fn sender(&self) -> Sender {
        self.sender
    }

    /// When it arrived.
    pub fn arrived(&self) -> Timestamp {
        self.arrived
    }

    /// Sets the id once it is read.
    pub fn set_id(&self, id: &HeaderValue) {
        // The id is read only once, so that this can't fail.
        let _ = self.id.set(id.clone());
    }

    /// The id, once it is read.
    pub fn id(&self) -> Option<&HeaderValue> {
        self.id.get()
    }

    /// Sets the stage of the request.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.store(stage as u8, Ordering::Relaxed);
    }

    /// Current stage of the request.
    pub fn stage(&self) -> Stage {
        Stage::of(self.stage.load(Ordering::Relaxed))
    }

    /// Marks the request as likely a call that the local endpoint makes for a request it is running.
    pub fn mark_likely_nested(&self) {
        self.is_likely_nested.store(true, Ordering::Relaxed);
    }
}

/// Snapshot of one request in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Who sent it.
    pub sender: Sender,
    /// Its id, if it has been read.
    pub id: Option<HeaderValue>,
    /// When it arrived.
    pub arrived: Timestamp,
    /// Its stage.
    pub stage: Stage,
    /// Whether it is likely a call that the local endpoint makes for a request it is running.
    pub is_likely_nested: bool,
}

#[derive(Debug, Default)]
struct Open {
    next_number: u64,
    requests: BTreeMap<u64, Arc<Progress>>,
}

/// The requests in progress: those not answered to their last byte.
#[derive(Clone, Debug, Default)]
pub struct RequestsInProgress(Arc<Mutex<Open>>);

impl RequestsInProgress {
    /// Adds a request; it is removed when the guard is dropped.
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

    /// Number of requests in progress.
    pub fn count(&self) -> usize {
        lock(&self.0).requests.len()
    }

    /// The requests in progress, in order of arrival.
    pub fn open(&self) -> Vec<OpenRequest> {
        let open = lock(&self.0);
        let requests = open.requests.values();
        let snapshots = requests.map(|progress| OpenRequest {
            sender: progress.sender,
            id: progress.id.get().cloned(),
            arrived: progress.arrived,
            stage: progress.stage(),
            is_likely_nested: progress.is_likely_nested.load(Ordering::Relaxed),
        });
        snapshots.collect()
    }
}

/// Guard of one request in progress; removes its entry when dropped.
#[derive(Debug)]
pub struct InProgressGuard {
    all: RequestsInProgress,
    number: u64,
    progress: Arc<Progress>,
}

impl InProgressGuard {
    /// Progress of the request.
    pub fn progress(&self) -> &Arc<Progress> {
        &self.progress
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        lock(&self.all.0).requests.remove(&self.number);
    }
}
