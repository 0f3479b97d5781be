//! What is used between two moments.

use crate::bench::scale::group::Group;
use crate::bench::scale::hollow::{Fleet, Traffic};
use crate::bench::scale::usage::{Usage, Use};
use crate::error::CommandError;

/// What one replica used in a phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplicaUse {
    /// Whether it led at the start of the phase.
    pub is_leader: bool,
    /// Processor time and files.
    pub process: Use,
    /// Resident memory at the end, in bytes.
    pub resident: u64,
    /// Traffic with the daemons.
    pub traffic: Traffic,
}

/// What was used in a phase.
#[derive(Clone, Debug, Default)]
pub struct PhaseUse {
    /// By replica, without those that did not run all the time.
    pub replicas: Vec<ReplicaUse>,
    /// All hollow daemons together, with the bench itself.
    pub hollow: Use,
    /// Resident memory of the bench with all hollow daemons at the end, in bytes.
    pub hollow_resident: u64,
}

impl PhaseUse {
    /// Traffic with all replicas.
    pub fn traffic(&self) -> Traffic {
        let add = |sum: Traffic, replica: &ReplicaUse| Traffic {
            to_replica: sum.to_replica + replica.traffic.to_replica,
            from_replica: sum.from_replica + replica.traffic.from_replica,
            polls: sum.polls + replica.traffic.polls,
        };
        self.replicas.iter().fold(Traffic::default(), add)
    }

    /// The leader's use.
    pub fn leader(&self) -> Option<&ReplicaUse> {
        self.replicas.iter().find(|replica| replica.is_leader)
    }

    /// Mean of a figure over the followers.
    pub fn followers(&self, figure: impl Fn(&ReplicaUse) -> f64) -> f64 {
        let followers = self.replicas.iter().filter(|replica| !replica.is_leader);
        let figures: Vec<f64> = followers.map(figure).collect();
        figures.iter().sum::<f64>() / figures.len().max(1) as f64
    }
}

/// The start of a phase.
pub struct Window {
    leader: Option<usize>,
    replicas: Vec<Option<Usage>>,
    traffic: Vec<Traffic>,
    own: Usage,
}

impl Window {
    /// Begins a phase.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn open(group: &Group, fleet: &Fleet, leader: Option<usize>) -> Result<Self, CommandError> {
        Ok(Self {
            leader,
            replicas: group.usage()?,
            traffic: fleet.counters().traffic(&group.services()),
            own: Usage::of(std::process::id())?,
        })
    }

    /// Ends the phase.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn close(&self, group: &Group, fleet: &Fleet) -> Result<PhaseUse, CommandError> {
        let now = group.usage()?;
        let traffic = fleet.counters().traffic(&group.services());
        let own = Usage::of(std::process::id())?;
        let both = self.replicas.iter().zip(&now).enumerate();
        let replicas = both.filter_map(|(number, (before, after))| {
            let (before, after) = (before.as_ref()?, after.as_ref()?);
            Some(ReplicaUse {
                is_leader: self.leader == Some(number),
                process: after.since(before),
                resident: after.resident,
                traffic: traffic[number].since(&self.traffic[number]),
            })
        });
        Ok(PhaseUse {
            replicas: replicas.collect(),
            hollow: own.since(&self.own),
            hollow_resident: own.resident,
        })
    }
}
