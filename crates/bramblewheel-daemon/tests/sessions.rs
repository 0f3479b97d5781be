//! Key files of session tokens, and tokens across a change of keys.

use bramblewheel_daemon::sessions::{SessionKeys, SessionOffer};
use bramblewheel_types::{Criticality, ZoneName};
use std::fs;
use tempfile::TempDir;

const OLD: &str = "1 0101010101010101010101010101010101010101010101010101010101010101";
const NEW: &str = "2 0202020202020202020202020202020202020202020202020202020202020202";

fn keys(text: &str) -> Result<SessionKeys, String> {
    let folder = TempDir::new().expect("a temporary folder");
    let path = folder.path().join("keys");
    fs::write(&path, text).expect("written");
    SessionKeys::load(&path).map_err(|error| error.to_string())
}

#[test]
fn a_token_is_known_wherever_its_key_is_held() {
    let old = keys(OLD).expect("well formed");
    let both = keys(&format!("{NEW}\n\n{OLD}\n")).expect("well formed");
    let new = keys(NEW).expect("well formed");
    let zone = ZoneName::new("hall-a").expect("a valid name");
    let token = old.open(zone.clone(), Criticality::Critical);
    let token = token.expect("there is a key");
    assert_eq!(both.offer(Some(&token)), SessionOffer::Valid);
    assert_eq!(new.offer(Some(&token)), SessionOffer::None);
    let newer = both.open(zone, Criticality::Low).expect("there is a key");
    assert_eq!(new.offer(Some(&newer)), SessionOffer::Valid);
    assert_eq!(old.offer(Some(&newer)), SessionOffer::None);
    assert_ne!(token, newer);
}

#[test]
fn a_caller_may_ask_for_a_session_or_come_without() {
    let keys = keys(OLD).expect("well formed");
    assert_eq!(keys.offer(Some("open")), SessionOffer::Open);
    assert_eq!(keys.offer(Some("forged")), SessionOffer::None);
    assert_eq!(keys.offer(None), SessionOffer::None);
    let zone = ZoneName::new("hall-a").expect("a valid name");
    assert_eq!(SessionKeys::default().open(zone, Criticality::Low), None);
}

#[test]
fn a_wrong_line_is_named_without_its_secret() {
    for wrong in ["two 0202", "2", "2 zz", "2 0202", "-1 0202"] {
        let error = keys(&format!("{OLD}\n{wrong}\n")).expect_err(wrong);
        assert!(error.contains("keys:2: expected"), "{error}");
        assert!(!error.contains("0202"), "{error}");
    }
}
