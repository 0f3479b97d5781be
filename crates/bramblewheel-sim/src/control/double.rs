//! Unsafe doubles: behaviour that violates a promise, to test that its checker reports it.
//!
//! Scenario files can't select them.

/// Behaviour that violates a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsafeDouble {
    /// Disks of replicas report a sync without performing it.
    UnsyncedReplica,
    /// A replica that lost its data folder restarts with its old identity.
    IdentityReuse,
    /// A replica reports a bundle as accepted before it is committed.
    AcceptBeforeCommit,
    /// A replica reports a bundle that lost a race for its version as accepted too.
    LastWriterWins,
    /// A replica keeps answering polls after its lease has expired.
    AnswersWithoutLease,
    /// A daemon does not report its bundle version and puts every offered bundle in force, even an older one.
    DaemonTakesOlder,
    /// Disks of daemons report a sync without performing it.
    UnsyncedDaemon,
}
