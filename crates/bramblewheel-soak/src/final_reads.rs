//! Reads the configuration from every control replica at the end of a run.

use crate::check::CONFIGURATION_RECOVERY_TIME;
use crate::history::{FinalRead, Timestamp};
use crate::operator::fetch;
use crate::run::Soak;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a read that was not answered with a configuration.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Reads from each replica until it answers with a configuration or the recovery time is over.
pub(crate) async fn read_from_all(soak: &Arc<Soak>, replicas: usize) {
    let deadline = soak.history.events().last_fault_ended + CONFIGURATION_RECOVERY_TIME;
    let mut reads = JoinSet::new();
    for replica in 0..replicas {
        let soak = Arc::clone(soak);
        reads.spawn(async move { read_until(&soak, replica, deadline).await });
    }
    while let Some(result) = reads.join_next().await {
        result.expect("reading the configuration does not panic");
    }
}

async fn read_until(soak: &Soak, replica: usize, deadline: Timestamp) {
    let mut last_failure = "not read".to_owned();
    while soak.history.now() < deadline {
        match read(soak, replica).await {
            Ok(read) => return soak.history.events().final_reads.push(read),
            Err(failure) => last_failure = failure,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    println!("replica {replica} returned no configuration: {last_failure}");
}

async fn read(soak: &Soak, replica: usize) -> Result<FinalRead, String> {
    let sent = soak.history.now();
    let answer = fetch(soak.addresses, replica, ANSWER_TIMEOUT).await;
    let answer = answer.map_err(|error| format!("{error:?}"))?;
    if answer.status != StatusCode::OK {
        return Err(answer.status.to_string());
    }
    Ok(FinalRead {
        replica,
        sent,
        answered: soak.history.now(),
        text: String::from_utf8_lossy(&answer.body).into_owned(),
    })
}
