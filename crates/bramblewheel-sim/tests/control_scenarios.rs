//! Every scenario of the control group keeps its promises with 200 seeds, and equal seeds give equal histories.

use bramblewheel_sim::run::run_seed;
use bramblewheel_sim::scenario::built_in;
use std::collections::BTreeSet;

const SEEDS: u64 = 200;

fn assert_promises_hold_with_all_seeds(name: &str) {
    let built_in = built_in(name).expect("the scenario is built in");
    let scenario = built_in.scenario().expect("the file is valid");
    let mut digests = BTreeSet::new();
    for seed in 0..SEEDS {
        let report = run_seed(&scenario, seed);
        assert!(report.violations.is_empty(), "{report}");
        digests.insert(report.digest);
    }
    assert_eq!(
        digests.len() as u64,
        SEEDS,
        "different seeds gave the same history"
    );
    let again = run_seed(&scenario, 0).digest;
    assert!(
        digests.contains(&again),
        "a second run with seed 0 gave another history"
    );
}

macro_rules! scenarios {
    ($($test:ident => $name:literal,)*) => {
        $(
            #[test]
            fn $test() {
                assert_promises_hold_with_all_seeds($name);
            }
        )*
    };
}

scenarios! {
    operators_race => "operators-race",
    publish_resend => "publish-resend",
    restart_after_many_changes => "restart-after-many-changes",
    replica_disk_lost => "replica-disk-lost",
    second_loss_after_repair => "second-loss-after-repair",
    torn_write => "torn-write",
    replica_silent_cutoff => "replica-silent-cutoff",
    replica_frozen => "replica-frozen",
    zone_cut => "zone-cut",
    control_chaos => "control-chaos",
}
