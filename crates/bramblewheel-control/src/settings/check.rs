//! Checks of the settings that their types can't express.

use super::{Settings, TimingSettings};
use bramblewheel_process::settings::address_clash;

/// Least number of heartbeats in an election timeout: a follower's proof of contact with a quorum takes
/// three, and one may be lost.
const MIN_HEARTBEATS_PER_ELECTION: u64 = 4;

/// Least silence after which a voter may be replaced by a spare. A machine that reboots returns within this
/// time.
const MIN_SILENCE_MS: u64 = 300_000;

impl Settings {
    /// Key and reason of the first invalid setting.
    pub(super) fn first_fault(&self) -> Option<(&'static str, String)> {
        self.address_fault()
            .or_else(|| self.timing_fault())
            .or_else(|| self.listener_fault())
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
        let unspecified = named[..2].iter().find(|(_, a)| a.ip().is_unspecified());
        unspecified.map(|(key, address)| {
            let reason = format!("{address} can't be given to others: name one address");
            (*key, reason)
        })
    }

    fn spare_fault(&self) -> Option<(&'static str, String)> {
        let fast_repair = self.spare.fast_repair_ms;
        let least = self.timing.election_ms.saturating_mul(2);
        if fast_repair > 0 && fast_repair < least {
            let reason = format!("{fast_repair} is below two election timeouts ({least})");
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
        let replace_after = self.spare.replace_after_ms;
        if (1..MIN_SILENCE_MS).contains(&replace_after) {
            let reason = format!("{replace_after} is below {MIN_SILENCE_MS}, and not 0 for never");
            return Some(("replace_after_ms", reason));
        }
        if self.spare.period_ms < replace_after {
            let reason = format!("{} is below replace_after_ms", self.spare.period_ms);
            return Some(("period_ms", reason));
        }
        None
    }

    /// Founders are identified by their addresses, which must therefore be distinct.
    fn formation_fault(&self) -> Option<(&'static str, String)> {
        let founders = &self.formation.founders;
        let duplicate = founders
            .iter()
            .enumerate()
            .find(|(index, founder)| founders[..*index].contains(founder));
        duplicate.map(|(_, founder)| ("founders", format!("{founder} is listed twice")))
    }

    fn listener_fault(&self) -> Option<(&'static str, String)> {
        let must_be_positive = [
            ("connections", self.admin.connections as u64),
            ("header_timeout_ms", self.admin.header_timeout_ms),
            ("idle_timeout_ms", self.service.idle_timeout_ms),
        ];
        let zero = must_be_positive.iter().find(|(_, value)| *value == 0);
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
        let least = heartbeat_ms.saturating_mul(MIN_HEARTBEATS_PER_ELECTION);
        if election_ms < least {
            let reason = format!(
                "{election_ms} is below {MIN_HEARTBEATS_PER_ELECTION} heartbeats ({least})"
            );
            return Some(("election_ms", reason));
        }
        // A leader that is cut off must step down before it could expire daemons whose polls it missed.
        let least = election_ms.saturating_mul(2);
        if daemon_lease_ms < least {
            let reason = format!("{daemon_lease_ms} is below two election timeouts ({least})");
            return Some(("daemon_lease_ms", reason));
        }
        None
    }
}
