//! What a daemon holds of the control plane, and the rule by which it takes over answers.
//!
//! Pure: the simulator's daemons follow the same rule.

use super::verify::{NewBundle, RefusedBundle, check_delta, check_whole, decode, follow};
use bramblewheel_bundle::{Bundle, TrustedOperators};
use bramblewheel_protocol::control::{
    BundleUpdate, LogPosition, PollReply, PollRequest, Registration, SignedBundle,
};
use bramblewheel_types::{BundleVersion, Millis, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// How long a replica may hold a poll; also the period in which the lease is renewed.
pub const POLL_WAIT: Duration = Duration::from_secs(3);
/// Time beyond that after which the replica counts as silent.
pub const POLL_GRACE: Duration = Duration::from_secs(2);

/// An answer can't be taken over; another replica must be asked.
#[derive(Debug, Error)]
pub enum RefusedReply {
    /// An answer seen before was newer.
    #[error("at entry {}, older than entry {} seen before", offered.index, seen.index)]
    Stale {
        /// Position of the answer.
        offered: LogPosition,
        /// Highest position seen.
        seen: LogPosition,
    },
    /// Another bundle of the version in force.
    #[error("another bundle of version {0}, which is in force")]
    OtherBundle(BundleVersion),
    /// The bundle is not acceptable.
    #[error(transparent)]
    Bundle(#[from] RefusedBundle),
}

/// What a daemon holds of the control plane.
///
/// For each answer: [`check`](Self::check) it; sync the bundle that comes with it, if any, and only
/// then use it; at last [`take`](Self::take) the answer over.
#[derive(Clone, Debug, Default)]
pub struct Intake {
    bundle: Option<Arc<Bundle>>,
    /// Who may sign the next bundle: at first the operators of the bundle in force. Kept in memory
    /// only; after a restart the changes are followed again.
    operators: Option<TrustedOperators>,
    /// A delta did not lead to the bundle it stated.
    needs_whole_bundle: bool,
    position: LogPosition,
    directory_revision: u64,
}

impl Intake {
    /// Begins with the bundle that was synced last.
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

    /// Highest position seen from any replica.
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// The next question.
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

    /// Checks an answer and follows the changes of the operators in it; hands back the bundle that
    /// must be synced and put in force first, if there is a new one.
    ///
    /// # Errors
    /// [`RefusedReply`]; nothing else of the answer may be used.
    pub fn check(&mut self, reply: &PollReply) -> Result<Option<NewBundle>, RefusedReply> {
        if reply.position.index < self.position.index {
            return Err(RefusedReply::Stale {
                offered: reply.position,
                seen: self.position,
            });
        }
        if let Some(operators) = &mut self.operators {
            follow(operators, &reply.operator_changes)?;
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

    /// Takes over an answer that was checked, with its bundle, which is synced.
    pub fn take(&mut self, reply: &PollReply, bundle: Option<Arc<Bundle>>) {
        if let Some(bundle) = bundle {
            self.operators = Some(TrustedOperators::of(&bundle));
            self.bundle = Some(bundle);
            self.needs_whole_bundle = false;
        }
        self.position = reply.position;
        self.directory_revision = reply.directory_revision;
    }
}

/// A bundle that is in force may come once more; another one of its version must never be used.
fn confirm_same(offered: &SignedBundle, in_force: &Bundle) -> Result<(), RefusedReply> {
    if decode(offered)? == *in_force {
        return Ok(());
    }
    Err(RefusedReply::OtherBundle(offered.version))
}
