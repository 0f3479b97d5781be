//! Quarantine in a fleet on virtual time in which one request crashes the endpoints that run it: checks what reaches
//! endpoints after detection, and which other requests are refused. Unsafe variants must be detected.

mod fleet;

use fleet::{Fleet, Variant};

const SEEDS: u64 = 100;
/// Seeds within which an unsafe variant must be detected.
const DETECTION_SEEDS: u64 = 20;
fn violations(variant: Variant, seeds: u64) -> Vec<(u64, String)> {
    let run = |seed| {
        let outcome = Fleet::new(variant, seed).run();
        outcome.violation().map(|violation| (seed, violation))
    };
    (0..seeds).filter_map(run).collect()
}

#[test]
fn fatal_content_is_quarantined_and_no_other_is_refused_for_long() {
    assert_eq!(violations(Variant::Product, SEEDS), []);
}

/// Limits on the endpoints that one fatal request crashes, and on other contents that are refused. One in four runs has
/// no fatal request. There a content is refused briefly if several endpoints crash at once that had not run it before,
/// until a daemon that completed it reports so.
#[test]
fn fatal_request_crashes_few_endpoints() {
    let (mut most, mut refused, mut refused_without_fatal) = (0, 0, 0);
    for seed in 0..SEEDS {
        let fleet = Fleet::new(Variant::Product, seed);
        let has_fatal = fleet.has_fatal;
        let outcome = fleet.run();
        most = most.max(outcome.fatal_crashes.len());
        if has_fatal {
            refused += outcome.refused.len();
        } else {
            refused_without_fatal += outcome.refused.len();
        }
    }
    println!("at most {most} crashes under one request");
    println!("other contents refused: {refused}, without it {refused_without_fatal}");
    assert!(most <= 16, "{most} crashes");
    assert!(refused <= 4, "{refused} other contents refused");
    assert!(
        refused_without_fatal <= 1,
        "{refused_without_fatal} refused without it"
    );
}

/// Compares the crashes added by retries of lost requests with the other requests that are abandoned without them. The
/// fatal request is detected with and without retries.
#[test]
fn retries_of_lost_requests_cause_few_further_crashes() {
    let figures = |variant| {
        let runs = (0..SEEDS).map(|seed| Fleet::new(variant, seed).run());
        let sums = runs.map(|outcome| (outcome.fatal_crashes.len(), outcome.abandoned));
        sums.fold((0, 0), |sum, run| (sum.0 + run.0, sum.1 + run.1))
    };
    let (crashes, abandoned) = figures(Variant::Product);
    let (crashes_without_retries, abandoned_without_retries) = figures(Variant::NoRetries);
    println!(
        "retries: {crashes} crashes, {abandoned} others abandoned; \
         no retries: {crashes_without_retries} and {abandoned_without_retries}"
    );
    assert_eq!(violations(Variant::NoRetries, SEEDS), []);
    assert!(
        abandoned * 2 < abandoned_without_retries,
        "{abandoned}, {abandoned_without_retries}"
    );
    assert!(
        crashes <= crashes_without_retries * 3 / 2,
        "{crashes}, {crashes_without_retries}"
    );
}

#[test]
fn unsafe_variants_are_detected() {
    for variant in [Variant::NoReports, Variant::LocalOnly, Variant::BlameAll] {
        let detected = violations(variant, DETECTION_SEEDS);
        println!("{variant:?}: {} of {DETECTION_SEEDS} seeds", detected.len());
        assert!(!detected.is_empty(), "{variant:?}");
    }
}
