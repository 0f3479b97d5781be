//! Connections that claim fresh operations as fast as they are answered.

use crate::error::CommandError;
use bramblewheel_protocol::ControlClient;
use bramblewheel_protocol::control::{
    OperationAction, OperationReply, OperationRequest, ReplyBody, RequestBody,
};
use bramblewheel_types::OperationKey;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::task::JoinSet;

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// Pause after an answer that the replica can't answer.
const PAUSE: Duration = Duration::from_millis(50);

/// What came of a load.
#[derive(Clone, Debug, Default)]
pub struct LoadFigures {
    /// Length of the load.
    pub seconds: f64,
    /// Claims granted.
    pub granted: u64,
    /// Claims that could not be decided.
    pub undecided: u64,
    /// Requests that the replica could not answer.
    pub unavailable: u64,
    /// Seconds from request to answer, sorted.
    pub latencies: Vec<f64>,
}

/// Claims fresh keys that begin with `keys` for so long.
///
/// # Errors
/// [`CommandError::CheckFailed`] when a fresh key is refused; [`CommandError::Broken`] when the
/// replica does not answer.
pub async fn run(
    address: SocketAddr,
    connections: usize,
    batch: usize,
    length: Duration,
    keys: &str,
) -> Result<LoadFigures, CommandError> {
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for connection in 0..connections {
        let keys = format!("{keys}-{connection:04x}");
        tasks.spawn(claim(address, batch, start + length, keys));
    }
    let mut all = LoadFigures::default();
    while let Some(ended) = tasks.join_next().await {
        let one = ended.map_err(|error| CommandError::Broken(error.to_string()))??;
        all.granted += one.granted;
        all.undecided += one.undecided;
        all.unavailable += one.unavailable;
        all.latencies.extend(one.latencies);
    }
    all.seconds = start.elapsed().as_secs_f64();
    all.latencies.sort_by(f64::total_cmp);
    Ok(all)
}

async fn claim(
    address: SocketAddr,
    batch: usize,
    end: Instant,
    keys: String,
) -> Result<LoadFigures, CommandError> {
    let broken = |error: &dyn std::fmt::Display| CommandError::Broken(format!("claims: {error}"));
    let connected = ControlClient::connect(address).await;
    let mut client = connected.map_err(|error| broken(&error))?;
    let mut figures = LoadFigures::default();
    let mut next = 0;
    while Instant::now() < end {
        let requests = (next..next + batch).map(|number| request(&keys, number));
        let body = RequestBody::Operations(requests.collect());
        next += batch;
        let sent = Instant::now();
        let reply = client.request(body, PATIENCE).await;
        match reply.map_err(|error| broken(&error))? {
            ReplyBody::Operations(replies) => figures.count(&replies)?,
            ReplyBody::Unavailable(_) => {
                figures.unavailable += 1;
                tokio::time::sleep(PAUSE).await;
            }
            other => return Err(CommandError::CheckFailed(format!("claims: {other:?}"))),
        }
        figures.latencies.push(sent.elapsed().as_secs_f64());
    }
    Ok(figures)
}

impl LoadFigures {
    fn count(&mut self, replies: &[OperationReply]) -> Result<(), CommandError> {
        for reply in replies {
            match reply {
                OperationReply::Granted => self.granted += 1,
                OperationReply::Undecided => self.undecided += 1,
                other => {
                    let text = format!("a fresh key was answered {other:?}");
                    return Err(CommandError::CheckFailed(text));
                }
            }
        }
        Ok(())
    }
}

/// A claim of a fresh key of 32 characters or so, as long as a UUID.
fn request(keys: &str, number: usize) -> OperationRequest {
    let minted = SystemTime::now().duration_since(UNIX_EPOCH);
    let minted = minted.unwrap_or_default().as_millis();
    let key = OperationKey::new(&format!("{keys}-{number:016x}"));
    OperationRequest {
        key: key.expect("the pattern follows the rules"),
        incarnation: 1,
        attempt: number as u64,
        action: OperationAction::Claim {
            minted_at_unix_millis: u64::try_from(minted).unwrap_or(u64::MAX),
        },
    }
}
