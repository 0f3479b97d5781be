//! Exemption from refusals by rank and for nested calls.

use bramblewheel_decisions::exemption::{is_exempt, is_exempt_from_refusal};

/// Rank of the most important route for the second rank of tenants.
const SECOND_TENANT_RANK: u32 = 1_024;

#[test]
fn most_important_route_is_exempt_for_any_tenant_rank() {
    for (rank, expected) in [
        (0, true),
        (1, false),
        (SECOND_TENANT_RANK, true),
        (SECOND_TENANT_RANK + 1, false),
    ] {
        assert_eq!(is_exempt(rank), expected, "{rank}");
        assert_eq!(is_exempt_from_refusal(rank, false), expected, "{rank}");
    }
}

#[test]
fn nested_calls_are_exempt_at_any_rank() {
    assert!(is_exempt_from_refusal(1, true));
    assert!(is_exempt_from_refusal(0, true));
}
