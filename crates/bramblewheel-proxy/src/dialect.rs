//! Names of the headers between callers, endpoints and this layer, the classification of an endpoint's answer by its
//! head, and what the head states of the endpoint. The program that starts the daemon may replace the names.

use crate::http::fields::set_or_remove;
use bramblewheel_decisions::load_statement::{InvalidLoadStatement, LoadStatement};
use bramblewheel_types::{EndpointId, InvalidRateLimit, Millis, RateLimit};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use std::time::Duration;

/// Value of a drain notice.
const DRAINING: &str = "1";

/// Names of the headers that callers and endpoints set and read. The default names are the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Id of a request, the same from the caller to the endpoint and back.
    pub request_id: HeaderName,
    /// Remaining time of the request, in milliseconds.
    pub remaining_millis: HeaderName,
    /// Id of the endpoint that the request is for.
    pub expected_endpoint: HeaderName,
    /// Service that the request comes from.
    pub caller_service: HeaderName,
    /// Tenant that the request comes from.
    pub tenant: HeaderName,
    /// Authorization scheme of a caller's key.
    pub key_scheme: &'static str,
    /// On an answer: the endpoint did not run the request.
    pub not_run: HeaderName,
    /// On an answer: proof that its body is the endpoint's.
    pub proof: HeaderName,
    /// On an answer: requests per second that the endpoint takes from all machines together.
    pub rate_limit: HeaderName,
    /// On an answer: the endpoint drains.
    pub draining: HeaderName,
    /// On an answer: the endpoint's running requests, waiting requests, slots and work time in percent of the usual,
    /// separated by commas.
    pub load: HeaderName,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("bw-request-id"),
            remaining_millis: HeaderName::from_static("bw-remaining-ms"),
            expected_endpoint: HeaderName::from_static("bw-expected-endpoint"),
            caller_service: HeaderName::from_static("bw-caller-service"),
            tenant: HeaderName::from_static("bw-tenant"),
            key_scheme: "Token",
            not_run: HeaderName::from_static("bw-not-run"),
            proof: HeaderName::from_static("bw-proof"),
            rate_limit: HeaderName::from_static("bw-rate-limit"),
            draining: HeaderName::from_static("bw-draining"),
            load: HeaderName::from_static("bw-endpoint-load"),
        }
    }
}

/// Kind of an endpoint's answer, by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The endpoint ran the request.
    Ran,
    /// The endpoint did not run the request: it has no capacity, is draining, or the deadline has passed.
    NotRun,
    /// Another endpoint answered at the address and did not run the request.
    OtherEndpoint,
    /// The answer does not belong to this request.
    Foreign,
}

/// What the head of an answer states of the endpoint itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointStatement {
    /// Its rate limit, if it states one.
    ///
    /// Holds an error if the value can't be read, which says nothing of the limit in force.
    pub rate_limit: Result<Option<RateLimit>, InvalidRateLimit>,
    /// Whether it drains.
    pub drain: DrainStatement,
    /// Its load, if it states one with a work time.
    pub load: Result<Option<LoadStatement>, InvalidLoadStatement>,
}

/// What the head of an answer states of the endpoint's draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStatement {
    /// Nothing.
    None,
    /// The endpoint takes no new requests.
    Draining,
    /// The value can't be read and is ignored.
    Invalid,
}

impl Dialect {
    /// What the head of an answer states of the endpoint. Only valid for an [answer](Self::kind) of that endpoint.
    pub fn statement(&self, headers: &HeaderMap) -> EndpointStatement {
        EndpointStatement {
            rate_limit: self.stated_limit(headers),
            drain: self.stated_drain(headers),
            load: self.stated_load(headers),
        }
    }

    fn stated_limit(&self, headers: &HeaderMap) -> Result<Option<RateLimit>, InvalidRateLimit> {
        let mut stated = None;
        for value in headers.get_all(&self.rate_limit) {
            let text = value.to_str().map_err(|_| InvalidRateLimit::NoNumber)?;
            let limit = text.trim().parse::<RateLimit>()?;
            if stated.is_some_and(|earlier| earlier != limit) {
                return Err(InvalidRateLimit::SeveralValues);
            }
            stated = Some(limit);
        }
        Ok(stated)
    }

    fn stated_drain(&self, headers: &HeaderMap) -> DrainStatement {
        let mut stated = DrainStatement::None;
        for value in headers.get_all(&self.draining) {
            if value.as_bytes().trim_ascii() != DRAINING.as_bytes() {
                return DrainStatement::Invalid;
            }
            stated = DrainStatement::Draining;
        }
        stated
    }

    fn stated_load(
        &self,
        headers: &HeaderMap,
    ) -> Result<Option<LoadStatement>, InvalidLoadStatement> {
        let mut stated = None;
        for value in headers.get_all(&self.load) {
            let text = value
                .to_str()
                .map_err(|_| InvalidLoadStatement::NoNumbers)?;
            let load = LoadStatement::parse(text)?;
            if stated.is_some_and(|earlier| earlier != load) {
                return Err(InvalidLoadStatement::SeveralValues);
            }
            stated = Some(load);
        }
        Ok(stated.flatten())
    }

    /// Id of a request or answer.
    pub fn id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a HeaderValue> {
        headers.get(&self.request_id)
    }

    /// Remaining time of a request, if its caller states it.
    pub fn remaining(&self, headers: &HeaderMap) -> Option<Duration> {
        let text = headers.get(&self.remaining_millis)?.to_str().ok()?;
        text.trim().parse().ok().map(Duration::from_millis)
    }

    /// Removes headers that only this layer may set from a request of a caller.
    pub fn strip(&self, headers: &mut HeaderMap) {
        headers.remove(&self.remaining_millis);
        headers.remove(&self.expected_endpoint);
        headers.remove(&self.caller_service);
        headers.remove(&self.tenant);
    }

    /// Sets the headers that an endpoint expects on a request.
    pub fn set_headers(
        &self,
        headers: &mut HeaderMap,
        endpoint: &EndpointId,
        remaining: Duration,
        caller: Option<&HeaderValue>,
        tenant: Option<&HeaderValue>,
    ) {
        let millis = Millis::of(remaining).0;
        headers.insert(&self.remaining_millis, HeaderValue::from(millis));
        let endpoint =
            HeaderValue::try_from(endpoint.name()).expect("names consist of visible ASCII");
        headers.insert(&self.expected_endpoint, endpoint);
        set_or_remove(headers, &self.caller_service, caller);
        set_or_remove(headers, &self.tenant, tenant);
    }

    /// Classifies an endpoint's answer to the request `id`. An answer with another request id is a late surplus
    /// answer; a rejection without an id may be one; a success without proof does not come from the endpoint.
    pub fn kind(&self, status: StatusCode, headers: &HeaderMap, id: &HeaderValue) -> AnswerKind {
        if status == StatusCode::MISDIRECTED_REQUEST {
            return AnswerKind::OtherEndpoint;
        }
        let stated = self.id(headers);
        if stated.is_some_and(|stated| stated != id) {
            return AnswerKind::Foreign;
        }
        if headers.contains_key(&self.not_run) {
            // Without an id it may be the rejection of another request.
            return stated.map_or(AnswerKind::Foreign, |_| AnswerKind::NotRun);
        }
        let has_proof = stated.is_some() && headers.contains_key(&self.proof);
        if status.is_success() && !has_proof {
            return AnswerKind::Foreign;
        }
        AnswerKind::Ran
    }
}
