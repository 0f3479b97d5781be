//! Settings files of the server programs: parsing, errors, and the sections that all of them share.

mod addresses;
mod error;
mod file;
mod log;
mod source;

pub use addresses::address_clash;
pub use error::SettingsError;
pub use file::SettingsFile;
pub use log::{LogLevel, LogSettings};
pub use source::{SettingsSource, read};
