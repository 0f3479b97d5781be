//! Carrying out of a script's steps, several at the same time.

use super::error::FleetError;
use super::group;
use super::running::Fleet;
use super::script::{Action, Role, Script, Step, Target, Which};
use super::together::join_all;
use crate::caller::CallerCommand;
use crate::endpoint::EndpointChange;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Carries out a script.
pub struct Steps<'a> {
    fleet: &'a Fleet,
    script: &'a Script,
    random: Mutex<Pcg64Mcg>,
    /// Processes that a step is busy with; no other step takes one of them.
    busy: Mutex<BTreeSet<String>>,
}

/// A process that a step is busy with.
struct Busy<'a> {
    name: String,
    busy: &'a Mutex<BTreeSet<String>>,
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        lock(self.busy).remove(&self.name);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("nothing panics under the lock")
}

impl<'a> Steps<'a> {
    /// The steps of a script for a fleet; the seed draws the targets.
    pub fn new(fleet: &'a Fleet, script: &'a Script, seed: u64) -> Self {
        Self {
            fleet,
            script,
            random: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            busy: Mutex::default(),
        }
    }

    /// Carries out all steps; ends when the last has ended and the script's time is over.
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
            self.carry_out(step).await
        });
        join_all(steps).await?;
        sleep_until(start + self.script.duration).await;
        Ok(())
    }

    async fn carry_out(&self, step: &Step) -> Result<(), FleetError> {
        self.act(&step.action).await.map_err(|error| {
            let line = step.line;
            FleetError::Step(format!("step at line {line}: {error}"))
        })
    }

    async fn act(&self, action: &Action) -> Result<(), FleetError> {
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
        let Some(process) = self.take(target).await? else {
            return Ok(());
        };
        self.fleet.kill(&process.name).await?;
        sleep(down_for).await;
        self.start(target.role, &process.name).await
    }

    async fn stop(&self, target: &Target, down_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.take(target).await? else {
            return Ok(());
        };
        self.fleet.stop(&process.name).await?;
        sleep(down_for).await;
        self.start(target.role, &process.name).await
    }

    async fn freeze(&self, target: &Target, frozen_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.take(target).await? else {
            return Ok(());
        };
        self.fleet.freeze(&process.name)?;
        sleep(frozen_for).await;
        self.fleet.thaw(&process.name)
    }

    async fn leave(&self, target: &Target, away_for: Duration) -> Result<(), FleetError> {
        let Some(process) = self.take(target).await? else {
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

    /// All endpoints that fit are slowed down together.
    async fn slow(
        &self,
        target: &Target,
        factor: f64,
        slow_for: Duration,
    ) -> Result<(), FleetError> {
        let endpoints = self.fitting(target).await?;
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
        let each = rate / self.fleet.plan.callers.len() as f64;
        self.fleet.tell_callers(&CallerCommand::Rate(each)).await
    }

    async fn replace(&self, target: &Target) -> Result<(), FleetError> {
        let Some(process) = self.take(target).await? else {
            return Ok(());
        };
        let fleet = self.fleet;
        let gone = || FleetError::Step(format!("no replica `{}`", process.name));
        let address = fleet.control_of(&process.name).ok_or_else(gone)?;
        let lost = group::status(address).await?.replica.replica;
        fleet.kill(&process.name).await?;
        fleet.wipe(&process.name)?;
        self.start(Role::Replica, &process.name).await?;
        let replacement = group::status(address).await?.replica;
        let others = fleet
            .control()
            .into_iter()
            .filter(|other| *other != address);
        let others: Vec<_> = others.collect();
        Ok(group::replace(&others, lost, replacement).await?)
    }

    /// Replicas first, then endpoints with their daemons, then gateways.
    async fn rolling_restart(&self, pause: Duration) -> Result<(), FleetError> {
        let plan = &self.fleet.plan;
        for replica in &plan.replicas {
            self.restart(Role::Replica, &replica.name, pause).await?;
        }
        for endpoint in &plan.endpoints {
            let _busy = self.reserve(&endpoint.daemon);
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
        let _busy = self.reserve(name);
        self.fleet.stop(name).await?;
        self.start(role, name).await?;
        sleep(pause).await;
        Ok(())
    }

    /// Starts a process that has ended.
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

    /// Takes one of the processes that fit and that no other step is busy with, if there is one.
    async fn take(&self, target: &Target) -> Result<Option<Busy<'_>>, FleetError> {
        let fitting = self.fitting(target).await?;
        let is_idle = |name: &String| !lock(&self.busy).contains(name);
        let idle: Vec<String> = fitting.into_iter().filter(is_idle).collect();
        if idle.is_empty() {
            return Ok(None);
        }
        let index = lock(&self.random).random_range(0..idle.len());
        Ok(Some(self.reserve(&idle[index])))
    }

    fn reserve(&self, name: &str) -> Busy<'_> {
        lock(&self.busy).insert(name.to_owned());
        Busy {
            name: name.to_owned(),
            busy: &self.busy,
        }
    }

    /// Names of the processes that fit a target.
    async fn fitting(&self, target: &Target) -> Result<Vec<String>, FleetError> {
        let named = match &target.which {
            Which::Any => None,
            Which::Leader => return self.replicas(true).await,
            Which::Follower => return self.replicas(false).await,
            Which::Named(name) => Some(name.as_str()),
        };
        let fits = |labels: &[&str]| named.is_none_or(|name| labels.contains(&name));
        let plan = &self.fleet.plan;
        let names: Vec<String> = match target.role {
            Role::Replica => {
                let fitting = plan.replicas.iter();
                let fitting = fitting.filter(|r| fits(&[&r.name, r.zone.as_str()]));
                fitting.map(|replica| replica.name.clone()).collect()
            }
            Role::Gateway => {
                let fitting = plan.gateways.iter();
                let fitting = fitting.filter(|g| fits(&[&g.name, g.zone.as_str()]));
                fitting.map(|gateway| gateway.name.clone()).collect()
            }
            Role::Daemon | Role::Endpoint => {
                let fitting = plan.endpoints.iter();
                let fitting = fitting
                    .filter(|e| fits(&[&e.name, &e.daemon, e.service.as_str(), e.zone.as_str()]));
                let is_daemon = target.role == Role::Daemon;
                let name = |e: &super::plan::PlannedEndpoint| {
                    if is_daemon {
                        e.daemon.clone()
                    } else {
                        e.name.clone()
                    }
                };
                fitting.map(name).collect()
            }
        };
        if names.is_empty() {
            let name = named.unwrap_or("any");
            return Err(FleetError::Step(format!(
                "nothing in the fleet fits `{name}`"
            )));
        }
        Ok(names)
    }

    /// Control replicas that lead, or that do not, as they see it themselves.
    async fn replicas(&self, leading: bool) -> Result<Vec<String>, FleetError> {
        let mut names = Vec::new();
        for replica in &self.fleet.plan.replicas {
            let Some(address) = self.fleet.control_of(&replica.name) else {
                continue;
            };
            // A replica that is down or frozen neither leads nor follows.
            if let Ok(status) = group::status(address).await {
                let is_leader = status.leader == Some(status.replica.replica);
                if is_leader == leading {
                    names.push(replica.name.clone());
                }
            }
        }
        Ok(names)
    }
}
