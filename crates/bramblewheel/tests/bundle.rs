//! `bundle new`, `check`, `diff` and `sign`, `keys new`, help pages and exit statuses.

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use support::{example, run_in, signed_example};

fn write_edited(folder: &Path, from: &str, to: &str, name: &str) {
    let text = fs::read_to_string(folder.join("torgnett.toml")).expect("the example can be read");
    assert!(text.contains(from));
    fs::write(folder.join(name), text.replace(from, to)).expect("the file can be written");
}

#[test]
fn check_accepts_the_examples() {
    for name in ["bundles/torgnett.toml", "bundles/museum.toml"] {
        let file = example(name);
        let run = run_in(
            Path::new("."),
            &["bundle", "check", &file.to_string_lossy()],
        );
        assert_eq!(run.status, 0, "{}", run.err);
        assert!(run.out.contains(" version=1 digest="), "{}", run.out);
    }
}

#[test]
fn check_prints_file_line_and_key_of_every_finding() {
    let folder = signed_example();
    let from = "max_depth = 16\nmax_free_reroutes = 2";
    write_edited(
        folder.path(),
        from,
        "max_depth = 0\nmax_free_reroutes = 99",
        "a.toml",
    );
    let run = run_in(folder.path(), &["bundle", "check", "a.toml"]);
    let expected = "a.toml:20:13: limits.max_depth: 0 is out of range: allowed are 1 to 255\n\
                    a.toml:21:21: limits.max_free_reroutes: 99 is out of range: \
                    allowed are 0 to 16\n";
    assert_eq!((run.status, &*run.err), (1, expected));
    let key = ["--key", "anna.key", "--out", "a.signed"];
    let sign = run_in(
        folder.path(),
        &[&["bundle", "sign", "a.toml"][..], &key].concat(),
    );
    assert_eq!((sign.status, &*sign.err), (2, expected));
    assert!(!folder.path().join("a.signed").exists());
}

#[test]
fn check_and_diff_warn_of_a_route_that_becomes_repeatable() {
    let folder = signed_example();
    write_edited(folder.path(), "repeatable = false", "", "new.toml");
    let warning = "warning: kassa /pay: was run at most once, may now be repeated";
    let against = [
        "bundle",
        "check",
        "new.toml",
        "--against",
        "torgnett.signed",
    ];
    let run = run_in(folder.path(), &against);
    assert_eq!(run.status, 0);
    assert!(run.out.contains(warning) && run.out.contains("warnings=1"));
    let denied = run_in(
        folder.path(),
        &[&against[..], &["--deny-warnings"]].concat(),
    );
    assert_eq!(denied.status, 1);
    let diff = run_in(
        folder.path(),
        &["bundle", "diff", "torgnett.toml", "new.toml"],
    );
    let change = "~ service.kassa.route./pay.repeatable: false -> true";
    assert_eq!(
        (diff.status, diff.out),
        (0, format!("{change}\n{warning}\n"))
    );
}

#[test]
fn signatures_are_added_one_by_one_and_other_files_are_not_overwritten() {
    let folder = signed_example();
    let sign = |file: &str, key: &str, out: &str| {
        let arguments = ["bundle", "sign", file, "--key", key, "--out", out];
        run_in(folder.path(), &arguments)
    };
    let signed_again = sign("torgnett.signed", "anna.key", "torgnett.signed");
    assert_eq!(signed_again.status, 0);
    let signers = "signed_by=trial-bjorn,trial-anna";
    assert!(signed_again.out.contains(signers), "{}", signed_again.out);
    write_edited(folder.path(), "version = 1", "version = 2", "two.toml");
    let over_other_bundle = sign("two.toml", "anna.key", "torgnett.signed");
    assert_eq!(over_other_bundle.status, 1, "{}", over_other_bundle.err);
    let over_key_file = sign("two.toml", "anna.key", "anna.key");
    assert_eq!(over_key_file.status, 1, "{}", over_key_file.err);
    assert_eq!(sign("two.toml", "two.toml", "two.signed").status, 2);
}

#[test]
fn a_signed_bundle_with_an_altered_byte_is_refused() {
    let folder = signed_example();
    let path = folder.path().join("torgnett.signed");
    let mut bytes = fs::read(&path).expect("the signed bundle exists");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(&path, bytes).expect("the file can be written");
    let run = run_in(folder.path(), &["bundle", "check", "torgnett.signed"]);
    assert_eq!(run.status, 2);
    assert!(
        run.err.starts_with("torgnett.signed: digest stated"),
        "{}",
        run.err
    );
}

#[test]
fn a_new_key_can_sign_a_new_bundle_that_lists_it() {
    let folder = signed_example();
    let keys = run_in(folder.path(), &["keys", "new", "carl", "--out", "carl.key"]);
    assert_eq!(keys.status, 0, "{}", keys.err);
    let metadata = fs::metadata(folder.path().join("carl.key")).expect("the key file was written");
    assert_eq!(metadata.permissions().mode() & 0o777, 0o600);
    let again = run_in(folder.path(), &["keys", "new", "carl", "--out", "carl.key"]);
    assert_eq!(again.status, 2);
    let key = keys
        .out
        .split("public_key=")
        .nth(1)
        .expect("the public key is printed");
    let operator = format!(
        "carl={}",
        key.split_whitespace()
            .next()
            .expect("the public key is printed")
    );
    let new = [
        "bundle",
        "new",
        "--deployment",
        "trial",
        "--service",
        "kassa",
    ];
    let rest = ["--operator", &operator, "--out", "new.toml"];
    let run = run_in(folder.path(), &[&new[..], &rest].concat());
    assert_eq!(run.status, 0, "{}", run.err);
    let sign = [
        "bundle",
        "sign",
        "new.toml",
        "--key",
        "carl.key",
        "--out",
        "new.signed",
    ];
    let run = run_in(folder.path(), &sign);
    assert_eq!((run.status, &*run.err), (0, ""));
    let without_operator = run_in(folder.path(), &new);
    assert_eq!(
        without_operator.status, 2,
        "a bundle without operators must be refused, since nobody could sign the next one"
    );
}

#[test]
fn every_command_has_a_help_page_and_flag_and_help_command_print_the_same() {
    let paths: [&[&str]; 17] = [
        &[],
        &["bundle"],
        &["bundle", "new"],
        &["bundle", "check"],
        &["bundle", "diff"],
        &["bundle", "sign"],
        &["bundle", "publish"],
        &["bundle", "status"],
        &["keys"],
        &["keys", "new"],
        &["fleet"],
        &["fleet", "status"],
        &["control"],
        &["control", "status"],
        &["control", "bootstrap"],
        &["control", "replace"],
        &["replay"],
    ];
    for path in paths {
        let flag = run_in(Path::new("."), &[path, &["--help"]].concat());
        let command = run_in(Path::new("."), &[&["help"], path].concat());
        assert_eq!((flag.status, &flag.out), (0, &command.out), "{path:?}");
        let usage = ["bramblewheel"].iter().chain(path).copied();
        let usage = format!("Usage: {} ", usage.collect::<Vec<_>>().join(" "));
        for part in [&*usage, "Examples:", "Exit status:"] {
            assert!(flag.out.contains(part), "{path:?}: {}", flag.out);
        }
    }
    let version = run_in(Path::new("."), &["--version"]);
    assert_eq!(
        version.out,
        concat!("bramblewheel ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

#[test]
fn an_invalid_command_line_exits_with_status_2_and_prints_the_usage() {
    let lines: [&[&str]; 8] = [
        &[],
        &["bundle"],
        &["bundel"],
        &["help", "bundel"],
        &["bundle", "check"],
        &["bundle", "check", "a", "--strict"],
        &["bundle", "check", "does-not-exist.toml"],
        &["bundle", "status", "--control", "localhost"],
    ];
    for line in lines {
        let run = run_in(Path::new("."), line);
        assert_eq!((run.status, &*run.out), (2, ""), "{line:?}: {}", run.err);
        assert!(!run.err.is_empty());
    }
    let run = run_in(Path::new("."), &["bundle", "publish", "a"]);
    assert!(
        run.err
            .contains("Usage: bramblewheel bundle publish SIGNED"),
        "{}",
        run.err
    );
}
