//! Derives the cause of a request's outcome from its log lines.

use super::{LogLine, Timeline};
use std::fmt;

/// Cause of a request's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No log line shows the cause.
    Unknown,
    /// Its daemon refused it on arrival.
    NotReady {
        /// The reason, such as that the daemon had no configuration yet.
        reason: String,
    },
    /// It had no key of a tenant.
    Unauthorized {
        /// The problem with its key.
        reason: String,
        /// Version of the route table.
        table: String,
    },
    /// Its tenant had used up its quota.
    OverQuota {
        /// Name of the tenant.
        tenant: String,
        /// Requests per second that the quota allows.
        rate: String,
        /// Requests that all daemons had admitted within the window.
        admitted: String,
        /// Share of its requests that was admitted.
        admitted_share: String,
    },
    /// Its content was quarantined, since endpoints had crashed while they ran it.
    Quarantined {
        /// Digest of the content.
        content: String,
        /// Number of endpoint incarnations that crashed, as far as they are counted.
        crashes: String,
    },
    /// Refused before it was executed, since its daemon was stopping.
    Stopping,
    /// It was still running at an endpoint when its daemon had to exit.
    OutlastsStop,
    /// It was cut off when its daemon exited.
    CutOff {
        /// Stage that the request had reached.
        stage: String,
        /// Time since its arrival, in milliseconds.
        after_ms: String,
    },
    /// A retried run made it as a call, and the bound on retries was used up.
    CallOfRetriedRun {
        /// Service that was called.
        service: String,
    },
    /// No route in force matches it.
    NoRoute {
        /// Version of the route table.
        table: String,
    },
    /// Its caller disconnected.
    CallerDisconnected,
    /// Refused before it was executed, since no endpoint had capacity.
    Overload {
        /// Endpoint of the last refusal.
        endpoint: String,
        /// Load of that endpoint, if its daemon logged it.
        load: Option<String>,
    },
    /// Refused before it was executed, since the rate limits of its service's endpoints were used up.
    RateLimited {
        /// Endpoint of the last refusal, with its limit and the time to the next token if its daemon logged them.
        last: Option<String>,
    },
    /// The caller's daemon refused it early, since endpoints lacked capacity for its class of requests.
    RefusedEarly {
        /// Share of the class's requests that was refused early.
        refused_share: String,
        /// Downstream service without capacity, if it is not the request's own service.
        short_service: Option<String>,
    },
    /// Endpoints were draining or could not be reached.
    NoEndpoint {
        /// Result of the last attempt.
        result: String,
    },
    /// The endpoint may have executed it, but the answer was lost.
    AnswerLost {
        /// Name of the endpoint.
        endpoint: String,
        /// Part of the exchange that failed, if its daemon logged it.
        failed_part: Option<String>,
    },
    /// The endpoint answered with an error.
    EndpointFailed {
        /// Service without capacity for a call that the endpoint made, if that was the reason.
        short_service: Option<String>,
    },
    /// Its time-out expired.
    TimedOut,
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unknown => formatter.write_str(
                "no log line shows it: the request succeeded, was never read, or its lines are missing",
            ),
            Self::NotReady { reason } => write!(formatter, "refused at once: {reason}"),
            Self::Unauthorized { reason, table } => {
                write!(formatter, "no valid key in table {table}: {reason}")
            }
            Self::OverQuota {
                tenant,
                rate,
                admitted,
                admitted_share,
            } => write!(
                formatter,
                "over the quota of {tenant} ({rate} a second, {admitted} let in), \
                 {admitted_share} of its requests let in"
            ),
            Self::Quarantined { content, crashes } => write!(
                formatter,
                "kept from endpoints: {crashes} of them ended while they ran its content {content}"
            ),
            Self::Stopping => formatter.write_str("refused at once: its daemon stops"),
            Self::OutlastsStop => {
                formatter.write_str("an endpoint was still running it when its daemon had to exit")
            }
            Self::CutOff { stage, after_ms } => write!(
                formatter,
                "cut off after {after_ms} ms ({stage}) when its daemon exited"
            ),
            Self::CallOfRetriedRun { service } => write!(
                formatter,
                "a retried run made this call, and the bound on retries at {service} was used up"
            ),
            Self::NoRoute { table } => write!(formatter, "no route in table {table}"),
            Self::CallerDisconnected => formatter.write_str("its caller disconnected"),
            Self::Overload { endpoint, load } => {
                write!(formatter, "no room, last at {endpoint}")?;
                load.iter().try_for_each(|load| write!(formatter, " ({load})"))
            }
            Self::RateLimited { last } => {
                formatter.write_str("the rate limits of endpoints were used up")?;
                last.iter().try_for_each(|last| write!(formatter, ", last at {last}"))
            }
            Self::RefusedEarly { refused_share, short_service } => {
                write!(formatter, "no room for its like")?;
                short_service.iter().try_for_each(|service| write!(formatter, " at {service}"))?;
                write!(formatter, ", {refused_share} of them refused early")
            }
            Self::NoEndpoint { result } => write!(formatter, "no endpoint took it: {result}"),
            Self::AnswerLost { endpoint, failed_part } => {
                write!(formatter, "the answer of {endpoint} was lost")?;
                failed_part.iter().try_for_each(|part| write!(formatter, " ({part})"))
            }
            Self::EndpointFailed { short_service } => {
                formatter.write_str("the endpoint answered with an error")?;
                let write_service = |service| write!(formatter, ": a call found no room at {service}");
                short_service.iter().try_for_each(write_service)
            }
            Self::TimedOut => formatter.write_str("its time-out expired"),
        }
    }
}

impl Timeline {
    /// Cause of the request's outcome.
    pub fn cause(&self) -> Cause {
        let has = |event: &str| self.lines.iter().any(|line| line.event() == event);
        if let Some(line) = self.last("cut off by the stop") {
            return Cause::CutOff {
                stage: value_or_unknown(line, "stage"),
                after_ms: value_or_unknown(line, "after_ms"),
            };
        }
        if has("caller went away") {
            return Cause::CallerDisconnected;
        }
        if let Some(line) = self.last("request refused") {
            let reason = value_or_unknown(line, "reason");
            return Cause::NotReady { reason };
        }
        if let Some(line) = self.last("unauthorized") {
            return Cause::Unauthorized {
                reason: value_or_unknown(line, "reason"),
                table: value_or_unknown(line, "table"),
            };
        }
        if let Some(line) = self.last("over quota") {
            return Cause::OverQuota {
                tenant: value_or_unknown(line, "tenant"),
                rate: value_or_unknown(line, "rate"),
                admitted: value_or_unknown(line, "let_in"),
                admitted_share: value_or_unknown(line, "part"),
            };
        }
        if let Some(line) = self.last("quarantined") {
            return Cause::Quarantined {
                content: value_or_unknown(line, "content"),
                crashes: value_or_unknown(line, "ends"),
            };
        }
        if let Some(line) = self.last("call of a repeated run refused") {
            let service = value_or_unknown(line, "service");
            return Cause::CallOfRetriedRun { service };
        }
        if let Some(line) = self.last("no route") {
            let table = value_or_unknown(line, "table");
            return Cause::NoRoute { table };
        }
        if let Some(line) = self.last("refused early") {
            let refused_share = value_or_unknown(line, "refused_part");
            let short_service = short_service(line);
            return Cause::RefusedEarly {
                refused_share,
                short_service,
            };
        }
        let ended = self.last("request ended");
        match ended.and_then(|line| line.value("outcome")) {
            Some("failed") => {
                let short_service = ended.and_then(short_service);
                Cause::EndpointFailed { short_service }
            }
            Some("timed-out") => Cause::TimedOut,
            Some("stopping") => Cause::Stopping,
            Some("outlasts-stop") => Cause::OutlastsStop,
            _ => self.cause_of_last_attempt(),
        }
    }

    fn last(&self, event: &str) -> Option<&LogLine> {
        self.lines.iter().rfind(|line| line.event() == event)
    }

    /// Cause from the last attempt, which determines the outcome when there was no answer.
    fn cause_of_last_attempt(&self) -> Cause {
        let Some(attempt) = self.last("attempt failed") else {
            if let Some(line) = self.last("no endpoint") {
                if is_over_limits(line) {
                    return Cause::RateLimited { last: None };
                }
                let result = "none is known".to_owned();
                return Cause::NoEndpoint { result };
            }
            return Cause::Unknown;
        };
        let endpoint = value_or_unknown(attempt, "endpoint");
        let last_at_endpoint = |event: &str| {
            let mut lines = self.lines.iter();
            lines.rfind(|line| line.event() == event && line.value("endpoint") == Some(&endpoint))
        };
        match attempt.value("result").unwrap_or_default() {
            "failed" => Cause::EndpointFailed {
                short_service: None,
            },
            "lost" | "silent" => {
                let failed_part =
                    last_at_endpoint("answer lost").map(|line| value_or_unknown(line, "broken"));
                Cause::AnswerLost {
                    endpoint,
                    failed_part,
                }
            }
            "full" | "rejected" => {
                let load = last_at_endpoint("not admitted").map(|line| {
                    let limits = (
                        value_or_unknown(line, "limit"),
                        value_or_unknown(line, "route_limit"),
                    );
                    let busy = value_or_unknown(line, "busy");
                    format!(
                        "busy {busy} of {}, its route limited to {}",
                        limits.0, limits.1
                    )
                });
                Cause::Overload { endpoint, load }
            }
            "rate-limited" => {
                let refusal = last_at_endpoint("not admitted").map(|line| {
                    format!(
                        " (limit {}, stated {} ms before, next token in {} ms)",
                        value_or_unknown(line, "rate_limit"),
                        value_or_unknown(line, "rate_limit_age_ms"),
                        value_or_unknown(line, "next_token_ms")
                    )
                });
                let last = Some(format!("{endpoint}{}", refusal.unwrap_or_default()));
                Cause::RateLimited { last }
            }
            result => Cause::NoEndpoint {
                result: result.to_owned(),
            },
        }
    }
}

/// Whether requests were not sent because of rate limits.
fn is_over_limits(line: &LogLine) -> bool {
    let part = line.value("over_limits").and_then(|part| part.parse().ok());
    part.is_some_and(|part: f64| part > 0.0)
}

/// Service without capacity, if the line names one.
fn short_service(line: &LogLine) -> Option<String> {
    let name = line.value("short").filter(|name| !name.is_empty());
    name.map(str::to_owned)
}

/// Value of a key, or `?` if the line does not have it.
fn value_or_unknown(line: &LogLine, key: &str) -> String {
    line.value(key).unwrap_or("?").to_owned()
}
