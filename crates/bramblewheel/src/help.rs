//! Help pages of the program and each command: usage, options, examples and exit statuses.

use crate::error::CommandError;
use crate::options::{
    Arguments, BootstrapGroup, BundleArguments, CheckBundle, ControlArguments, ControlQuery,
    DiffBundles, ExplainRequest, FleetArguments, KeysArguments, NewBundle, NewKey, PublishBundle,
    ReplaceReplica, ReplayTrace, RetryBoundLogs, SignBundle,
};
use crate::output;
use gumdrop::Options;

/// Text at the end of every page.
const EXIT_STATUS: &str = "\
Exit status:
  0  done
  1  refused, or a check failed
  2  the command line or an input file is wrong
  3  no control replica could answer; nothing was changed
  4  undecided: the change may have been made; give the same command again";

/// One help page.
struct Page {
    /// Names of the command and its groups, such as `bundle sign`.
    path: &'static [&'static str],
    /// Arguments of the command.
    arguments: &'static str,
    /// What the command does.
    about: &'static str,
    /// Options, as gumdrop lists them.
    options: fn() -> &'static str,
    /// Subcommands, as gumdrop lists them.
    commands: fn() -> Option<&'static str>,
    /// Example command lines.
    examples: &'static [&'static str],
}

macro_rules! page {
    ($options:ty, [$($word:literal),*], $arguments:literal, $about:literal, $examples:expr) => {
        Page {
            path: &[$($word),*],
            arguments: $arguments,
            about: $about,
            options: <$options as Options>::usage,
            commands: <$options as Options>::command_list,
            examples: $examples,
        }
    };
}

const PAGES: &[Page] = &[
    page!(
        Arguments,
        [],
        "COMMAND",
        "Operate bramblewheel: configuration bundles, daemons and the control group.",
        &[
            "bramblewheel bundle check torgnett.toml",
            "bramblewheel help bundle publish"
        ]
    ),
    page!(
        BundleArguments,
        ["bundle"],
        "COMMAND",
        "Write, check, sign and publish configuration bundles.",
        &["bramblewheel bundle check torgnett.toml"]
    ),
    page!(
        NewBundle,
        ["bundle", "new"],
        "--deployment NAME --service NAME --operator NAME=KEY [OPTIONS]",
        "Write an initial bundle: version 1, default values, no routes.",
        &[
            "bramblewheel bundle new --deployment torgnett --service kassa \\\n      \
           --operator anna=13ca...f17b --out torgnett.toml"
        ]
    ),
    page!(
        CheckBundle,
        ["bundle", "check"],
        "FILE [OPTIONS]",
        "Check a bundle. Prints every finding as FILE:LINE:COLUMN: KEY: PROBLEM, and with\n\
         --against a warning for each dangerous change.",
        &[
            "bramblewheel bundle check torgnett.toml",
            "bramblewheel bundle check new.toml --against old.signed --deny-warnings"
        ]
    ),
    page!(
        DiffBundles,
        ["bundle", "diff"],
        "BEFORE AFTER",
        "Show the differences between two bundles, one key per line: + new, - removed, ~ changed.\n\
         Warnings of dangerous changes follow.",
        &["bramblewheel bundle diff old.signed new.toml"]
    ),
    page!(
        SignBundle,
        ["bundle", "sign"],
        "FILE --key FILE --out FILE",
        "Add an operator's signature to a bundle. Operators sign one after another, each adding\n\
         to the same signed bundle; a signed bundle with other content is never overwritten.",
        &[
            "bramblewheel bundle sign torgnett.toml --key anna.key --out torgnett.signed",
            "bramblewheel bundle sign torgnett.signed --key bjorn.key --out torgnett.signed"
        ]
    ),
    page!(
        PublishBundle,
        ["bundle", "publish"],
        "SIGNED --control ADDR[,ADDR] [OPTIONS]",
        "Roll out a signed bundle. Replicas are tried in turn, and the bundle is sent again when a\n\
         reply is lost; publishing a bundle that was already accepted succeeds.",
        &["bramblewheel bundle publish torgnett.signed --control 10.0.0.1:7100,10.0.0.2:7100"]
    ),
    page!(
        ControlQuery,
        ["bundle", "status"],
        "--control ADDR[,ADDR] [OPTIONS]",
        "Show the bundle in force and who signed it.",
        &["bramblewheel bundle status --control 10.0.0.1:7100"]
    ),
    page!(
        KeysArguments,
        ["keys"],
        "COMMAND",
        "Generate operator keys.",
        &["bramblewheel keys new anna --out anna.key"]
    ),
    page!(
        NewKey,
        ["keys", "new"],
        "NAME --out FILE",
        "Generate an Ed25519 key pair. Only the owner can read the key file; the public key is\n\
         printed, for the bundle's [[operators.key]].",
        &["bramblewheel keys new anna --out anna.key"]
    ),
    page!(
        FleetArguments,
        ["fleet"],
        "COMMAND",
        "Show the daemons.",
        &["bramblewheel fleet status --control 10.0.0.1:7100"]
    ),
    page!(
        ControlQuery,
        ["fleet", "status"],
        "--control ADDR[,ADDR] [OPTIONS]",
        "Show each registered daemon, its bundle version and the time since its last contact.",
        &["bramblewheel fleet status --control 10.0.0.1:7100"]
    ),
    page!(
        ControlArguments,
        ["control"],
        "COMMAND",
        "Show, start and repair the control group.",
        &["bramblewheel control status --control 10.0.0.1:7100,10.0.0.2:7100"]
    ),
    page!(
        ControlQuery,
        ["control", "status"],
        "--control ADDR[,ADDR] [OPTIONS]",
        "Show the state of the group as each listed replica reports it, one line per replica.",
        &["bramblewheel control status --control 10.0.0.1:7100,10.0.0.2:7100"]
    ),
    page!(
        BootstrapGroup,
        ["control", "bootstrap"],
        "--replica ADDR --replica ADDR ... --bundle SIGNED [OPTIONS]",
        "Start a control group from replicas with empty data folders. The first bundle determines\n\
         which operators may sign the next. Can be repeated after a failure; a replica that\n\
         belongs to another group is refused.",
        &[
            "bramblewheel control bootstrap --replica 10.0.0.1:7100 --replica 10.0.0.2:7100 \\\n      \
           --replica 10.0.0.3:7100 --bundle torgnett.signed"
        ]
    ),
    page!(
        ReplaceReplica,
        ["control", "replace"],
        "--control ADDR[,ADDR] --lost ID --with ADDR [OPTIONS]",
        "Replace a lost replica with one that has an empty data folder.",
        &[
            "bramblewheel control replace --control 10.0.0.1:7100,10.0.0.2:7100 \\\n      \
           --lost 00c0ffee00c0ffee --with 10.0.0.4:7100"
        ]
    ),
    page!(
        ReplayTrace,
        ["replay"],
        "TRACE [OPTIONS]",
        "Replay a recorded trace through the real engines in virtual time, and compare the outcomes\n\
         with those stated in the trace. Prints a line with the id of the request for each\n\
         difference, then the verdict. The same trace always gives the same verdict.\n\
         An invalid trace is reported as FILE:LINE: FIELD: PROBLEM.",
        &[
            "bramblewheel replay examples/traces/torgnett-surge.toml",
            "bramblewheel replay incident.toml --report verdict.txt"
        ]
    ),
    page!(
        ExplainRequest,
        ["explain"],
        "REQUEST-ID FILE...",
        "Merge the log lines of one request from several processes into one timeline, and show the\n\
         cause of its outcome. Successful requests are counted in the metrics and have no log\n\
         lines. Lines that processes left out because of rate limits are counted.",
        &[
            "bramblewheel explain 9c41d07be2a35f68 kassa-1.log gateway-1.log",
            "bramblewheel explain 9c41d07be2a35f68 all-machines.log"
        ]
    ),
    page!(
        RetryBoundLogs,
        ["retry-bound"],
        "FILE...",
        "Add up the use of the bound on retries over all daemons, by service and second, and show for\n\
         each service the second with the highest use and the processes that used most. At 1.00\n\
         the daemons' own shares are used up; the bound itself is somewhat higher.",
        &["bramblewheel retry-bound all-machines.log"]
    ),
];

impl Page {
    fn text(&self) -> String {
        let words = self.words();
        let mut text = format!("{}\n\nUsage: {words} {}\n", self.about, self.arguments);
        let options = (self.options)().trim_start();
        let options = options.replace("Positional arguments:", "Arguments:");
        let options = options.replace("Optional arguments:", "Options:");
        text += &format!("\n{options}\n");
        if let Some(commands) = (self.commands)() {
            text += &format!("\nCommands:\n{commands}\n");
            text += &format!("\nSee `{words} COMMAND --help` for one command.\n");
        }
        text += "\nExamples:\n";
        for example in self.examples {
            text += &format!("  {example}\n");
        }
        text + "\n" + EXIT_STATUS + "\n"
    }

    fn words(&self) -> String {
        let program = ["bramblewheel"];
        let words: Vec<&str> = program.iter().chain(self.path).copied().collect();
        words.join(" ")
    }
}

fn page(path: &[String]) -> Option<&'static Page> {
    PAGES.iter().find(|page| page.path == path)
}

/// Path of the command whose help is requested, as in `help bundle sign` or `bundle help sign`.
pub fn requested_path(arguments: &[String]) -> Option<Vec<String>> {
    let position = arguments.iter().position(|word| word == "help")?;
    let (before, after) = (&arguments[..position], &arguments[position + 1..]);
    let has_subcommands = page(before).is_some_and(|page| (page.commands)().is_some());
    has_subcommands.then(|| [before, after].concat())
}

/// Path of the command at the beginning of the command line; empty if there is none.
pub fn command_path(arguments: &[String]) -> Vec<String> {
    let lengths = (0..=arguments.len()).rev();
    let mut paths = lengths.map(|length| &arguments[..length]);
    let path = paths.find(|path| page(path).is_some());
    path.unwrap_or_default().to_vec()
}

/// Prints the help page of a command.
///
/// # Errors
/// [`CommandError::BadInput`] when there is no such command.
pub fn print(path: &[String]) -> Result<(), CommandError> {
    let Some(page) = page(path) else {
        let text = format!("bramblewheel: unknown command `{}`", path.join(" "));
        return Err(CommandError::BadInput(text));
    };
    output::print(&page.text());
    Ok(())
}

/// Error for an invalid command line, with the usage of the command.
pub fn usage_error(error: &str, arguments: &[String]) -> CommandError {
    let page = page(&command_path(arguments)).unwrap_or(&PAGES[0]);
    let (words, usage) = (page.words(), page.arguments);
    CommandError::BadInput(format!(
        "bramblewheel: {error}\nUsage: {words} {usage}\nSee `{words} --help`."
    ))
}
