//! The phases, one after the other on the same group and fleet.

use super::{PhaseFigures, SizeFigures, Window};
use crate::bench::scale::bundles::BundleSource;
use crate::bench::scale::deployment::{Deployment, REGIONS, region_of};
use crate::bench::scale::group::Group;
use crate::bench::scale::hollow::Fleet;
use crate::bench::scale::real_daemon::RealDaemons;
use crate::error::CommandError;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// Longest wait until all daemons know of an event; far over the 18 s that is asked for.
const PATIENCE: Duration = Duration::from_secs(90);
/// Pause after an event before the next phase is measured.
const CALM: Duration = Duration::from_secs(2);
/// From a daemon's drain to its new start.
const DRAIN_TIME: Duration = Duration::from_millis(300);
/// Zone and region that are lost.
const LOST: usize = 1;
/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Length and rates of the phases.
#[derive(Clone, Copy, Debug)]
pub struct PhasePlan {
    /// Length of the idle phase.
    pub idle: Duration,
    /// Bundles published.
    pub changes: usize,
    /// From one publish to the next, at least.
    pub change_interval: Duration,
    /// Daemons restarted.
    pub restarts: usize,
    /// From one restart to the next.
    pub restart_interval: Duration,
    /// Whether hollow daemons take over bundles that one of them has checked.
    pub shares_checks: bool,
    /// Whether zones, regions and the leader are lost.
    pub with_losses: bool,
}

/// Runs all phases for one deployment; everything is stopped at the end.
///
/// # Errors
/// [`CommandError::CheckFailed`] when daemons end up not knowing what they should.
pub async fn measure(
    deployment: Deployment,
    plan: &PhasePlan,
    folder: &Path,
) -> Result<SizeFigures, CommandError> {
    let mut bundles = BundleSource::new();
    let group = Group::start(folder, bundles.signed()).await?;
    let deployment = Arc::new(deployment);
    let mut figures = SizeFigures {
        daemons: deployment.daemons.len(),
        ..SizeFigures::default()
    };
    let started = Instant::now();
    let services = group.services();
    let fleet = Fleet::start(Arc::clone(&deployment), services, plan.shares_checks).await;
    let mut bench = SizeBench {
        group,
        fleet,
        leader: 0,
    };
    bench.leader = bench.group.leader().await?;
    figures.start = bench.start(started).await?;
    let mut real = RealDaemons::start(&deployment, &bench.group, folder).await?;
    sleep(CALM).await;
    real.begin()?;
    figures.idle = bench.idle(plan).await?;
    real.end_idle()?;
    figures.changes = bench.changes(plan, &mut bundles).await?;
    figures.real_daemons = real.end()?;
    figures.restarts = bench.restarts(plan).await?;
    if plan.with_losses {
        let zone = bench.fleet.in_zones(|zone| zone == LOST);
        (figures.zone_lost, figures.zone_back) = bench.loss(&zone).await?;
        let region = bench
            .fleet
            .in_zones(|zone| region_of(zone) == LOST % REGIONS);
        (figures.region_lost, figures.region_back) = bench.loss(&region).await?;
        bench.leader_loss(&mut bundles, &mut figures).await?;
    }
    figures.refused_answers = bench.fleet.counters().refused_answers();
    Ok(figures)
}

struct SizeBench {
    group: Group,
    fleet: Fleet,
    leader: usize,
}

impl SizeBench {
    fn window(&self) -> Result<Window, CommandError> {
        Window::open(&self.group, &self.fleet, Some(self.leader))
    }

    fn close(
        &self,
        window: &Window,
        events: usize,
        delays: Vec<f64>,
    ) -> Result<PhaseFigures, CommandError> {
        Ok(PhaseFigures {
            used: window.close(&self.group, &self.fleet)?,
            events,
            delays,
        })
    }

    /// Waits until all daemons know what they should; a check, not only a wait.
    async fn settled(&self) -> Result<f64, CommandError> {
        let settled = self.fleet.settled(PATIENCE).await;
        let settled = settled.ok_or_else(|| {
            let wrong = self.fleet.unsettled();
            CommandError::CheckFailed(format!("{wrong} daemons do not know the live endpoints"))
        })?;
        Ok(settled.as_secs_f64())
    }

    async fn start(&self, started: Instant) -> Result<PhaseFigures, CommandError> {
        let window = self.window()?;
        self.settled().await?;
        self.in_force(1, started).await?;
        let took = started.elapsed().as_secs_f64();
        self.close(&window, self.fleet.size(), vec![took])
    }

    async fn idle(&self, plan: &PhasePlan) -> Result<PhaseFigures, CommandError> {
        let window = self.window()?;
        sleep(plan.idle).await;
        self.close(&window, 0, Vec::new())
    }

    async fn changes(
        &self,
        plan: &PhasePlan,
        bundles: &mut BundleSource,
    ) -> Result<PhaseFigures, CommandError> {
        let window = self.window()?;
        let mut delays = Vec::new();
        for _ in 0..plan.changes {
            let next = Instant::now() + plan.change_interval;
            let bundle = bundles.next();
            let version = bundle.version.0;
            self.group.publish(bundle).await?;
            delays.extend(self.in_force(version, Instant::now()).await?);
            sleep_until(next.into()).await;
        }
        delays.sort_by(f64::total_cmp);
        self.close(&window, plan.changes, delays)
    }

    /// Waits until a version is in force at all daemons; seconds since `since` of each.
    async fn in_force(&self, version: u64, since: Instant) -> Result<Vec<f64>, CommandError> {
        while since.elapsed() < PATIENCE {
            let delays = self.fleet.counters().delays(version, since);
            if delays.len() >= self.fleet.size() {
                return Ok(delays);
            }
            sleep(LOOK_INTERVAL).await;
        }
        let text = format!("version {version} is not in force at all daemons");
        Err(CommandError::CheckFailed(text))
    }

    async fn restarts(&mut self, plan: &PhasePlan) -> Result<PhaseFigures, CommandError> {
        let window = self.window()?;
        for restart in 0..plan.restarts {
            let next = Instant::now() + plan.restart_interval;
            // Spread over the services.
            let number = restart * self.fleet.size() / plan.restarts;
            self.fleet.drain(number);
            sleep(DRAIN_TIME.min(plan.restart_interval / 2)).await;
            self.fleet.restart(number);
            sleep_until(next.into()).await;
        }
        let last = self.settled().await?;
        self.close(&window, plan.restarts, vec![last])
    }

    /// Takes daemons off the network until all others know that they are gone, and brings them
    /// back.
    async fn loss(&mut self, lost: &[usize]) -> Result<(PhaseFigures, PhaseFigures), CommandError> {
        let window = self.window()?;
        self.fleet.cut_off(lost, true);
        let known = self.settled().await?;
        let gone = self.close(&window, lost.len(), vec![known])?;
        sleep(CALM).await;
        let window = self.window()?;
        self.fleet.reconnect(lost);
        let known = self.settled().await?;
        let back = self.close(&window, lost.len(), vec![known])?;
        sleep(CALM).await;
        Ok((gone, back))
    }

    async fn leader_loss(
        &mut self,
        bundles: &mut BundleSource,
        figures: &mut SizeFigures,
    ) -> Result<(), CommandError> {
        let lost = self.group.leader().await?;
        let bundle = bundles.next();
        let version = bundle.version.0;
        let window = Window::open(&self.group, &self.fleet, None)?;
        let killed = Instant::now();
        self.group.kill(lost).await;
        self.group.publish(bundle).await?;
        figures.leader_lost_accepted = killed.elapsed();
        let delays = self.in_force(version, killed).await?;
        figures.leader_lost = self.close(&window, 1, delays)?;
        self.settled().await?;
        self.group.start_replica(lost)?;
        let leader = self.group.leader().await?;
        figures.replica_back = self.group.caught_up(lost, leader).await?;
        Ok(())
    }
}
