//! Parsing of the settings file; errors state file, line and key.

use bramblewheel_daemon::Settings;
use bramblewheel_daemon::settings::Overrides;
use bramblewheel_process::settings::SettingsFile;
use std::path::Path;

const VALID: &str = r#"name = "stock-1"
zone = "hall-a"
region = "north"
data_folder = "data"
control = ["127.0.0.1:7000"]
calls = []
[listen]
inbound = "127.0.0.1:7001"
outbound = "127.0.0.1:7002"
admin = "127.0.0.1:7003"
[endpoint]
name = "stock-1"
service = "stock"
address = "127.0.0.1:7004"
"#;

/// Optional keys of the file; their names must not change.
const MORE_KEYS: &str = r#"[sessions]
key_file = "sessions.keys"
[log]
level = "debug"
[limits]
header_count = 65
header_bytes = 16385
body_bytes = 1048577
connections = 4097
header_timeout_ms = 10001
body_timeout_ms = 30001
"#;

#[test]
fn every_settings_key_keeps_its_name_and_meaning() {
    let text = VALID.replacen("calls = []", "calls = [\"stock\"]", 1);
    let text = format!("{text}{MORE_KEYS}");
    let parsed = Settings::parse(Path::new("s.toml"), &text, Overrides::default());
    let settings = parsed.expect("the settings are valid");
    assert_eq!(settings.calls.len(), 1);
    let sessions = settings.sessions.expect("the section is present");
    assert_eq!(sessions.key_file, Path::new("sessions.keys"));
    assert_eq!(slog::Level::from(settings.log.level), slog::Level::Debug);
    assert_eq!(settings.limits.header_count, 65);
    assert_eq!(settings.limits.header_bytes, 16_385);
    assert_eq!(settings.limits.body_bytes, 1_048_577);
    assert_eq!(settings.limits.connections, 4_097);
    assert_eq!(settings.limits.header_timeout_ms, 10_001);
    assert_eq!(settings.limits.body_timeout_ms, 30_001);
}

fn error(text: &str) -> String {
    let parsed = Settings::parse(Path::new("s.toml"), text, Overrides::default());
    parsed.expect_err("the settings are invalid").to_string()
}

#[test]
fn valid_settings_are_accepted_and_flags_override_them() {
    let overrides = Overrides {
        listen_admin: "127.0.0.1:0".parse().ok(),
        ..Overrides::default()
    };
    let settings =
        Settings::parse(Path::new("s.toml"), VALID, overrides).expect("the settings are valid");
    assert_eq!(settings.listen.admin.port(), 0);
    assert_eq!(settings.listen.outbound.port(), 7002);
}

#[test]
fn each_fault_is_reported_with_its_line_and_key() {
    let cases = [
        ("zone = \"hall-a\"", "zone = \"Hall A\"", "s.toml:2: zone: "),
        ("calls = []", "colls = []", "s.toml:6: colls: unknown field"),
        (
            "7002",
            "7001",
            "s.toml:9: outbound: 127.0.0.1:7001 is already used by `inbound`",
        ),
        (
            "7004",
            "7003",
            "s.toml:14: address: 127.0.0.1:7003 is already used by `admin`",
        ),
        (
            "7003\"",
            "port\"",
            "s.toml:10: admin: invalid socket address",
        ),
        ("127.0.0.1:7001", "0.0.0.0:7001", "s.toml:8: inbound: "),
        (
            "[\"127.0.0.1:7000\"]",
            "[]",
            "s.toml:5: control: at least one",
        ),
        (
            "inbound = \"127.0.0.1:7001\"\n",
            "",
            "s.toml:7: [listen]: missing key `inbound`",
        ),
        ("name = \"stock-1\"\nzone", "zone", "name: missing field"),
        ("[listen]", "[listen", "s.toml:7: "),
        (
            "[endpoint]",
            "[limits]\nbody_bytes = 0\n[endpoint]",
            "s.toml:12: body_bytes: ",
        ),
    ];
    for (from, to, expected) in cases {
        assert!(VALID.contains(from), "{from}");
        let found = error(&VALID.replacen(from, to, 1));
        assert!(found.contains(expected), "{expected}: {found}");
        assert!(!found.contains('\n'), "{found}");
    }
}
