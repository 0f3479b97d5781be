//! Formats a bundle as TOML; parsing the text gives the same bundle.

use crate::model::{Bundle, RoutePolicy, ServicePolicy};
use bramblewheel_types::ServiceName;

/// Formats a bundle as TOML, with the defaults written out.
pub fn to_toml(bundle: &Bundle) -> String {
    let limits = &bundle.limits;
    let mut text = format!(
        "version = {}\ndeployment = {}\n\n[operators]\nrequired_signatures = {}\n",
        bundle.version,
        quote(&bundle.deployment),
        bundle.operators.required_signatures,
    );
    for (name, key) in &bundle.operators.keys {
        text += &format!(
            "\n[[operators.key]]\nname = {}\npublic_key = \"{}\"\n",
            quote(name),
            hex::encode(key.0),
        );
    }
    text += &format!(
        "\n[limits]\nretry_tokens = {}\nretry_ratio_percent = {}\nmax_depth = {}\n\
         max_free_reroutes = {}\noperation_retention_ms = {}\n",
        limits.retry_tokens,
        limits.retry_ratio_percent,
        limits.max_depth,
        limits.max_free_reroutes,
        limits.operation_retention.0,
    );
    for (name, service) in &bundle.services {
        text += &service_to_toml(name, service);
    }
    text
}

fn service_to_toml(name: &ServiceName, service: &ServicePolicy) -> String {
    let admission = &service.admission;
    let routing = &service.routing;
    let mut text = format!(
        "\n[[service]]\nname = {}\ncriticality = \"{}\"\ndeadline_ms = {}\n",
        quote(name.as_str()),
        service.criticality,
        service.deadline.0,
    );
    text += &format!(
        "\n[service.admission]\nqueue_length = {}\nmin_concurrency = {}\nmax_concurrency = {}\n\
         max_sessions = {}\n",
        admission.queue_length,
        admission.min_concurrency,
        admission.max_concurrency,
        admission.max_sessions,
    );
    text += &format!(
        "\n[service.routing]\nspill_over_percent = {}\nslow_start_ms = {}\n\
         max_ejected_percent = {}\nmax_connections = {}\n",
        routing.spill_over_percent,
        routing.slow_start.0,
        routing.max_ejected_percent,
        routing.max_connections,
    );
    for route in &service.routes {
        text += &route_to_toml(route);
    }
    text
}

fn route_to_toml(route: &RoutePolicy) -> String {
    let mut text = format!("\n[[service.route]]\nprefix = {}\n", quote(&route.prefix));
    if let Some(criticality) = route.criticality {
        text += &format!("criticality = \"{criticality}\"\n");
    }
    if let Some(deadline) = route.deadline {
        text += &format!("deadline_ms = {}\n", deadline.0);
    }
    text += &format!("repeatable = {}\n", route.repeatable);
    text
}

fn quote(text: &str) -> String {
    toml::Value::from(text).to_string()
}
