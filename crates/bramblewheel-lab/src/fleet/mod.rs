//! A whole deployment as processes on loopback: start, load, faults, stop, checks.

pub mod board;
pub mod error;
pub mod folder;
pub mod group;
pub mod lifecycle;
pub mod plan;
pub mod running;
pub mod script;
pub mod settings;
pub mod steps;
pub mod summary;
pub mod together;
