//! The umberloom server: it accepts requests from balancers, decides with umberloom's admission controller,
//! and has admitted requests run by the render farm agent and their calls made to the records service.
//!
//! [`cli`] parses the command line; [`lifecycle`] runs the server; [`admin_client`] queries a running server
//! about its fleet.

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
