//! A daemon's copy of the control group's state and the rules for accepting poll answers.
//!
//! Free of I/O; the simulator's daemons use the same rules.

use super::verify::{
    NewBundle, RefusedBundle, apply_operator_changes, check_delta, check_whole, decode,
};
use bramblewheel_bundle::{Bundle, TrustedOperators};
use bramblewheel_protocol::control::{
    BundleUpdate, LogPosition, PollReply, PollRequest, Registration, SignedBundle,
};
use bramblewheel_types::{BundleVersion, Millis, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long a replica may hold a poll; also the interval of lease renewals.
pub const POLL_WAIT: Duration = Duration::from_secs(3);
/// Additional time after which an unanswered poll times out.
pub const POLL_GRACE: Duration = Duration::from_secs(2);

/// A poll answer is not accepted; another replica must be queried.
#[derive(Debug, Error)]
pub enum RefusedReply {
    /// The answer is older than one already seen.
    #[error("at entry {}, older than entry {} seen before", offered.index, seen.index)]
    Stale {
        /// Log position of the answer.
        offered: LogPosition,
        /// Highest log position seen.
        seen: LogPosition,
    },
    /// The bundle differs from the one in force but has the same version.
    #[error("another bundle of version {0}, which is in force")]
    OtherBundle(BundleVersion),
    /// The bundle was refused.
    #[error(transparent)]
    Bundle(#[from] RefusedBundle),
}

/// A daemon's copy of the control group's state.
///
/// For each answer, call [`check`](Self::check), sync the returned bundle, if any, to disk before
/// using it, and finally call [`accept`](Self::accept).
#[derive(Clone, Debug, Default)]
pub struct PollState {
    bundle: Option<Arc<Bundle>>,
    /// Operators who may sign the next bundle, initially those of the bundle in force. Kept in
    /// memory only; after a restart the operator changes are applied again.
    operators: Option<TrustedOperators>,
    /// Whether to request a whole bundle, because a delta did not yield the bundle it stated.
    needs_whole_bundle: bool,
    position: LogPosition,
    directory_revision: u64,
}

impl PollState {
    /// Starts with the bundle that was last synced to disk.
    pub fn new(bundle: Option<Arc<Bundle>>) -> Self {
        Self {
            operators: bundle.as_deref().map(TrustedOperators::of),
            bundle,
            ..Self::default()
        }
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.bundle.as_ref()
    }

    /// Highest log position seen from any replica.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The next poll request.
    pub fn request(&self, registration: Registration, services: Vec<ServiceName>) -> PollRequest {
        let operators = self.operators.as_ref();
        PollRequest {
            registration,
            bundle_version: self.bundle.as_ref().map(|b| b.version).unwrap_or_default(),
            operators_version: operators.map(|o| o.version()).unwrap_or_default(),
            whole_bundle: self.needs_whole_bundle,
            position: self.position,
            directory_revision: self.directory_revision,
            services,
            wait: Millis(POLL_WAIT.as_millis() as u64),
        }
    }

    /// Checks an answer and applies its operator changes. Returns the new bundle, if any, which must
    /// be synced and put in force before the answer is accepted.
    ///
    /// # Errors
    /// [`RefusedReply`]; no other part of the answer may then be used.
    pub fn check(&mut self, reply: &PollReply) -> Result<Option<NewBundle>, RefusedReply> {
        if reply.position.index < self.position.index {
            return Err(RefusedReply::Stale {
                offered: reply.position,
                seen: self.position,
            });
        }
        if let Some(operators) = &mut self.operators {
            apply_operator_changes(operators, &reply.operator_changes)?;
        }
        match &reply.bundle {
            None => Ok(None),
            Some(BundleUpdate::Whole(offered)) => self.check_whole(offered),
            Some(BundleUpdate::Delta(offered)) => {
                let operators = self.operators.as_ref();
                let checked = check_delta(offered, self.bundle.as_deref(), operators);
                self.needs_whole_bundle |= matches!(
                    checked,
                    Err(RefusedBundle::Delta { .. } | RefusedBundle::OtherStart { .. })
                );
                Ok(Some(checked?))
            }
        }
    }

    fn check_whole(&self, offered: &SignedBundle) -> Result<Option<NewBundle>, RefusedReply> {
        let in_force = self.bundle.as_deref();
        if let Some(current) = in_force.filter(|b| b.version == offered.version) {
            confirm_same(offered, current)?;
            return Ok(None);
        }
        Ok(Some(check_whole(offered, self.operators.as_ref())?))
    }

    /// Accepts an answer that was checked, with its bundle, which must already be synced.
    pub fn accept(&mut self, reply: &PollReply, bundle: Option<Arc<Bundle>>) {
        if let Some(bundle) = bundle {
            self.operators = Some(TrustedOperators::of(&bundle));
            self.bundle = Some(bundle);
            self.needs_whole_bundle = false;
        }
        self.position = reply.position;
        self.directory_revision = reply.directory_revision;
    }
}

/// The bundle in force may be sent again; a different bundle of the same version is refused.
fn confirm_same(offered: &SignedBundle, in_force: &Bundle) -> Result<(), RefusedReply> {
    if decode(offered)? == *in_force {
        return Ok(());
    }
    Err(RefusedReply::OtherBundle(offered.version))
}
