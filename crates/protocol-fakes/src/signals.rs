//! Sends signals to processes, without the delay of starting a program that does.

use std::io::ErrorKind;

use rustix::process::{kill_process, Pid, Signal};

/// Signals by their names without `SIG`.
const SIGNALS: [(&str, Signal); 6] = [
    ("HUP", Signal::HUP),
    ("INT", Signal::INT),
    ("TERM", Signal::TERM),
    ("STOP", Signal::STOP),
    ("CONT", Signal::CONT),
    ("KILL", Signal::KILL),
];

/// Sends the signal with this name, without `SIG`, to a process.
///
/// # Errors
///
/// Fails for an unknown name, and if there is no such process.
pub fn send(process_id: u32, name: &str) -> std::io::Result<()> {
    let signal = SIGNALS.iter().find(|(known, _)| *known == name).map(|(_, signal)| *signal);
    let pid = i32::try_from(process_id).ok().and_then(Pid::from_raw);
    let (Some(signal), Some(pid)) = (signal, pid) else { return Err(ErrorKind::InvalidInput.into()) };
    Ok(kill_process(pid, signal)?)
}
