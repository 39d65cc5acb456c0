//! Parses the command line and runs the chosen command.

mod check;
mod serve;

use std::path::PathBuf;

use bpaf::{construct, long, pure, OptionParser, Parser};
use thiserror::Error;

use crate::admin_client::{self, AdminError};
use crate::lifecycle::config::ConfigError;
use crate::lifecycle::config_files::{ConfigFileError, ConfigFiles};
use crate::lifecycle::log::LogFormat;
use crate::lifecycle::StartupError;

/// A command, with its options.
#[derive(Clone, Debug)]
pub enum Command {
    /// Serve balancers until a signal ends the process.
    Serve { config: PathBuf, operator: Option<PathBuf>, verbose: bool, log_format: LogFormat },
    /// Validate configuration files.
    Check { config: Option<PathBuf>, operator: Option<PathBuf> },
    /// Query a server about its fleet.
    Fleet(admin_client::Options),
    /// Print the version.
    Version,
}

/// The reason why a command failed; its text is printed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// Signals can't be received.
    #[error("can't listen for signals: {0}")]
    Signals(std::io::Error),
    /// The platform's configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A configuration file can't be used.
    #[error(transparent)]
    ConfigFiles(#[from] ConfigFileError),
    /// The server can't start.
    #[error(transparent)]
    Serve(#[from] StartupError),
    /// `check` was given no file.
    #[error("nothing to check: name a file with --config or --operator")]
    NothingToCheck,
    /// A `fleet` command failed.
    #[error(transparent)]
    Fleet(#[from] AdminError),
}

/// The commands and their options.
pub fn command_line() -> OptionParser<Command> {
    let verbose =
        long("verbose").short('v').help("Log at debug level too, such as each invalid request").switch();
    let log_format = long("log-format")
        .help("Format of log lines: text or json")
        .argument::<LogFormat>("FORM")
        .fallback(LogFormat::Text);
    let serve = construct!(Command::Serve { config(), operator(), verbose, log_format })
        .to_options()
        .descr("Serve balancers until SIGTERM or SIGINT; SIGHUP reloads the files")
        .command("serve");
    let config = config().optional();
    let check = construct!(Command::Check { config, operator() })
        .to_options()
        .descr("Validate the configuration files, individually and against each other")
        .command("check");
    let fleet = admin_client::command_line()
        .map(Command::Fleet)
        .to_options()
        .descr("Query a server about its fleet")
        .command("fleet");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, fleet, version])
        .to_options()
        .descr("A server that decides which requests are admitted, run and rejected")
}

fn config() -> impl Parser<PathBuf> {
    long("config")
        .env("BALANCER_CONFIG")
        .help("The platform's configuration, in JSON")
        .argument::<PathBuf>("FILE")
}

fn operator() -> impl Parser<Option<PathBuf>> {
    long("operator").help("The operator's own file, in KDL").argument::<PathBuf>("FILE").optional()
}

/// Runs a command until it has finished.
pub fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve { config, operator, verbose, log_format } => {
            serve::run(ConfigFiles { server: config, operator }, verbose, log_format)
        }
        Command::Check { config, operator } => check::run(config.as_deref(), operator.as_deref()),
        Command::Fleet(options) => Ok(admin_client::run(&options)?),
        Command::Version => {
            println!("umberloom {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
