//! The example bundles are valid and can be signed with the example keys.

use bramblewheel_bundle::{OperatorKey, canonical, digest, parse, to_toml, verify};
use bramblewheel_types::{Criticality, ServiceName};

const EXAMPLES: [(&str, &str, [&str; 2]); 2] = [
    (
        "torgnett.toml",
        include_str!("../../../examples/bundles/torgnett.toml"),
        [
            include_str!("../../../examples/keys/trial-anna.key"),
            include_str!("../../../examples/keys/trial-bjorn.key"),
        ],
    ),
    (
        "museum.toml",
        include_str!("../../../examples/bundles/museum.toml"),
        [
            include_str!("../../../examples/keys/trial-salma.key"),
            include_str!("../../../examples/keys/trial-yusuf.key"),
        ],
    ),
];

#[test]
fn examples_are_valid_and_survive_a_round_trip() {
    for (file, text, _) in EXAMPLES {
        let bundle = parse(file, text).expect(file);
        assert_eq!(parse(file, &to_toml(&bundle)).as_ref(), Ok(&bundle));
        let decoded = canonical::decode(&canonical::encode(&bundle));
        assert_eq!(decoded.as_ref(), Ok(&bundle));
    }
}

#[test]
fn signatures_of_the_example_keys_authorize_the_examples() {
    for (file, text, keys) in EXAMPLES {
        let bundle = parse(file, text).expect(file);
        let digest = digest(&canonical::encode(&bundle));
        let keys = keys.map(|text| OperatorKey::parse(text).expect("the example key is valid"));
        let signatures = keys.each_ref().map(|key| (key.name(), key.sign(digest)));
        let pairs = signatures.iter().map(|(name, bytes)| (*name, &bytes[..]));
        assert_eq!(verify(&bundle.operators, digest, pairs), Ok(()));
    }
}

#[test]
fn payments_and_clearances_are_critical_and_run_at_most_once() {
    let routes = [("kassa", "/pay/card"), ("registrar", "/clearances/7")];
    for ((file, text, _), (service, path)) in EXAMPLES.into_iter().zip(routes) {
        let bundle = parse(file, text).expect(file);
        let service = ServiceName::new(service).expect("valid name");
        let route = bundle.resolve(&service, path).expect("known service");
        assert!(!route.repeatable);
        assert_eq!(route.criticality, Criticality::Critical);
    }
}
