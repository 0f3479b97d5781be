//! Authorization of requests: the tenant's key, the lease on the route table, the quota.
//!
//! The rules are in [`bramblewheel_decisions::tenants`], [`bramblewheel_decisions::table_lease`] and
//! [`bramblewheel_decisions::tenant_quota`]; the state is in [`Shared::tenant_access`]. Refusals appear in the
//! metrics `bramblewheel_unauthorized_total`, `bramblewheel_over_quota_total` and `bramblewheel_without_lease_total`,
//! and in the log lines `unauthorized`, `over quota` and `request refused`.

use crate::inbound::dispatch::id_text;
use crate::outbound::reply::Reply;
use crate::shared::Shared;
use bramblewheel_decisions::credential::key_digest;
use bramblewheel_decisions::retry_after::RefusalReason;
use bramblewheel_decisions::table::{Route, Router};
use bramblewheel_decisions::tenant_quota::{OverQuota, QuotaCharge, QuotaDecision, SumsState};
use bramblewheel_decisions::tenants::ActiveTenant;
use bramblewheel_types::Millis;
use http::{HeaderMap, HeaderValue};
use rand::RngExt;
use std::fmt::Display;
use std::sync::Arc;

/// The route table in force and whether its tenants may be relied on. The lease is read before the table, so that the
/// table is the one that the lease covers or a newer one, never an older one.
pub(super) struct TableInUse {
    /// Whether the lease on the table was valid.
    pub(super) has_lease: bool,
    /// The table; `None` before the first one is in force.
    pub(super) router: Option<Arc<Router>>,
}

impl TableInUse {
    /// Reads the lease and the table in force.
    pub(super) fn load(shared: &Shared) -> Self {
        let has_lease = shared.tenant_access().lease.is_valid(shared.clock.now());
        Self {
            has_lease,
            router: shared.router.load_full(),
        }
    }
}

/// Tenant of an admitted request and its quota charge.
pub(super) struct TenantRequest {
    pub(super) tenant: Arc<ActiveTenant>,
    /// Charge to the tenant's quota, refunded if the request does not run; `None` without a quota.
    pub(super) charge: Option<QuotaCharge>,
}

/// Authorizes a request and returns its tenant: `None` if the table has no tenants, or for a request without a known
/// key on a public route. Uses the random source if the tenant has a quota.
///
/// # Errors
/// The reply to a caller that may not be served; the refusal is logged and counted.
pub(super) fn authorize(
    shared: &Shared,
    router: &Router,
    has_lease: bool,
    route: &Route,
    id: &HeaderValue,
    headers: &HeaderMap,
) -> Result<Option<TenantRequest>, Reply> {
    let tenants = router.tenants();
    if !tenants.has_tenants() {
        return Ok(None);
    }
    if !has_lease {
        return without_lease(shared, router, route, id);
    }
    let key = key_digest(headers, shared.settings.dialect.key_scheme);
    let holder = key.map(|key| tenants.holder(&key).cloned());
    match holder {
        Ok(Some(tenant)) => within_quota(shared, router, route, id, tenant).map(Some),
        _ if route.is_public => Ok(None),
        Ok(None) => Err(unauthorized(
            shared,
            router,
            route,
            id,
            &"nobody holds the key",
        )),
        Err(reason) => Err(unauthorized(shared, router, route, id, &reason)),
    }
}

fn without_lease(
    shared: &Shared,
    router: &Router,
    route: &Route,
    id: &HeaderValue,
) -> Result<Option<TenantRequest>, Reply> {
    if route.is_public {
        return Ok(None);
    }
    shared.metrics.without_lease.inc();
    slog::info!(shared.log, "request refused"; "id" => id_text(id), "route" => &route.name,
        "reason" => "the lease on the table is over", "table" => router.version().0);
    Err(Reply::Refusal(RefusalReason::NoLease))
}

fn unauthorized(
    shared: &Shared,
    router: &Router,
    route: &Route,
    id: &HeaderValue,
    reason: &dyn Display,
) -> Reply {
    shared.metrics.unauthorized.inc();
    slog::info!(shared.log, "unauthorized"; "id" => id_text(id), "route" => &route.name,
        "reason" => %reason, "table" => router.version().0);
    Reply::Unauthorized
}

fn within_quota(
    shared: &Shared,
    router: &Router,
    route: &Route,
    id: &HeaderValue,
    tenant: Arc<ActiveTenant>,
) -> Result<TenantRequest, Reply> {
    let Some(quota) = tenant.quota else {
        return Ok(TenantRequest {
            tenant,
            charge: None,
        });
    };
    let random_value = shared.routing().random.random_range(0.0..1.0);
    let now = shared.clock.now();
    let quotas = &mut shared.tenant_access().quotas;
    let decision = quotas.decide(now, tenant.number, quota, random_value);
    if quotas.wants_sums() {
        shared.new_tenant.notify_one();
    }
    let OverQuota {
        part,
        admitted,
        age,
        unaccounted,
        sums,
    } = match decision {
        QuotaDecision::Admitted(charge) => {
            return Ok(TenantRequest {
                tenant,
                charge: Some(charge),
            });
        }
        QuotaDecision::Over(over) => over,
    };
    shared.metrics.over_quota.inc();
    slog::info!(shared.log, "over quota"; "id" => id_text(id), "route" => &route.name,
        "tenant" => %tenant.name, "rate" => quota.rate, "burst" => quota.burst,
        "part" => format_args!("{part:.2}"), "let_in" => admitted,
        "sums_age_ms" => Millis::of(age).0, "sums" => sums.as_str(),
        "unaccounted" => format_args!("{unaccounted:.3}"),
        "table" => router.version().0);
    // Sums of a tenant that is new here arrive with the next renewal.
    let admitted_part = if sums == SumsState::Missing {
        1.0
    } else {
        part
    };
    Err(Reply::Refusal(RefusalReason::OverQuota { admitted_part }))
}
