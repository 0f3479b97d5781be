//! The example deployments compiled into the lab and the example scripts are valid.

use bramblewheel_bundle::verify;
use bramblewheel_lab::answer;
use bramblewheel_lab::deployments::Deployments;
use bramblewheel_lab::fleet::plan::Plan;
use bramblewheel_lab::fleet::script;
use bramblewheel_types::RequestId;
use std::path::Path;

#[test]
fn example_bundles_are_signed_and_cover_all_flows() {
    for (name, processes) in [("torgnett", 45), ("museum", 41)] {
        let example = Deployments::example(name).expect("example exists");
        let (deployment, bundle) = (example.deployment(), example.bundle(7));
        assert_eq!(Plan::new(&deployment).process_count(), processes);
        for flow in &deployment.flows {
            let route = bundle
                .resolve(&flow.service, &flow.path)
                .expect("flow has a route");
            assert_eq!(route.repeatable, !flow.run_once, "{}", flow.name);
        }
        let signed = example.signed_bundle(7);
        let signatures = signed.signatures.iter();
        let signatures = signatures.map(|s| (s.operator.as_str(), s.signature.as_slice()));
        verify(&bundle.operators, signed.digest, signatures).expect("signatures are sufficient");
    }
}

#[test]
fn example_scripts_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/scripts");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("folder of scripts can be read") {
        let path = entry.expect("folder entry can be read").path();
        let text = std::fs::read_to_string(&path).expect("script can be read");
        script::parse(&path.display().to_string(), &text).expect("script is valid");
        count += 1;
    }
    assert!(count >= 4);
}

#[test]
fn answers_depend_on_request_id_path_and_body() {
    let original = answer::body(RequestId(1), "/pay", b"a");
    assert_eq!(original, answer::body(RequestId(1), "/pay", b"a"));
    assert_ne!(original, answer::body(RequestId(2), "/pay", b"a"));
    assert_ne!(original, answer::body(RequestId(1), "/price", b"a"));
    assert_ne!(original, answer::body(RequestId(1), "/pay", b"b"));
}
