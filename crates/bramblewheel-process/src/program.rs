//! The start of a server program: its settings, or the code with which it ends.

use crate::settings::SettingsFile;
use std::path::Path;
use std::process::ExitCode;

/// Exit code for settings that can't be used.
const BAD_SETTINGS: u8 = 2;

/// Reads and checks a program's settings.
///
/// # Errors
/// The exit code of a program whose settings can't be used; why is said on standard error.
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
