//! Changes between bundles are listed, and dangerous ones give warnings.

mod support;

use bramblewheel_bundle::diff::Value;
use bramblewheel_bundle::{Bundle, Change, RoutePolicy, ServicePolicy, Warning, changes, warnings};
use bramblewheel_types::{Criticality, Millis};
use support::{keys, service, torgnett};

fn kassa(bundle: &mut Bundle) -> &mut ServicePolicy {
    let kassa = bundle.services.get_mut(&service("kassa"));
    kassa.expect("the test bundle has kassa")
}

fn edited(edit: impl FnOnce(&mut Bundle)) -> Bundle {
    let mut bundle = torgnett();
    edit(&mut bundle);
    bundle
}

fn warnings_of(edit: impl FnOnce(&mut Bundle)) -> Vec<Warning> {
    warnings(&torgnett(), &edited(edit))
}

fn repeatable(prefix: &str) -> RoutePolicy {
    RoutePolicy {
        prefix: prefix.to_owned(),
        criticality: Some(Criticality::Critical),
        deadline: None,
        repeatable: true,
    }
}

#[test]
fn equal_bundles_have_no_changes() {
    assert_eq!(changes(&torgnett(), &torgnett()), []);
    assert_eq!(warnings_of(|_| ()), []);
}

#[test]
fn changes_name_key_and_values() {
    let after = edited(|bundle| {
        bundle.limits.retry_tokens = 2;
        kassa(bundle).routes[0].deadline = None;
        kassa(bundle).routes.push(repeatable("/quote"));
    });
    let list = changes(&torgnett(), &after);
    let shown: Vec<String> = list.iter().map(Change::to_string).collect();
    let expected = [
        "~ limits.retry_tokens: 3 -> 2",
        "- service.kassa.route./pay.deadline_ms: 8000",
        "+ service.kassa.route./quote.criticality: critical",
        "+ service.kassa.route./quote.position: 1",
        "+ service.kassa.route./quote.repeatable: true",
    ];
    assert_eq!(shown, expected);
    assert_eq!(list[0].after, Some(Value::Number(2)));
}

#[test]
fn a_path_that_becomes_repeatable_gives_a_warning_for_every_kind_of_edit() {
    let expected = |prefix: &str| {
        let route = format!("kassa {prefix}");
        vec![Warning::BecomesRepeatable { route }]
    };
    let changed = warnings_of(|bundle| kassa(bundle).routes[0].repeatable = true);
    assert_eq!(changed, expected("/pay"));
    let removed = warnings_of(|bundle| kassa(bundle).routes.clear());
    assert_eq!(removed, expected("/pay"));
    let shadowed = warnings_of(|bundle| kassa(bundle).routes.insert(0, repeatable("/pay/card")));
    assert_eq!(shadowed, expected("/pay/card"));
    let hidden = warnings_of(|bundle| kassa(bundle).routes.insert(0, repeatable("/p")));
    assert_eq!(hidden, expected("/pay"));
}

#[test]
fn lowered_criticality_gives_a_warning_and_raised_criticality_does_not() {
    let lowered =
        warnings_of(|bundle| kassa(bundle).routes[0].criticality = Some(Criticality::Low));
    let expected = Warning::CriticalityLowered {
        route: "kassa /pay".to_owned(),
        before: Criticality::Critical,
        after: Criticality::Low,
    };
    assert_eq!(lowered, [expected]);
    let service_default = warnings_of(|bundle| kassa(bundle).criticality = Criticality::Normal);
    assert_eq!(service_default.len(), 1);
    let oppgjor = service("oppgjor");
    let raised = warnings_of(|bundle| {
        let oppgjor = bundle
            .services
            .get_mut(&oppgjor)
            .expect("the test bundle has oppgjor");
        oppgjor.criticality = Criticality::Critical;
    });
    assert_eq!(raised, []);
}

#[test]
fn changed_operators_limits_services_and_deployment_give_warnings() {
    let operators = warnings_of(|bundle| {
        let key = keys(1)[0].public_key();
        bundle.operators.keys.insert("trial-anna".to_owned(), key);
        bundle.operators.required_signatures = 1;
    });
    let fewer = Warning::FewerSignatures {
        before: 2,
        after: 1,
    };
    assert_eq!(operators, [Warning::OperatorsChanged, fewer]);
    let limits = warnings_of(|bundle| {
        bundle.limits.retry_tokens = 9;
        bundle.limits.operation_retention = Millis(60_000);
    });
    let retention = Warning::RetentionShortened {
        before: 86_400_000,
        after: 60_000,
    };
    let raised = Warning::RetriesRaised {
        limit: "retry_tokens",
        before: 3,
        after: 9,
    };
    assert_eq!(limits, [retention, raised]);
    let removal = warnings_of(|bundle| {
        bundle.services.remove(&service("oppgjor"));
        bundle.deployment = "museum".to_owned();
    });
    let removed = Warning::ServiceRemoved(service("oppgjor"));
    assert_eq!(removal, [Warning::DeploymentChanged, removed]);
}
