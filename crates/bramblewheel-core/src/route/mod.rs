//! Which endpoint an attempt goes to.

pub(crate) mod choice;
pub(crate) mod directory;
pub(crate) mod endpoint;
