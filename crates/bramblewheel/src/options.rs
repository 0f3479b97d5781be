//! The command line's arguments. What each command does stands in [`crate::help`], hence the empty
//! descriptions here.

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
    #[options(help = "make operator keys")]
    Keys(KeysArguments),
    #[options(help = "look at the daemons")]
    Fleet(FleetArguments),
    #[options(help = "look at, start and repair the control group")]
    Control(ControlArguments),
    #[options(help = "replay a recorded trace against its stated outcomes")]
    Replay(ReplayTrace),
    #[options(help = "show what logs say of one request, and why it ended so")]
    Explain(ExplainRequest),
    #[options(help = "show how much of the bound on repeats a fleet used, by service, from logs")]
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
    #[options(help = "write a bundle to begin with")]
    New(NewBundle),
    #[options(help = "check a bundle and warn of dangerous changes")]
    Check(CheckBundle),
    #[options(help = "show what differs between two bundles")]
    Diff(DiffBundles),
    #[options(help = "add an operator's signature")]
    Sign(SignBundle),
    #[options(help = "roll a signed bundle out")]
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
    #[options(required, meta = "NAME", help = "deployment that the bundle is for")]
    pub deployment: String,
    #[options(no_short, meta = "NAME", help = "service; give one for each")]
    pub service: Vec<ServiceName>,
    #[options(
        no_short,
        meta = "NAME=KEY",
        help = "operator and public key; give one for each"
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
        help = "bundle before it, to warn of dangerous changes"
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
    #[options(free, required, help = "bundle before, as text or signed")]
    pub before: PathBuf,
    #[options(free, required, help = "bundle after, as text or signed")]
    pub after: PathBuf,
}

/// Arguments of `bundle sign`.
#[derive(Debug, Options)]
#[options(help = "")]
pub struct SignBundle {
    #[options(help = "print help")]
    pub help: bool,
    #[options(free, required, help = "bundle, as text or signed by others")]
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
        help = "longest time for all tries together"
    )]
    pub timeout: Seconds,
}

/// Arguments of the commands that ask the control group.
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
        help = "longest time for all tries together"
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
    #[options(help = "draw a new key pair")]
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
    #[options(help = "show each replica asked")]
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
        help = "service address of a replica; give one for each"
    )]
    pub replica: Vec<SocketAddr>,
    #[options(
        no_short,
        required,
        meta = "FILE",
        help = "first bundle, signed by its own operators"
    )]
    pub bundle: PathBuf,
    #[options(
        meta = "SECONDS",
        default = "20",
        help = "longest time for each replica"
    )]
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
        help = "longest time for all tries together"
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
    #[options(
        no_short,
        meta = "FILE",
        help = "write what is printed to a file as well"
    )]
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
    #[options(free, help = "logs of the processes that it passed")]
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
