//! Synced, checksummed log segments, snapshots and the identity file.
