//! Headers between daemons: what one tells the other besides the request and its answer.

use crate::http::fields::set_or_remove;
use bramblewheel_decisions::directory::LoadReport;
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_protocol::content::ContentDigest;
use bramblewheel_types::{EndpointId, Millis, ServiceName};
use http::{HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;
use thiserror::Error;

/// Endpoint that a request is for.
const ENDPOINT: HeaderName = HeaderName::from_static("bw-endpoint");
/// Rank of the request.
const RANK: HeaderName = HeaderName::from_static("bw-rank");
/// Rank of the request at the root of the tree that the request belongs to.
const ROOT_RANK: HeaderName = HeaderName::from_static("bw-root-rank");
/// Number that stands for the route of the request.
const ROUTE: HeaderName = HeaderName::from_static("bw-route");
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
/// Thousandths of the request that count as repeated: all where an endpoint got it before.
const RETRIED_SHARE: HeaderName = HeaderName::from_static("bw-repeated");
/// How the attempt ended at the other daemon.
const RESULT: HeaderName = HeaderName::from_static("bw-result");
/// On an answer: the request's route is called by endpoints only. On a request: it is made by one.
const NESTED: HeaderName = HeaderName::from_static("bw-nested");
/// On a failed answer: the service at which a call that the endpoint made for it found no room.
const SHORT: HeaderName = HeaderName::from_static("bw-short-below");
/// On an answer: hundredths of the bound on repeats that are used where the endpoint's calls go.
const BOUND_USED: HeaderName = HeaderName::from_static("bw-bound-used");
/// Load of the endpoint: busy, limit and failed in a hundred, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("bw-load");

/// Value of the headers that say something by being there.
const YES: &str = "1";

/// What a daemon tells the one beside the endpoint with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Handover {
    /// Endpoint that the request is for.
    pub endpoint: EndpointId,
    /// Rank of the request; 0 is the most important.
    pub rank: u32,
    /// Rank of the request at the root of its tree, as far as that is known; its own otherwise.
    pub root_rank: u32,
    /// Number that stands for its route, the same at all daemons.
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
    /// knows.
    pub is_likely_nested: bool,
    /// Tenant that the request comes from, if its caller had a key.
    pub tenant: Option<HeaderValue>,
    /// What the request has in common with its other tries; none from a daemon of an earlier version.
    pub content: Option<ContentDigest>,
    /// Part of the request that counts as repeated, between 0 and 1: 1 where an endpoint got it before.
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
        headers.insert(ROUTE, HeaderValue::from(self.class.0));
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
            ROUTE,
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
        let class = number(headers.remove(ROUTE));
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

/// Thousandths of a request that is repeated in part; none for one that is not.
fn retried_share_value(retried_share: f64) -> Option<HeaderValue> {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part is between 0 and 1"
    )]
    let thousandths = (retried_share.clamp(0.0, 1.0) * 1_000.0).round() as u32;
    (thousandths > 0).then(|| HeaderValue::from(thousandths))
}

fn read_retried_share(told: Option<HeaderValue>) -> Result<f64, InvalidHandover> {
    if told.is_none() {
        return Ok(0.0);
    }
    let thousandths = number(told).and_then(|told| u16::try_from(told).ok());
    let thousandths = thousandths.filter(|told| *told <= 1_000);
    let thousandths = thousandths.ok_or(InvalidHandover("bw-repeated"))?;
    Ok(f64::from(thousandths) / 1_000.0)
}

/// Rank of the tree; that of the request itself where a daemon of an earlier version does not tell it.
fn read_root_rank(told: Option<HeaderValue>, own_rank: u32) -> Result<u32, InvalidHandover> {
    if told.is_none() {
        return Ok(own_rank);
    }
    let rank = number(told).and_then(|rank| u32::try_from(rank).ok());
    rank.ok_or(InvalidHandover("bw-root-rank"))
}

fn content_value(content: ContentDigest) -> HeaderValue {
    HeaderValue::try_from(content.to_string()).expect("digits are visible ASCII")
}

fn read_content(told: Option<HeaderValue>) -> Result<Option<ContentDigest>, InvalidHandover> {
    let Some(told) = told else {
        return Ok(None);
    };
    let digest = told.to_str().ok().and_then(|text| text.parse().ok());
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
fn read_percent(told: Option<HeaderValue>) -> u32 {
    let percent = number(told).and_then(|percent| u32::try_from(percent).ok());
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

/// What the daemon beside the endpoint tells with an answer besides how the attempt ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerReport {
    /// Load of the endpoint; none if it was not told or can't be read.
    pub load: Option<LoadReport>,
    /// Whether the request's route is called by endpoints only.
    pub is_likely_nested: bool,
    /// Where a call of the endpoint had found no room right before it failed the request.
    pub short_downstream: Option<ServiceName>,
    /// Hundredths of the bound on repeats that are used where the endpoint's calls go.
    pub bound_used_percent: u32,
}

/// How an attempt ended at the daemon beside the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint ran the request; its answer follows.
    Answered,
    /// The endpoint got the request and refused it.
    Rejected,
    /// Another endpoint has the address; it refused the request.
    OtherEndpoint,
    /// The daemon refused: no slot came free in time.
    Full,
    /// The daemon refused: endpoints end under the request's content.
    Quarantined,
    /// The daemon refused: the endpoint is not there, leaves, or the daemon stops.
    Leaving,
    /// The endpoint could not be reached; it got nothing.
    Unreachable,
    /// The endpoint may have run the request; its answer is lost.
    Lost,
    /// The daemon does not answer any more; the endpoint may have run the request.
    Silent,
}

impl AttemptResult {
    const ALL: [Self; 9] = [
        Self::Answered,
        Self::Rejected,
        Self::OtherEndpoint,
        Self::Full,
        Self::Quarantined,
        Self::Leaving,
        Self::Unreachable,
        Self::Lost,
        Self::Silent,
    ];

    /// Name in headers and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::OtherEndpoint => "other-endpoint",
            Self::Full => "full",
            Self::Quarantined => "quarantined",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::Silent => "silent",
        }
    }

    /// Sets the headers of an answer.
    pub fn write(self, told: &AnswerReport, headers: &mut HeaderMap) {
        headers.insert(RESULT, HeaderValue::from_static(self.as_str()));
        if let Some(load) = told.load {
            let load = format!("{},{},{}", load.busy, load.limit, load.failed_percent);
            let load = HeaderValue::try_from(load).expect("numbers consist of visible ASCII");
            headers.insert(LOAD, load);
        }
        if told.is_likely_nested {
            headers.insert(NESTED, HeaderValue::from_static(YES));
        }
        if let Some(service) = &told.short_downstream {
            let service =
                HeaderValue::try_from(service.as_str()).expect("names consist of visible ASCII");
            headers.insert(SHORT, service);
        }
        if told.bound_used_percent > 0 {
            headers.insert(BOUND_USED, HeaderValue::from(told.bound_used_percent));
        }
    }

    /// Takes the headers off an answer; `None` if it is not one of a daemon.
    pub fn take(headers: &mut HeaderMap) -> Option<(Self, AnswerReport)> {
        let result = headers.remove(RESULT)?;
        let is_named = |known: &Self| known.as_str().as_bytes() == result.as_bytes();
        let known = Self::ALL.into_iter().find(is_named)?;
        let load = headers.remove(LOAD);
        let load = load.as_ref().and_then(|value| value.to_str().ok());
        let told = AnswerReport {
            load: load.and_then(read_load),
            is_likely_nested: headers.remove(NESTED).is_some(),
            short_downstream: headers.remove(SHORT).as_ref().and_then(read_service),
            bound_used_percent: read_percent(headers.remove(BOUND_USED)),
        };
        Some((known, told))
    }
}
