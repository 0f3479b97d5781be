//! The wire and the stored form stay as they are: bytes that an earlier program wrote are read, and the same
//! values are written as the same bytes.
//!
//! Fields and variants are encoded by name (CBOR), so that a rename in the code changes the form. A type that is
//! renamed keeps its name in the form with `#[serde(rename)]`; a new field needs `#[serde(default)]`. A form that
//! changes breaks rolling restarts and the reading of data folders: new forms are added to `forms.txt`, none
//! there is changed.

#[path = "../support/mod.rs"]
mod support;

mod forms;
mod messages;
mod replication;
mod routing;
mod state;
mod storage;
