//! Headers between daemons: what is handed over with a request, and reported with its answer.
//!
//! The one place that writes and reads them. Some headers bear an older name than the value that they hold; the
//! field says so. Daemons of earlier versions leave some out: what that means is said at each field. Owns nothing.

use crate::http::fields::set_or_remove;
use bramblewheel_decisions::directory::LoadReport;
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
/// Rank of the request at the root of the tree that the request belongs to.
const ROOT_RANK: HeaderName = HeaderName::from_static("bw-root-rank");
/// Number of the request's class: of its route and its tenant's rank.
const CLASS: HeaderName = HeaderName::from_static("bw-route");
/// Milliseconds within which an answer is of full use.
const OBJECTIVE: HeaderName = HeaderName::from_static("bw-objective-ms");
/// Milliseconds left for the request.
const REMAINING: HeaderName = HeaderName::from_static("bw-remaining-ms");
/// Milliseconds that the request may wait for a slot.
const WAIT: HeaderName = HeaderName::from_static("bw-wait-ms");
/// Service that the request comes from.
const CALLER: HeaderName = HeaderName::from_static("bw-caller");
/// Tenant that the request comes from.
const TENANT: HeaderName = HeaderName::from_static("bw-for-tenant");
/// Digest of the request's content, in hexadecimal digits.
const CONTENT: HeaderName = HeaderName::from_static("bw-content");
/// Thousandths of the request that count as a retry.
const RETRIED_SHARE: HeaderName = HeaderName::from_static("bw-repeated");
/// How the attempt ended at the other daemon.
const RESULT: HeaderName = HeaderName::from_static("bw-result");
/// On an answer: the request's class is likely called by endpoints only. On a request: it is likely made by one.
const NESTED: HeaderName = HeaderName::from_static("bw-nested");
/// On a failed answer: the service at which a call that the endpoint made for the request found no capacity.
const SHORT_DOWNSTREAM: HeaderName = HeaderName::from_static("bw-short-below");
/// On an answer: hundredths of the bound on retries that are used where the endpoint's calls go.
const BOUND_USED: HeaderName = HeaderName::from_static("bw-bound-used");
/// Load of the endpoint: busy, limit and failed in a hundred, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("bw-load");

/// Value of the headers that say something by being there.
const YES: &str = "1";

/// What a daemon hands over to the one beside the endpoint with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    /// Endpoint that the request is for.
    pub endpoint: EndpointId,
    /// Rank of the request; 0 is the most important.
    pub rank: u32,
    /// Rank of the request at the root of its tree, as far as that is known; its own otherwise.
    pub root_rank: u32,
    /// Its class, the same at all daemons; header `bw-route`.
    pub class: RequestClass,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Time left for the request.
    pub remaining: Duration,
    /// Time that the request may wait for a slot.
    pub wait: Duration,
    /// Service that the request comes from.
    pub caller: Option<HeaderValue>,
    /// Whether an endpoint makes the request for one that it runs, as far as the daemon of its caller
    /// knows; header `bw-nested`.
    pub is_likely_nested: bool,
    /// Tenant that the request comes from, if its caller had a key; header `bw-for-tenant`.
    pub tenant: Option<HeaderValue>,
    /// What the request has in common with its resends; none from a daemon of an earlier version.
    pub content: Option<ContentDigest>,
    /// Part of the request, 0 to 1, that counts as a retry: 1 where an endpoint got it before, else the part to
    /// which the run that makes it was itself retried. Header `bw-repeated`, in thousandths; 0 where it is left
    /// out.
    pub retried_share: f64,
}

/// A request from another daemon lacks something that it must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("header {0} is missing or not valid")]
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
        let content = self.content.map(content_value);
        set_or_remove(headers, &CONTENT, content.as_ref());
        let nested = self.is_likely_nested.then(|| HeaderValue::from_static(YES));
        set_or_remove(headers, &NESTED, nested.as_ref());
        let retried_share = retried_share_value(self.retried_share);
        set_or_remove(headers, &RETRIED_SHARE, retried_share.as_ref());
    }

    /// Removes what only daemons may set from a request of a caller.
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
            NESTED,
            CONTENT,
            RETRIED_SHARE,
        ] {
            headers.remove(name);
        }
    }

    /// Whether a request is handed over.
    pub fn is_on(headers: &HeaderMap) -> bool {
        headers.contains_key(ENDPOINT)
    }

    /// Takes the headers off a request.
    ///
    /// # Errors
    /// [`InvalidHandover`] with the header at fault.
    pub fn take(headers: &mut HeaderMap) -> Result<Self, InvalidHandover> {
        let endpoint = headers.remove(ENDPOINT);
        let endpoint = endpoint.as_ref().and_then(|value| value.to_str().ok());
        let endpoint = endpoint.and_then(|text| text.parse::<EndpointId>().ok());
        let rank = number(headers.remove(RANK));
        let root_rank = headers.remove(ROOT_RANK);
        let class = number(headers.remove(CLASS));
        let objective = number(headers.remove(OBJECTIVE));
        let remaining = number(headers.remove(REMAINING));
        let wait = number(headers.remove(WAIT));
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
            content: read_content(headers.remove(CONTENT))?,
            retried_share: read_retried_share(headers.remove(RETRIED_SHARE))?,
        })
    }
}

/// Thousandths of a request that count as a retry; none where none do.
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
    let thousandths = number(value).and_then(|number| u16::try_from(number).ok());
    let thousandths = thousandths.filter(|thousandths| *thousandths <= 1_000);
    let thousandths = thousandths.ok_or(InvalidHandover("bw-repeated"))?;
    Ok(f64::from(thousandths) / 1_000.0)
}

/// Rank of the request at the root; that of the request itself where a daemon of an earlier version leaves it out.
fn read_root_rank(value: Option<HeaderValue>, own_rank: u32) -> Result<u32, InvalidHandover> {
    if value.is_none() {
        return Ok(own_rank);
    }
    let rank = number(value).and_then(|rank| u32::try_from(rank).ok());
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

fn millis(duration: Duration) -> HeaderValue {
    HeaderValue::from(Millis::of(duration).0)
}

fn number(value: Option<HeaderValue>) -> Option<u64> {
    value?.to_str().ok()?.parse().ok()
}

/// A name that is not valid counts as none.
fn read_service(value: &HeaderValue) -> Option<ServiceName> {
    ServiceName::new(value.to_str().ok()?).ok()
}

/// One that can't be read counts as none, as from a daemon of an earlier version.
fn read_percent(value: Option<HeaderValue>) -> u32 {
    let percent = number(value).and_then(|percent| u32::try_from(percent).ok());
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

/// What the daemon beside the endpoint reports with an answer besides how the attempt ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerReport {
    /// Load of the endpoint; none if it was not reported or can't be read.
    pub load: Option<LoadReport>,
    /// Whether the request's class is likely called by endpoints only; header `bw-nested`.
    pub is_likely_nested: bool,
    /// Where a call of the endpoint had found no capacity right before it failed the request; header `bw-short-below`.
    pub short_downstream: Option<ServiceName>,
    /// Hundredths of the bound on retries that are used where the endpoint's calls go; header `bw-bound-used`, 0 where
    /// it is left out or can't be read.
    pub bound_used_percent: u32,
}

impl AnswerReport {
    /// Sets the headers of an answer to an attempt that ended so.
    pub fn write(&self, result: AttemptResult, headers: &mut HeaderMap) {
        headers.insert(RESULT, HeaderValue::from_static(result.as_str()));
        if let Some(load) = self.load {
            let load = format!("{},{},{}", load.busy, load.limit, load.failed_percent);
            let load = HeaderValue::try_from(load).expect("numbers consist of visible ASCII");
            headers.insert(LOAD, load);
        }
        if self.is_likely_nested {
            headers.insert(NESTED, HeaderValue::from_static(YES));
        }
        if let Some(service) = &self.short_downstream {
            let service =
                HeaderValue::try_from(service.as_str()).expect("names consist of visible ASCII");
            headers.insert(SHORT_DOWNSTREAM, service);
        }
        if self.bound_used_percent > 0 {
            headers.insert(BOUND_USED, HeaderValue::from(self.bound_used_percent));
        }
    }

    /// Takes the headers off an answer, with how the attempt ended; `None` if it is not one of a daemon.
    pub fn take(headers: &mut HeaderMap) -> Option<(AttemptResult, Self)> {
        let result = headers.remove(RESULT)?;
        let is_named = |known: &AttemptResult| known.as_str().as_bytes() == result.as_bytes();
        let known = AttemptResult::ALL.into_iter().find(is_named)?;
        let load = headers.remove(LOAD);
        let load = load.as_ref().and_then(|value| value.to_str().ok());
        let report = Self {
            load: load.and_then(read_load),
            is_likely_nested: headers.remove(NESTED).is_some(),
            short_downstream: headers
                .remove(SHORT_DOWNSTREAM)
                .as_ref()
                .and_then(read_service),
            bound_used_percent: read_percent(headers.remove(BOUND_USED)),
        };
        Some((known, report))
    }
}
