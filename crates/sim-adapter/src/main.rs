//! Hosts umberloom's decisions on the larch-ca68 wire: one line of JSON in, one line out.

mod decode;
mod encode;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use decode::{Batch, News};
use umberloom::interface::{Action, Event};
use umberloom::AdmissionController;

/// The instances of this process. They share nothing.
#[derive(Default)]
struct Host {
    servers: BTreeMap<u64, AdmissionController>,
}

impl Host {
    /// Plays one batch and writes its reply into `out`.
    fn play(&mut self, batch: Batch, out: &mut encode::Reply) -> Result<(), String> {
        let now = batch.now;
        let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        for (who, news) in batch.news {
            match news {
                News::Start(settings) => {
                    events.remove(&who);
                    self.servers.remove(&who);
                    match AdmissionController::new(now, settings) {
                        Ok(server) => {
                            self.servers.insert(who, server);
                            events.insert(who, Vec::new());
                        }
                        Err(why) => out.crash(who, &why.to_string()),
                    }
                }
                News::Stop => {
                    events.remove(&who);
                    self.servers.remove(&who);
                }
                News::Event(event) => {
                    if !self.servers.contains_key(&who) {
                        return Err(format!("field `who`: instance {who} was never started"));
                    }
                    events.entry(who).or_default().push(event);
                }
            }
        }
        let mut actions: Vec<Action> = Vec::new();
        for (who, list) in events {
            if let Some(server) = self.servers.get_mut(&who) {
                server.step(now, list, &mut actions);
                actions.drain(..).for_each(|action| out.push(who, &action));
            }
        }
        Ok(())
    }
}

fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut layouts = decode::Layouts::default();
    let mut reply = encode::Reply::default();
    for (at, line) in input.lines().enumerate() {
        let place = |why: String| format!("line {}: {why}", at + 1);
        let line = line.map_err(|e| place(e.to_string()))?;
        let batch = decode::batch(&line, &mut layouts).map_err(place)?;
        host.play(batch, &mut reply).map_err(place)?;
        output.write_all(&reply.finish()).and_then(|()| output.flush()).map_err(|e| place(e.to_string()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("umberloom-sim-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
