//! One real server: balancers in front, the render farm agent and the records service behind, and
//! umberloom's admission controller between them.
//!
//! [`cli`] reads the command line; [`lifecycle`] runs the server; [`admin_client`] asks a running server about its fleet.

mod admin_client;
mod admission;
mod cli;
mod dependency_calls;
mod lifecycle;
mod memory;
mod messages;
mod peers;
mod quota_leases;
mod wire;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = cli::command_line().run();
    match cli::run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("umberloom: {error}");
            ExitCode::FAILURE
        }
    }
}
