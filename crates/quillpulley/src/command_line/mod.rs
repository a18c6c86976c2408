//! The command line: parses the arguments, and runs the requested role or check.

mod help;

use crate::check;
use displaydoc::Display;
use log::{info, LevelFilter};
use pico_args::Arguments;
use quillpulley::proxy::Experiment;
use quillpulley::{agent, control, proxy, HostError, Settings};
use std::ffi::OsString;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code if the arguments are invalid, or if a role cannot start.
const EXIT_CODE_CANNOT_START: u8 = 2;
const VERSION: &str = env!("CARGO_PKG_VERSION");

/// A parsed command line.
enum Invocation {
    Help(&'static str),
    Version,
    Run(Role, RunOptions),
    Check(Vec<PathBuf>),
}

/// The command-line options of a role.
struct RunOptions {
    log_level: LevelFilter,
    /// The mechanisms of the proxy that are switched off for an experiment; none in a released program.
    experiment: Experiment,
}

/// The role of a process.
#[derive(Clone, Copy)]
enum Role {
    Proxy,
    Agent,
    Control,
}

/// Why the arguments are invalid.
#[derive(Debug, Display)]
enum UsageError {
    /// missing subcommand: see quillpulley --help
    NoSubcommand,
    /// unknown subcommand {0}: see quillpulley --help
    UnknownSubcommand(String),
    /// unexpected argument {0:?}: see quillpulley {1} --help
    Unexpected(OsString, &'static str),
    /// {0}: see quillpulley {1} --help
    Option(pico_args::Error, &'static str),
    /// missing file: see quillpulley check --help
    NoFile,
}

/// Parses the arguments and runs the requested role or check. `arguments` does not include the name of the program.
pub fn run(arguments: Vec<OsString>) -> ExitCode {
    match parse(Arguments::from_vec(arguments)) {
        Ok(Invocation::Help(text)) => print(text),
        Ok(Invocation::Version) => print(&format!("quillpulley {VERSION}\n")),
        Ok(Invocation::Check(files)) => check::run(&files),
        Ok(Invocation::Run(role, options)) => match serve(role, &options) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => cannot_start(&error.to_string()),
        },
        Err(error) => cannot_start(&error.to_string()),
    }
}

fn parse(mut arguments: Arguments) -> Result<Invocation, UsageError> {
    let usage_error = |error| UsageError::Option(error, "");
    let Some(subcommand) = arguments.subcommand().map_err(usage_error)? else {
        return parse_without_subcommand(arguments);
    };
    match subcommand.as_str() {
        "proxy" => parse_role(Role::Proxy, arguments),
        "agent" => parse_role(Role::Agent, arguments),
        "control" => parse_role(Role::Control, arguments),
        "check" => parse_check(arguments),
        "help" => Ok(Invocation::Help(help::PROGRAM)),
        _ => Err(UsageError::UnknownSubcommand(subcommand)),
    }
}

fn parse_without_subcommand(mut arguments: Arguments) -> Result<Invocation, UsageError> {
    if wants_help(&mut arguments) {
        return Ok(Invocation::Help(help::PROGRAM));
    }
    if arguments.contains(["-V", "--version"]) {
        return Ok(Invocation::Version);
    }
    expect_no_arguments(arguments, "")?;
    Err(UsageError::NoSubcommand)
}

fn parse_role(role: Role, mut arguments: Arguments) -> Result<Invocation, UsageError> {
    if wants_help(&mut arguments) {
        return Ok(Invocation::Help(role.help()));
    }
    let usage_error = |error| UsageError::Option(error, role.name());
    let log_level = arguments.opt_value_from_str("--log").map_err(usage_error)?.unwrap_or(LevelFilter::Info);
    let experiment = parse_experiment(role, &mut arguments)?;
    expect_no_arguments(arguments, role.name())?;
    Ok(Invocation::Run(role, RunOptions { log_level, experiment }))
}

/// Reads the names of the mechanisms that an experiment switches off in the proxy (`--without NAME`, repeatable).
#[cfg(feature = "fault-injection")]
fn parse_experiment(role: Role, arguments: &mut Arguments) -> Result<Experiment, UsageError> {
    let mut experiment = Experiment::default();
    let usage_error = |error| UsageError::Option(error, role.name());
    while let Some(name) = arguments.opt_value_from_str::<_, String>("--without").map_err(usage_error)? {
        if !experiment.switch_on(&name) {
            return Err(UsageError::Unexpected(name.into(), role.name()));
        }
    }
    Ok(experiment)
}

/// Returns an experiment that switches off nothing. Only programs that are built with the feature `fault-injection` can
/// switch off mechanisms.
#[cfg(not(feature = "fault-injection"))]
fn parse_experiment(_role: Role, _arguments: &mut Arguments) -> Result<Experiment, UsageError> {
    Ok(Experiment::default())
}

fn parse_check(mut arguments: Arguments) -> Result<Invocation, UsageError> {
    if wants_help(&mut arguments) {
        return Ok(Invocation::Help(help::CHECK));
    }
    let files: Vec<PathBuf> = arguments.finish().into_iter().map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(UsageError::NoFile);
    }
    Ok(Invocation::Check(files))
}

fn wants_help(arguments: &mut Arguments) -> bool {
    arguments.contains(["-h", "--help"])
}

/// Fails if there are arguments that were not parsed.
fn expect_no_arguments(arguments: Arguments, subcommand: &'static str) -> Result<(), UsageError> {
    match arguments.finish().into_iter().next() {
        Some(unexpected) => Err(UsageError::Unexpected(unexpected, subcommand)),
        None => Ok(()),
    }
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Proxy => "proxy",
            Role::Agent => "agent",
            Role::Control => "control",
        }
    }

    fn help(self) -> &'static str {
        match self {
            Role::Proxy => help::PROXY,
            Role::Agent => help::AGENT,
            Role::Control => help::CONTROL,
        }
    }
}

fn serve(role: Role, options: &RunOptions) -> Result<(), HostError> {
    quillpulley_logging::start(options.log_level);
    let settings = Settings::from_environment()?;
    info!(version = VERSION, node = settings.node_name, address:% = settings.ip; "{} starting", role.name());
    match role {
        Role::Proxy => proxy::run(settings, options.experiment),
        Role::Agent => agent::run(settings),
        Role::Control => control::run(settings),
    }
}

fn print(text: &str) -> ExitCode {
    // Writing fails if the reader has closed the pipe, which is not an error of this program.
    let _ = io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn cannot_start(reason: &str) -> ExitCode {
    eprintln!("quillpulley: {reason}");
    ExitCode::from(EXIT_CODE_CANNOT_START)
}
