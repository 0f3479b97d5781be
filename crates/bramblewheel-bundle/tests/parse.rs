//! Every invalid text is refused with the line and the key of each finding.

mod support;

use bramblewheel_bundle::{BundleError, Problem, parse};
use support::TORGNETT;

/// The test bundle with `from`, which must occur once, replaced by `to`, and the line of the change.
fn altered(from: &str, to: &str) -> (String, usize) {
    assert_eq!(
        TORGNETT.matches(from).count(),
        1,
        "`{from}` must occur once"
    );
    let line = TORGNETT[..TORGNETT.find(from).expect("the text was found")]
        .matches('\n')
        .count();
    (TORGNETT.replace(from, to), line + 1)
}

fn refused(text: &str) -> BundleError {
    parse("a.toml", text).expect_err("the text is invalid")
}

fn keys(error: &BundleError) -> Vec<&str> {
    let findings = error.findings.iter();
    findings.map(|located| &*located.finding.key).collect()
}

/// Text of the test bundle, its replacement, key of the finding, and its line relative to the altered one, which
/// differs where a rule concerns two keys and is reported at the other one, or for a duplicate at the later one.
const WRONG_VALUES: &str = r#"
version = 1                  => version = 0                  @ version @ 0
version = 1                  => version = -1                 @ version @ 0
version = 1                  => version = "1"                @ version @ 0
deployment = "torgnett"      => deployment = "Torg"          @ deployment @ 0
max_depth = 16               => max_depth = 0                @ limits.max_depth @ 0
max_depth = 16               => max_depth = 256              @ limits.max_depth @ 0
retry_tokens = 3             => retry_tokens = 3.5           @ limits.retry_tokens @ 0
retry_ratio_percent = 10     => retry_ratio_percent = 101    @ limits.retry_ratio_percent @ 0
required_signatures = 2      => required_signatures = 3      @ operators.required_signatures @ 0
required_signatures = 2      => required_signatures = 0      @ operators.required_signatures @ 0
name = "trial-bjorn"         => name = "trial-anna"          @ operators.key[1].name @ 0
max_concurrency = 6          => max_concurrency = 1          @ service.oppgjor.admission.min_concurrency @ -1
name = "kassa"               => name = "oppgjor"             @ service[2].name @ 25
name = "kassa"               => name = "Kassa"               @ service[1].name @ 0
prefix = "/pay"              => prefix = "pay"               @ service.kassa.route[0].prefix @ 0
prefix = "/pay"              => prefix = "/pay?x"            @ service.kassa.route[0].prefix @ 0
prefix = "/pay"              => prefix = 1                   @ service.kassa.route[0].prefix @ 0
deadline_ms = 8000           => deadline_ms = 0              @ service.kassa.route[0].deadline_ms @ 0
deadline_ms = 8000           => deadline = 8000              @ service.kassa.route[0].deadline @ 0
repeatable = false           => repeatable = "no"            @ service.kassa.route[0].repeatable @ 0
criticality = "sheddable"    => criticality = "high"         @ service.prisskilt.route[0].criticality @ 0
"#;

#[test]
fn an_invalid_value_is_reported_with_its_line_and_key() {
    for case in WRONG_VALUES.trim().lines() {
        let parts: Vec<&str> = case.split(['@', '>']).map(str::trim).collect();
        let [from, to, key, offset] = parts[..] else {
            panic!("expected `FROM => TO @ KEY @ OFFSET`, got `{case}`");
        };
        let (text, line) = altered(from.trim_end_matches([' ', '=']), to);
        let error = refused(&text);
        assert_eq!(keys(&error), [key], "{case}: {error}");
        let expected = line.checked_add_signed(offset.parse().expect("the offset is a number"));
        assert_eq!(
            Some(error.findings[0].location.line),
            expected,
            "{case}: {error}"
        );
    }
}

#[test]
fn a_retention_below_the_deadline_of_a_non_repeatable_route_is_refused() {
    let (text, line) = altered("retention_ms = 86400000", "retention_ms = 7999");
    let error = refused(&text);
    assert_eq!(keys(&error), ["limits.operation_retention_ms"]);
    assert_eq!(error.findings[0].location.line, line);
}

#[test]
fn all_findings_are_reported_in_order_with_their_locations() {
    let text = "version = 1\ndeployment = \"x\"\n[operators]\nsigners = 1\n[[service]]\n\
                name = \"a\"\n  deadline_ms = true\n[service.admission]\nqueue = 1\n";
    assert_eq!(
        refused(text).to_string(),
        "a.toml:4:1: operators.signers: unknown key; known here: required_signatures, key\n\
         a.toml:7:17: service.a.deadline_ms: expected integer, found boolean\n\
         a.toml:9:1: service.a.admission.queue: unknown key; known here: queue_length, \
         min_concurrency, max_concurrency, max_sessions"
    );
}

#[test]
fn missing_keys_are_reported_at_their_table() {
    let error = refused("[operators]\n[[operators.key]]\n[[operators.key]]\n[[service]]\n");
    let expected = [
        ("version", 1),
        ("deployment", 1),
        ("operators.key[0].name", 2),
        ("operators.key[0].public_key", 2),
        ("operators.key[1].name", 3),
        ("operators.key[1].public_key", 3),
        ("service[0].name", 4),
    ];
    let found: Vec<(&str, usize)> = error
        .findings
        .iter()
        .map(|located| (&*located.finding.key, located.location.line))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn unreachable_and_duplicate_routes_are_refused() {
    for (second, duplicate) in [("/pay/card", false), ("/pay", true)] {
        let added = format!("repeatable = false\n[[service.route]]\nprefix = \"{second}\"\n");
        let (text, line) = altered("repeatable = false\n", &added);
        let error = refused(&text);
        assert_eq!(keys(&error), ["service.kassa.route[1].prefix"]);
        assert_eq!(error.findings[0].location.line, line + 2);
        let expected = if duplicate {
            Problem::Duplicate("/pay".to_owned())
        } else {
            let hidden_by = "/pay".to_owned();
            Problem::UnreachableRoute { hidden_by }
        };
        assert_eq!(error.findings[0].finding.problem, expected);
    }
}

#[test]
fn shared_and_weak_operator_keys_are_refused() {
    let key = "13ca59af3206c9eb00928a44e22f290573b37bba922e35bd508ee56a48e6f17b";
    let other = "abe64058ba9d38f27fe3815d4aad548dade62678d3bbc91a5c6bb203cdb2f055";
    let (text, line) = altered(other, key);
    let error = refused(&text);
    assert_eq!(keys(&error), ["operators.key.trial-bjorn.public_key"]);
    assert_eq!(error.findings[0].location.line, line);
    let weak = altered(other, &format!("01{}", "00".repeat(31))).0;
    let problem = &refused(&weak).findings[0].finding.problem;
    assert_eq!(*problem, Problem::InvalidPublicKey);
}

#[test]
fn text_that_is_not_toml_is_refused_with_the_lines_of_its_errors() {
    let error = refused("version = 1\nversion = 2\ndeployment = \n");
    let lines: Vec<usize> = error.findings.iter().map(|f| f.location.line).collect();
    assert_eq!(lines, [2, 3], "{error}");
}
