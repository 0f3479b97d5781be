//! Open-loop load: each request is sent when it is due, regardless of the outcome of earlier ones.

use super::command::CallerCommand;
use super::gateways::Gateways;
use super::request::{Flow, PlannedRequest};
use super::sessions::Sessions;
use crate::client::CallClient;
use crate::journal::{Event, Journal, now_us};
use bramblewheel_bundle::Bundle;
use bramblewheel_sim::deployment::{Deployment, FlowModel};
use bramblewheel_types::{Criticality, RequestId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

/// Requests in progress above which a caller sends no more. A caller stands for a limited number of people.
const MAX_IN_PROGRESS: usize = 5000;
/// Largest number of callers that send one run-once request at the same time.
const MAX_COPIES: u32 = 3;
/// Interval at which a caller whose rate is 0 checks the rate again.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration of a caller.
#[derive(Clone, Debug)]
pub struct CallerConfig {
    /// Name under which gateways account for the caller's retry ratio.
    pub name: String,
    /// Deployment whose flows the caller sends.
    pub deployment: Deployment,
    /// Bundle in force, which gives the classes of the routes.
    pub bundle: Option<Bundle>,
    /// Gateways in order of preference, with their outbound listeners.
    pub gateways: Vec<(String, SocketAddr)>,
    /// Requests per second.
    pub rate: f64,
    /// Share of the run-once requests that several callers send at the same time.
    pub double_share: f64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// First number of the caller's sends, which must be unique in a run.
    pub first_number: u64,
}

/// State shared by all requests of a caller.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) name: String,
    pub(super) client: CallClient,
    pub(super) journal: Journal,
    pub(super) gateways: Gateways,
    pub(super) sessions: Sessions,
    numbers: AtomicU64,
}

impl Shared {
    pub(super) fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }
}

/// A caller.
#[derive(Debug)]
pub struct Caller {
    shared: Arc<Shared>,
    flows: Vec<Arc<Flow>>,
    random: Pcg64Mcg,
    rate: f64,
    double_share: f64,
    in_progress: JoinSet<()>,
}

impl Caller {
    /// A caller that has not sent anything yet.
    pub fn new(config: CallerConfig, journal: Journal) -> Self {
        let gateways = Gateways::default();
        for (name, address) in &config.gateways {
            gateways.set(name, *address);
        }
        let flows = config.deployment.flows.iter();
        let flows = flows.map(|model| Arc::new(flow(model, config.bundle.as_ref())));
        Self {
            flows: flows.collect(),
            random: Pcg64Mcg::seed_from_u64(config.seed),
            rate: config.rate,
            double_share: config.double_share,
            in_progress: JoinSet::new(),
            shared: Arc::new(Shared {
                name: config.name,
                client: CallClient::default(),
                journal,
                gateways,
                sessions: Sessions::default(),
                numbers: AtomicU64::new(config.first_number),
            }),
        }
    }

    /// Sends requests and applies commands until the command channel closes.
    pub async fn run(&mut self, commands: &mut UnboundedReceiver<CallerCommand>) {
        let mut due = Instant::now();
        loop {
            due = self.next_due(due);
            let sending = sleep_until(due);
            tokio::pin!(sending);
            loop {
                tokio::select! {
                    command = commands.recv() => match command {
                        Some(command) => self.apply(command),
                        None => return,
                    },
                    () = &mut sending => break,
                }
            }
            if self.rate > 0.0 {
                self.send(due);
            }
        }
    }

    /// Waits until every request in progress has ended.
    pub async fn finish(mut self) {
        while self.in_progress.join_next().await.is_some() {}
    }

    fn apply(&mut self, command: CallerCommand) {
        match command {
            CallerCommand::Gateway { name, address } => self.shared.gateways.set(&name, address),
            CallerCommand::Rate(rate) => self.rate = rate,
        }
    }

    /// Gaps between requests are exponentially distributed, as between requests of independent users.
    fn next_due(&mut self, last: Instant) -> Instant {
        if self.rate <= 0.0 {
            return Instant::now() + IDLE_CHECK_INTERVAL;
        }
        let unit: f64 = 1.0 - self.random.random::<f64>();
        last + Duration::from_secs_f64(-unit.ln() / self.rate)
    }

    fn send(&mut self, due: Instant) {
        while self.in_progress.try_join_next().is_some() {}
        let flow = self.pick_flow();
        if self.in_progress.len() >= MAX_IN_PROGRESS {
            let flow = flow.model.name.clone();
            self.shared.journal.write(Event::NotSent { flow });
            return;
        }
        let late_us = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
        let plan = PlannedRequest {
            request: RequestId(self.random.random()),
            due,
            due_us: now_us().saturating_sub(late_us),
            copies: self.copies(&flow.model),
            session_draw: self.in_session(&flow.model).then(|| self.random.random()),
            flow,
        };
        let shared = Arc::clone(&self.shared);
        self.in_progress.spawn(plan.send_all(shared));
    }

    fn pick_flow(&mut self) -> Arc<Flow> {
        let mut draw: f64 = self.random.random();
        for flow in &self.flows {
            draw -= flow.model.share;
            if draw < 0.0 {
                return Arc::clone(flow);
            }
        }
        Arc::clone(&self.flows[0])
    }

    fn copies(&mut self, model: &FlowModel) -> u32 {
        let is_doubled = model.run_once && self.random.random::<f64>() < self.double_share;
        if is_doubled {
            self.random.random_range(2..=MAX_COPIES)
        } else {
            1
        }
    }

    fn in_session(&mut self, model: &FlowModel) -> bool {
        self.random.random::<f64>() < model.in_session
    }
}

fn flow(model: &FlowModel, bundle: Option<&Bundle>) -> Flow {
    let route = bundle.and_then(|bundle| bundle.resolve(&model.service, &model.path));
    Flow {
        model: model.clone(),
        criticality: route.map_or(Criticality::default(), |route| route.criticality),
    }
}
