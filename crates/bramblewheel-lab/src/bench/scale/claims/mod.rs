//! Run-once operations: claims a second through the real group, and what the ledger costs to keep.

mod kept;
mod load;
mod sync;

pub use kept::measure_kept;

use super::bundles::BundleSource;
use super::fit::{least_squares, quantile};
use super::group::{Group, VOTERS};
use super::usage::Usage;
use crate::error::CommandError;
use kept::KeptFigures;
use load::LoadFigures;
use std::path::Path;
use std::time::Duration;
use sync::BareSyncs;

/// Connections to the leader, and claims in each request.
const LOADS: [(usize, usize); 8] = [
    (1, 1),
    (8, 1),
    (64, 1),
    (256, 1),
    (1, 64),
    (16, 16),
    (16, 64),
    (16, 256),
];

/// Connections and batch that fill the ledger.
const FILL: (usize, usize) = (16, 1024);
/// Length of each round of filling.
const FILL_TIME: Duration = Duration::from_secs(2);

/// Measures claims at several loads, each beside the bare sync latency of the same disk; then
/// with `kept` operations in the ledger, unless that is zero.
///
/// # Errors
/// [`CommandError`] when the group breaks or a claim is refused.
pub async fn measure_claims(
    folder: &Path,
    seconds: Duration,
    kept: u64,
    seed: u64,
) -> Result<(), CommandError> {
    let group = Group::start(folder, BundleSource::new().signed()).await?;
    let mut granted = 0;
    for (number, (connections, batch)) in LOADS.into_iter().enumerate() {
        let leader = group.leader().await?;
        let address = group.services()[leader];
        let bare = BareSyncs::start(folder.join("bare-sync"));
        let before = group.usage()?;
        let keys = format!("{seed:08x}-{number:02x}");
        let load = load::run(address, connections, batch, seconds, &keys).await?;
        let bare = bare.finish()?;
        let after = group.usage()?;
        print_load(connections, batch, &load, &bare, leader, (&before, &after));
        granted += load.granted;
    }
    if kept > 0 {
        measure_full(&group, kept.saturating_sub(granted), seconds, seed).await?;
    }
    Ok(())
}

/// Fills the ledger, then claims one by one for as long as it takes until a snapshot was due.
async fn measure_full(
    group: &Group,
    missing: u64,
    seconds: Duration,
    seed: u64,
) -> Result<(), CommandError> {
    let mut filled = 0;
    let mut round = 0;
    while filled < missing {
        let address = group.services()[group.leader().await?];
        let keys = format!("{seed:08x}-f{round:03x}");
        let (connections, batch) = FILL;
        let load = load::run(address, connections, batch, FILL_TIME, &keys).await?;
        filled += load.granted;
        round += 1;
    }
    let leader = group.leader().await?;
    let term = group.term(leader).await?;
    let address = group.services()[leader];
    let keys = format!("{seed:08x}-last");
    let load = load::run(address, 64, 64, seconds * 5, &keys).await?;
    let now = group.leader().await?;
    let quantile = |share| quantile(&load.latencies, share).unwrap_or_default() * 1e3;
    println!(
        "claims_full filled={filled} claims_per_s={:.0} latency_p50_ms={:.2} latency_p99_ms={:.2} \
         latency_max_ms={:.1} undecided={} unavailable={} terms_before={term} terms_after={} \
         leader_rss_mb={:.1}",
        load.granted as f64 / load.seconds,
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        load.undecided,
        load.unavailable,
        group.term(now).await?,
        group.usage()?[now].map_or(0, |usage| usage.resident) as f64 / 1e6,
    );
    Ok(())
}

type Readings<'a> = (&'a [Option<Usage>], &'a [Option<Usage>]);

fn print_load(
    connections: usize,
    batch: usize,
    load: &LoadFigures,
    bare: &[f64],
    leader: usize,
    (before, after): Readings<'_>,
) {
    let share = |list: &[f64], share| quantile(list, share).unwrap_or_default() * 1e3;
    let used: Vec<_> = before.iter().zip(after).collect();
    let cost = |number: usize| {
        let (Some(before), Some(after)) = used[number] else {
            return 0.0;
        };
        after.since(before).processor_seconds * 1e6 / load.granted as f64
    };
    let followers = (0..VOTERS).filter(|number| *number != leader);
    let follower_cost = followers.map(cost).sum::<f64>() / (VOTERS - 1) as f64;
    let grown = used[leader].1.map_or(0, |u| u.resident) as f64
        - used[leader].0.map_or(0, |u| u.resident) as f64;
    println!(
        "claims connections={connections} batch={batch} claims_per_s={:.0} latency_p50_ms={:.3} \
         latency_p99_ms={:.3} latency_max_ms={:.1} bare_sync_p50_ms={:.3} bare_sync_p99_ms={:.3} \
         ratio_p50={:.2} ratio_p99={:.2} leader_cpu_us_per_claim={:.1} \
         follower_cpu_us_per_claim={follower_cost:.1} leader_rss_bytes_per_claim={:.0} \
         granted={} undecided={}",
        load.granted as f64 / load.seconds,
        share(&load.latencies, 0.5),
        share(&load.latencies, 0.99),
        share(&load.latencies, 1.0),
        share(bare, 0.5),
        share(bare, 0.99),
        share(&load.latencies, 0.5) / share(bare, 0.5),
        share(&load.latencies, 0.99) / share(bare, 0.99),
        cost(leader),
        grown / load.granted as f64,
        load.granted,
        load.undecided,
    );
}

/// A figure of a filled ledger with its name.
type Figure = (&'static str, fn(&KeptFigures) -> f64);

/// Prints what it costs to keep so many operations, and the lines through the figures.
pub fn print_kept(figures: &[KeptFigures]) {
    for kept in figures {
        println!(
            "ledger operations={} rss_mb={:.1} snapshot_mb={:.1} encode_ms={:.0} decode_ms={:.0}",
            kept.operations,
            kept.resident as f64 / 1e6,
            kept.snapshot as f64 / 1e6,
            kept.encode.as_secs_f64() * 1e3,
            kept.decode.as_secs_f64() * 1e3,
        );
    }
    let lines: [Figure; 4] = [
        ("ledger_rss_bytes", |k| k.resident as f64),
        ("ledger_snapshot_bytes", |k| k.snapshot as f64),
        ("ledger_encode_us", |k| k.encode.as_secs_f64() * 1e6),
        ("ledger_decode_us", |k| k.decode.as_secs_f64() * 1e6),
    ];
    for (name, figure) in lines {
        let points: Vec<_> = figures
            .iter()
            .map(|k| (k.operations as f64, figure(k)))
            .collect();
        if let Some(line) = least_squares(&points) {
            println!("slope={name} per_operation={:.4}", line.slope);
        }
    }
}
