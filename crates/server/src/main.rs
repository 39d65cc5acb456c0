//! One real server: balancers in front, the render farm agent and the records service behind, and
//! umberloom's decisions between them.

mod admin_client;
mod admission;
mod dependency_calls;
mod lifecycle;
mod memory;
mod messages;
mod peers;
mod quota_leases;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, long, pure, OptionParser, Parser};
use slog::{info, warn, Level};

use lifecycle::config::Config;
use lifecycle::log::Form;
use lifecycle::signals::Notices;
use lifecycle::{load_operator, Files};

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Command {
    Serve { config: PathBuf, operator: Option<PathBuf>, verbose: bool, log_format: Form },
    Check { config: Option<PathBuf>, operator: Option<PathBuf> },
    Fleet(admin_client::Options),
    Version,
}

fn config() -> impl Parser<PathBuf> {
    long("config").env("BALANCER_CONFIG").help("The configuration, in JSON").argument::<PathBuf>("FILE")
}

fn operator() -> impl Parser<Option<PathBuf>> {
    long("operator").help("The operator's own file, in KDL").argument::<PathBuf>("FILE").optional()
}

fn command_line() -> OptionParser<Command> {
    let verbose = long("verbose").short('v').help("Log each odd request too").switch();
    let log_format = long("log-format")
        .help("How log lines are written: text or json")
        .argument::<Form>("FORM")
        .fallback(Form::Text);
    let serve = construct!(Command::Serve { config(), operator(), verbose, log_format })
        .to_options()
        .descr("Serve balancers until SIGTERM; SIGHUP reads the files again")
        .command("serve");
    let config = config().optional();
    let check = construct!(Command::Check { config, operator() })
        .to_options()
        .descr("Say whether the files make sense, each by itself and together")
        .command("check");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    let fleet = admin_client::command_line().map(Command::Fleet).to_options();
    let fleet = fleet.descr("Ask a server about its fleet").command("fleet");
    construct!([serve, check, fleet, version])
        .to_options()
        .descr("A server that decides what it takes, runs and turns away")
}

fn serve(files: Files, verbose: bool, form: Form) -> Result<(), String> {
    // Before anything else: a signal that comes early must not end the program by default.
    let notices = Notices::new().map_err(|e| format!("signals: {e}"))?;
    let told = files.load()?;
    let config = &told.0;
    let level = if verbose { Level::Debug } else { Level::Info };
    let (log, _guard) = lifecycle::log::start(&config.name, level, form);
    info!(log, "start"; "cold" => config.settings.starts_cold, "version" => env!("CARGO_PKG_VERSION"), "listen" => %config.listen);
    config.warnings.iter().for_each(|said| warn!(log, "configuration"; "said" => said));
    if let Some(operator) = &told.1 {
        let (dependencies, plans) = (operator.services.len(), operator.dependencies.plans.len());
        info!(log, "operator's file"; "dependencies" => dependencies, "plans" => plans);
        if let Some(fleet) = &operator.fleet {
            let (peers, shared) = (fleet.membership.peers.len(), fleet.shared.len());
            info!(log, "fleet"; "name" => &fleet.membership.fleet, "listen" => %fleet.listen, "peers" => peers,
                "shared" => shared);
        }
    }
    lifecycle::serve(told, files, notices, log)
}

fn check(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<(), String> {
    if config.is_none() && operator.is_none() {
        return Err("nothing to check: name a file with --config or --operator".to_owned());
    }
    let known = config.as_deref().map(Config::load).transpose()?;
    if let Some(config) = &known {
        config.warnings.iter().for_each(|said| eprintln!("umberloom: warning: {said}"));
        println!("{}: sound", config.name);
    }
    if let Some(path) = operator {
        let read = load_operator(&path, known.as_ref())?;
        let (dependencies, plans) = (read.services.len(), read.dependencies.plans.len());
        let fleet = read.fleet.as_ref().map_or_else(String::new, |fleet| {
            format!(", a fleet of {} that shares {}", fleet.membership.roster_size(), fleet.shared.len())
        });
        println!("{}: sound, {dependencies} dependencies and {plans} plans{fleet}", path.display());
    }
    Ok(())
}

fn main() -> ExitCode {
    let done = match command_line().run() {
        Command::Serve { config, operator, verbose, log_format } => {
            serve(Files { config, operator }, verbose, log_format)
        }
        Command::Check { config, operator } => check(config, operator),
        Command::Fleet(options) => admin_client::ask(&options),
        Command::Version => {
            println!("umberloom {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("umberloom: {why}");
            ExitCode::FAILURE
        }
    }
}
