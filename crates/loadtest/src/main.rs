//! Runs umberloom against stand-ins on loopback and prints the results.

mod caller;
mod demo;
mod demo_environment;
mod emulate;
mod experiments;
mod fleet;
mod fleet_chart;
mod fleet_measures;
mod report;
mod soak;
mod store_measures;
mod tables;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{construct, long, OptionParser, Parser};

#[derive(Clone, Debug)]
enum Command {
    Demo(demo::Options),
    Budgets(u64),
    Outage(u64),
    Fleet(fleet::Options),
    Measure(fleet_measures::Options),
    Soak(soak::Options),
}

fn command_line() -> OptionParser<Command> {
    let server = long("server")
        .help("The server program; by default the one in the folder of this program")
        .argument::<PathBuf>("FILE")
        .optional();
    let seconds = long("seconds")
        .help("How long the demo runs, in seconds")
        .argument::<u64>("N")
        .fallback(20)
        .display_fallback();
    let rate = long("rate")
        .help("Requests per second at the end of the ramp")
        .argument::<f64>("N")
        .fallback(150.0)
        .display_fallback();
    let seed =
        long("seed").help("Seed of all random draws").argument::<u64>("N").fallback(1).display_fallback();
    let plain =
        long("plain").help("Run without an operator's file: runs call the records service only").switch();
    let log = long("log").help("Write the server's log to this file").argument::<PathBuf>("FILE").optional();
    let demo = construct!(demo::Options { server, seconds, rate, seed, plain, log })
        .map(Command::Demo)
        .to_options()
        .descr("A morning ramp of load during which dependencies fail in turn")
        .command("demo");
    let seeds =
        || long("seeds").help("Number of runs, with seeds from 1 on").argument::<u64>("N").fallback(5);
    let budgets = seeds()
        .map(Command::Budgets)
        .to_options()
        .descr("The effect of sharing the time among stages, emulated")
        .command("budgets");
    let outage = seeds()
        .map(Command::Outage)
        .to_options()
        .descr("The effect of the retry budget in an outage, emulated")
        .command("outage");
    let (fleet, measure, soak) = (fleet_command(), measure_command(), soak_command());
    construct!([demo, budgets, outage, fleet, measure, soak])
        .to_options()
        .descr("Runs umberloom against stand-ins on loopback")
}

fn server_option() -> impl Parser<Option<PathBuf>> {
    let server = long("server").help("The server program; by default the one in the folder of this program");
    server.argument::<PathBuf>("FILE").optional()
}

fn fleet_command() -> impl Parser<Command> {
    let number = |name: &'static str, help: &'static str| long(name).help(help).argument::<u64>("N");
    let file =
        |name: &'static str, help: &'static str| long(name).help(help).argument::<PathBuf>("FILE").optional();
    let server = server_option();
    let servers = number("servers", "Number of servers, from 2 to 24")
        .map(|n| n as usize)
        .fallback(5)
        .display_fallback();
    let seconds = number("seconds", "How long the run lasts, in seconds").fallback(20).display_fallback();
    let seed = number("seed", "Seed of all random draws").fallback(1).display_fallback();
    let faults = long("faults")
        .help("Kinds, separated by commas: cut, part, weather, kill, pause, term, shared; or all, or none")
        .argument::<String>("KINDS")
        .fallback("all".to_owned())
        .display_fallback();
    let script =
        file("script", "File with a fault per line, as a run prints them, in place of random faults");
    let chart = file("chart", "Write the timeline to this file, as SVG");
    let history = file("history", "Write all events to this file, one JSON object per line");
    construct!(fleet::Options { server, servers, seconds, seed, faults, script, chart, history })
        .map(Command::Fleet)
        .to_options()
        .descr("Several servers under faults: timeline and verdict")
        .command("fleet")
}

fn soak_command() -> impl Parser<Command> {
    let text = |name: &'static str, help: &'static str, form: &'static str| {
        long(name).help(help).argument::<String>(form)
    };
    let server = server_option();
    let seeds = text("seeds", "Seeds of the runs, from A up to and including B", "A..B")
        .parse(|text| text.parse::<soak::SeedRange>().map_err(|e| format!("--seeds: {e}")));
    let seconds = text("seconds", "Time under load before the notice, in seconds; 1 by default", "N")
        .parse(|text| soak::parse_seconds(&text).map_err(|e| format!("--seconds: {e}")))
        .fallback(1);
    let jobs = text("jobs", "Number of runs that are played at the same time; 1 by default", "N")
        .parse(|text| soak::parse_jobs(&text).map_err(|e| format!("--jobs: {e}")))
        .fallback(1);
    let planted_fault = text("plant", "A fault that the checks must find", "FAULT")
        .parse(|text| text.parse::<soak::PlantedFault>().map_err(|e| format!("--plant: {e}")))
        .optional();
    construct!(soak::Options { server, seeds, seconds, jobs, planted_fault })
        .map(Command::Soak)
        .to_options()
        .descr("Servers that get signals, standstills and failing peers while they drain, and are killed")
        .command("soak")
}

fn measure_command() -> impl Parser<Command> {
    use fleet_measures::Measurement;
    let numbers = |name: &'static str, help: &'static str, default: &[usize]| {
        let parse = |text: String| text.split(',').map(str::parse::<usize>).collect::<Result<Vec<_>, _>>();
        long(name).help(help).argument::<String>("N,N").parse(parse).fallback(default.to_vec())
    };
    let server_counts = |default: &[usize]| numbers("servers", "Fleet sizes, separated by commas", default);
    let number = |name: &'static str, help: &'static str, default: u64| {
        long(name).help(help).argument::<u64>("N").fallback(default)
    };
    let (servers, kills) =
        (server_counts(&[3, 8]), number("kills", "Kills per fleet size", 10).map(|n| n as usize));
    let detection = construct!(Measurement::Detection(servers, kills)).to_options();
    let detection = detection.descr("Time from a kill until the others know of it").command("detection");
    let (servers, seeds) = (server_counts(&[24, 200]), number("seeds", "Number of seeds", 3));
    let virtual_time = construct!(Measurement::Virtual(servers, seeds)).to_options();
    let virtual_time = virtual_time.descr("Members on virtual time").command("virtual");
    let seconds = number("seconds", "Seconds per measurement", 10);
    let leases = seconds.map(Measurement::Leases).to_options();
    let leases = leases.descr("Uneven load, with leases of quota and without").command("loans");
    let (servers, seconds) = (server_counts(&[3, 8]), number("seconds", "Seconds per measurement", 10));
    let idle = construct!(Measurement::Idle(servers, seconds)).to_options();
    let idle = idle.descr("Processor time and traffic of a fleet without requests").command("idle");
    let core_percentages = numbers(
        "core",
        "Percentages of the time that the last server runs, separated by commas",
        &[100, 50, 20, 5],
    );
    let servers = number("servers", "Number of servers, from 2 to 24", 5).map(|n| n.clamp(2, 24) as usize);
    let seconds = number("seconds", "Seconds per measurement", 60);
    let starved = construct!(Measurement::Starved(servers, core_percentages, seconds)).to_options();
    let starved =
        starved.descr("Suspicions while one server is starved of processor time").command("starved");
    let (seconds, clients) = (
        number("seconds", "Seconds per measurement", 5),
        number("clients", "Number of concurrent clients, from 1 to 64", 8),
    );
    let clients = clients.map(|n| n.clamp(1, 64) as usize);
    let commits = construct!(Measurement::Commits(seconds, clients)).to_options();
    let commits = commits.descr("Writes to the replicated store").command("commits");
    let times = number("times", "Repetitions of each", 5).map(|n| n as usize);
    let leaders = times.map(Measurement::Leaders).to_options();
    let leaders = leaders.descr("Time from the loss of a leader until the next one").command("leaders");
    let documents =
        number("documents", "Documents of 1 MB in the store, at most 31", 20).map(|n| n.min(31) as usize);
    let catch_up = documents.map(Measurement::CatchUp).to_options();
    let catch_up = catch_up.descr("Catch-up of a server that lost its disk").command("catch-up");
    let store =
        bpaf::pure(Measurement::Store).to_options().descr("The store without replication").command("store");
    let (pairs, seconds) =
        (number("pairs", "Number of pairs", 5), number("seconds", "Seconds per measurement", 6));
    let cost = construct!(Measurement::Cost(pairs, seconds)).to_options();
    let cost = cost.descr("Processor time per request, with the fleet on and off").command("cost");
    let measurement =
        construct!([detection, virtual_time, leases, idle, starved, cost, commits, leaders, catch_up, store]);
    let server = server_option();
    construct!(fleet_measures::Options { server, measurement })
        .map(Command::Measure)
        .to_options()
        .descr("Measurements of a fleet, as in docs/measurements")
        .command("measure")
}

fn main() -> ExitCode {
    let result = match command_line().run() {
        Command::Demo(options) => demo::run(&options),
        Command::Budgets(seeds) => experiments::budgets(seeds),
        Command::Fleet(options) => fleet::run(&options),
        Command::Measure(options) => fleet_measures::measure(&options),
        Command::Soak(options) => soak::run(&options),
        Command::Outage(seeds) => experiments::outage(seeds),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umberloom-loadtest: {error}");
            ExitCode::FAILURE
        }
    }
}
