//! Stand-in endpoints of a deployment.

use crate::deployments::Deployments;
use crate::endpoint::{EndpointCommand, EndpointConfig, RunningEndpoint, start};
use crate::error::CommandError;
use crate::journal::Journal;
use crate::runtime::block_on;
use crate::{signals, stdin_commands};
use bramblewheel_sim::deployment::Deployment;
use bramblewheel_types::EndpointId;
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Arguments of `endpoint`.
#[derive(Debug, Options)]
#[options(help = "Runs stand-in endpoints of a deployment, several in one process if asked to.")]
pub struct EndpointOptions {
    /// print help
    pub help: bool,
    /// deployment: a file, or the name of an example
    #[options(no_short, required, meta = "FILE|NAME")]
    pub deployment: String,
    /// endpoint, such as kassa-1; give one for each
    #[options(no_short, required, meta = "NAME")]
    pub name: Vec<EndpointId>,
    /// address to listen on; with several endpoints leave the port 0
    #[options(no_short, meta = "ADDRESS", default = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// outbound listener of the endpoints' daemon
    #[options(no_short, meta = "ADDRESS")]
    pub daemon: Option<SocketAddr>,
    /// folder for the journals
    #[options(no_short, meta = "FOLDER", default = ".")]
    pub journal: PathBuf,
    /// seed of the service times
    #[options(no_short, meta = "N", default = "1")]
    pub seed: u64,
    /// take commands from standard input, and end with it
    #[options(no_short)]
    pub commands: bool,
}

/// Runs endpoints until a stop signal arrives.
///
/// # Errors
/// [`CommandError`] when an endpoint can't start, or when standard input ends.
pub fn run(options: EndpointOptions) -> Result<(), CommandError> {
    let deployment = Deployments::load(&options.deployment)?;
    let configs = options.name.iter().enumerate();
    let configs = configs.map(|(index, name)| {
        let daemon = options.daemon;
        config(&deployment, name, &options).map(|config| EndpointConfig {
            daemon,
            seed: options.seed + index as u64,
            ..config
        })
    });
    let configs: Vec<_> = configs.collect::<Result<_, _>>()?;
    block_on(serve(configs, &options.journal, options.commands))
}

fn config(
    deployment: &Deployment,
    name: &EndpointId,
    options: &EndpointOptions,
) -> Result<EndpointConfig, CommandError> {
    let unknown = || CommandError::BadInput(format!("no endpoint `{name}` in the deployment"));
    let (service, position) = name.name().rsplit_once('-').ok_or_else(unknown)?;
    let position: usize = position.parse().map_err(|_| unknown())?;
    let mut services = deployment.services.iter();
    let model = services.find(|model| model.name.as_str() == service);
    let model = model.ok_or_else(unknown)?;
    let slots = position
        .checked_sub(1)
        .and_then(|index| model.slots.get(index));
    Ok(EndpointConfig {
        name: name.clone(),
        model: model.clone(),
        slots: *slots.ok_or_else(unknown)?,
        network: deployment.network.clone(),
        listen: options.listen,
        daemon: None,
        seed: 0,
    })
}

async fn serve(
    configs: Vec<EndpointConfig>,
    folder: &Path,
    reads_commands: bool,
) -> Result<(), CommandError> {
    let mut stop_signals = signals::stop_signals()?;
    let mut endpoints: Vec<(EndpointId, RunningEndpoint)> = Vec::new();
    for config in configs {
        let journal = Journal::open(folder, config.name.name())
            .map_err(|error| CommandError::file(folder, error))?;
        let first_number = u64::from(getrandom::u32().map_err(std::io::Error::other)?) << 31;
        let endpoint = start(&config, first_number, journal).await?;
        let (address, name) = (endpoint.address(), &config.name);
        eprintln!("level=info msg=listening address={address} listener={name}");
        endpoints.push((config.name, endpoint));
    }
    if reads_commands {
        let mut commands = stdin_commands::read::<EndpointCommand>();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => apply(&endpoints, &command),
                    None => return Err(CommandError::RunFailed("standard input ended".to_owned())),
                },
                () = stop_signals.wait() => break,
            }
        }
    } else {
        stop_signals.wait().await;
    }
    for (_, endpoint) in endpoints {
        endpoint.stop().await;
    }
    Ok(())
}

fn apply(endpoints: &[(EndpointId, RunningEndpoint)], command: &EndpointCommand) {
    let mut endpoints = endpoints.iter();
    match endpoints.find(|(name, _)| name.name() == command.endpoint) {
        Some((_, endpoint)) => endpoint.change(command.change),
        None => eprintln!(
            "level=warning msg=\"no such endpoint\" endpoint={}",
            command.endpoint
        ),
    }
}
