//! Start of a server program: loads its settings.

use crate::settings::SettingsFile;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for invalid or unreadable settings.
const BAD_SETTINGS: u8 = 2;

/// Reads and checks a program's settings.
///
/// # Errors
/// The exit code of the program when the settings can't be used; the reason is written to standard error.
pub fn settings<S: SettingsFile>(
    program: &str,
    file: &Path,
    overrides: S::Overrides,
) -> Result<S, ExitCode> {
    S::load(file, overrides).map_err(|error| {
        eprintln!("{program}: {error}");
        ExitCode::from(BAD_SETTINGS)
    })
}
