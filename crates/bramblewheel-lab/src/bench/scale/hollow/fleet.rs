//! A deployment's hollow daemons.

use super::counters::Counters;
use super::daemon::{HollowDaemon, KnownEndpoints, Order, Shared};
use crate::bench::scale::deployment::Deployment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How often it is looked whether all daemons know what is true.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Daemons started at one time, so that the backlog of the replicas' listeners is not overrun.
const START_BATCH: usize = 100;
/// Pause between batches.
const START_PAUSE: Duration = Duration::from_millis(20);

/// What the directory must hold of one daemon's endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Live,
    Draining,
    Gone,
}

struct Member {
    orders: watch::Sender<Order>,
    known: Arc<Mutex<KnownEndpoints>>,
    incarnation: u64,
    expected: Expected,
    is_cut_off: bool,
}

/// A deployment's hollow daemons. Dropping it ends them.
pub struct Fleet {
    deployment: Arc<Deployment>,
    counters: Arc<Counters>,
    members: Vec<Member>,
    _tasks: JoinSet<()>,
}

impl Fleet {
    /// Starts all daemons of a deployment. With `shares_checks` they take over a bundle that one
    /// of them has decoded and checked, as if each had a machine of its own for that.
    pub async fn start(
        deployment: Arc<Deployment>,
        replicas: Vec<SocketAddr>,
        shares_checks: bool,
    ) -> Self {
        let counters = Arc::new(Counters::new(&replicas));
        let shared = Arc::new(Shared {
            replicas,
            counters: Arc::clone(&counters),
            shares_checks,
            bundle: Mutex::new(None),
        });
        let mut tasks = JoinSet::new();
        let mut members = Vec::new();
        for number in 0..deployment.daemons.len() {
            let incarnation = first_incarnation(number);
            let registration = deployment.registration(number, incarnation, false);
            let (orders, receiver) = watch::channel(Order::Poll(registration));
            let known: Arc<Mutex<KnownEndpoints>> = Arc::default();
            let services = deployment.calls_of(number).to_vec();
            let daemon = HollowDaemon::new(
                Arc::clone(&shared),
                services,
                receiver,
                Arc::clone(&known),
                incarnation,
            );
            tasks.spawn(daemon.run());
            members.push(Member {
                orders,
                known,
                incarnation,
                expected: Expected::Live,
                is_cut_off: false,
            });
            if number % START_BATCH == START_BATCH - 1 {
                tokio::time::sleep(START_PAUSE).await;
            }
        }
        Self {
            deployment,
            counters,
            members,
            _tasks: tasks,
        }
    }

    /// Number of daemons.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// What the daemons count.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// A daemon's endpoint takes no new work.
    pub fn drain(&mut self, number: usize) {
        self.members[number].expected = Expected::Draining;
        self.announce(number);
    }

    /// A daemon is started anew.
    pub fn restart(&mut self, number: usize) {
        let count = self.members.len() as u64;
        let member = &mut self.members[number];
        member.incarnation += count;
        member.expected = Expected::Live;
        self.announce(number);
    }

    /// Takes daemons off the network, for longer than their lease if `is_forgotten`.
    pub fn cut_off(&mut self, numbers: &[usize], is_forgotten: bool) {
        for number in numbers {
            let member = &mut self.members[*number];
            member.is_cut_off = true;
            if is_forgotten {
                member.expected = Expected::Gone;
            }
            member.orders.send_replace(Order::BeCutOff);
        }
    }

    /// Brings daemons back to the network.
    pub fn reconnect(&mut self, numbers: &[usize]) {
        for number in numbers {
            let member = &mut self.members[*number];
            member.is_cut_off = false;
            member.expected = Expected::Live;
            self.announce(*number);
        }
    }

    fn announce(&self, number: usize) {
        let member = &self.members[number];
        let is_draining = member.expected == Expected::Draining;
        let registration = self
            .deployment
            .registration(number, member.incarnation, is_draining);
        member.orders.send_replace(Order::Poll(registration));
    }

    /// Daemons of which `is_it` is true of their zone.
    pub fn in_zones(&self, is_it: impl Fn(usize) -> bool) -> Vec<usize> {
        let daemons = self.deployment.daemons.iter().enumerate();
        let chosen = daemons.filter(|(_, daemon)| is_it(daemon.zone));
        chosen.map(|(number, _)| number).collect()
    }

    /// Waits until every daemon on the network knows exactly the endpoints that it should; none
    /// when that did not come within `longest`.
    pub async fn settled(&self, longest: Duration) -> Option<Duration> {
        let start = Instant::now();
        loop {
            if self.unsettled() == 0 {
                return Some(start.elapsed());
            }
            if start.elapsed() > longest {
                return None;
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Daemons on the network that don't know exactly the endpoints that they should.
    pub fn unsettled(&self) -> usize {
        let expected = self.expected_by_service();
        let wrong = self.members.iter().enumerate();
        let wrong = wrong.filter(|(number, member)| {
            !member.is_cut_off && !self.knows_what_it_should(*number, &expected)
        });
        wrong.count()
    }

    fn expected_by_service(&self) -> BTreeMap<&str, Vec<(usize, bool)>> {
        let mut expected: BTreeMap<&str, Vec<(usize, bool)>> = BTreeMap::new();
        for (number, member) in self.members.iter().enumerate() {
            if member.expected != Expected::Gone {
                let planned = &self.deployment.daemons[number];
                let service = self.deployment.services[planned.service].as_str();
                let entry = (number, member.expected == Expected::Draining);
                expected.entry(service).or_default().push(entry);
            }
        }
        expected
    }

    fn knows_what_it_should(
        &self,
        number: usize,
        expected: &BTreeMap<&str, Vec<(usize, bool)>>,
    ) -> bool {
        let services = self.deployment.calls_of(number).iter();
        let wanted = services.filter_map(|service| expected.get(service.as_str()));
        let known = &self.members[number].known;
        let known = known.lock().expect("nothing panics under the lock");
        let mut count = 0;
        for (other, draining) in wanted.flatten() {
            count += 1;
            let entry = known.get(&self.deployment.daemons[*other].endpoint);
            if entry.is_none_or(|entry| entry.draining != *draining) {
                return false;
            }
        }
        known.len() == count
    }
}

/// Spreads the daemons over the replicas, as their random incarnations do.
fn first_incarnation(number: usize) -> u64 {
    1 + number as u64
}
