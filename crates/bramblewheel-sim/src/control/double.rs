//! Unsafe doubles: behaviour that breaks a promise, to see the checker of that promise fail.
//!
//! No scenario file can ask for one.

/// Behaviour that breaks a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsafeDouble {
    /// Disks of replicas say that they synced and did not.
    UnsyncedReplica,
    /// A replica that lost its folder comes back as its old self.
    IdentityReuse,
    /// A replica reports a bundle as accepted before it is committed.
    AcceptBeforeCommit,
    /// A replica reports the loser of a race as accepted too.
    LastWriterWins,
    /// A replica goes on answering polls when its lease is over.
    AnswersWithoutLease,
    /// A daemon does not say what it has, and uses whatever it is offered, also what is older.
    DaemonTakesOlder,
    /// Disks of daemons say that they synced and did not.
    UnsyncedDaemon,
}
