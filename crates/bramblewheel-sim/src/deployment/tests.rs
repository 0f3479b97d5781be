//! Tests of parsing deployment files: the examples are valid, and errors name file, line and key.

use super::{DeploymentError, parse};

const TORGNETT: &str = include_str!("../../../../examples/deployments/torgnett.toml");
const MUSEUM: &str = include_str!("../../../../examples/deployments/museum.toml");

#[test]
fn examples_are_valid() {
    let torgnett = parse("torgnett.toml", TORGNETT).expect("torgnett");
    let museum = parse("museum.toml", MUSEUM).expect("museum");
    assert_eq!(torgnett.zones.len(), 4);
    assert_eq!(museum.zones.len(), 3);
}

#[test]
fn unknown_key_error_names_file_and_line() {
    let text = TORGNETT.replacen("region =", "regoin = \"x\"\nregion =", 1);
    let error = parse("t.toml", &text).expect_err("unknown key");
    let DeploymentError::Syntax {
        file,
        line,
        message,
    } = error
    else {
        panic!("{error}")
    };
    assert_eq!(file, "t.toml");
    assert!(message.contains("regoin"), "{message}");
    assert_eq!(text.lines().nth(line - 1), Some("regoin = \"x\""));
}

#[test]
fn call_of_unknown_route_is_rejected() {
    let text = TORGNETT.replacen("path = \"/reserve\"", "path = \"/reserved\"", 1);
    let error = parse("t.toml", &text).expect_err("missing route");
    assert!(error.to_string().contains("/reserve"), "{error}");
}
