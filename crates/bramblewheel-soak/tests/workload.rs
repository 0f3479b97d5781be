//! Tests that shipped and drawn workloads are valid, that errors in a workload file name the line or field, and that
//! plans of stops are reproducible.

use bramblewheel_soak::plan::{Fault, Size, Step};
use bramblewheel_soak::stop_plan;
use bramblewheel_soak::workload::draw::draw;
use bramblewheel_soak::workload::file::{check, read};
use std::collections::HashSet;
use std::path::Path;
use std::time::Duration;

const SHIPPED: [&str; 2] = ["museum.toml", "tills.toml"];

fn folder() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/workloads"))
}

/// Returns the error of reading a shipped file in which a text is replaced.
fn error_with(from: &str, to: &str) -> String {
    let text = std::fs::read_to_string(folder().join("museum.toml"))
        .expect("the file ships with the crate");
    assert!(text.contains(from), "museum.toml does not contain {from:?}");
    let temporary = tempfile::tempdir().expect("a temporary folder can be created");
    let file = temporary.path().join("changed.toml");
    std::fs::write(&file, text.replacen(from, to, 1)).expect("the file can be written");
    read(&file)
        .expect_err("the changed file is invalid")
        .to_string()
}

#[test]
fn shipped_workloads_are_valid() {
    for name in SHIPPED {
        read(&folder().join(name)).expect("shipped workloads are valid");
    }
}

#[test]
fn shipped_workloads_fill_the_slots_and_some_drawn_ones_do_not() {
    for name in SHIPPED {
        let workload = read(&folder().join(name)).expect("shipped workloads are valid");
        assert!(workload.fills_slots(), "{name}");
    }
    let filling = (0..300).filter(|seed| draw(*seed).fills_slots()).count();
    assert!(
        (100..300).contains(&filling),
        "{filling} of 300 drawn workloads fill the slots"
    );
}

#[test]
fn drawn_workloads_are_valid_and_reproducible() {
    for seed in 0..300 {
        let drawn = draw(seed);
        check(&drawn).expect("drawn workloads are valid");
        assert_eq!(drawn, draw(seed));
    }
    let service_counts: HashSet<usize> = (0..300).map(|seed| draw(seed).services).collect();
    assert_eq!(service_counts, HashSet::from([2, 3, 4]));
}

#[test]
fn errors_in_a_workload_file_name_the_line_or_field() {
    let unknown = error_with("slots = 8", "slots = 8\nslotz = 9");
    assert!(unknown.contains("line"), "{unknown}");
    assert!(unknown.contains("slotz"), "{unknown}");
    let service = error_with("service = 3", "service = 4");
    assert!(service.starts_with("kind record: service"), "{service}");
    let recursion = error_with("kind = \"description\", times", "kind = \"licence\", times");
    assert!(
        recursion.starts_with("kind thumbnails: calls"),
        "{recursion}"
    );
    let spread = error_with("least = 30, most = 150", "least = 300, most = 150");
    assert!(spread.contains("work_ms: least is above most"), "{spread}");
    let missing = read(Path::new("no-such-file.toml")).expect_err("the file does not exist");
    assert!(missing.to_string().starts_with("no-such-file.toml"));
}

#[test]
fn a_stop_plan_is_reproducible_and_contains_no_unplanned_fault() {
    let size = Size {
        replicas: 3,
        daemons: 8,
        length: Duration::from_secs(70),
    };
    let is_planned = |step: &Step| {
        matches!(
            step.fault,
            Fault::Stop(_)
                | Fault::StopsInTurn
                | Fault::StopControl(_)
                | Fault::EndpointLeaves(_)
                | Fault::Reload(_)
                | Fault::ReloadSeries(_)
                | Fault::Surge(_)
        )
    };
    for seed in 0..200 {
        let steps = stop_plan::plan(seed, size);
        assert_eq!(steps, stop_plan::plan(seed, size));
        assert!(steps.iter().all(is_planned), "{steps:?}");
        assert!(steps.len() >= 4, "{steps:?}");
    }
}
