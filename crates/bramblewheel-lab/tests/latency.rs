//! The latency benchmark runs with real processes and reports its figures.

use std::process::{Command, Stdio};

#[test]
fn latency_benchmark_runs_without_a_terminal_and_reports_its_figures() {
    let output = Command::new(env!("CARGO_BIN_EXE_bramblewheel-lab"))
        .args(["bench", "latency", "--rates", "50"])
        .args(["--alternations", "1", "--window", "1", "--connections", "4"])
        .stdin(Stdio::null())
        .output()
        .expect("lab can be started");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    for key in [
        "direct_p99_ms",
        "added_p50_ms",
        "added_p99_ms",
        "added_p99_ms_worst",
        "cpu_us_per_call",
        "calls_per_core_second",
    ] {
        assert!(text.contains(&format!("rate=50 {key}=")), "{key}: {text}");
    }
}
