//! Parses and validates a bundle's TOML text and reports every finding with its location.

mod section;

use crate::check;
use crate::defaults;
use crate::error::{BundleError, Finding, Problem};
use crate::model::{
    AdmissionPolicy, Bundle, OperatorPolicy, OperatorPublicKey, RequestLimits, RoutePolicy,
    RoutingPolicy, ServicePolicy,
};
use bramblewheel_types::{BundleVersion, Criticality, Millis, ServiceName};
use section::{Document, Section};
use std::collections::BTreeMap;
use toml::de::DeTable;

/// Parses and validates a bundle's text. `file` is the name used in errors.
///
/// # Errors
/// [`BundleError`] with all findings. For text that is not TOML, only the syntax errors are reported.
pub fn parse(file: &str, text: &str) -> Result<Bundle, BundleError> {
    let mut document = Document::default();
    let (root, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        let problem = Problem::Syntax(error.message().to_owned());
        document.add_at(offset, String::new(), problem);
    }
    document.into_result(file, text)?;
    let mut document = Document::default();
    let bundle = read_bundle(&mut document, root.get_ref());
    if document.is_clean() {
        for Finding { key, problem } in check::findings(&bundle) {
            document.add(key, problem);
        }
    }
    document.into_result(file, text)?;
    Ok(bundle)
}

fn read_bundle(document: &mut Document, table: &DeTable<'_>) -> Bundle {
    let mut root = Section::new(String::new(), 0, table);
    let bundle = Bundle {
        version: BundleVersion(root.required_number(document, "version")),
        deployment: root.required_text(document, "deployment"),
        operators: read_operators(document, &mut root),
        limits: read_limits(document, &mut root),
        services: read_services(document, &mut root),
    };
    root.finish(document);
    bundle
}

fn read_operators(document: &mut Document, root: &mut Section<'_, '_>) -> OperatorPolicy {
    let mut policy = OperatorPolicy {
        required_signatures: 1,
        keys: BTreeMap::new(),
    };
    let Some(mut section) = root.table(document, "operators") else {
        document.add("operators".to_owned(), Problem::Missing);
        return policy;
    };
    policy.required_signatures = section.number(document, "required_signatures", 1);
    for mut key in section.tables(document, "key") {
        let name = key.required_text(document, "name");
        if !name.is_empty() && policy.keys.contains_key(&name) {
            document.add(key.key("name"), Problem::Duplicate(name));
            continue;
        }
        if !name.is_empty() {
            key.rename(document, format!("operators.key.{name}"));
        }
        let text = key.required_text(document, "public_key");
        let mut bytes = [0; 32];
        if hex::decode_to_slice(&text, &mut bytes).is_err() && !text.is_empty() {
            document.add(key.key("public_key"), Problem::InvalidPublicKey);
        }
        key.finish(document);
        policy.keys.insert(name, OperatorPublicKey(bytes));
    }
    section.finish(document);
    policy
}

fn read_limits(document: &mut Document, root: &mut Section<'_, '_>) -> RequestLimits {
    let default = defaults::LIMITS;
    let Some(mut section) = root.table(document, "limits") else {
        return default;
    };
    let limits = RequestLimits {
        retry_tokens: section.number(document, "retry_tokens", default.retry_tokens),
        retry_ratio_percent: section.number(
            document,
            "retry_ratio_percent",
            default.retry_ratio_percent,
        ),
        max_depth: section.number(document, "max_depth", default.max_depth),
        max_free_reroutes: section.number(document, "max_free_reroutes", default.max_free_reroutes),
        operation_retention: section.millis(
            document,
            "operation_retention_ms",
            default.operation_retention,
        ),
    };
    section.finish(document);
    limits
}

fn read_services(
    document: &mut Document,
    root: &mut Section<'_, '_>,
) -> BTreeMap<ServiceName, ServicePolicy> {
    let mut services = BTreeMap::new();
    for mut section in root.tables(document, "service") {
        let text = section.required_text(document, "name");
        let name = match ServiceName::new(&text) {
            Ok(name) if services.contains_key(&name) => {
                document.add(section.key("name"), Problem::Duplicate(text));
                None
            }
            Ok(name) => {
                section.rename(document, format!("service.{name}"));
                Some(name)
            }
            Err(_) if text.is_empty() && !section.has("name") => None,
            Err(error) => {
                document.add(section.key("name"), error.into());
                None
            }
        };
        let service = read_service(document, &mut section);
        section.finish(document);
        if let Some(name) = name {
            services.insert(name, service);
        }
    }
    services
}

fn read_service(document: &mut Document, section: &mut Section<'_, '_>) -> ServicePolicy {
    ServicePolicy {
        criticality: section
            .criticality(document, "criticality")
            .unwrap_or(Criticality::Normal),
        deadline: section.millis(document, "deadline_ms", defaults::DEADLINE),
        admission: read_admission(document, section),
        routing: read_routing(document, section),
        routes: section
            .tables(document, "route")
            .into_iter()
            .map(|route| read_route(document, route))
            .collect(),
    }
}

fn read_admission(document: &mut Document, service: &mut Section<'_, '_>) -> AdmissionPolicy {
    let default = defaults::ADMISSION;
    let Some(mut section) = service.table(document, "admission") else {
        return default;
    };
    let admission = AdmissionPolicy {
        queue_length: section.number(document, "queue_length", default.queue_length),
        min_concurrency: section.number(document, "min_concurrency", default.min_concurrency),
        max_concurrency: section.number(document, "max_concurrency", default.max_concurrency),
        max_sessions: section.number(document, "max_sessions", default.max_sessions),
    };
    section.finish(document);
    admission
}

fn read_routing(document: &mut Document, service: &mut Section<'_, '_>) -> RoutingPolicy {
    let default = defaults::ROUTING;
    let Some(mut section) = service.table(document, "routing") else {
        return default;
    };
    let routing = RoutingPolicy {
        spill_over_percent: section.number(
            document,
            "spill_over_percent",
            default.spill_over_percent,
        ),
        slow_start: section.millis(document, "slow_start_ms", default.slow_start),
        max_ejected_percent: section.number(
            document,
            "max_ejected_percent",
            default.max_ejected_percent,
        ),
        max_connections: section.number(document, "max_connections", default.max_connections),
    };
    section.finish(document);
    routing
}

fn read_route(document: &mut Document, mut section: Section<'_, '_>) -> RoutePolicy {
    let route = RoutePolicy {
        prefix: section.required_text(document, "prefix"),
        criticality: section.criticality(document, "criticality"),
        deadline: section.optional_number(document, "deadline_ms").map(Millis),
        repeatable: section.flag(document, "repeatable", true),
    };
    section.finish(document);
    route
}
