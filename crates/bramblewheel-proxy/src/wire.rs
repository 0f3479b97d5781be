//! Headers between daemons: the handover of a request and the report with its answer.
//!
//! Only this module writes and reads them. Some headers have an older name than the value they hold; the field's
//! comment names the header. Daemons of earlier versions omit some headers; the field's comment gives the default.

use crate::http::fields::set_or_remove;
use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::endpoint_limit::KnownLimit;
use bramblewheel_decisions::load_statement::{LoadStatement, StatedLoad};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Millis, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;
use thiserror::Error;

pub use bramblewheel_decisions::attempt_result::AttemptResult;

/// Endpoint that a request is for.
const ENDPOINT: HeaderName = HeaderName::from_static("bw-endpoint");
/// Rank of the request.
const RANK: HeaderName = HeaderName::from_static("bw-rank");
/// Rank of the request at the root of the call tree.
const ROOT_RANK: HeaderName = HeaderName::from_static("bw-root-rank");
/// Number of the request's class, from its route and its tenant's rank.
const CLASS: HeaderName = HeaderName::from_static("bw-route");
/// Latency objective in milliseconds.
const OBJECTIVE: HeaderName = HeaderName::from_static("bw-objective-ms");
/// Remaining time of the request in milliseconds.
const REMAINING: HeaderName = HeaderName::from_static("bw-remaining-ms");
/// Longest wait for a slot in milliseconds.
const WAIT: HeaderName = HeaderName::from_static("bw-wait-ms");
/// Service that the request comes from.
const CALLER: HeaderName = HeaderName::from_static("bw-caller");
/// Tenant that the request comes from.
const TENANT: HeaderName = HeaderName::from_static("bw-for-tenant");
/// Tenant of the request at the root of the call tree, on a call without a tenant of its own. Daemons of earlier versions
/// ignore it and pass it on to the endpoint.
const TREE_TENANT: HeaderName = HeaderName::from_static("bw-tree-tenant");
/// Digest of the request's content, in hexadecimal digits.
const CONTENT: HeaderName = HeaderName::from_static("bw-content");
/// Share of the request that counts as a retry, in thousandths.
const RETRIED_SHARE: HeaderName = HeaderName::from_static("bw-repeated");
/// On an answer: result of the attempt.
const RESULT: HeaderName = HeaderName::from_static("bw-result");
/// On an answer: the request's class is likely called by endpoints only. On a request: it is likely made by an
/// endpoint.
const NESTED: HeaderName = HeaderName::from_static("bw-nested");
/// On an error answer: service at which a call that the endpoint made for the request found no capacity.
const FULL_DOWNSTREAM: HeaderName = HeaderName::from_static("bw-short-below");
/// On an answer: used share of the bound on retries for the endpoint's calls, in percent.
const BOUND_USED: HeaderName = HeaderName::from_static("bw-bound-used");
/// On a request: rate limit of the endpoint as the caller's daemon knows it, and its age in milliseconds, separated by a
/// comma. On an answer: the same as the daemon beside the endpoint knows it, or `none`.
const RATE_LIMIT: HeaderName = HeaderName::from_static("bw-known-rate-limit");
/// On an answer with the result `full`: the endpoint's rate limit is used up. Daemons of earlier versions read the result
/// only.
const RATE_LIMITED: HeaderName = HeaderName::from_static("bw-rate-limited");
/// On an answer with the result `full`: too little of the request's time was left. The value is the time that it would
/// have needed, in milliseconds. Daemons of earlier versions read the result only.
const OUT_OF_TIME: HeaderName = HeaderName::from_static("bw-out-of-time");
/// On an answer: the endpoint has stated in an answer that it drains.
const DRAIN_NOTICE: HeaderName = HeaderName::from_static("bw-drain-notice");
/// On an answer: the endpoint's last statement of its load as running requests, waiting requests, slots and work time in
/// percent of the usual, and its age in milliseconds, separated by commas.
const STATED_LOAD: HeaderName = HeaderName::from_static("bw-stated-load");
/// Load of the endpoint: busy slots, limit and percentage of failures, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("bw-load");

/// Value of headers whose presence is their meaning.
const PRESENT: &str = "1";
/// Value of the rate limit's header on an answer if there is none.
const NO_LIMIT: &str = "none";

/// Data that a daemon hands over with a request to the daemon beside the endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    /// Endpoint that the request is for.
    pub endpoint: EndpointId,
    /// Rank of the request; 0 is the most important.
    pub rank: u32,
    /// Rank of the request at the root of the call tree if known; its own rank otherwise.
    pub root_rank: u32,
    /// Its class, the same at all daemons; header `bw-route`.
    pub class: RequestClass,
    /// Latency objective.
    pub objective: Duration,
    /// Remaining time of the request.
    pub remaining: Duration,
    /// Longest wait for a slot.
    pub wait: Duration,
    /// Service that the request comes from.
    pub caller: Option<HeaderValue>,
    /// Whether the caller's daemon considers the request to be a call that an endpoint makes for a request it is
    /// running; header `bw-nested`.
    pub is_likely_nested: bool,
    /// Tenant that the request comes from, if its caller had a key; header `bw-for-tenant`.
    pub tenant: Option<HeaderValue>,
    /// Tenant of the request at the root of the call tree, on a call without a tenant of its own; header
    /// `bw-tree-tenant`. `None` if it is unknown.
    pub tree_tenant: Option<HeaderValue>,
    /// Digest of the content, the same for resent requests; `None` from a daemon of an earlier version.
    pub content: Option<ContentDigest>,
    /// Share of the request, 0 to 1, that counts as a retry: 1 if an endpoint got it before, otherwise the retried
    /// share of the run that makes it. Header `bw-repeated`, in thousandths; 0 if it is missing.
    pub retried_share: f64,
    /// Rate limit of the endpoint as the sender knows it; header `bw-known-rate-limit`. `None` if it knows none, if the
    /// header is missing or invalid.
    pub known_limit: Option<KnownLimit>,
}

/// A request from another daemon lacks a required header or has an invalid one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("header {0} is missing or invalid")]
pub struct InvalidHandover(&'static str);

impl Handover {
    /// Sets the headers of a request.
    pub fn write(&self, headers: &mut HeaderMap) {
        let endpoint = HeaderValue::try_from(self.endpoint.to_string())
            .expect("names consist of visible ASCII");
        headers.insert(ENDPOINT, endpoint);
        headers.insert(RANK, HeaderValue::from(self.rank));
        headers.insert(ROOT_RANK, HeaderValue::from(self.root_rank));
        headers.insert(CLASS, HeaderValue::from(self.class.0));
        headers.insert(OBJECTIVE, millis(self.objective));
        headers.insert(REMAINING, millis(self.remaining));
        headers.insert(WAIT, millis(self.wait));
        set_or_remove(headers, &CALLER, self.caller.as_ref());
        set_or_remove(headers, &TENANT, self.tenant.as_ref());
        set_or_remove(headers, &TREE_TENANT, self.tree_tenant.as_ref());
        let content = self.content.map(content_value);
        set_or_remove(headers, &CONTENT, content.as_ref());
        let nested = self
            .is_likely_nested
            .then(|| HeaderValue::from_static(PRESENT));
        set_or_remove(headers, &NESTED, nested.as_ref());
        let retried_share = retried_share_value(self.retried_share);
        set_or_remove(headers, &RETRIED_SHARE, retried_share.as_ref());
        let known_limit = self.known_limit.map(known_limit_value);
        set_or_remove(headers, &RATE_LIMIT, known_limit.as_ref());
    }

    /// Removes headers that only daemons may set from a request of a caller.
    pub fn strip(headers: &mut HeaderMap) {
        for name in [
            ENDPOINT,
            RANK,
            ROOT_RANK,
            CLASS,
            OBJECTIVE,
            REMAINING,
            WAIT,
            CALLER,
            TENANT,
            TREE_TENANT,
            NESTED,
            CONTENT,
            RETRIED_SHARE,
            RATE_LIMIT,
        ] {
            headers.remove(name);
        }
    }

    /// Tenant whose fair share the request counts towards: its own, else that of its call tree.
    pub fn sharing_tenant(&self) -> Option<&HeaderValue> {
        self.tenant.as_ref().or(self.tree_tenant.as_ref())
    }

    /// Whether a request is handed over by another daemon.
    pub fn is_present(headers: &HeaderMap) -> bool {
        headers.contains_key(ENDPOINT)
    }

    /// Reads the headers of a request and removes them.
    ///
    /// # Errors
    /// [`InvalidHandover`] with the name of the missing or invalid header.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, InvalidHandover> {
        let endpoint = headers.remove(ENDPOINT);
        let endpoint = endpoint.as_ref().and_then(|value| value.to_str().ok());
        let endpoint = endpoint.and_then(|text| text.parse::<EndpointId>().ok());
        let rank = parse_number(headers.remove(RANK));
        let root_rank = headers.remove(ROOT_RANK);
        let class = parse_number(headers.remove(CLASS));
        let objective = parse_number(headers.remove(OBJECTIVE));
        let remaining = parse_number(headers.remove(REMAINING));
        let wait = parse_number(headers.remove(WAIT));
        let rank = rank
            .and_then(|rank| u32::try_from(rank).ok())
            .ok_or(InvalidHandover("bw-rank"))?;
        Ok(Self {
            endpoint: endpoint.ok_or(InvalidHandover("bw-endpoint"))?,
            rank,
            root_rank: read_root_rank(root_rank, rank)?,
            class: class.map(RequestClass).ok_or(InvalidHandover("bw-route"))?,
            objective: objective
                .map(Duration::from_millis)
                .ok_or(InvalidHandover("bw-objective-ms"))?,
            remaining: remaining
                .map(Duration::from_millis)
                .ok_or(InvalidHandover("bw-remaining-ms"))?,
            wait: wait
                .map(Duration::from_millis)
                .ok_or(InvalidHandover("bw-wait-ms"))?,
            caller: headers.remove(CALLER),
            is_likely_nested: headers.remove(NESTED).is_some(),
            tenant: headers.remove(TENANT),
            tree_tenant: headers.remove(TREE_TENANT),
            content: read_content(headers.remove(CONTENT))?,
            retried_share: read_retried_share(headers.remove(RETRIED_SHARE))?,
            known_limit: headers
                .remove(RATE_LIMIT)
                .as_ref()
                .and_then(read_known_limit),
        })
    }
}

/// Header value of the retried share in thousandths; `None` for 0.
fn retried_share_value(retried_share: f64) -> Option<HeaderValue> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share is between 0 and 1"
    )]
    let thousandths = (retried_share.clamp(0.0, 1.0) * 1_000.0).round() as u32;
    (thousandths > 0).then(|| HeaderValue::from(thousandths))
}

fn read_retried_share(value: Option<HeaderValue>) -> Result<f64, InvalidHandover> {
    if value.is_none() {
        return Ok(0.0);
    }
    let thousandths = parse_number(value).and_then(|parse_number| u16::try_from(parse_number).ok());
    let thousandths = thousandths.filter(|thousandths| *thousandths <= 1_000);
    let thousandths = thousandths.ok_or(InvalidHandover("bw-repeated"))?;
    Ok(f64::from(thousandths) / 1_000.0)
}

/// Rank at the root of the call tree; the request's own rank if a daemon of an earlier version omits the header.
fn read_root_rank(value: Option<HeaderValue>, own_rank: u32) -> Result<u32, InvalidHandover> {
    if value.is_none() {
        return Ok(own_rank);
    }
    let rank = parse_number(value).and_then(|rank| u32::try_from(rank).ok());
    rank.ok_or(InvalidHandover("bw-root-rank"))
}

fn content_value(content: ContentDigest) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).expect("digits are visible ASCII")
}

fn read_content(value: Option<HeaderValue>) -> Result<Option<ContentDigest>, InvalidHandover> {
    let Some(value) = value else {
        return Ok(None);
    };
    let digest = value.to_str().ok().and_then(|text| text.parse().ok());
    digest.map(Some).ok_or(InvalidHandover("bw-content"))
}

fn known_limit_value(known: KnownLimit) -> HeaderValue {
    let text = format!("{},{}", known.limit, Millis::of(known.age).0);
    HeaderValue::try_from(text).expect("numbers consist of visible ASCII")
}

fn read_known_limit(value: &HeaderValue) -> Option<KnownLimit> {
    let (limit, age) = value.to_str().ok()?.split_once(',')?;
    Some(KnownLimit {
        limit: limit.parse().ok()?,
        age: Duration::from_millis(age.parse().ok()?),
    })
}

fn limit_report_value(report: LimitReport) -> HeaderValue {
    match report {
        LimitReport::Unlimited => HeaderValue::from_static(NO_LIMIT),
        LimitReport::Limited(known) => known_limit_value(known),
    }
}

/// An invalid report counts as missing.
fn read_limit_report(value: &HeaderValue) -> Option<LimitReport> {
    if value.as_bytes() == NO_LIMIT.as_bytes() {
        return Some(LimitReport::Unlimited);
    }
    read_known_limit(value).map(LimitReport::Limited)
}

fn stated_load_value(stated: StatedLoad) -> HeaderValue {
    let LoadStatement {
        running,
        waiting,
        slots,
        work_percent,
    } = stated.statement;
    let age = Millis::of(stated.age).0;
    let text = format!("{running},{waiting},{slots},{work_percent},{age}");
    HeaderValue::try_from(text).expect("numbers consist of visible ASCII")
}

fn read_stated_load(value: &HeaderValue) -> Option<StatedLoad> {
    let (statement, age) = value.to_str().ok()?.rsplit_once(',')?;
    Some(StatedLoad {
        statement: LoadStatement::parse(statement).ok()??,
        age: Duration::from_millis(age.parse().ok()?),
    })
}

fn millis(duration: Duration) -> HeaderValue {
    HeaderValue::from(Millis::of(duration).0)
}

fn parse_number(value: Option<HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.parse().ok()
}

/// An invalid name counts as missing.
fn read_service(value: &HeaderValue) -> Option<ServiceName> {
    ServiceName::new(value.to_str().ok()?).ok()
}

/// An invalid percentage counts as 0, like a missing one from a daemon of an earlier version.
fn read_percent(value: Option<HeaderValue>) -> u32 {
    let percent = parse_number(value).and_then(|percent| u32::try_from(percent).ok());
    percent.unwrap_or_default()
}

fn read_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(str::parse);
    Some(LoadReport {
        busy: numbers.next()?.ok()?,
        limit: numbers.next()?.ok()?,
        failed_percent: numbers.next()?.ok()?,
    })
}

/// What the daemon beside the endpoint knows of the endpoint's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitReport {
    /// It has none.
    Unlimited,
    /// The limit in force.
    Limited(KnownLimit),
}

/// Report of the daemon beside the endpoint, sent with an answer in addition to the result of the attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerReport {
    /// Load of the endpoint; `None` if it is missing or invalid.
    pub load: Option<LoadReport>,
    /// Whether the request's class is likely called by endpoints only; header `bw-nested`.
    pub is_likely_nested: bool,
    /// Service at which a call of the endpoint found no capacity right before the endpoint failed the request; header
    /// `bw-short-below`.
    pub full_downstream: Option<ServiceName>,
    /// Used share of the bound on retries for the endpoint's calls, in percent; header `bw-bound-used`, 0 if it is
    /// missing or invalid.
    pub bound_used_percent: u32,
    /// Rate limit of the endpoint; header `bw-known-rate-limit`. `None` if there is none and the sender of the request
    /// knew of none.
    pub rate_limit: Option<LimitReport>,
    /// Whether the endpoint has stated in an answer that it drains; header `bw-drain-notice`.
    pub is_draining: bool,
    /// With the result [`OutOfTime`](AttemptResult::OutOfTime): the time that the request would have needed; header
    /// `bw-out-of-time`. Zero if it is unknown or invalid, and with all other results.
    pub needed_time: Duration,
    /// What the endpoint stated of its load; header `bw-stated-load`. `None` if it is missing or invalid.
    pub stated_load: Option<StatedLoad>,
}

impl AnswerReport {
    /// Sets the headers of an answer to an attempt with this result.
    pub fn write(&self, result: AttemptResult, headers: &mut HeaderMap) {
        let present = |holds: bool| holds.then(|| HeaderValue::from_static(PRESENT));
        let is_rate_limited = result == AttemptResult::RateLimited;
        let stated = match result {
            AttemptResult::RateLimited | AttemptResult::OutOfTime => AttemptResult::Full,
            result => result,
        };
        headers.insert(RESULT, HeaderValue::from_static(stated.as_str()));
        set_or_remove(headers, &RATE_LIMITED, present(is_rate_limited).as_ref());
        let is_out_of_time = result == AttemptResult::OutOfTime;
        let needed_time = is_out_of_time.then(|| millis(self.needed_time));
        set_or_remove(headers, &OUT_OF_TIME, needed_time.as_ref());
        set_or_remove(headers, &DRAIN_NOTICE, present(self.is_draining).as_ref());
        let rate_limit = self.rate_limit.map(limit_report_value);
        set_or_remove(headers, &RATE_LIMIT, rate_limit.as_ref());
        let stated_load = self.stated_load.map(stated_load_value);
        set_or_remove(headers, &STATED_LOAD, stated_load.as_ref());
        if let Some(load) = self.load {
            let load = format!("{},{},{}", load.busy, load.limit, load.failed_percent);
            let load = HeaderValue::try_from(load).expect("numbers consist of visible ASCII");
            headers.insert(LOAD, load);
        }
        if self.is_likely_nested {
            headers.insert(NESTED, HeaderValue::from_static(PRESENT));
        }
        if let Some(service) = &self.full_downstream {
            let service =
                HeaderValue::try_from(service.as_str()).expect("names consist of visible ASCII");
            headers.insert(FULL_DOWNSTREAM, service);
        }
        if self.bound_used_percent > 0 {
            headers.insert(BOUND_USED, HeaderValue::from(self.bound_used_percent));
        }
    }

    /// Reads the headers of an answer and removes them; returns the result of the attempt and the report, or `None`
    /// if the answer does not come from a daemon.
    pub fn take(headers: &mut HeaderMap) -> Option<(AttemptResult, Self)> {
        let value = headers.remove(RESULT)?;
        let is_stated = |result: &AttemptResult| result.as_str().as_bytes() == value.as_bytes();
        let mut result = AttemptResult::ALL.into_iter().find(is_stated)?;
        let is_rate_limited = headers.remove(RATE_LIMITED).is_some();
        if is_rate_limited && result == AttemptResult::Full {
            result = AttemptResult::RateLimited;
        }
        let needed_time = headers.remove(OUT_OF_TIME);
        if needed_time.is_some() && result == AttemptResult::Full {
            result = AttemptResult::OutOfTime;
        }
        let load = headers.remove(LOAD);
        let load = load.as_ref().and_then(|value| value.to_str().ok());
        let report = Self {
            load: load.and_then(read_load),
            is_likely_nested: headers.remove(NESTED).is_some(),
            full_downstream: headers
                .remove(FULL_DOWNSTREAM)
                .as_ref()
                .and_then(read_service),
            bound_used_percent: read_percent(headers.remove(BOUND_USED)),
            rate_limit: headers
                .remove(RATE_LIMIT)
                .as_ref()
                .and_then(read_limit_report),
            is_draining: headers.remove(DRAIN_NOTICE).is_some(),
            stated_load: headers
                .remove(STATED_LOAD)
                .as_ref()
                .and_then(read_stated_load),
            needed_time: parse_number(needed_time).map_or(Duration::ZERO, Duration::from_millis),
        };
        Some((result, report))
    }
}
