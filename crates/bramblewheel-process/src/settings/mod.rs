//! The settings file of a server program: its text, its errors, and the parts that all have.

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
