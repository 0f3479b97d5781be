//! How each fault is carried out.

use crate::fleet::FleetError;
use crate::history::PlannedStop;
use crate::plan::{Fault, Machine, SERIES_PAUSE, SERIES_STEPS, STOPS_PAUSE, Step};
use crate::relay::Mode;
use crate::run::Soak;
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time that a process gets to catch signals before one may be sent to it.
const CATCHES_SIGNALS: Duration = Duration::from_millis(20);

impl Soak {
    /// Carries out one step; returns when it is over.
    pub(crate) async fn strike(self: &Arc<Self>, step: Step) -> Result<(), FleetError> {
        match step.fault {
            Fault::Kill(machine) => self.kill(machine, step.lasts, false).await,
            Fault::KillAndWipe(machine) => self.kill(machine, step.lasts, true).await,
            Fault::KillAllControl => self.kill_all_control(step.lasts).await,
            Fault::Pause(machine) => {
                self.hosts[&machine].lock().await.signal(Signal::STOP);
                tokio::time::sleep(step.lasts).await;
                self.hosts[&machine].lock().await.signal(Signal::CONT);
                Ok(())
            }
            Fault::SilentInwards(machine) => self.relay(machine, step, true, false, 0).await,
            Fault::SilentOutwards(machine) => self.relay(machine, step, false, true, 0).await,
            Fault::Silent(machine) => self.relay(machine, step, true, true, 0).await,
            Fault::Delay(machine, millis) => self.relay(machine, step, false, false, millis).await,
            Fault::Reset(machine) => {
                self.hosts[&machine].lock().await.reset_connections();
                Ok(())
            }
            Fault::Reload(machine) => self.hosts[&machine].lock().await.reload(),
            Fault::ReloadSeries(machine) => self.reload_series(machine).await,
            Fault::KillSeries(machine) => self.kill_series(machine).await,
            Fault::Stop(daemon) => self.stop(daemon, step.lasts).await,
            Fault::StopsInTurn => self.stop_in_turn(step.lasts).await,
            Fault::StopControl(number) => self.stop_control(number, step.lasts).await,
            Fault::Surge(percent) => {
                self.surge_percent.store(percent, Ordering::Relaxed);
                tokio::time::sleep(step.lasts).await;
                self.surge_percent.store(100, Ordering::Relaxed);
                Ok(())
            }
            Fault::EndpointCrash(daemon) => {
                *self.endpoints[daemon].lock().await = None;
                tokio::time::sleep(step.lasts).await;
                self.start_endpoint(daemon).await
            }
            Fault::EndpointLeaves(daemon) => {
                let leaving = self.endpoints[daemon].lock().await.take();
                if let Some(leaving) = leaving {
                    leaving.leave().await;
                }
                self.start_endpoint(daemon).await
            }
            Fault::EndpointRestart(daemon) => {
                self.restart_endpoint(daemon, step.lasts, false).await
            }
            Fault::EndpointRestartAfterLeaving(daemon) => {
                self.restart_endpoint(daemon, step.lasts, true).await
            }
            Fault::AllEndpointsRestart => self.restart_all_endpoints(step.lasts).await,
            Fault::InvalidHeartbeats(daemon) => {
                if let Some(endpoint) = &*self.endpoints[daemon].lock().await {
                    endpoint.send_invalid_heartbeats().await;
                }
                Ok(())
            }
            Fault::ForeignHeartbeats(daemon) => {
                self.send_foreign_heartbeats(daemon, step).await;
                Ok(())
            }
        }
    }

    /// Takes the endpoint beside a daemon away at once, or as planned, and starts it again under its id.
    async fn restart_endpoint(
        &self,
        daemon: usize,
        lasts: Duration,
        leaves: bool,
    ) -> Result<(), FleetError> {
        let Some(endpoint) = self.endpoints[daemon].lock().await.take() else {
            return Ok(());
        };
        let id = endpoint.id().to_owned();
        if leaves {
            endpoint.leave().await;
        } else {
            drop(endpoint);
        }
        tokio::time::sleep(lasts).await;
        self.start_endpoint_as(daemon, id).await
    }

    async fn restart_all_endpoints(self: &Arc<Self>, lasts: Duration) -> Result<(), FleetError> {
        let mut restarting = JoinSet::new();
        for daemon in 0..self.daemons {
            let soak = Arc::clone(self);
            restarting.spawn(async move { soak.restart_endpoint(daemon, lasts, false).await });
        }
        while let Some(restarted) = restarting.join_next().await {
            restarted.expect("a fault is carried out without a panic")?;
        }
        Ok(())
    }

    pub(crate) fn count_life(&self, machine: Machine) {
        if let Machine::Daemon(number) = machine {
            self.lives[number].fetch_add(1, Ordering::SeqCst);
        }
    }

    async fn kill(
        &self,
        machine: Machine,
        lasts: Duration,
        is_wiped: bool,
    ) -> Result<(), FleetError> {
        let mut host = self.hosts[&machine].lock().await;
        self.count_life(machine);
        host.kill().await;
        if is_wiped {
            host.wipe()?;
        }
        tokio::time::sleep(lasts).await;
        self.count_life(machine);
        host.start()?;
        tokio::time::sleep(CATCHES_SIGNALS).await;
        Ok(())
    }

    async fn kill_all_control(&self, lasts: Duration) -> Result<(), FleetError> {
        let mut killed = Vec::new();
        for (machine, host) in &self.hosts {
            if matches!(machine, Machine::Control(_)) {
                let mut host = host.lock().await;
                host.kill().await;
                killed.push(host);
            }
        }
        tokio::time::sleep(lasts.min(Duration::from_secs(1))).await;
        for host in &mut killed {
            host.start()?;
        }
        Ok(())
    }

    async fn relay(
        &self,
        machine: Machine,
        step: Step,
        inwards: bool,
        outwards: bool,
        millis: u64,
    ) -> Result<(), FleetError> {
        let mode = Mode {
            delay: Duration::from_millis(millis),
            is_silent_inwards: inwards,
            is_silent_outwards: outwards,
        };
        self.hosts[&machine].lock().await.set_relays(mode);
        tokio::time::sleep(step.lasts).await;
        self.hosts[&machine]
            .lock()
            .await
            .set_relays(Mode::default());
        Ok(())
    }

    async fn reload_series(&self, machine: Machine) -> Result<(), FleetError> {
        for _ in 0..SERIES_STEPS {
            self.hosts[&machine].lock().await.reload()?;
            tokio::time::sleep(SERIES_PAUSE).await;
        }
        Ok(())
    }

    async fn kill_series(&self, machine: Machine) -> Result<(), FleetError> {
        for _ in 0..SERIES_STEPS {
            self.kill(machine, SERIES_PAUSE, false).await?;
            tokio::time::sleep(SERIES_PAUSE).await;
        }
        Ok(())
    }

    async fn stop_in_turn(self: &Arc<Self>, lasts: Duration) -> Result<(), FleetError> {
        let mut stopping = JoinSet::new();
        for daemon in 0..self.daemons {
            let soak = Arc::clone(self);
            stopping.spawn(async move { soak.stop(daemon, lasts).await });
            tokio::time::sleep(STOPS_PAUSE).await;
        }
        while let Some(stopped) = stopping.join_next().await {
            stopped.expect("a fault is carried out without a panic")?;
        }
        Ok(())
    }

    async fn stop(&self, daemon: usize, lasts: Duration) -> Result<(), FleetError> {
        let machine = Machine::Daemon(daemon);
        let mut host = self.hosts[&machine].lock().await;
        let told = self.history.now();
        let is_in_time = host.stop().await;
        self.count_life(machine);
        let ended = self.history.now();
        self.history.events().planned_stops.push(PlannedStop {
            daemon,
            told,
            ended,
            is_in_time,
        });
        tokio::time::sleep(lasts).await;
        self.count_life(machine);
        host.start()?;
        tokio::time::sleep(CATCHES_SIGNALS).await;
        Ok(())
    }

    async fn stop_control(&self, number: usize, lasts: Duration) -> Result<(), FleetError> {
        let mut host = self.hosts[&Machine::Control(number)].lock().await;
        if !host.stop().await {
            println!("control replica {number} did not end within the grace time");
        }
        tokio::time::sleep(lasts).await;
        host.start()?;
        tokio::time::sleep(CATCHES_SIGNALS).await;
        Ok(())
    }
}
