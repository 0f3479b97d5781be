//! The generator, the arithmetic, and a small fleet against replicas in this process.

use super::bundles::BundleSource;
use super::deployment::{CALLED_SERVICES, Deployment, FULL_DAEMONS, FULL_SERVICES, ZONES};
use super::fit::{least_squares, quantile};
use super::hollow::Fleet;
use super::measure::{PhaseFigures, PhaseUse, ReplicaUse, SizeFigures};
use super::report;
use super::usage::{Use, field, processor_ticks};
use bramblewheel_bundle::{Bundle, verify};
use bramblewheel_control::settings::Overrides;
use bramblewheel_control::{ControlHandle, Settings, logging};
use bramblewheel_process::settings::SettingsFile;
use bramblewheel_protocol::control::{
    BootstrapRequest, PublishReply, ReplyBody, RequestBody, SignedBundle,
};
use bramblewheel_protocol::request_any;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

#[test]
fn the_same_seed_gives_the_same_deployment() {
    let one = Deployment::generate(300, 7);
    assert_eq!(one, Deployment::generate(300, 7));
    assert_ne!(one.calls, Deployment::generate(300, 8).calls);
}

#[test]
fn the_full_size_is_that_of_the_plan() {
    let full = Deployment::generate(FULL_DAEMONS, 1);
    assert_eq!(full.services.len(), FULL_SERVICES);
    let zones: BTreeSet<usize> = full.daemons.iter().map(|daemon| daemon.zone).collect();
    assert_eq!(zones.len(), ZONES);
    let addresses: BTreeSet<_> = full.daemons.iter().map(|daemon| daemon.address).collect();
    assert_eq!(addresses.len(), FULL_DAEMONS);
    for (service, calls) in full.services.iter().zip(&full.calls) {
        assert_eq!(calls.len(), CALLED_SERVICES);
        assert!(!calls.contains(service));
    }
}

#[test]
fn each_bundle_is_signed_and_differs_in_one_service() {
    let mut source = BundleSource::new();
    let first = decoded(&source.signed());
    let second = source.next();
    let signatures = second.signatures.iter();
    let signatures = signatures.map(|s| (s.operator.as_str(), s.signature.as_slice()));
    verify(&first.operators, second.digest, signatures).expect("signed by the bench's operator");
    let second = decoded(&second);
    let changed = first.services.iter().zip(&second.services);
    assert_eq!(changed.filter(|(one, other)| one != other).count(), 1);
}

fn decoded(signed: &SignedBundle) -> Bundle {
    Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version).expect("a valid bundle")
}

#[test]
fn least_squares_finds_a_line() {
    let line = least_squares(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]).expect("three points");
    assert!((line.intercept - 1.0).abs() < 1e-9);
    assert!((line.slope - 2.0).abs() < 1e-9);
    assert!((line.at(10.0) - 21.0).abs() < 1e-9);
    assert_eq!(least_squares(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(least_squares(&[]), None);
}

#[test]
fn quantiles_are_values_of_the_list() {
    let sorted = [1.0, 2.0, 3.0, 4.0, 5.0];
    assert_eq!(quantile(&sorted, 0.5), Some(3.0));
    assert_eq!(quantile(&sorted, 1.0), Some(5.0));
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn proc_files_are_read_whatever_the_process_is_called() {
    let stat = "7 (a) b) S 1 2 3 4 5 6 7 8 9 10 11 22 0 0";
    assert_eq!(processor_ticks(stat), Some(33));
    assert_eq!(processor_ticks("7 (a"), None);
    assert_eq!(
        field("VmPeak:\t9 kB\nVmRSS:\t 512 kB\n", "VmRSS:"),
        Some(512)
    );
}

#[test]
fn a_change_costs_what_is_spent_on_top_of_rest() {
    let phase = |seconds: f64, spent: f64, events: usize| PhaseFigures {
        used: PhaseUse {
            replicas: vec![ReplicaUse {
                is_leader: true,
                process: Use {
                    seconds,
                    processor_seconds: spent,
                    written: 0,
                },
                ..ReplicaUse::default()
            }],
            hollow: Use {
                seconds,
                processor_seconds: spent,
                written: 0,
            },
            hollow_resident: 0,
        },
        events,
        delays: Vec::new(),
    };
    // At rest 0.1 core; 4 changes in 10 s cost 1 s on top of the 1 s of rest.
    let size = |daemons| SizeFigures {
        daemons,
        idle: phase(10.0, 1.0, 0),
        changes: phase(10.0, 2.0, 4),
        ..SizeFigures::default()
    };
    let slopes = report::slopes(&[size(100), size(200)]);
    let change = slopes
        .iter()
        .find(|slope| slope.name == "change_leader_cpu_ms");
    let line = change.expect("among the figures").line;
    assert!((line.at(3600.0) - 250.0).abs() < 1e-6, "{line:?}");
}

/// Three replicas in this process and forty hollow daemons: every daemon ends up with the bundle
/// and with exactly the endpoints that are live, and none is ever told something older than it
/// has seen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hollow_daemons_learn_what_is_true() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut replicas = Vec::new();
    for number in 0..3 {
        replicas.push(start(folder.path(), number).await);
    }
    let services: Vec<_> = replicas.iter().map(|r| r.addresses().service).collect();
    let mut bundles = BundleSource::new();
    bootstrap(&services, bundles.signed()).await;

    let deployment = Arc::new(Deployment::generate(40, 1));
    let mut fleet = Fleet::start(deployment, services.clone(), false).await;
    assert_settled(&fleet).await;
    let published = RequestBody::Publish(bundles.next());
    let reply = request_any(&services, &published, PATIENCE).await;
    let accepted = matches!(reply, Ok(ReplyBody::Publish(PublishReply::Accepted { .. })));
    assert!(accepted, "{reply:?}");
    assert_in_force(&fleet, 2).await;

    fleet.drain(3);
    assert_settled(&fleet).await;
    fleet.restart(3);
    assert_settled(&fleet).await;
    let zone = fleet.in_zones(|zone| zone == 1);
    fleet.cut_off(&zone, true);
    assert_settled(&fleet).await;
    fleet.reconnect(&zone);
    assert_settled(&fleet).await;
    assert_eq!(fleet.counters().refused_answers(), 0);
}

async fn assert_settled(fleet: &Fleet) {
    let settled = fleet.settled(PATIENCE).await;
    assert!(settled.is_some(), "{} daemons are wrong", fleet.unsettled());
}

async fn assert_in_force(fleet: &Fleet, version: u64) {
    let start = Instant::now();
    let counters = fleet.counters();
    while counters.delays(version, start).len() < fleet.size() {
        assert!(start.elapsed() < PATIENCE, "not in force everywhere");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn start(folder: &Path, number: usize) -> ControlHandle {
    let data = folder.join(format!("control-{number}"));
    let text = format!(
        "name = \"control-{number}\"\nzone = \"zone-0\"\nregion = \"region-0\"\n\
         data_folder = {data:?}\n[listen]\npeer = \"127.0.0.1:0\"\n\
         service = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\n\
         [timing]\nheartbeat_ms = 50\nelection_ms = 400\ndaemon_lease_ms = 3000\n"
    );
    let settings = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    let log = logging::logger(slog::Level::Error);
    let started = bramblewheel_control::start(settings.expect("valid settings"), log);
    started.await.expect("the replica starts")
}

async fn bootstrap(services: &[SocketAddr], bundle: SignedBundle) {
    let mut voters = Vec::new();
    for address in services {
        match request_any(&[*address], &RequestBody::GroupStatus, PATIENCE).await {
            Ok(ReplyBody::GroupStatus(status)) => voters.push(status.replica),
            other => panic!("{other:?}"),
        }
    }
    let request = BootstrapRequest {
        group: 1,
        voters,
        bundle,
    };
    for address in services {
        let body = RequestBody::Bootstrap(request.clone());
        let reply = request_any(&[*address], &body, PATIENCE).await;
        assert_eq!(reply.expect("an answer"), ReplyBody::Done);
    }
}
