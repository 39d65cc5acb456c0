//! Runs umberloom's admission controllers for the simulator. Each line of JSON with events on standard input
//! is answered by one line with actions on standard output.

mod decode;
mod encode;
mod host;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match host::serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umberloom-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
