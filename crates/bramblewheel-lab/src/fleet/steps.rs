//! Runs the steps of a fault script, concurrently where they overlap.

use super::error::FleetError;
use super::group;
use super::join::join_all;
use super::running::Fleet;
use super::script::{Action, Role, Script, Selector, Step, Target};
use crate::caller::CallerCommand;
use crate::endpoint::EndpointChange;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Runs the steps of a script.
pub struct StepRunner<'a> {
    fleet: &'a Fleet,
    script: &'a Script,
    random: Mutex<Pcg64Mcg>,
    /// Processes that a step is using; other steps do not choose them.
    reserved: Mutex<BTreeSet<String>>,
}

/// A process that a step is using; released when dropped.
struct Reservation<'a> {
    name: String,
    reserved: &'a Mutex<BTreeSet<String>>,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        lock(self.reserved).remove(&self.name);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl<'a> StepRunner<'a> {
    /// Creates a runner for a script; the seed determines the choice of targets.
    pub fn new(fleet: &'a Fleet, script: &'a Script, seed: u64) -> Self {
        Self {
            fleet,
            script,
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            reserved: Mutex::default(),
        }
    }

    /// Runs all steps; returns when the last has ended and the script's duration has passed.
    ///
    /// # Errors
    /// [`FleetError`] of the first step that can't be carried out.
    pub async fn run(&self) -> Result<(), FleetError> {
        let start = Instant::now();
        let steps = self.script.steps.iter().flat_map(|step| {
            (0..step.times).map(move |number| (step, step.at + step.every * number))
        });
        let steps = steps.map(|(step, after)| async move {
            sleep_until(start + after).await;
            self.run_step(step).await
        });
        join_all(steps).await?;
        sleep_until(start + self.script.duration).await;
        Ok(())
    }

    async fn run_step(&self, step: &Step) -> Result<(), FleetError> {
        self.run_action(&step.action).await.map_err(|error| {
            let line = step.line;
            FleetError::Step(format!("step at line {line}: {error}"))
        })
    }

    async fn run_action(&self, action: &Action) -> Result<(), FleetError> {
        match action {
            Action::Kill { target, down_for } => self.kill(target, *down_for).await,
            Action::Stop { target, down_for } => self.stop(target, *down_for).await,
            Action::Freeze { target, frozen_for } => self.freeze(target, *frozen_for).await,
            Action::Leave { target, away_for } => self.leave(target, *away_for).await,
            Action::Slow {
                target,
                factor,
                slow_for,
            } => self.slow(target, *factor, *slow_for).await,
            Action::Replace { target } => self.replace(target).await,
            Action::RollingRestart { pause } => self.rolling_restart(*pause).await,
            Action::Surge { rate, surge_for } => self.surge(*rate, *surge_for).await,
        }
    }

    async fn kill(&self, target: &Target, down_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.reserve_one(target).await? else {
            return Ok(());
        };
        self.fleet.kill(&process.name).await?;
        sleep(down_for).await;
        self.start(target.role, &process.name).await
    }

    async fn stop(&self, target: &Target, down_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.reserve_one(target).await? else {
            return Ok(());
        };
        self.fleet.stop(&process.name).await?;
        sleep(down_for).await;
        self.start(target.role, &process.name).await
    }

    async fn freeze(&self, target: &Target, frozen_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.reserve_one(target).await? else {
            return Ok(());
        };
        self.fleet.freeze(&process.name)?;
        sleep(frozen_for).await;
        self.fleet.thaw(&process.name)
    }

    async fn leave(&self, target: &Target, away_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.reserve_one(target).await? else {
            return Ok(());
        };
        let fleet = self.fleet;
        fleet
            .change_endpoint(&process.name, EndpointChange::Leave)
            .await?;
        sleep(away_for).await;
        fleet
            .change_endpoint(&process.name, EndpointChange::Return)
            .await
    }

    /// Slows down all matching endpoints together.
    async fn slow(
        &self,
        target: &Target,
        factor: f64,
        slow_for: Duration,
    ) -> Result<(), FleetError> {
        let endpoints = self.matching(target).await?;
        for endpoint in &endpoints {
            let change = EndpointChange::Slow(factor);
            self.fleet.change_endpoint(endpoint, change).await?;
        }
        sleep(slow_for).await;
        for endpoint in &endpoints {
            let change = EndpointChange::Slow(1.0);
            self.fleet.change_endpoint(endpoint, change).await?;
        }
        Ok(())
    }

    async fn surge(&self, rate: f64, surge_for: Duration) -> Result<(), FleetError> {
        self.set_rate(rate).await?;
        sleep(surge_for).await;
        self.set_rate(self.script.rate).await
    }

    async fn set_rate(&self, rate: f64) -> Result<(), FleetError> {
        let rate_per_caller = rate / self.fleet.plan.callers.len() as f64;
        self.fleet
            .send_to_callers(&CallerCommand::Rate(rate_per_caller))
            .await
    }

    async fn replace(&self, target: &Target) -> Result<(), FleetError> {
        let Some(process) = self.reserve_one(target).await? else {
            return Ok(());
        };
        let fleet = self.fleet;
        let unknown = || FleetError::Step(format!("no replica `{}`", process.name));
        let address = fleet.control_address(&process.name).ok_or_else(unknown)?;
        let lost = group::status(address).await?.replica.replica;
        fleet.kill(&process.name).await?;
        fleet.delete_data(&process.name)?;
        self.start(Role::Replica, &process.name).await?;
        let replacement = group::status(address).await?.replica;
        let others = fleet
            .control_addresses()
            .into_iter()
            .filter(|other| *other != address);
        let others: Vec<_> = others.collect();
        Ok(group::replace(&others, lost, replacement).await?)
    }

    /// Restarts replicas first, then endpoints with their daemons, then gateways.
    async fn rolling_restart(&self, pause: Duration) -> Result<(), FleetError> {
        let plan = &self.fleet.plan;
        for replica in &plan.replicas {
            self.restart(Role::Replica, &replica.name, pause).await?;
        }
        for endpoint in &plan.endpoints {
            let _reservation = self.reserve(&endpoint.daemon);
            self.fleet.stop(&endpoint.daemon).await?;
            self.fleet.stop(&endpoint.name).await?;
            self.start(Role::Endpoint, &endpoint.name).await?;
            self.start(Role::Daemon, &endpoint.daemon).await?;
            sleep(pause).await;
        }
        for gateway in &plan.gateways {
            self.restart(Role::Gateway, &gateway.name, pause).await?;
        }
        Ok(())
    }

    async fn restart(&self, role: Role, name: &str, pause: Duration) -> Result<(), FleetError> {
        let _reservation = self.reserve(name);
        self.fleet.stop(name).await?;
        self.start(role, name).await?;
        sleep(pause).await;
        Ok(())
    }

    /// Starts a process that has exited.
    async fn start(&self, role: Role, name: &str) -> Result<(), FleetError> {
        let plan = &self.fleet.plan;
        let unknown = || FleetError::Step(format!("no process `{name}`"));
        match role {
            Role::Replica => {
                let replica = plan.replicas.iter().find(|replica| replica.name == name);
                self.fleet.start_replica(replica.ok_or_else(unknown)?).await
            }
            Role::Daemon => {
                let endpoint = plan.endpoints.iter().find(|e| e.daemon == name);
                self.fleet.start_daemon(endpoint.ok_or_else(unknown)?).await
            }
            Role::Gateway => {
                let gateway = plan.gateways.iter().find(|gateway| gateway.name == name);
                self.fleet.start_gateway(gateway.ok_or_else(unknown)?).await
            }
            Role::Endpoint => {
                let endpoint = plan.endpoints.iter().find(|e| e.name == name);
                self.fleet
                    .start_endpoint(endpoint.ok_or_else(unknown)?)
                    .await?;
                Ok(())
            }
        }
    }

    /// Reserves a random matching process that no other step is using; none if there is no such process.
    async fn reserve_one(&self, target: &Target) -> Result<Option<Reservation<'_>>, FleetError> {
        let candidates = self.matching(target).await?;
        let is_free = |name: &String| !lock(&self.reserved).contains(name);
        let free: Vec<String> = candidates.into_iter().filter(is_free).collect();
        if free.is_empty() {
            return Ok(None);
        }
        let index = lock(&self.random).random_range(0..free.len());
        Ok(Some(self.reserve(&free[index])))
    }

    fn reserve(&self, name: &str) -> Reservation<'_> {
        lock(&self.reserved).insert(name.to_owned());
        Reservation {
            name: name.to_owned(),
            reserved: &self.reserved,
        }
    }

    /// Names of the processes that match a target.
    async fn matching(&self, target: &Target) -> Result<Vec<String>, FleetError> {
        let named = match &target.selector {
            Selector::Any => None,
            Selector::Leader => return self.replicas_by_leadership(true).await,
            Selector::Follower => return self.replicas_by_leadership(false).await,
            Selector::Named(name) => Some(name.as_str()),
        };
        let matches_name = |labels: &[&str]| named.is_none_or(|name| labels.contains(&name));
        let plan = &self.fleet.plan;
        let names: Vec<String> = match target.role {
            Role::Replica => {
                let replicas = plan.replicas.iter();
                let replicas = replicas.filter(|r| matches_name(&[&r.name, r.zone.as_str()]));
                replicas.map(|replica| replica.name.clone()).collect()
            }
            Role::Gateway => {
                let gateways = plan.gateways.iter();
                let gateways = gateways.filter(|g| matches_name(&[&g.name, g.zone.as_str()]));
                gateways.map(|gateway| gateway.name.clone()).collect()
            }
            Role::Daemon | Role::Endpoint => {
                let endpoints = plan.endpoints.iter();
                let endpoints = endpoints.filter(|e| {
                    matches_name(&[&e.name, &e.daemon, e.service.as_str(), e.zone.as_str()])
                });
                let is_daemon = target.role == Role::Daemon;
                let name = |e: &super::plan::PlannedEndpoint| {
                    if is_daemon {
                        e.daemon.clone()
                    } else {
                        e.name.clone()
                    }
                };
                endpoints.map(name).collect()
            }
        };
        if names.is_empty() {
            let name = named.unwrap_or("any");
            return Err(FleetError::Step(format!(
                "no process of the fleet matches `{name}`"
            )));
        }
        Ok(names)
    }

    /// Control replicas that report themselves as leader, or those that do not.
    async fn replicas_by_leadership(&self, is_leader: bool) -> Result<Vec<String>, FleetError> {
        let mut names = Vec::new();
        for replica in &self.fleet.plan.replicas {
            let Some(address) = self.fleet.control_address(&replica.name) else {
                continue;
            };
            // A replica that is down or frozen counts neither as leader nor as follower.
            if let Ok(status) = group::status(address).await {
                let reports_leadership = status.leader == Some(status.replica.replica);
                if reports_leadership == is_leader {
                    names.push(replica.name.clone());
                }
            }
        }
        Ok(names)
    }
}
