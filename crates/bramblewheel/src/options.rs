//! Command-line arguments. The descriptions are empty here, since [`crate::help`] describes each
//! command.

use crate::values::{Addresses, NamedKey, ReplicaId, Seconds};
use bramblewheel_types::{BundleDigest, ServiceName};
use gumdrop::Options;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Arguments of the program.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct Arguments {
    #[options(help = "print help")]
    pub help: bool,
    #[options(no_short, help = "print the version")]
    pub version: bool,
    #[options(command)]
    pub command: Option<Command>,
}

/// Groups of commands.
#[derive(Debug, Options)]
pub enum Command {
    #[options(help = "write, check, sign and publish configuration bundles")]
    Bundle(BundleArguments),
    #[options(help = "generate operator keys")]
    Keys(KeysArguments),
    #[options(help = "show the daemons")]
    Fleet(FleetArguments),
    #[options(help = "show, start and repair the control group")]
    Control(ControlArguments),
    #[options(help = "replay a recorded trace and compare the outcomes")]
    Replay(ReplayTrace),
    #[options(help = "show the log lines of one request and the cause of its outcome")]
    Explain(ExplainRequest),
    #[options(help = "show from logs how much of the bound on retries a fleet used, by service")]
    RetryBound(RetryBoundLogs),
}

/// Arguments of `bundle`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct BundleArguments {
    #[options(help = "print help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<BundleCommand>,
}

/// Commands of `bundle`.
#[derive(Debug, Options)]
pub enum BundleCommand {
    #[options(help = "write an initial bundle")]
    New(NewBundle),
    #[options(help = "check a bundle and warn of dangerous changes")]
    Check(CheckBundle),
    #[options(help = "show the differences between two bundles")]
    Diff(DiffBundles),
    #[options(help = "add an operator's signature")]
    Sign(SignBundle),
    #[options(help = "roll out a signed bundle")]
    Publish(PublishBundle),
    #[options(help = "show the bundle in force")]
    Status(ControlQuery),
}

/// Arguments of `bundle new`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct NewBundle {
    #[options(help = "print help")]
    pub help: bool,
    #[options(required, meta = "NAME", help = "name of the deployment")]
    pub deployment: String,
    #[options(no_short, meta = "NAME", help = "service; can be repeated")]
    pub service: Vec<ServiceName>,
    #[options(
        no_short,
        meta = "NAME=KEY",
        help = "operator and public key; can be repeated"
    )]
    pub operator: Vec<NamedKey>,
    #[options(
        no_short,
        meta = "N",
        default = "1",
        help = "signatures that a bundle needs"
    )]
    pub required_signatures: u32,
    #[options(meta = "FILE", help = "file to write, standard output if absent")]
    pub out: Option<PathBuf>,
}

/// Arguments of `bundle check`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct CheckBundle {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "bundle, as text or signed")]
    pub file: PathBuf,
    #[options(
        no_short,
        meta = "FILE",
        help = "previous bundle, to warn of dangerous changes"
    )]
    pub against: Option<PathBuf>,
    #[options(no_short, help = "fail if there is a warning")]
    pub deny_warnings: bool,
}

/// Arguments of `bundle diff`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct DiffBundles {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "older bundle, as text or signed")]
    pub before: PathBuf,
    #[options(free, required, help = "newer bundle, as text or signed")]
    pub after: PathBuf,
}

/// Arguments of `bundle sign`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct SignBundle {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "bundle, as text or with signatures of others")]
    pub file: PathBuf,
    #[options(required, meta = "FILE", help = "operator's key file")]
    pub key: PathBuf,
    #[options(required, meta = "FILE", help = "signed bundle to write or add to")]
    pub out: PathBuf,
}

/// Arguments of `bundle publish`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct PublishBundle {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "signed bundle")]
    pub file: PathBuf,
    #[options(
        required,
        meta = "ADDR[,ADDR]",
        help = "service addresses of control replicas"
    )]
    pub control: Addresses,
    #[options(
        no_short,
        meta = "DIGEST",
        help = "publish only if this bundle is in force"
    )]
    pub expected_parent: Option<BundleDigest>,
    #[options(
        meta = "SECONDS",
        default = "20",
        help = "time-out for all attempts together"
    )]
    pub timeout: Seconds,
}

/// Arguments of the commands that query the control group.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct ControlQuery {
    #[options(help = "print help")]
    pub help: bool,
    #[options(
        required,
        meta = "ADDR[,ADDR]",
        help = "service addresses of control replicas"
    )]
    pub control: Addresses,
    #[options(
        meta = "SECONDS",
        default = "10",
        help = "time-out for all attempts together"
    )]
    pub timeout: Seconds,
}

/// Arguments of `keys`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct KeysArguments {
    #[options(help = "print help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<KeysCommand>,
}

/// Commands of `keys`.
#[derive(Debug, Options)]
pub enum KeysCommand {
    #[options(help = "generate a key pair")]
    New(NewKey),
}

/// Arguments of `keys new`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct NewKey {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "operator's name")]
    pub name: String,
    #[options(required, meta = "FILE", help = "key file to write; must not exist")]
    pub out: PathBuf,
}

/// Arguments of `fleet`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct FleetArguments {
    #[options(help = "print help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<FleetCommand>,
}

/// Commands of `fleet`.
#[derive(Debug, Options)]
pub enum FleetCommand {
    #[options(help = "show each daemon and its bundle")]
    Status(ControlQuery),
}

/// Arguments of `control`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct ControlArguments {
    #[options(help = "print help")]
    pub help: bool,
    #[options(command)]
    pub command: Option<ControlCommand>,
}

/// Commands of `control`.
#[derive(Debug, Options)]
pub enum ControlCommand {
    #[options(help = "show the state of each replica")]
    Status(ControlQuery),
    #[options(help = "start a group from replicas with empty data folders")]
    Bootstrap(BootstrapGroup),
    #[options(help = "replace a lost replica")]
    Replace(ReplaceReplica),
}

/// Arguments of `control bootstrap`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct BootstrapGroup {
    #[options(help = "print help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "ADDR",
        help = "service address of a replica; can be repeated"
    )]
    pub replica: Vec<SocketAddr>,
    #[options(
        no_short,
        required,
        meta = "FILE",
        help = "first bundle, signed by its own operators"
    )]
    pub bundle: PathBuf,
    #[options(meta = "SECONDS", default = "20", help = "time-out for each replica")]
    pub timeout: Seconds,
}

/// Arguments of `control replace`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct ReplaceReplica {
    #[options(help = "print help")]
    pub help: bool,
    #[options(
        required,
        meta = "ADDR[,ADDR]",
        help = "service addresses of control replicas"
    )]
    pub control: Addresses,
    #[options(
        no_short,
        required,
        meta = "ID",
        help = "replica to remove, as `control status` shows it"
    )]
    pub lost: ReplicaId,
    #[options(
        no_short,
        required,
        meta = "ADDR",
        help = "service address of the new replica"
    )]
    pub with: Option<SocketAddr>,
    #[options(
        meta = "SECONDS",
        default = "60",
        help = "time-out for all attempts together"
    )]
    pub timeout: Seconds,
}

/// Arguments of `replay`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct ReplayTrace {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "trace, see docs/TRACES.md")]
    pub trace: PathBuf,
    #[options(no_short, meta = "FILE", help = "also write the output to a file")]
    pub report: Option<PathBuf>,
}

/// Arguments of `explain`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct ExplainRequest {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "id of the request")]
    pub request: String,
    #[options(free, help = "logs of the processes that handled it")]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `retry-bound`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct RetryBoundLogs {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "logs of the daemons")]
    pub logs: Vec<PathBuf>,
}
