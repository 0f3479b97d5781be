//! Tenants and the keys of requests: validation, look-up of keys, and secrecy of keys.

use bramblewheel_decisions::credential::{NoKey, key_digest};
use bramblewheel_decisions::request_class::RequestClass;
use bramblewheel_decisions::tenants::{
    ActiveTenant, KeyDigest, Quota, Tenant, TenantDirectory, TenantError, check,
};
use bramblewheel_types::TenantName;
use http::header::AUTHORIZATION;
use http::{HeaderMap, HeaderValue};

const SCHEME: &str = "Token";

fn name(text: &str) -> TenantName {
    TenantName::new(text).expect("valid name")
}

fn tenant(text: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    Tenant {
        name: name(text),
        keys: keys.collect(),
        rank: 1,
        quota: None,
    }
}

fn headers(fields: &[&'static str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        headers.append(AUTHORIZATION, HeaderValue::from_static(field));
    }
    headers
}

#[test]
fn invalid_tenants_are_rejected_by_name() {
    let good = || tenant("stall", &["k1", "k2"]);
    assert_eq!(check(&[good(), tenant("cheese", &["k3"])]), Ok(()));
    let shared = check(&[good(), tenant("cheese", &["k2"])]);
    let expected = TenantError::SharedKey {
        first: name("stall"),
        second: name("cheese"),
    };
    assert_eq!(shared, Err(expected));
    let repeated = check(&[tenant("stall", &["k1", "k1"])]);
    assert_eq!(repeated, Err(TenantError::RepeatedKey(name("stall"))));
    let empty = check(&[tenant("stall", &[""])]);
    assert_eq!(empty, Err(TenantError::EmptyKey(name("stall"))));
    let twice = check(&[good(), tenant("stall", &["k9"])]);
    assert_eq!(twice, Err(TenantError::SameName(name("stall"))));
}

#[test]
fn negative_or_infinite_rate_or_burst_is_rejected() {
    let with = |rate, burst| {
        let quota = Some(Quota { rate, burst });
        check(&[Tenant {
            quota,
            ..tenant("stall", &["k1"])
        }])
    };
    assert_eq!(with(10.0, 0.0), Ok(()));
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(with(rate, 1.0), Err(TenantError::BadRate(name("stall"))));
    }
    for burst in [-1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(with(1.0, burst), Err(TenantError::BadBurst(name("stall"))));
    }
}

#[test]
fn each_key_belongs_to_its_tenant_and_unknown_keys_to_none() {
    let directory = TenantDirectory::new(vec![
        tenant("stall", &["k1", "k2"]),
        tenant("cheese", &["k3"]),
        tenant("nobody", &[]),
    ]);
    let holder = |key: &str| {
        let holder = directory.holder(&KeyDigest::of(key.as_bytes()));
        holder.map(|tenant| tenant.name.as_str())
    };
    assert_eq!(holder("k1"), Some("stall"));
    assert_eq!(holder("k2"), Some("stall"));
    assert_eq!(holder("k3"), Some("cheese"));
    assert_eq!(holder("k4"), None);
    assert!(directory.has_tenants());
    assert!(!TenantDirectory::default().has_tenants());
}

/// A tenant without keys still counts, so requests of its former callers are refused.
#[test]
fn directory_whose_last_key_was_revoked_still_requires_keys() {
    let directory = TenantDirectory::new(vec![tenant("stall", &[])]);
    assert!(directory.has_tenants());
}

#[test]
fn tenant_rank_takes_precedence_over_route_rank() {
    let with_rank = |text: &str, key, rank| Tenant {
        rank,
        ..tenant(text, &[key])
    };
    let directory = TenantDirectory::new(vec![
        with_rank("first", "k1", 2),
        with_rank("second", "k2", 7),
        with_rank("third", "k3", 7),
    ]);
    let active = |key: &str| -> &ActiveTenant {
        directory
            .holder(&KeyDigest::of(key.as_bytes()))
            .expect("a tenant holds the key")
    };
    // Requests of the most important tenants have the ranks of their routes.
    assert_eq!(active("k1").rank_on(0), 0);
    assert_eq!(active("k1").rank_on(3), 3);
    assert!(active("k1").rank_on(u32::MAX) < active("k2").rank_on(0));
    assert!(active("k2").rank_on(0) < active("k2").rank_on(1));
    assert_eq!(active("k1").class_on(77), RequestClass(77));
    assert_ne!(active("k2").class_on(77), RequestClass(77));
    assert_eq!(active("k2").class_on(77), active("k3").class_on(77));
}

#[test]
fn key_is_accepted_with_its_scheme_in_any_case() {
    let expected = Ok(KeyDigest::of(b"k1"));
    for field in ["Token k1", "token k1", "TOKEN   k1 "] {
        assert_eq!(key_digest(&headers(&[field]), SCHEME), expected, "{field}");
    }
    assert_ne!(key_digest(&headers(&["Token K1"]), SCHEME), expected);
}

#[test]
fn each_kind_of_invalid_key_has_its_own_error() {
    let reason =
        |fields: &[&'static str]| key_digest(&headers(fields), SCHEME).expect_err("no key");
    assert_eq!(reason(&[]), NoKey::Missing);
    assert_eq!(reason(&["Token k1", "Token k1"]), NoKey::Several);
    assert_eq!(reason(&["Basic k1"]), NoKey::OtherScheme);
    assert_eq!(reason(&["k1"]), NoKey::OtherScheme);
    assert_eq!(reason(&["Token"]), NoKey::Empty);
    assert_eq!(reason(&["Token  "]), NoKey::Empty);
    let mut long = HeaderMap::new();
    let text = format!("Token {}", "k".repeat(5_000));
    long.insert(AUTHORIZATION, HeaderValue::try_from(text).expect("ASCII"));
    assert_eq!(key_digest(&long, SCHEME), Err(NoKey::TooLong));
    let mut opaque = HeaderMap::new();
    let bytes = HeaderValue::from_bytes(b"Token k\xff").expect("opaque bytes");
    opaque.insert(AUTHORIZATION, bytes);
    assert_eq!(key_digest(&opaque, SCHEME), Err(NoKey::OtherScheme));
}

#[test]
fn debug_output_and_errors_hide_keys() {
    let secret = "kmgjqnirth5mgjy5rcpi";
    let digest = KeyDigest::of(secret.as_bytes());
    let tenants = vec![tenant("stall", &[secret]), tenant("cheese", &[secret])];
    let error = check(&tenants).expect_err("a shared key");
    let directory = TenantDirectory::new(tenants.clone());
    let printed = format!("{digest:?} {tenants:?} {directory:?} {error} {error:?}");
    assert!(!printed.contains(secret), "{printed}");
    assert!(printed.contains("hidden"), "{printed}");
}
