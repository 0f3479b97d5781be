//! Rules that the types of the settings can't express.

use super::{Settings, TimingSettings};
use bramblewheel_process::settings::address_clash;

/// Heartbeats that must fit into an election timeout: a follower's proof of a quorum takes three,
/// and one may be lost.
const LEAST_HEARTBEATS_PER_ELECTION: u64 = 4;

/// Least silence after which a voter may be replaced by a spare: a machine that reboots is back
/// within it.
const LEAST_SILENCE_MS: u64 = 300_000;

impl Settings {
    /// The first fault that the types can't express: key and reason.
    pub(super) fn first_fault(&self) -> Option<(&'static str, String)> {
        self.address_fault()
            .or_else(|| self.timing_fault())
            .or_else(|| self.admin_fault())
            .or_else(|| self.spare_fault())
            .or_else(|| self.formation_fault())
    }

    fn address_fault(&self) -> Option<(&'static str, String)> {
        let named = [
            ("peer", self.listen.peer),
            ("service", self.listen.service),
            ("admin", self.listen.admin),
        ];
        if let Some(clash) = address_clash(&named) {
            return Some(clash);
        }
        let given_out = named[..2].iter().find(|(_, a)| a.ip().is_unspecified());
        given_out.map(|(key, address)| {
            let reason = format!("{address} can't be given to others: name one address");
            (*key, reason)
        })
    }

    fn spare_fault(&self) -> Option<(&'static str, String)> {
        let fast = self.spare.fast_repair_ms;
        let least = self.timing.election_ms.saturating_mul(2);
        if fast > 0 && fast < least {
            let reason = format!("{fast} is below two election timeouts ({least})");
            return Some(("fast_repair_ms", reason));
        }
        if self.spare.offer_interval_ms == 0 {
            return Some(("offer_interval_ms", "must be above zero".to_owned()));
        }
        if self.spare.voters > 0 && self.spare.voters.is_multiple_of(2) {
            let reason = format!(
                "{} is even: one fewer bears as many losses",
                self.spare.voters
            );
            return Some(("voters", reason));
        }
        let given = self.spare.replace_after_ms;
        if (1..LEAST_SILENCE_MS).contains(&given) {
            let reason = format!("{given} is below {LEAST_SILENCE_MS}, and not 0 for never");
            return Some(("replace_after_ms", reason));
        }
        if self.spare.period_ms < given {
            let reason = format!("{} is below replace_after_ms", self.spare.period_ms);
            return Some(("period_ms", reason));
        }
        None
    }

    /// Founders are named by their addresses, so that no two may be the same.
    fn formation_fault(&self) -> Option<(&'static str, String)> {
        let founders = &self.formation.founders;
        let twice = founders
            .iter()
            .enumerate()
            .find(|(index, founder)| founders[..*index].contains(founder));
        twice.map(|(_, founder)| ("founders", format!("{founder} stands twice")))
    }

    fn admin_fault(&self) -> Option<(&'static str, String)> {
        let above_zero = [
            ("connections", self.admin.connections as u64),
            ("header_timeout_ms", self.admin.header_timeout_ms),
        ];
        let zero = above_zero.iter().find(|(_, value)| *value == 0);
        zero.map(|(key, _)| (*key, "must be above zero".to_owned()))
    }

    fn timing_fault(&self) -> Option<(&'static str, String)> {
        let TimingSettings {
            heartbeat_ms,
            election_ms,
            daemon_lease_ms,
        } = self.timing;
        if heartbeat_ms == 0 {
            return Some(("heartbeat_ms", "must be above zero".to_owned()));
        }
        if self.storage.snapshot_interval == 0 {
            return Some(("snapshot_interval", "must be above zero".to_owned()));
        }
        let least = heartbeat_ms.saturating_mul(LEAST_HEARTBEATS_PER_ELECTION);
        if election_ms < least {
            let reason = format!(
                "{election_ms} is below {LEAST_HEARTBEATS_PER_ELECTION} heartbeats ({least})"
            );
            return Some(("election_ms", reason));
        }
        // A leader must have stepped down before it could expire daemons for polls that it missed.
        let least = election_ms.saturating_mul(2);
        if daemon_lease_ms < least {
            let reason = format!("{daemon_lease_ms} is below two election timeouts ({least})");
            return Some(("daemon_lease_ms", reason));
        }
        None
    }
}
