//! Messages and keys of log lines stay as they are: `explain` and the users' tools read them. Lines and keys may be
//! added.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Lines recorded: level, message, a colon, and the keys.
const RECORDED: &str = include_str!("data/log_lines.txt");

/// Sources of the programs that write logs, from the root of the repository.
const SOURCES: [&str; 6] = [
    "crates/bramblewheel-control/src",
    "crates/bramblewheel-daemon/src",
    "crates/bramblewheel-process/src",
    "crates/bramblewheel-protocol/src",
    "crates/bramblewheel-proxy/src",
    "platform/src",
];

/// Keys by level and message.
type Lines = BTreeMap<String, BTreeSet<String>>;

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

/// The text of a macro call up to the parenthesis that closes it, and its string literals with what follows them.
fn literals(call: &str) -> Vec<(String, bool)> {
    let mut found = Vec::new();
    let mut depth = 1;
    let mut rest = call;
    while let Some(at) = rest.find(['(', ')', '"']) {
        let sign = rest.as_bytes()[at];
        rest = &rest[at + 1..];
        match sign {
            b'(' => depth += 1,
            b')' => depth -= 1,
            _ => {
                let (literal, after) = rest.split_once('"').expect("literals end");
                rest = after;
                let is_key = after.trim_start().starts_with("=>");
                found.push((literal.to_owned(), is_key));
            }
        }
        if depth == 0 {
            break;
        }
    }
    found
}

/// Adds the log lines of one source.
fn add_lines(source: &str, lines: &mut Lines) {
    for call in source.split("slog::").skip(1) {
        let Some((level, call)) = call.split_once("!(") else {
            continue;
        };
        let is_level = ["trace", "debug", "info", "warn", "error", "crit"].contains(&level);
        let mut literals = literals(call).into_iter();
        let message = literals.next().filter(|(_, is_key)| is_level && !is_key);
        let Some((message, _)) = message else {
            continue;
        };
        let keys = literals.filter(|(_, is_key)| *is_key).map(|(key, _)| key);
        let line = lines.entry(format!("{level} {message}")).or_default();
        line.extend(keys);
    }
}

fn written() -> Lines {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for folder in SOURCES {
        sources(&root.join(folder), &mut files);
    }
    let mut lines = Lines::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("sources are text");
        add_lines(&text, &mut lines);
    }
    lines
}

#[test]
fn messages_and_keys_of_log_lines_stay() {
    let written = written();
    let mut missing = Vec::new();
    for line in RECORDED.lines() {
        let (message, keys) = line.split_once(':').expect("a colon after the message");
        let Some(known) = written.get(message) else {
            missing.push(line.to_owned());
            continue;
        };
        for key in keys.split_whitespace().filter(|key| !known.contains(*key)) {
            missing.push(format!("{message}: {key}"));
        }
    }
    assert!(missing.is_empty(), "{missing:#?}");
    assert!(RECORDED.lines().count() > 60, "the lines are recorded");
}
