//! One real server: balancers in front, the render farm agent and the records service behind, and
//! umberloom's decisions between them.

mod lifecycle;
mod memory;
mod module;
mod peers;
mod wire;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, long, pure, OptionParser, Parser};
use slog::{info, Level};

use lifecycle::config::Config;
use lifecycle::signals::Notices;

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Command {
    Serve { config: PathBuf, verbose: bool },
    Check { config: PathBuf },
    Version,
}

fn config() -> impl Parser<PathBuf> {
    long("config").env("BALANCER_CONFIG").help("The configuration, in JSON").argument::<PathBuf>("FILE")
}

fn command_line() -> OptionParser<Command> {
    let verbose = long("verbose").short('v').help("Log each odd request too").switch();
    let serve = construct!(Command::Serve { config(), verbose })
        .to_options()
        .descr("Serve balancers until SIGTERM; SIGHUP reads the configuration again")
        .command("serve");
    let check = construct!(Command::Check { config() })
        .to_options()
        .descr("Say whether a configuration makes sense")
        .command("check");
    let version = pure(Command::Version).to_options().descr("Print the version").command("version");
    construct!([serve, check, version])
        .to_options()
        .descr("A server that decides what it takes, runs and turns away")
}

fn serve(path: &std::path::Path, verbose: bool) -> Result<(), String> {
    // Before anything else: a signal that comes early must not end the program by default.
    let notices = Notices::new().map_err(|e| format!("signals: {e}"))?;
    let config = Config::load(path)?;
    let level = if verbose { Level::Debug } else { Level::Info };
    let (log, _guard) = lifecycle::log::start(&config.name, level);
    info!(log, "start"; "cold" => config.settings.cold, "version" => env!("CARGO_PKG_VERSION"), "listen" => %config.listen);
    lifecycle::serve(config, path, notices, log)
}

fn main() -> ExitCode {
    let done = match command_line().run() {
        Command::Serve { config, verbose } => serve(&config, verbose),
        Command::Check { config } => Config::load(&config).map(|c| println!("{}: sound", c.name)),
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
