//! First state of a new group, from an operator's bootstrap request or from the founders in the settings.

use super::output::ClientRequestId;
use super::{ControlNode, replica_config};
use crate::state::ControlState;
use bramblewheel_protocol::control::{BootstrapRequest, LogPosition, ReplicaAddress, ReplyBody};
use bramblewheel_replication::{HardState, Membership, Replica, ReplicaId, RestoredState, Write};
use serde_bytes::ByteBuf;
use std::collections::BTreeSet;

impl ControlNode {
    pub(super) fn on_bootstrap(&mut self, id: ClientRequestId, request: BootstrapRequest) {
        let reply = match self.bootstrap(request) {
            Ok(()) => ReplyBody::Done,
            Err(reason) => ReplyBody::Rejected(reason),
        };
        self.reply(id, reply);
    }

    /// Founds a group without an operator and without a bundle. Every founder calls this with the
    /// same voters when it starts for the first time. The state depends on the voters alone, so all
    /// founders begin with the same state without exchanging messages.
    ///
    /// # Errors
    /// The reason for which this replica can't be a founder; its state is unchanged.
    pub fn found_group(&mut self, group: u64, voters: &[ReplicaAddress]) -> Result<(), String> {
        if self.state.group().is_some() {
            return Ok(());
        }
        self.check_voters(voters)?;
        self.begin_group(voters, |position| {
            Ok(ControlState::without_bundle(group, position))
        })
    }

    /// Creates the first state. It depends on the request alone, so that all first voters begin with the same
    /// state.
    fn bootstrap(&mut self, request: BootstrapRequest) -> Result<(), String> {
        if let Some(group) = self.state.group() {
            if group == request.group {
                return Ok(());
            }
            return Err(format!("belongs to group {group:016x} already"));
        }
        self.check_voters(&request.voters)?;
        self.begin_group(&request.voters, |position| {
            ControlState::bootstrap(request.group, request.bundle, position)
                .map_err(|refusal| format!("the first bundle is refused: {refusal:?}"))
        })
    }

    fn begin_group(
        &mut self,
        voters: &[ReplicaAddress],
        first_state: impl FnOnce(LogPosition) -> Result<ControlState, String>,
    ) -> Result<(), String> {
        let membership = first_membership(voters);
        let mut restored = RestoredState::bootstrap(membership);
        let snapshot = restored
            .snapshot
            .as_mut()
            .expect("a bootstrap state must have a snapshot");
        let position = LogPosition {
            index: snapshot.index.0,
            term: snapshot.term.0,
        };
        let state = first_state(position)?;
        self.applied_membership = snapshot.membership.clone();
        snapshot.data = state.encode();
        // Messages of voters that were bootstrapped earlier may have raised the term already. There is
        // no vote to keep, since a replica without a group never votes.
        restored.hard_state = HardState {
            term: restored.hard_state.term.max(self.replica.term()),
            voted_for: None,
        };
        self.bootstrap_write = Some(Write {
            snapshot: restored.snapshot.clone(),
            hard_state: Some(restored.hard_state),
            ..Write::default()
        });
        let mut config = replica_config(&self.config);
        config.seed = config.seed.wrapping_add(1);
        self.replica = Replica::new(config, restored, self.now.monotonic);
        self.state = state;
        Ok(())
    }

    fn check_voters(&self, voters: &[ReplicaAddress]) -> Result<(), String> {
        let own = self.config.address.replica;
        if !voters.iter().any(|voter| voter.replica == own) {
            return Err(format!("replica {own:016x} is not among the voters"));
        }
        let ids: BTreeSet<u64> = voters.iter().map(|voter| voter.replica).collect();
        if ids.len() < voters.len() {
            return Err("a replica stands twice among the voters".to_owned());
        }
        Ok(())
    }
}

fn first_membership(voters: &[ReplicaAddress]) -> Membership {
    let described = voters.iter().map(|voter| {
        let description = ByteBuf::from(super::group::describe(voter));
        (ReplicaId(voter.replica), description)
    });
    Membership {
        voters: voters.iter().map(|v| ReplicaId(v.replica)).collect(),
        learners: BTreeSet::new(),
        descriptions: described.collect(),
    }
}
