//! Header fields of the lab's own endpoints and callers; daemons forward them unchanged.

/// Number of the caller's send at the root of the call tree.
pub const SEND: &str = "x-lab-send";
/// Number of the call.
pub const CALL: &str = "x-lab-call";
/// Depth of the call in the tree; 1 at the root.
pub const DEPTH: &str = "x-lab-depth";
