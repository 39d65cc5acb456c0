//! Plays umberloom against stand-ins on loopback and prints what came of it.

mod caller;
mod demo;
mod emulate;
mod experiments;
mod report;
mod site;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, long, OptionParser, Parser};

#[derive(Clone, Debug)]
enum Command {
    Demo(demo::Options),
    Budgets(u64),
    Outage(u64),
}

fn command_line() -> OptionParser<Command> {
    let server = long("server")
        .help("The program that serves; unless given, the one beside this")
        .argument::<PathBuf>("FILE")
        .optional();
    let seconds = long("seconds")
        .help("How long the demo plays, in seconds")
        .argument::<u64>("N")
        .fallback(20)
        .display_fallback();
    let rate = long("rate")
        .help("Requests a second at the end of the ramp")
        .argument::<f64>("N")
        .fallback(150.0)
        .display_fallback();
    let seed = long("seed").help("For all that is drawn").argument::<u64>("N").fallback(1).display_fallback();
    let plain = long("plain").help("No operator's file: runs call the records service only").switch();
    let log = long("log").help("Keep the server's log here").argument::<PathBuf>("FILE").optional();
    let demo = construct!(demo::Options { server, seconds, rate, seed, plain, log })
        .map(Command::Demo)
        .to_options()
        .descr("A morning ramp on which dependencies fail in turn")
        .command("demo");
    let seeds =
        || long("seeds").help("How many times, with seeds from 1 on").argument::<u64>("N").fallback(5);
    let budgets = seeds()
        .map(Command::Budgets)
        .to_options()
        .descr("What sharing the time among stages is worth, emulated")
        .command("budgets");
    let outage = seeds()
        .map(Command::Outage)
        .to_options()
        .descr("What the budget of repeated attempts is worth in an outage, emulated")
        .command("outage");
    construct!([demo, budgets, outage]).to_options().descr("Plays umberloom against stand-ins on loopback")
}

fn main() -> ExitCode {
    let done = match command_line().run() {
        Command::Demo(options) => demo::play(&options),
        Command::Budgets(seeds) => experiments::budgets(seeds),
        Command::Outage(seeds) => experiments::outage(seeds),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("umberloom-lab: {why}");
            ExitCode::FAILURE
        }
    }
}
