//! `umberloom fleet …`: queries a server about its fleet, and changes the replicated store, over the server's
//! fleet port.
//!
//! [`client`] sends a request and receives its response; [`members`] formats responses about the fleet's
//! members; [`store`] has the commands for the replicated store.

mod client;
mod error;
mod members;
mod store;
mod table;

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::{construct, long, positional, Parser};

use crate::lifecycle::config_files::load_operator;
use crate::wire::fleet::FleetRequestKind;
use client::AdminClient;
pub use error::AdminError;
use store::StoreCommand;

/// A command with its options.
#[derive(Clone, Debug)]
pub struct Options {
    /// The operator's file, which has the fleet's name and secret.
    operator: PathBuf,
    /// Fleet address of the server that is asked; if `None`, the fleet's `listen` address in the file.
    server: Option<SocketAddr>,
    /// Whether JSON is printed instead of text.
    json: bool,
    command: FleetCommand,
}

#[derive(Clone, Debug)]
enum FleetCommand {
    /// Show the members as one server sees them.
    Members,
    /// Show the evidence for the state of the named member.
    Explain(String),
    /// A command for the replicated store.
    Store(StoreCommand),
}

/// Parser of the arguments after `fleet`.
pub fn command_line() -> impl Parser<Options> {
    let (operator, server, json) = (operator(), server(), json());
    let members = construct!(operator, server, json)
        .map(|(operator, server, json)| Options { operator, server, json, command: FleetCommand::Members })
        .to_options()
        .descr("List the members of the fleet, as one server sees them")
        .command("members");
    let (operator, server, json) = (self::operator(), self::server(), self::json());
    let name = positional::<String>("NAME")
        .help("Name of a member; the server's own name explains its partition status");
    let explain = construct!(operator, server, json, name)
        .map(|(operator, server, json, name)| {
            let command = FleetCommand::Explain(name);
            Options { operator, server, json, command }
        })
        .to_options()
        .descr("Show the evidence for the state that one server gives a member, with its age")
        .command("explain");
    let (operator, server, json) = (self::operator(), self::server(), self::json());
    let command = store::command_line();
    let store = construct!(operator, server, json, command)
        .map(|(operator, server, json, command)| {
            let command = FleetCommand::Store(command);
            Options { operator, server, json, command }
        })
        .to_options()
        .descr("Show or change the replicated store: its status, documents and history")
        .command("record");
    construct!([members, explain, store])
}

fn operator() -> impl Parser<PathBuf> {
    long("operator").help("The operator's file with the fleet's name and secret").argument::<PathBuf>("FILE")
}

fn server() -> impl Parser<Option<SocketAddr>> {
    long("at")
        .help("Fleet address of the server to query; by default the one in the file")
        .argument::<SocketAddr>("ADDRESS")
        .optional()
}

fn json() -> impl Parser<bool> {
    long("json").help("Print JSON instead of text").switch()
}

/// Runs the command and prints its result.
pub fn run(options: &Options) -> Result<(), AdminError> {
    let text = if let FleetCommand::Store(StoreCommand::Verify(file)) = &options.command {
        store::verify(file, options.json)?
    } else {
        query_server(options)?
    };
    // Writing fails if the reader has closed its end and wants no more output.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
    Ok(())
}

fn query_server(options: &Options) -> Result<String, AdminError> {
    let operator = load_operator(&options.operator, None)?;
    let Some(fleet) = operator.fleet else {
        return Err(AdminError::NoFleet { file: options.operator.display().to_string() });
    };
    let client = AdminClient::new(&fleet, options.server.unwrap_or(fleet.listen));
    match &options.command {
        FleetCommand::Members => members::show(&client, FleetRequestKind::Members, options.json),
        FleetCommand::Explain(name) => {
            members::show(&client, FleetRequestKind::Explain(name.clone()), options.json)
        }
        FleetCommand::Store(command) => store::run(&client, command, options.json),
    }
}
