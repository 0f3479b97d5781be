//! The examples that the lab carries, and the scripts beside them, can be used.

use bramblewheel_bundle::verify;
use bramblewheel_lab::answer;
use bramblewheel_lab::deployments::Deployments;
use bramblewheel_lab::fleet::plan::Plan;
use bramblewheel_lab::fleet::script;
use bramblewheel_types::RequestId;
use std::path::Path;

#[test]
fn deployments_have_bundles_for_all_their_services() {
    for (name, processes) in [("torgnett", 45), ("museum", 41)] {
        let example = Deployments::example(name).expect("an example");
        let (deployment, bundle) = (example.deployment(), example.bundle(7));
        assert_eq!(Plan::new(&deployment).process_count(), processes);
        for flow in &deployment.flows {
            let route = bundle.resolve(&flow.service, &flow.path).expect("a route");
            assert_eq!(route.repeatable, !flow.run_once, "{}", flow.name);
        }
        let signed = example.signed_bundle(7);
        let signatures = signed.signatures.iter();
        let signatures = signatures.map(|s| (s.operator.as_str(), s.signature.as_slice()));
        verify(&bundle.operators, signed.digest, signatures).expect("enough signatures");
    }
}

#[test]
fn example_scripts_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scripts");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder of scripts") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a script");
        script::parse(&path.display().to_string(), &text).expect("a valid script");
        count += 1;
    }
    assert!(count >= 4);
}

#[test]
fn answers_differ_with_whatever_is_asked() {
    let original = answer::body(RequestId(1), "/pay", b"a");
    assert_eq!(original, answer::body(RequestId(1), "/pay", b"a"));
    assert_ne!(original, answer::body(RequestId(2), "/pay", b"a"));
    assert_ne!(original, answer::body(RequestId(1), "/price", b"a"));
    assert_ne!(original, answer::body(RequestId(1), "/pay", b"b"));
}
