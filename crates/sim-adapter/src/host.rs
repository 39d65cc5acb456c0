//! Runs the admission controllers of all simulated instances in this process.

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

use thiserror::Error;
use umberloom::interface::{Action, Event};
use umberloom::AdmissionController;

use crate::decode::{Batch, DecodeError, Decoder, InputKind};
use crate::encode::Reply;

/// An error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
#[error("line {line}: {cause}")]
pub struct ServeError {
    /// The line of the input, counted from 1.
    pub line: usize,
    /// The error on this line.
    pub cause: LineError,
}

/// An error on one line of input.
#[derive(Debug, Error)]
pub enum LineError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error("field `who`: instance {instance} was never started")]
    UnknownInstance { instance: u64 },
}

/// The admission controllers by instance number. They share no state.
#[derive(Default)]
struct Host {
    controllers: BTreeMap<u64, AdmissionController>,
}

/// Writes a line to `output` for each line of `input`, until the input ends.
pub fn serve(input: impl BufRead, mut output: impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut decoder = Decoder::default();
    for (index, line) in input.lines().enumerate() {
        let reply = line.map_err(LineError::from).and_then(|line| host.reply(&line, &mut decoder));
        let sent = reply.and_then(|reply| Ok(output.write_all(&reply).and_then(|()| output.flush())?));
        sent.map_err(|cause| ServeError { line: index + 1, cause })?;
    }
    Ok(())
}

impl Host {
    /// Decodes a line, applies it, and returns the reply with its line break.
    fn reply(&mut self, line: &str, decoder: &mut Decoder) -> Result<Vec<u8>, LineError> {
        let batch = decoder.decode(line)?;
        let mut reply = Reply::default();
        self.step(batch, &mut reply)?;
        Ok(reply.finish())
    }

    /// Starts and stops instances, then steps each instance that was started or has events once, with all of
    /// its events.
    fn step(&mut self, batch: Batch, reply: &mut Reply) -> Result<(), LineError> {
        let now = batch.now;
        let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
        for input in batch.inputs {
            let instance = input.instance;
            match input.kind {
                InputKind::Start(settings) => {
                    events.remove(&instance);
                    self.controllers.remove(&instance);
                    match AdmissionController::new(now, settings) {
                        Ok(controller) => {
                            self.controllers.insert(instance, controller);
                            events.insert(instance, Vec::new());
                        }
                        Err(error) => reply.push_crash(instance, &error.to_string()),
                    }
                }
                InputKind::Stop => {
                    events.remove(&instance);
                    self.controllers.remove(&instance);
                }
                InputKind::Event(event) if self.controllers.contains_key(&instance) => {
                    events.entry(instance).or_default().push(event);
                }
                InputKind::Event(_) => return Err(LineError::UnknownInstance { instance }),
            }
        }
        let mut actions: Vec<Action> = Vec::new();
        for (instance, events) in events {
            if let Some(controller) = self.controllers.get_mut(&instance) {
                controller.step(now, events, &mut actions);
                actions.drain(..).for_each(|action| reply.push(instance, &action));
            }
        }
        Ok(())
    }
}
