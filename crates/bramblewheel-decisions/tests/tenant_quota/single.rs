//! The quota at a single daemon.

use crate::fleet::{QUOTAS, TENANT, TERMS};
use bramblewheel_decisions::tenant_quota::{QuotaDecision, TenantQuotas};
use bramblewheel_decisions::tenants::Quota;
use bramblewheel_types::Timestamp;

/// Only what runs uses up a quota: a request that was refused after it was admitted leaves its part to the
/// next one.
#[test]
fn what_has_not_run_is_taken_back() {
    let now = Timestamp::from_millis(10_000);
    let quota = Quota {
        rate: 2.0,
        burst: 0.0,
    };
    let mut quotas = TenantQuotas::new(TERMS);
    let mut admitted_for_good = 0;
    for number in 0..40 {
        let QuotaDecision::Admitted(admitted) = quotas.decide(now, TENANT, quota, 0.5) else {
            panic!("request {number} is refused although few have run");
        };
        if number % 10 == 0 {
            admitted_for_good += 1;
        } else {
            quotas.refund(admitted);
        }
        let own = quotas.usage(now);
        assert_eq!(own[0].admitted, admitted_for_good);
        assert_eq!(own[0].asked, admitted_for_good);
        quotas.record_sums(now, &own, &own);
    }
}

/// Requests begin while no replica can be asked: an even part of the quota is admitted at each daemon.
#[test]
fn requests_that_begin_without_any_sums_get_an_even_part() {
    let now = Timestamp::from_millis(10_000);
    let mut quotas = TenantQuotas::new(TERMS);
    quotas.set_daemon_count(72);
    quotas.record_sums(Timestamp::from_millis(5_000), &[], &[]);
    let quota = QUOTAS[0];
    let decided = (0..100).map(|_| quotas.decide(now, TENANT, quota, 0.5));
    let admitted = decided.filter(|decided| matches!(decided, QuotaDecision::Admitted(_)));
    let even = (quota.rate * 5.0 + quota.burst) / 72.0;
    let count = admitted.count() as f64;
    assert!((count - even).abs() <= 1.0, "{count} of {even}");
}
