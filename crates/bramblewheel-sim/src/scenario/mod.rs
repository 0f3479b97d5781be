//! Scenario files: topology, load, faults over time and stated outcomes.

mod error;
mod text;
mod value;

pub use error::ScenarioError;
pub use text::SourceText;
pub use value::{MillisRange, Range};
