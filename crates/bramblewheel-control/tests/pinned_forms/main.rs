//! Checks that the wire format and the stored format do not change: bytes written by an earlier program can be read,
//! and the same values are encoded as the same bytes.
//!
//! Fields and variants are encoded by name (CBOR), so renaming one in the code changes the format. A renamed field or
//! variant needs `#[serde(rename)]` with its earlier name, and a new field needs `#[serde(default)]`. A changed form
//! breaks rolling restarts and existing data folders, so forms may be added to `forms.txt` but not changed.

#[path = "../support/mod.rs"]
mod support;

mod forms;
mod messages;
mod replication;
mod routing;
mod state;
mod storage;
