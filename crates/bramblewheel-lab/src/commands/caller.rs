//! Callers that send a deployment's load to its gateways.

use crate::caller::{Caller, CallerCommand, CallerConfig};
use crate::deployments::Deployments;
use crate::error::CommandError;
use crate::journal::Journal;
use crate::runtime::block_on;
use crate::{signals, stdin_commands};
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;
use tokio::sync::mpsc;

/// Arguments of `caller`.
#[derive(Debug, Options)]
#[options(help = "Sends a deployment's load to its gateways, whether answers come or not.")]
pub struct CallerOptions {
    /// print help
    pub help: bool,
    /// deployment: a file, or the name of an example
    #[options(no_short, required, meta = "FILE|NAME")]
    pub deployment: String,
    /// name by which gateways know this caller
    #[options(no_short, meta = "NAME", default = "caller")]
    pub name: String,
    /// gateway and its outbound listener, the preferred one first; give one for each
    #[options(no_short, meta = "NAME=ADDRESS")]
    pub gateway: Vec<NamedAddress>,
    /// requests a second
    #[options(no_short, meta = "N", default = "50")]
    pub rate: f64,
    /// time after which no more requests are sent; without it, until told to stop
    #[options(no_short, meta = "N")]
    pub seconds: Option<f64>,
    /// share of the run-once requests that several callers send at the same time
    #[options(no_short, meta = "SHARE", default = "0.1")]
    pub double_share: f64,
    /// folder for the journal
    #[options(no_short, meta = "FOLDER", default = ".")]
    pub journal: PathBuf,
    /// seed of the arrivals
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// take commands from standard input, and end with it
    #[options(no_short)]
    pub commands: bool,
}

/// A name and an address, as `NAME=ADDRESS`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedAddress {
    /// The name.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

impl FromStr for NamedAddress {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, address) = text.split_once('=').ok_or("expected NAME=ADDRESS")?;
        Ok(Self {
            name: name.to_owned(),
            address: address.parse().map_err(|e| format!("{address}: {e}"))?,
        })
    }
}

/// Sends load until the duration has passed or a stop signal arrives, then waits for outstanding answers.
///
/// # Errors
/// [`CommandError`] when the caller can't start, or when standard input ends.
pub fn run(options: CallerOptions) -> Result<(), CommandError> {
    if !(options.rate.is_finite() && options.rate >= 0.0) {
        return Err(CommandError::BadInput(
            "--rate: must be a finite number, 0 or above".to_owned(),
        ));
    }
    let deployment = Deployments::load(&options.deployment)?;
    let example = Deployments::example(&options.deployment).ok();
    let random = getrandom::u32().map_err(std::io::Error::other)?;
    let gateways = options.gateway.into_iter();
    let config = CallerConfig {
        name: options.name,
        deployment,
        bundle: example.map(|example| example.bundle(1)),
        gateways: gateways.map(|g| (g.name, g.address)).collect(),
        rate: options.rate,
        double_share: options.double_share,
        seed: options.seed,
        first_number: u64::from(random) << 31,
    };
    let seconds = options.seconds.map(Duration::from_secs_f64);
    block_on(send(config, &options.journal, seconds, options.commands))
}

async fn send(
    config: CallerConfig,
    folder: &Path,
    duration: Option<Duration>,
    reads_commands: bool,
) -> Result<(), CommandError> {
    let mut stop_signals = signals::stop_signals()?;
    let journal =
        Journal::open(folder, &config.name).map_err(|error| CommandError::file(folder, error))?;
    let mut caller = Caller::new(config, journal);
    // Without commands, the sender is kept open because the caller ends when the channel closes.
    let (_sender, idle_receiver) = mpsc::unbounded_channel();
    let mut commands = if reads_commands {
        stdin_commands::read::<CallerCommand>()
    } else {
        idle_receiver
    };
    let time_limit = async {
        match duration {
            Some(duration) => tokio::time::sleep(duration).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        () = caller.run(&mut commands) => {
            return Err(CommandError::RunFailed("standard input ended".to_owned()));
        }
        () = stop_signals.wait() => {}
        () = time_limit => {}
    }
    caller.finish().await;
    Ok(())
}
