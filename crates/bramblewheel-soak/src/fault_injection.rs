//! Injects the faults of a plan.

use crate::fleet::FleetError;
use crate::history::{PlannedStop, Strike, Timestamp};
use crate::plan::{Fault, Machine, SERIES_PAUSE, SERIES_STEPS, STOPS_PAUSE, Step};
use crate::relay::Mode;
use crate::run::Soak;
use rustix::process::Signal;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Longest wait for an acknowledged change of the configuration before a fault that strikes right after one.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time by which a fault may take longer than planned without a notice.
const MAX_DEVIATION: Duration = Duration::from_millis(500);
impl Soak {
    /// Injects the fault of one step; returns when it is over. Records what it strikes, and says if it took longer than
    /// planned, because the machine was held by another fault.
    pub(crate) async fn inject(self: &Arc<Self>, step: Step) -> Result<(), FleetError> {
        let from = self.history.now();
        let strikes = self.record_strikes(step.fault, from);
        let interrupted = step.fault.suspended_or_cut();
        if let Some(daemon) = interrupted {
            self.history.record_interruption(daemon, false);
        }
        let injected = self.inject_fault(step).await;
        if let Some(daemon) = interrupted {
            self.history.record_interruption(daemon, false);
        }
        let until = self.history.now();
        for strike in strikes {
            self.history.events().strikes[strike].until = Some(until);
        }
        let excess = until.saturating_sub(from + step.lasts);
        if step.fault.has_fixed_length() && excess > MAX_DEVIATION {
            println!(
                "{:8.2}s {:?} took {excess:?} longer than planned",
                until.as_secs_f64(),
                step.fault
            );
        }
        injected
    }

    /// Records that a fault strikes machines from now on; returns the numbers of the records.
    fn record_strikes(&self, fault: Fault, from: Timestamp) -> Range<usize> {
        let struck = self.hosts.keys().filter(|machine| fault.strikes(**machine));
        let mut events = self.history.events();
        let first = events.strikes.len();
        events.strikes.extend(struck.map(|machine| Strike {
            machine: *machine,
            fault: format!("{fault:?}"),
            from,
            until: None,
        }));
        first..events.strikes.len()
    }

    async fn inject_fault(self: &Arc<Self>, step: Step) -> Result<(), FleetError> {
        match step.fault {
            Fault::Kill(machine) => self.kill(machine, step.lasts, false).await,
            Fault::KillAndWipe(machine) => {
                let loss = self.lost_machine.begin(machine).await;
                self.kill(machine, step.lasts, true).await?;
                loss.end();
                Ok(())
            }
            Fault::ReplaceControl(replica) => self.replace_control(replica, step.lasts).await,
            Fault::KillAllControl => self.kill_all_control(step.lasts).await,
            Fault::KillAllAndWipe(replica) => self.kill_all_and_wipe(replica, step.lasts).await,
            Fault::Pause(machine) => {
                self.hosts[&machine].lock().await.signal(Signal::STOP);
                tokio::time::sleep(step.lasts).await;
                self.controls[&machine].signal(Signal::CONT);
                Ok(())
            }
            Fault::SilentInwards(machine) => self.hold_traffic(machine, step, true, false, 0).await,
            Fault::SilentOutwards(machine) => {
                self.hold_traffic(machine, step, false, true, 0).await
            }
            Fault::Silent(machine) => self.hold_traffic(machine, step, true, true, 0).await,
            Fault::Delay(machine, millis) => {
                self.hold_traffic(machine, step, false, false, millis).await
            }
            Fault::Reset(machine) => {
                self.controls[&machine].reset_connections();
                Ok(())
            }
            Fault::Reload(machine) => self.hosts[&machine].lock().await.reload(),
            Fault::ReloadSeries(machine) => self.reload_series(machine).await,
            Fault::KillSeries(machine) => self.kill_series(machine).await,
            Fault::Stop(daemon) => self.stop(daemon, step.lasts).await,
            Fault::StopsInTurn => self.stop_all_in_turn(step.lasts).await,
            Fault::StopControl(number) => self.stop_control(number, step.lasts).await,
            Fault::Surge(percent) => {
                self.load_percent.store(percent, Ordering::Relaxed);
                tokio::time::sleep(step.lasts).await;
                self.load_percent.store(100, Ordering::Relaxed);
                Ok(())
            }
            Fault::EndpointCrash(daemon) => {
                *self.endpoints[daemon].lock().await = None;
                tokio::time::sleep(step.lasts).await;
                self.start_endpoint(daemon).await
            }
            Fault::EndpointLeaves(daemon) => {
                let endpoint = self.endpoints[daemon].lock().await.take();
                if let Some(endpoint) = endpoint {
                    endpoint.stop().await;
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

    /// Ends the endpoint beside a daemon, by a crash or a planned stop, and starts it again under its id.
    async fn restart_endpoint(
        &self,
        daemon: usize,
        lasts: Duration,
        is_planned: bool,
    ) -> Result<(), FleetError> {
        let Some(endpoint) = self.endpoints[daemon].lock().await.take() else {
            return Ok(());
        };
        let id = endpoint.id().to_owned();
        if is_planned {
            endpoint.stop().await;
        } else {
            drop(endpoint);
        }
        tokio::time::sleep(lasts).await;
        self.start_endpoint_as(daemon, id).await
    }

    async fn restart_all_endpoints(self: &Arc<Self>, lasts: Duration) -> Result<(), FleetError> {
        let mut restarts = JoinSet::new();
        for daemon in 0..self.daemons {
            let soak = Arc::clone(self);
            restarts.spawn(async move { soak.restart_endpoint(daemon, lasts, false).await });
        }
        while let Some(result) = restarts.join_next().await {
            result.expect("fault injection does not panic")?;
        }
        Ok(())
    }

    pub(crate) fn advance_generation(&self, machine: Machine) {
        if let Machine::Daemon(number) = machine {
            self.process_generations[number].fetch_add(1, Ordering::SeqCst);
            self.history.record_interruption(number, true);
        }
    }

    async fn kill(
        &self,
        machine: Machine,
        lasts: Duration,
        wipes_data: bool,
    ) -> Result<(), FleetError> {
        let mut host = self.hosts[&machine].lock().await;
        self.advance_generation(machine);
        host.kill().await;
        if wipes_data {
            host.wipe()?;
        }
        tokio::time::sleep(lasts).await;
        self.advance_generation(machine);
        host.start()?;
        host.wait_for_signal_handlers().await;
        Ok(())
    }

    async fn replace_control(&self, replica: usize, lasts: Duration) -> Result<(), FleetError> {
        let replaced = Machine::Control(replica);
        let loss = self.lost_machine.begin(replaced).await;
        let seed = {
            let mut host = self.hosts[&replaced].lock().await;
            host.kill().await;
            host.wipe()?;
            let seed = host.move_to_new_address().await?;
            host.set_seed(replica, seed);
            tokio::time::sleep(lasts).await;
            host.start()?;
            host.wait_for_signal_handlers().await;
            seed
        };
        loss.end();
        for (machine, host) in &self.hosts {
            if *machine != replaced {
                let mut host = host.lock().await;
                host.set_seed(replica, seed);
                host.reload()?;
            }
        }
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

    async fn kill_all_and_wipe(&self, replica: usize, lasts: Duration) -> Result<(), FleetError> {
        let wiped = Machine::Control(replica);
        let loss = self.lost_machine.begin(wiped).await;
        let mut hosts = Vec::new();
        for (machine, host) in &self.hosts {
            hosts.push((*machine, host.lock().await));
        }
        let acknowledgement = self.history.next_acknowledgement();
        if timeout(ACKNOWLEDGEMENT_TIMEOUT, acknowledgement)
            .await
            .is_err()
        {
            println!("no change acknowledged for {ACKNOWLEDGEMENT_TIMEOUT:?}, killed without one");
        }
        // All signals are sent before the first exit is awaited.
        for (machine, host) in &hosts {
            self.advance_generation(*machine);
            host.signal(Signal::KILL);
        }
        for (machine, host) in &mut hosts {
            host.kill().await;
            if *machine == wiped {
                host.wipe()?;
            }
        }
        tokio::time::sleep(lasts).await;
        for (machine, host) in &mut hosts {
            self.advance_generation(*machine);
            host.start()?;
        }
        loss.end();
        Ok(())
    }

    async fn hold_traffic(
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
        let controls = &self.controls[&machine];
        controls.set_relays(mode);
        tokio::time::sleep(step.lasts).await;
        controls.set_relays(Mode::default());
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

    async fn stop_all_in_turn(self: &Arc<Self>, lasts: Duration) -> Result<(), FleetError> {
        let mut stops = JoinSet::new();
        for daemon in 0..self.daemons {
            let soak = Arc::clone(self);
            stops.spawn(async move { soak.stop(daemon, lasts).await });
            tokio::time::sleep(STOPS_PAUSE).await;
        }
        while let Some(result) = stops.join_next().await {
            result.expect("fault injection does not panic")?;
        }
        Ok(())
    }

    async fn stop(&self, daemon: usize, lasts: Duration) -> Result<(), FleetError> {
        let machine = Machine::Daemon(daemon);
        let mut host = self.hosts[&machine].lock().await;
        let requested = self.history.now();
        let is_in_time = host.stop().await;
        self.advance_generation(machine);
        let ended = self.history.now();
        self.history.events().planned_stops.push(PlannedStop {
            daemon,
            requested,
            ended,
            is_in_time,
        });
        tokio::time::sleep(lasts).await;
        self.advance_generation(machine);
        host.start()?;
        host.wait_for_signal_handlers().await;
        Ok(())
    }

    async fn stop_control(&self, number: usize, lasts: Duration) -> Result<(), FleetError> {
        let mut host = self.hosts[&Machine::Control(number)].lock().await;
        if !host.stop().await {
            println!("control replica {number} did not end within the grace time");
        }
        tokio::time::sleep(lasts).await;
        host.start()?;
        host.wait_for_signal_handlers().await;
        Ok(())
    }
}
