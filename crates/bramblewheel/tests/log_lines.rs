//! Messages and keys of log lines must not change, since `explain` and users' tools read them. New lines and keys may
//! be added.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Expected lines: level, message, a colon, and the keys.
const EXPECTED: &str = include_str!("data/log_lines.txt");

/// Source folders of the programs that write logs, relative to the root of the repository.
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

fn find_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            find_sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

/// String literals of a macro call up to its closing parenthesis, and whether each is a key, followed by `=>`.
fn literals(call: &str) -> Vec<(String, bool)> {
    let mut found = Vec::new();
    let mut depth = 1;
    let mut rest = call;
    while let Some(at) = rest.find(['(', ')', '"']) {
        let delimiter = rest.as_bytes()[at];
        rest = &rest[at + 1..];
        match delimiter {
            b'(' => depth += 1,
            b')' => depth -= 1,
            _ => {
                let (literal, after) = rest.split_once('"').expect("the literal is closed");
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

/// Adds the log lines in the text of one source file.
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

fn lines_in_sources() -> Lines {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut files = Vec::new();
    for folder in SOURCES {
        find_sources(&root.join(folder), &mut files);
    }
    let mut lines = Lines::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("the source can be read");
        add_lines(&text, &mut lines);
    }
    lines
}

#[test]
fn every_expected_log_message_and_key_is_in_the_sources() {
    let found = lines_in_sources();
    let mut missing = Vec::new();
    for line in EXPECTED.lines() {
        let (message, keys) = line.split_once(':').expect("a colon after the message");
        let Some(found_keys) = found.get(message) else {
            missing.push(line.to_owned());
            continue;
        };
        for key in keys
            .split_whitespace()
            .filter(|key| !found_keys.contains(*key))
        {
            missing.push(format!("{message}: {key}"));
        }
    }
    assert!(missing.is_empty(), "missing from the sources: {missing:#?}");
    assert!(
        EXPECTED.lines().count() > 60,
        "expected more than 60 recorded lines"
    );
}
