//! `explain`: timelines and causes from logs of the bench, kept as test data.

mod support;

use support::run_in;
use tempfile::TempDir;

fn explained(request: &str, log: &str) -> (Option<i32>, String) {
    let data = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data");
    let log = data.join(log).display().to_string();
    let folder = TempDir::new().expect("a folder");
    let run = run_in(folder.path(), &["explain", request, &log]);
    (Some(run.status), format!("{}{}", run.stdout, run.stderr))
}
