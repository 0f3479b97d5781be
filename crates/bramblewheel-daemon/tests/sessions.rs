//! Key files of session tokens, and tokens across a key rotation.

use bramblewheel_daemon::sessions::{SessionHeader, SessionKeys};
use bramblewheel_types::{Criticality, ZoneName};
use std::fs;
use tempfile::TempDir;

const OLD: &str = "1 0101010101010101010101010101010101010101010101010101010101010101";
const NEW: &str = "2 0202020202020202020202020202020202020202020202020202020202020202";

fn keys(text: &str) -> Result<SessionKeys, String> {
    let folder = TempDir::new().expect("a temporary folder");
    let path = folder.path().join("keys");
    fs::write(&path, text).expect("the key file is written");
    SessionKeys::load(&path).map_err(|error| error.to_string())
}

#[test]
fn token_is_valid_wherever_its_key_is_present() {
    let old = keys(OLD).expect("the key file is well formed");
    let both = keys(&format!("{NEW}\n\n{OLD}\n")).expect("the key file is well formed");
    let new = keys(NEW).expect("the key file is well formed");
    let zone = ZoneName::new("hall-a").expect("a valid name");
    let token = old.open(zone.clone(), Criticality::Critical);
    let token = token.expect("there is a key");
    assert_eq!(both.evaluate(Some(&token)), SessionHeader::Valid);
    assert_eq!(new.evaluate(Some(&token)), SessionHeader::None);
    let newer = both.open(zone, Criticality::Low).expect("there is a key");
    assert_eq!(new.evaluate(Some(&newer)), SessionHeader::Valid);
    assert_eq!(old.evaluate(Some(&newer)), SessionHeader::None);
    assert_ne!(token, newer);
}

#[test]
fn session_header_may_request_a_session_be_invalid_or_be_absent() {
    let keys = keys(OLD).expect("the key file is well formed");
    assert_eq!(keys.evaluate(Some("open")), SessionHeader::Open);
    assert_eq!(keys.evaluate(Some("forged")), SessionHeader::None);
    assert_eq!(keys.evaluate(None), SessionHeader::None);
    let zone = ZoneName::new("hall-a").expect("a valid name");
    assert_eq!(SessionKeys::default().open(zone, Criticality::Low), None);
}

#[test]
fn error_for_a_malformed_line_does_not_contain_its_secret() {
    for wrong in ["two 0202", "2", "2 zz", "2 0202", "-1 0202"] {
        let error = keys(&format!("{OLD}\n{wrong}\n")).expect_err(wrong);
        assert!(error.contains("keys:2: expected"), "{error}");
        assert!(!error.contains("0202"), "{error}");
    }
}
