//! The daemon of the routed data path as a whole: its start and its planned stop.
//!
//! Owns the tasks of the daemon; [`parts`] puts together what they share, and [`listeners`] opens and
//! serves the three listeners. Relies on the settings being checked by the program that read them.

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
use slog::Logger;
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// A daemon can't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
}

/// A running daemon. Dropping it ends the daemon at once, as a crash would.
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
    /// [`StartError`] when a listener can't be opened.
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

    /// What the daemon's parts share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Takes the local endpoint's heartbeats.
    pub fn registrar(&self) -> &Arc<Registrar> {
        &self.registrar
    }

    /// Stops as planned: no new caller is sent here, what has come is answered, then connections
    /// are closed.
    pub async fn stop(mut self) {
        let end = planned_stop::until_quiet(&self.shared).await;
        self.stop.send_replace(true);
        let ended = async { while self.servers.join_next().await.is_some() {} };
        let is_clean = self.shared.clock.timeout_at(end, ended).await.is_ok();
        planned_stop::note_cut_off(&self.shared);
        slog::info!(self.shared.log, "stopped"; "in_progress" => self.shared.in_progress.count(),
            "all_connections_ended" => is_clean);
    }
}
