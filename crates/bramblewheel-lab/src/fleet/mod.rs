//! Runs a whole deployment as processes on loopback, with load, faults and planned stop.

pub mod error;
pub mod folder;
pub mod group;
pub mod join;
pub mod lifecycle;
pub mod plan;
pub mod process_status;
pub mod running;
pub mod script;
pub mod settings;
pub mod steps;
pub mod summary;
