//! Validation rules for bundles.

use crate::error::{Finding, InvalidBundle, Problem};
use crate::model::{Bundle, OperatorPolicy, RequestLimits, RoutePolicy, ServicePolicy};
use crate::sections::Head;
use bramblewheel_types::{Millis, ServiceName};
use ed25519_dalek::VerifyingKey;

/// Maximum number of services in a bundle.
pub const MAX_SERVICES: usize = 4_096;
/// Maximum number of routes of one service.
pub const MAX_ROUTES: usize = 256;
/// Maximum number of operator keys.
pub const MAX_OPERATORS: usize = 64;
/// Maximum length of a path prefix in bytes.
pub const MAX_PREFIX_LENGTH: usize = 256;
/// Maximum deadline: one hour.
pub const MAX_DEADLINE: Millis = Millis(60 * 60 * 1_000);
/// Maximum retention of operation keys: 30 days.
pub const MAX_RETENTION: Millis = Millis(30 * 24 * 60 * 60 * 1_000);
/// Maximum number of extra attempts that one request tree may cause.
pub const MAX_RETRY_TOKENS: u64 = 100;
/// Maximum for counts of queued calls, slots, sessions and connections.
pub const MAX_COUNT: u64 = 1_000_000;
/// Maximum spill-over threshold, in percent of the concurrency limit.
pub const MAX_SPILL_OVER_PERCENT: u64 = 1_000;

/// Checks a bundle against all rules.
///
/// # Errors
/// [`InvalidBundle`] with all findings.
pub fn check(bundle: &Bundle) -> Result<(), InvalidBundle> {
    into_result(findings(bundle))
}

fn into_result(findings: Vec<Finding>) -> Result<(), InvalidBundle> {
    if findings.is_empty() {
        Ok(())
    } else {
        Err(InvalidBundle { findings })
    }
}

/// Checks a bundle's head against the rules for heads.
///
/// # Errors
/// [`InvalidBundle`] with all findings.
pub fn check_head(head: &Head) -> Result<(), InvalidBundle> {
    let mut checker = Checker::default();
    checker.head(head);
    into_result(checker.findings)
}

pub(crate) fn findings(bundle: &Bundle) -> Vec<Finding> {
    let mut checker = Checker::default();
    checker.head(&bundle.head());
    checker.limits(&bundle.limits);
    checker.at_most("service", bundle.services.len(), MAX_SERVICES);
    if bundle.services.is_empty() {
        checker.add("service", Problem::Missing);
    }
    for (name, service) in &bundle.services {
        checker.service(&format!("service.{name}"), service);
    }
    checker.retention(bundle);
    checker.findings
}

#[derive(Default)]
struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn add(&mut self, key: &str, problem: Problem) {
        self.findings.push(Finding {
            key: key.to_owned(),
            problem,
        });
    }

    fn range(&mut self, key: &str, value: impl Into<u64>, min: u64, max: u64) {
        let value = value.into();
        if !(min..=max).contains(&value) {
            let value = value.to_string();
            self.add(key, Problem::OutOfRange { value, min, max });
        }
    }

    fn at_most(&mut self, key: &str, count: usize, limit: usize) {
        if count > limit {
            self.add(key, Problem::TooMany { count, limit });
        }
    }

    fn head(&mut self, head: &Head) {
        self.range("version", head.version.0, 1, u64::MAX);
        if let Err(error) = ServiceName::new(&head.deployment) {
            self.add("deployment", error.into());
        }
        self.operators(&head.operators);
    }

    fn operators(&mut self, operators: &OperatorPolicy) {
        let required = operators.required_signatures;
        let keys = operators.keys.len();
        self.range(
            "operators.required_signatures",
            required,
            1,
            MAX_OPERATORS as u64,
        );
        if required as usize > keys {
            self.add(
                "operators.required_signatures",
                Problem::TooFewKeys { required, keys },
            );
        }
        self.at_most("operators.key", keys, MAX_OPERATORS);
        for (name, key) in &operators.keys {
            let path = format!("operators.key.{name}");
            if let Err(error) = ServiceName::new(name) {
                self.add(&format!("{path}.name"), error.into());
            }
            let path = format!("{path}.public_key");
            if VerifyingKey::from_bytes(&key.0).is_ok_and(|key| !key.is_weak()) {
                let mut earlier = operators.keys.range::<String, _>(..name);
                if let Some((other, _)) = earlier.find(|(_, other)| *other == key) {
                    self.add(&path, Problem::SharedPublicKey(other.clone()));
                }
            } else {
                self.add(&path, Problem::InvalidPublicKey);
            }
        }
    }

    fn limits(&mut self, limits: &RequestLimits) {
        self.range(
            "limits.retry_tokens",
            limits.retry_tokens,
            0,
            MAX_RETRY_TOKENS,
        );
        self.range(
            "limits.retry_ratio_percent",
            limits.retry_ratio_percent,
            0,
            100,
        );
        self.range("limits.max_depth", limits.max_depth, 1, u64::from(u8::MAX));
        self.range("limits.max_free_reroutes", limits.max_free_reroutes, 0, 16);
        self.range(
            "limits.operation_retention_ms",
            limits.operation_retention.0,
            1,
            MAX_RETENTION.0,
        );
    }

    fn service(&mut self, path: &str, service: &ServicePolicy) {
        self.deadline(path, service.deadline);
        let admission = &service.admission;
        let key = |name: &str| format!("{path}.admission.{name}");
        let (min, max) = (admission.min_concurrency, admission.max_concurrency);
        self.range(&key("queue_length"), admission.queue_length, 0, MAX_COUNT);
        self.range(&key("min_concurrency"), min, 1, MAX_COUNT);
        self.range(&key("max_concurrency"), max, 1, MAX_COUNT);
        self.range(&key("max_sessions"), admission.max_sessions, 0, MAX_COUNT);
        if min > max {
            let problem = Problem::AboveMaximum {
                minimum: min.into(),
                bound_key: "max_concurrency",
                maximum: max.into(),
            };
            self.add(&key("min_concurrency"), problem);
        }
        self.routing(path, service);
        self.at_most(&format!("{path}.route"), service.routes.len(), MAX_ROUTES);
        for index in 0..service.routes.len() {
            self.route(&format!("{path}.route[{index}]"), &service.routes, index);
        }
    }

    fn routing(&mut self, path: &str, service: &ServicePolicy) {
        let routing = &service.routing;
        let key = |name: &str| format!("{path}.routing.{name}");
        self.range(
            &key("spill_over_percent"),
            routing.spill_over_percent,
            1,
            MAX_SPILL_OVER_PERCENT,
        );
        self.range(
            &key("slow_start_ms"),
            routing.slow_start.0,
            0,
            MAX_DEADLINE.0,
        );
        self.range(
            &key("max_ejected_percent"),
            routing.max_ejected_percent,
            0,
            100,
        );
        self.range(
            &key("max_connections"),
            routing.max_connections,
            1,
            MAX_COUNT,
        );
    }

    fn route(&mut self, path: &str, routes: &[RoutePolicy], index: usize) {
        let route = &routes[index];
        let prefix_key = format!("{path}.prefix");
        if let Some(problem) = prefix_problem(&route.prefix) {
            self.add(&prefix_key, problem);
        }
        if let Some(deadline) = route.deadline {
            self.deadline(path, deadline);
        }
        let earlier = routes[..index]
            .iter()
            .find(|earlier| route.prefix.starts_with(&earlier.prefix));
        match earlier {
            Some(earlier) if earlier.prefix == route.prefix => {
                self.add(&prefix_key, Problem::Duplicate(route.prefix.clone()));
            }
            Some(earlier) => {
                let hidden_by = earlier.prefix.clone();
                self.add(&prefix_key, Problem::UnreachableRoute { hidden_by });
            }
            None => {}
        }
    }

    fn deadline(&mut self, path: &str, deadline: Millis) {
        self.range(
            &format!("{path}.deadline_ms"),
            deadline.0,
            1,
            MAX_DEADLINE.0,
        );
    }

    /// If an operation key is discarded before its request's deadline, the request could be executed a second time.
    fn retention(&mut self, bundle: &Bundle) {
        let retention = bundle.limits.operation_retention.0;
        for (name, service) in &bundle.services {
            for route in service.routes.iter().filter(|route| !route.repeatable) {
                let deadline = route.deadline.unwrap_or(service.deadline).0;
                if deadline > retention {
                    let route = format!("{name} {}", route.prefix);
                    let problem = Problem::RetentionTooShort {
                        retention,
                        deadline,
                        route,
                    };
                    self.add("limits.operation_retention_ms", problem);
                }
            }
        }
    }
}

fn prefix_problem(prefix: &str) -> Option<Problem> {
    let length = prefix.len();
    if length > MAX_PREFIX_LENGTH {
        let limit = MAX_PREFIX_LENGTH;
        return Some(Problem::PrefixTooLong { length, limit });
    }
    let visible = prefix
        .bytes()
        .all(|b| b.is_ascii_graphic() && !b"?#".contains(&b));
    (!prefix.starts_with('/') || !visible).then_some(Problem::InvalidPrefix)
}
