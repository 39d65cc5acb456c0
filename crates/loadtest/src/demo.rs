//! A morning ramp on which dependencies fail in turn.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressStyle};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use umberloom_protocol_fakes::dependency::Behaviour;

use crate::caller::Callers;
use crate::report;
use crate::site::Site;

/// What the demo is told.
#[derive(Clone, Debug)]
pub struct Options {
    pub server: Option<PathBuf>,
    pub seconds: u64,
    pub rate: f64,
    pub seed: u64,
    pub plain: bool,
    pub log: Option<PathBuf>,
}

/// One part of the morning: what happens, and what it does to the site.
struct Phase {
    name: &'static str,
    change: fn(&Site),
}

fn slow() -> Behaviour {
    Behaviour::Answer { body: b"slow".to_vec(), median_ms: 400.0, sigma: 0.5 }
}

fn phases() -> Vec<Phase> {
    vec![
        Phase { name: "ramp, all well", change: |_| {} },
        Phase {
            name: "equipment hangs",
            change: |s| s.equipment.iter().for_each(|d| d.set_behaviour(Behaviour::Hang)),
        },
        Phase { name: "notes down", change: |s| s.notes.set_behaviour(Behaviour::Down) },
        Phase {
            name: "one billing endpoint fails fast",
            change: |s| s.billing[0].set_behaviour(Behaviour::failing()),
        },
        Phase {
            name: "equipment slow, notes fail",
            change: |s| {
                s.equipment.iter().for_each(|d| d.set_behaviour(slow()));
                s.notes.set_behaviour(Behaviour::failing());
            },
        },
        Phase {
            name: "billing down",
            change: |s| s.billing.iter().for_each(|d| d.set_behaviour(Behaviour::Down)),
        },
        Phase { name: "all come back", change: |_| {} },
        Phase { name: "all well", change: |_| {} },
    ]
}

/// The program that stands beside this one.
pub fn beside() -> Result<PathBuf, String> {
    let me = std::env::current_exe().map_err(|e| format!("its own place: {e}"))?;
    let server = me.with_file_name("umberloom");
    match server.exists() {
        true => Ok(server),
        false => Err(format!(
            "{} is not there: `cargo build --release` makes it, --server names another",
            server.display()
        )),
    }
}

/// Plays it and prints the table.
pub fn play(options: &Options) -> Result<(), String> {
    let server = options.server.clone().map_or_else(beside, Ok)?;
    if !(options.rate > 0.0 && options.rate <= 2_000.0 && (1..=600).contains(&options.seconds)) {
        return Err("--rate is over 0 up to 2000 a second, --seconds from 1 to 600".to_owned());
    }
    let site = Site::start(&server, options.plain, options.log.as_deref())?;
    let phases = phases();
    let each = Duration::from_secs(options.seconds) / phases.len() as u32;
    let mut callers = Callers::start(site.listen, site.farm.completion_notifier())?;
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let bar = ProgressBar::new(options.seconds * 1_000);
    let style =
        ProgressStyle::with_template("{bar:30} {msg}").unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    let mut counts = Vec::new();
    let mut at = Duration::ZERO;
    for (number, phase) in phases.iter().enumerate() {
        bar.set_message(phase.name);
        if !options.plain {
            (phase.change)(&site);
        }
        let end = each * (number as u32 + 1);
        while at < end {
            thread::sleep(at.saturating_sub(callers.elapsed()));
            callers.send(number, at, usize::from(random.random_bool(0.3)))?;
            bar.set_position(at.as_millis() as u64);
            // Over the first phase the rate climbs from a fifth to the whole.
            let share = (at.as_secs_f64() / each.as_secs_f64()).min(1.0) * 0.8 + 0.2;
            let gap = Exp::new(options.rate * share).map_or(1.0, |d| d.sample(&mut random));
            at += Duration::from_secs_f64(gap);
        }
        counts.push(site.take_counts());
        site.mend();
    }
    bar.finish_and_clear();
    let (behind, cpu) = (callers.behind, site.cpu());
    let sent = callers.finish();
    let names: Vec<&str> = phases.iter().map(|p| p.name).collect();
    println!("{}", report::table(&names, &counts, &sent));
    println!("{}", report::summary(&sent, behind));
    if let Some(cpu) = cpu {
        println!(
            "The server had {:.1} us of a core for each request.",
            cpu.as_secs_f64() * 1e6 / sent.len().max(1) as f64
        );
    }
    Ok(())
}
