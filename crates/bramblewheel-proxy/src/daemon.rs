//! The daemon of the routed data path: its start and its planned stop.
//!
//! Runs the tasks of the daemon; `parts` creates their shared state, and `listeners` opens and serves the three
//! listeners. The settings must have been checked by the program that read them.

mod listeners;
mod parts;

use self::listeners::Listeners;
use self::parts::Parts;
use crate::control::registrar::Registrar;
use crate::control::watch::ReadTable;
use crate::planned_stop;
use crate::settings::Settings;
use crate::shared::Shared;
use bramblewheel_process::listener::BindError;
use bramblewheel_types::Timestamp;
use slog::Logger;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Time in which a process that was suspended until the end of its stop passes on the answers that came meanwhile.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Why a daemon can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The operating system provides no random numbers.
    #[error("can't read random numbers from the operating system: {0}")]
    Random(getrandom::Error),
}

/// A running daemon. Dropping it stops the daemon at once, as a crash would.
#[derive(Debug)]
pub struct Daemon {
    shared: Arc<Shared>,
    registrar: Arc<Registrar>,
    stop: watch::Sender<bool>,
    servers: JoinSet<()>,
    _background: JoinSet<()>,
}

impl Daemon {
    /// Starts a daemon; returns once it listens.
    ///
    /// # Errors
    /// [`StartError`] if a listener can't be opened or there are no random numbers.
    pub async fn start(
        settings: Settings,
        read_table: ReadTable,
        log: Logger,
    ) -> Result<Self, StartError> {
        let listeners = Listeners::bind(&settings).await?;
        let incarnation = getrandom::u64().map_err(StartError::Random)?;
        let parts = Parts::new(settings, incarnation, log);
        let shared = Arc::clone(&parts.shared);
        let registrar = Arc::clone(&parts.registrar);
        let mut background = parts.start_background(read_table);
        background.spawn(listeners::serve_metrics(
            listeners.metrics,
            Arc::clone(&shared),
        ));
        let stop = watch::Sender::new(false);
        let mut servers = JoinSet::new();
        servers.spawn(listeners::serve_callers(
            listeners.outbound,
            Arc::clone(&shared),
            stop.subscribe(),
        ));
        servers.spawn(listeners::serve_daemons(
            listeners.inbound,
            Arc::clone(&shared),
            stop.subscribe(),
        ));
        slog::info!(shared.log, "daemon started"; "name" => %shared.settings.name,
            "incarnation" => incarnation);
        Ok(Self {
            shared,
            registrar,
            stop,
            servers,
            _background: background,
        })
    }

    /// State shared by the daemon's parts.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Registrar that takes the local endpoint's heartbeats.
    pub fn registrar(&self) -> &Arc<Registrar> {
        &self.registrar
    }

    /// Carries out a planned stop: reports not ready, answers the requests received, then closes the connections.
    pub async fn stop(mut self) {
        let closed_by = planned_stop::wait_until_quiet(&self.shared).await;
        self.stop.send_replace(true);
        let have_all_ended = self.wait_for_servers(closed_by).await;
        planned_stop::log_cut_off(&self.shared);
        slog::info!(self.shared.log, "stopped"; "in_progress" => self.shared.in_progress.count(),
            "all_connections_ended" => have_all_ended);
    }

    /// Waits until all connections have ended, at most until `closed_by`; returns whether they have. After a suspension
    /// of this process, the answers that came meanwhile are passed on first.
    async fn wait_for_servers(&mut self, closed_by: Timestamp) -> bool {
        let (clock, servers) = (self.shared.clock, &mut self.servers);
        let servers_ended = async { while servers.join_next().await.is_some() {} };
        let mut servers_ended = pin!(servers_ended);
        if clock
            .timeout_at(closed_by, servers_ended.as_mut())
            .await
            .is_ok()
        {
            return true;
        }
        let now = clock.now();
        if self.shared.lateness.longest_unread(now).is_zero() {
            return false;
        }
        let until = now + LAST_ANSWERS_TIME;
        clock.timeout_at(until, servers_ended).await.is_ok()
    }
}
