//! The version of the bundle in force never decreases, whatever replicas send and across restarts.

mod support;

use bramblewheel_bundle::Delta;
use bramblewheel_protocol::control::SignedBundleDelta;
use bramblewheel_types::BundleVersion;
use support::client::admin;
use support::control::FakeControl;
use support::{bundle, signed, start};
use tempfile::TempDir;

/// Metrics of a daemon without calls, with their types; dashboards and alerts of users depend on them.
const METRICS: [&str; 21] = [
    "bramblewheel_application_repeats counter",
    "bramblewheel_attempts_sent counter",
    "bramblewheel_bundle_version gauge",
    "bramblewheel_calls_in_progress gauge",
    "bramblewheel_claims_released counter",
    "bramblewheel_concurrency_limit gauge",
    "bramblewheel_control_polls counter",
    "bramblewheel_control_received_bytes counter",
    "bramblewheel_control_sent_bytes counter",
    "bramblewheel_control_stale counter",
    "bramblewheel_dispatched counter",
    "bramblewheel_ejections counter",
    "bramblewheel_free_reroutes counter",
    "bramblewheel_late_events counter",
    "bramblewheel_late_grants counter",
    "bramblewheel_queue_length gauge",
    "bramblewheel_resends counter",
    "bramblewheel_retries counter",
    "bramblewheel_retries_over_ratio counter",
    "bramblewheel_retries_without_token counter",
    "bramblewheel_running gauge",
];

async fn exposed_version(daemon: &bramblewheel_daemon::DaemonHandle) -> String {
    let metrics = admin(daemon.addresses().admin, "/metrics").await.text();
    let line = metrics
        .lines()
        .find(|line| line.starts_with("bramblewheel_bundle_version "));
    line.expect("the metric is present").to_owned()
}

#[tokio::test]
async fn daemon_without_a_bundle_is_not_ready() {
    let folder = TempDir::new().expect("a temporary folder");
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let daemon = start(unreachable, None, folder.path()).await;
    let address = daemon.addresses().admin;
    assert_eq!(admin(address, "/readyz").await.status(), 503);
    assert_eq!(admin(address, "/healthz").await.status(), 200);
    let text = admin(address, "/metrics").await.text();
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let mut types: Vec<&str> = types.collect();
    types.sort_unstable();
    assert_eq!(types, METRICS);
}

#[tokio::test]
async fn restarted_daemon_refuses_a_bundle_older_than_its_own() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut control = FakeControl::start(signed(1)).await;
    let daemon = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    control.set_bundle(signed(5));
    control.until_applied("gateway-1").await;
    drop(daemon);
    let mut stale = FakeControl::start(signed(2)).await;
    let daemon = start(stale.address(), None, folder.path()).await;
    let has_five = |version| version == BundleVersion(5);
    stale
        .until_poll("gateway-1", |poll| has_five(poll.bundle_version))
        .await;
    // The second poll shows the state after the answer to the first one.
    stale.forget_polls();
    stale
        .until_poll("gateway-1", |poll| has_five(poll.bundle_version))
        .await;
    assert_eq!(
        exposed_version(&daemon).await,
        "bramblewheel_bundle_version 5"
    );
    assert_eq!(
        admin(daemon.addresses().admin, "/readyz").await.status(),
        200
    );
}

#[tokio::test]
async fn a_bundle_without_valid_signatures_is_not_used() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut control = FakeControl::start(signed(1)).await;
    let daemon = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    let mut unsigned = signed(2);
    unsigned.signatures.clear();
    let mut forged = signed(3);
    forged.signatures[0].signature = vec![0; 64];
    let mut damaged = signed(4);
    damaged.bytes[20] ^= 1;
    for bad in [unsigned, forged, damaged] {
        control.set_bundle(bad);
        control.forget_polls();
        for _ in 0..2 {
            control.until_poll("gateway-1", |_| true).await;
            control.forget_polls();
        }
        assert_eq!(
            exposed_version(&daemon).await,
            "bramblewheel_bundle_version 1"
        );
    }
    control.set_bundle(signed(9));
    control.until_applied("gateway-1").await;
    assert_eq!(
        exposed_version(&daemon).await,
        "bramblewheel_bundle_version 9"
    );
}

#[tokio::test]
async fn daemon_does_not_start_with_a_damaged_bundle_file() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut control = FakeControl::start(signed(1)).await;
    let daemon = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    drop(daemon);
    let file = folder.path().join("bundle.cbor");
    let mut bytes = std::fs::read(&file).expect("the bundle was written");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&file, &bytes).expect("a writable folder");
    let error = support::try_start(control.address(), folder.path()).await;
    let error = error.expect_err("a damaged file must not be ignored");
    assert!(error.to_string().contains("is damaged"), "{error}");
}

fn delta(from: u64, to: u64) -> SignedBundleDelta {
    let target = signed(to);
    SignedBundleDelta {
        from: BundleVersion(from),
        version: target.version,
        digest: target.digest,
        delta: Delta::between(&bundle(from), &bundle(to)).encode(),
        signatures: target.signatures,
    }
}

#[tokio::test]
async fn bundle_from_a_delta_is_in_force_after_a_restart() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut control = FakeControl::start(signed(1)).await;
    let daemon = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    control.set_delta(delta(1, 2), signed(2));
    control.until_applied("gateway-1").await;
    assert!(!control.has_seen(|poll| poll.whole_bundle));
    drop(daemon);
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let daemon = start(unreachable, None, folder.path()).await;
    assert_eq!(
        exposed_version(&daemon).await,
        "bramblewheel_bundle_version 2"
    );
}

#[tokio::test]
async fn whole_bundle_is_requested_after_a_damaged_delta() {
    let folder = TempDir::new().expect("a temporary folder");
    let mut control = FakeControl::start(signed(1)).await;
    let daemon = start(control.address(), None, folder.path()).await;
    control.until_applied("gateway-1").await;
    let mut damaged = delta(1, 2);
    damaged.delta.truncate(5);
    control.set_delta(damaged, signed(2));
    control
        .until_poll("gateway-1", |poll| poll.whole_bundle)
        .await;
    control.until_applied("gateway-1").await;
    assert_eq!(
        exposed_version(&daemon).await,
        "bramblewheel_bundle_version 2"
    );
}
