//! Replicated log as a pure state machine: election, replication, membership change, snapshots, read leases.
