//! Reads and writes bundles, signed bundles and key files.

use crate::error::CommandError;
use crate::output::print;
use bramblewheel_bundle::{Bundle, OperatorKey, canonical, digest, parse};
use bramblewheel_protocol::codec;
use bramblewheel_protocol::control::SignedBundle;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Maximum length of a signed bundle, in bytes.
const MAX_SIGNED_LENGTH: usize = codec::MAX_CONTROL_FRAME;
/// Permissions of a key file: only its owner may read and write it.
const KEY_FILE_MODE: u32 = 0o600;

/// A bundle and its signed form, which has no signatures if the bundle was read from text.
pub struct LoadedBundle {
    /// The validated bundle.
    pub bundle: Bundle,
    /// The bundle in the form in which it is published.
    pub signed: SignedBundle,
}

/// Reads a bundle, either as TOML or signed.
///
/// # Errors
/// [`CommandError::BadInput`] or [`CommandError::Bundle`] when the file is not a valid bundle.
pub fn load(path: &Path) -> Result<LoadedBundle, CommandError> {
    let bytes = fs::read(path).map_err(|error| CommandError::file(path, error))?;
    match codec::decode::<SignedBundle>(&bytes) {
        Ok(signed) => from_signed(path, signed),
        Err(_) => from_text(path, bytes),
    }
}

/// Reads a signed bundle.
///
/// # Errors
/// [`CommandError::BadInput`] when the file is not a valid signed bundle.
pub fn load_signed(path: &Path) -> Result<LoadedBundle, CommandError> {
    let bytes = fs::read(path).map_err(|error| CommandError::file(path, error))?;
    let signed = codec::decode::<SignedBundle>(&bytes)
        .map_err(|error| CommandError::file(path, format!("not a signed bundle: {error}")))?;
    from_signed(path, signed)
}

fn from_signed(path: &Path, signed: SignedBundle) -> Result<LoadedBundle, CommandError> {
    let bundle = Bundle::from_signed_bytes(&signed.bytes, signed.digest, signed.version)
        .map_err(|error| CommandError::file(path, error))?;
    Ok(LoadedBundle { bundle, signed })
}

fn from_text(path: &Path, bytes: Vec<u8>) -> Result<LoadedBundle, CommandError> {
    let text = String::from_utf8(bytes)
        .map_err(|_| CommandError::file(path, "neither a signed bundle nor UTF-8 text"))?;
    let bundle = parse(&path.display().to_string(), &text)?;
    let bytes = canonical::encode(&bundle);
    if bytes.len() > canonical::MAX_BUNDLE_LENGTH {
        let error = canonical::DecodeError::TooLong(bytes.len());
        return Err(CommandError::file(path, error));
    }
    let signed = SignedBundle {
        version: bundle.version,
        digest: digest(&bytes),
        bytes,
        signatures: Vec::new(),
        expected_parent: None,
    };
    Ok(LoadedBundle { bundle, signed })
}

/// Writes a signed bundle atomically: a reader sees either the complete old file or the complete new one.
///
/// # Errors
/// [`CommandError::BadInput`] when the file can't be written.
pub fn write_signed(path: &Path, signed: &SignedBundle) -> Result<(), CommandError> {
    let frame = codec::encode(signed, MAX_SIGNED_LENGTH)
        .map_err(|error| CommandError::file(path, error))?;
    let body = &frame[codec::LENGTH_PREFIX..];
    replace_file(path, body).map_err(|error| CommandError::file(path, error))
}

fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut name = path.as_os_str().to_owned();
    name.push(".tmp");
    let temporary = PathBuf::from(name);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, path)
}

/// Writes text to a file, which must not exist, or to standard output.
///
/// # Errors
/// [`CommandError::BadInput`] when the file exists or can't be written.
pub fn write_new(path: Option<&Path>, text: &str) -> Result<(), CommandError> {
    let Some(path) = path else {
        print(text);
        return Ok(());
    };
    File::create_new(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| CommandError::file(path, error))
}

/// Reads an operator's key file.
///
/// # Errors
/// [`CommandError::BadInput`] when the file is not a key file.
pub fn load_key(path: &Path) -> Result<OperatorKey, CommandError> {
    let text = fs::read_to_string(path).map_err(|error| CommandError::file(path, error))?;
    OperatorKey::parse(&text).map_err(|error| CommandError::file(path, error))
}

/// Writes an operator's key file, which must not exist.
///
/// # Errors
/// [`CommandError::BadInput`] when the file exists or can't be written.
pub fn write_key(path: &Path, key: &OperatorKey) -> Result<(), CommandError> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(KEY_FILE_MODE);
    options
        .open(path)
        .and_then(|mut file| {
            file.write_all(key.to_text().as_bytes())?;
            file.sync_all()
        })
        .map_err(|error| CommandError::file(path, error))
}
