//! Directory of endpoints and selection of the endpoint for an attempt.

pub(crate) mod choice;
pub(crate) mod directory;
pub(crate) mod endpoint;
