//! `umberloom fleet record …`: commands that read and change the replicated store.

mod documents;
mod export;
mod status;

use std::path::PathBuf;

use bpaf::{construct, long, positional, Parser};
use serde_json::json;
use umberloom_replicated_store::entry::Entry;

use super::client::AdminClient;
use super::error::AdminError;
use crate::wire::fleet::{FleetReply, FleetRequestKind};
use crate::wire::replicated_store::{StoreRequest, StoreResponse};
pub use export::verify;

/// A command for the replicated store.
#[derive(Clone, Debug)]
pub enum StoreCommand {
    /// Show the status of one server's replica.
    Status,
    /// Show a document, as the server asked has it if `local`; `out` is a file to write its content to.
    Show { name: String, local: bool, out: Option<PathBuf> },
    /// Show the newest entries, at most this many.
    History(u32),
    /// Set a document to the content of a file, or remove it if there is no file.
    Put { name: String, file: Option<PathBuf>, expected_version: Option<u64> },
    /// Write a note to the history.
    Note(String),
    /// Make a member a voter if `votes`, else a learner.
    SetVoter { name: String, votes: bool },
    /// Restart the store from the replica of the server that is asked.
    Adopt,
    /// Fetch an export and write it to a file.
    Export(PathBuf),
    /// Verify an export in a file; no server is asked.
    Verify(PathBuf),
}

/// Parser of the arguments after `record`.
pub fn command_line() -> impl Parser<StoreCommand> {
    let status = bpaf::pure(StoreCommand::Status)
        .to_options()
        .descr("Show the status of one server's replica")
        .command("status");
    let (show, put, remove) = (show_command(), put_command(), remove_command());
    let history = long("most")
        .help("Maximum number of entries")
        .argument::<u32>("N")
        .fallback(20)
        .map(StoreCommand::History)
        .to_options()
        .descr("Show the last entries, newest first")
        .command("history");
    let note = positional::<String>("TEXT")
        .help("Text of the note")
        .map(StoreCommand::Note)
        .to_options()
        .descr("Write a note to the history")
        .command("note");
    let promote = member()
        .map(|name| StoreCommand::SetVoter { name, votes: true })
        .to_options()
        .descr("Make a learner a voter")
        .command("promote");
    let demote = member()
        .map(|name| StoreCommand::SetVoter { name, votes: false })
        .to_options()
        .descr("Make a voter a learner")
        .command("demote");
    let export = file()
        .map(StoreCommand::Export)
        .to_options()
        .descr("Write an export of the store to a file")
        .command("export");
    let verify = file()
        .map(StoreCommand::Verify)
        .to_options()
        .descr("Verify an export in a file, without a server")
        .command("verify");
    let adopt = bpaf::pure(StoreCommand::Adopt)
        .to_options()
        .descr("Restart the store from the queried server's replica, where a majority of the voters is lost")
        .command("adopt");
    construct!([status, show, history, put, remove, note, promote, demote, adopt, export, verify])
}

fn show_command() -> impl Parser<StoreCommand> {
    let local = long("local")
        .help("As the queried server has it, with its age; by default the latest by a majority")
        .switch();
    let out = long("out").help("Write the content to this file").argument::<PathBuf>("FILE").optional();
    let name = document();
    construct!(StoreCommand::Show { local, out, name }).to_options().descr("Show a document").command("show")
}

fn put_command() -> impl Parser<StoreCommand> {
    let (name, expected_version) = (document(), expected_version());
    let file = positional::<PathBuf>("FILE").help("File with the content").map(Some);
    construct!(StoreCommand::Put { expected_version, name, file })
        .to_options()
        .descr("Set a document to the content of a file")
        .command("put")
}

fn remove_command() -> impl Parser<StoreCommand> {
    let (name, expected_version, file) = (document(), expected_version(), bpaf::pure(None));
    construct!(StoreCommand::Put { expected_version, file, name })
        .to_options()
        .descr("Remove a document")
        .command("remove")
}

fn document() -> impl Parser<String> {
    positional::<String>("NAME").help("Name of the document")
}

fn expected_version() -> impl Parser<Option<u64>> {
    let help = "Only if the document has this version now; 0: only if it does not exist";
    long("expect").help(help).argument::<u64>("VERSION").optional()
}

fn member() -> impl Parser<String> {
    positional::<String>("MEMBER").help("Name of a server with a replica")
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE")
}

/// Runs a command, and returns the text to print.
pub fn run(client: &AdminClient, command: &StoreCommand, as_json: bool) -> Result<String, AdminError> {
    match command {
        StoreCommand::Status => match request(client, StoreRequest::Status)? {
            StoreResponse::Status(status) if as_json => Ok(serde_json::to_string_pretty(&json!(status))?),
            StoreResponse::Status(status) => Ok(status::status_text(&status)),
            _ => Err(client.unexpected_response()),
        },
        StoreCommand::History(max) => match request(client, StoreRequest::History(*max))? {
            StoreResponse::History(lines) if as_json => Ok(serde_json::to_string_pretty(&json!(lines))?),
            StoreResponse::History(lines) => Ok(status::history_text(&lines)),
            _ => Err(client.unexpected_response()),
        },
        StoreCommand::Show { name, local, out } => {
            documents::show(client, name, *local, out.as_deref(), as_json)
        }
        StoreCommand::Put { name, file, expected_version } => {
            let entries = match file {
                None => documents::removal_entries(name, *expected_version),
                Some(file) => documents::content_entries(name, file, *expected_version)?,
            };
            documents::write(client, entries, as_json)
        }
        StoreCommand::Note(note) => documents::write(client, vec![Entry::Note(note.clone())], as_json),
        StoreCommand::SetVoter { name, votes } => {
            request(client, StoreRequest::SetVoter(name.clone(), *votes))?;
            let role = if *votes { "vote" } else { "learn" };
            Ok(format!("the leader was asked to let {name} {role}"))
        }
        StoreCommand::Adopt => {
            request(client, StoreRequest::Adopt)?;
            let server = client.server();
            Ok(format!(
                "the copy of {server} is the record from now on, under a new number; the others join it"
            ))
        }
        StoreCommand::Export(file) => export::export(client, file),
        StoreCommand::Verify(file) => verify(file, as_json),
    }
}

/// Sends a request about the store; a rejection is returned as an error.
fn request(client: &AdminClient, request: StoreRequest) -> Result<StoreResponse, AdminError> {
    match client.request(FleetRequestKind::Store(request))? {
        FleetReply::Store(StoreResponse::Rejected(reason)) => {
            Err(AdminError::Rejected { server: client.server(), reason })
        }
        FleetReply::Store(response) => Ok(response),
        _ => Err(client.unexpected_response()),
    }
}
