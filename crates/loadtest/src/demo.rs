//! The demo: the load of a morning ramps up, and dependencies fail in turn.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use umberloom_protocol_fakes::dependency::Behaviour;

use crate::caller::Callers;
use crate::demo_environment::DemoEnvironment;
use crate::report;

/// The options of the demo.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    /// How long the whole demo runs.
    pub seconds: u64,
    /// Requests per second after the ramp.
    pub rate: f64,
    pub seed: u64,
    /// Run without an operator's file, so that runs call the records service only. No dependency fails then.
    pub plain: bool,
    /// Where to write the server's log.
    pub log: Option<PathBuf>,
}

/// A phase of the demo, with the change that it makes to the environment when it starts.
struct Phase {
    name: &'static str,
    change: fn(&DemoEnvironment),
}

fn slow_behaviour() -> Behaviour {
    Behaviour::Answer { body: b"slow".to_vec(), median_ms: 400.0, sigma: 0.5 }
}

fn phases() -> Vec<Phase> {
    vec![
        Phase { name: "ramp, all healthy", change: |_| {} },
        Phase {
            name: "equipment hangs",
            change: |e| e.equipment.iter().for_each(|d| d.set_behaviour(Behaviour::Hang)),
        },
        Phase { name: "notes down", change: |e| e.notes.set_behaviour(Behaviour::Down) },
        Phase {
            name: "one billing endpoint fails fast",
            change: |e| e.billing[0].set_behaviour(Behaviour::failing()),
        },
        Phase {
            name: "equipment slow, notes fail",
            change: |e| {
                e.equipment.iter().for_each(|d| d.set_behaviour(slow_behaviour()));
                e.notes.set_behaviour(Behaviour::failing());
            },
        },
        Phase {
            name: "billing down",
            change: |e| e.billing.iter().for_each(|d| d.set_behaviour(Behaviour::Down)),
        },
        Phase { name: "all recover", change: |_| {} },
        Phase { name: "all healthy", change: |_| {} },
    ]
}

/// The server program in the folder of this program.
pub fn default_server_path() -> Result<PathBuf, String> {
    let executable = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
    let server = executable.with_file_name("umberloom");
    match server.exists() {
        true => Ok(server),
        false => Err(format!(
            "{} is not there: `cargo build --release` makes it, --server names another",
            server.display()
        )),
    }
}

/// Runs the demo and prints its results.
pub fn run(options: &Options) -> Result<(), String> {
    let server = options.server.clone().map_or_else(default_server_path, Ok)?;
    if !(options.rate > 0.0 && options.rate <= 2_000.0 && (1..=600).contains(&options.seconds)) {
        return Err(
            "--rate must be over 0 and at most 2000 requests per second, --seconds from 1 to 600".to_owned()
        );
    }
    let environment = DemoEnvironment::start(&server, options.plain, options.log.as_deref())?;
    let phases = phases();
    let phase_duration = Duration::from_secs(options.seconds) / phases.len() as u32;
    let mut callers = Callers::start(environment.listen, environment.farm.completion_notifier())?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let bar = ProgressBar::new(options.seconds * 1_000);
    let style =
        ProgressStyle::with_template("{bar:30} {msg}").unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    let mut counts = Vec::new();
    let mut send_time = Duration::ZERO;
    for (index, phase) in phases.iter().enumerate() {
        bar.set_message(phase.name);
        if !options.plain {
            (phase.change)(&environment);
        }
        let phase_end = phase_duration * (index as u32 + 1);
        while send_time < phase_end {
            thread::sleep(send_time.saturating_sub(callers.elapsed()));
            callers.send(index, send_time, usize::from(random.random_bool(0.3)))?;
            bar.set_position(send_time.as_millis() as u64);
            // During the first phase the rate climbs from a fifth of `--rate` to all of it.
            let rate_share = (send_time.as_secs_f64() / phase_duration.as_secs_f64()).min(1.0) * 0.8 + 0.2;
            let interval = Exp::new(options.rate * rate_share).map_or(1.0, |d| d.sample(&mut random));
            send_time += Duration::from_secs_f64(interval);
        }
        counts.push(environment.take_counts());
        environment.restore_dependencies();
    }
    bar.finish_and_clear();
    let (max_send_delay, cpu_time) = (callers.max_send_delay, environment.main_thread_cpu_time());
    let requests = callers.finish();
    let phase_names: Vec<&str> = phases.iter().map(|p| p.name).collect();
    println!("{}", report::table(&phase_names, &counts, &requests));
    println!("{}", report::summary(&requests, max_send_delay));
    if let Some(cpu_time) = cpu_time {
        println!(
            "The server's main thread used {:.1} us of processor time per request.",
            cpu_time.as_secs_f64() * 1e6 / requests.len().max(1) as f64
        );
    }
    Ok(())
}
