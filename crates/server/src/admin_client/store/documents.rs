//! Reads documents, in parts, and writes them.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::json;
use umberloom_replicated_store::entry::{Content, DocumentUpdate, Entry, MAX_DOCUMENT_BYTES};
use umberloom_replicated_store::Outcome;

use super::ask;
use crate::admin_client::client::AdminClient;
use crate::admin_client::error::AdminError;
use crate::admin_client::table::age;
use crate::wire::replicated_store::{StoreRequest, StoreResponse};

/// Maximum number of attempts to read a document that changes while it is being read.
const MAX_READS: usize = 8;

/// The version of a document that was read.
#[derive(Clone, Debug)]
struct Revision {
    /// Number of the version.
    version: u64,
    /// The server that wrote it.
    by: String,
    /// Index of the entry that wrote it.
    index: u64,
    /// How long ago the server that was asked heard from the leader, in milliseconds.
    age_ms: Option<u64>,
}

/// Reads a document, writes its content to the file `out` if one is given, and returns the text to print.
pub fn show(
    client: &AdminClient,
    name: &str,
    local: bool,
    out: Option<&Path>,
    as_json: bool,
) -> Result<String, AdminError> {
    let (revision, bytes) = read(client, name, !local)?;
    if let Some(out) = out {
        std::fs::write(out, &bytes)
            .map_err(|source| AdminError::File { file: out.display().to_string(), source })?;
    }
    let content = String::from_utf8_lossy(&bytes).into_owned();
    let Revision { version, by, index, age_ms } = revision;
    if as_json {
        let value = json!({"name": name, "version": version, "by": by, "index": index,
            "latest": !local, "age_ms": age_ms, "length": bytes.len(), "content": content});
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let how_recent = if local { format!("as of {} ago", age(age_ms)) } else { "the latest".to_owned() };
    Ok(format!("{name}: version {version} by {by}, entry {index}, {how_recent}\n{content}"))
}

/// Reads all parts of a document. If it changes while it is being read, reading starts again from its
/// beginning.
fn read(client: &AdminClient, name: &str, latest: bool) -> Result<(Revision, Vec<u8>), AdminError> {
    for _ in 0..MAX_READS {
        if let Some(document) = read_once(client, name, latest)? {
            return Ok(document);
        }
    }
    Err(AdminError::ConcurrentWrites { server: client.server(), name: name.to_owned() })
}

/// Reads all parts of a document once; `None` if its version changed between two parts.
fn read_once(
    client: &AdminClient,
    name: &str,
    latest: bool,
) -> Result<Option<(Revision, Vec<u8>)>, AdminError> {
    let mut content: Vec<u8> = Vec::new();
    let mut first: Option<Revision> = None;
    loop {
        let from = content.len() as u64;
        // Only the first part is requested as the latest: the others must have the version of the first.
        let latest = latest && from == 0;
        let request = StoreRequest::ReadDocument { name: name.to_owned(), latest, from };
        match ask(client, request)? {
            StoreResponse::Document { version, index, by, length, part, age_ms } => {
                let revision = first.get_or_insert(Revision { version, by, index, age_ms });
                if revision.version != version {
                    return Ok(None);
                }
                content.extend_from_slice(&part);
                if content.len() as u64 >= length || part.is_empty() {
                    return Ok(Some((revision.clone(), content)));
                }
            }
            StoreResponse::UnknownDocument(known) => {
                let (server, name) = (client.server(), name.to_owned());
                return Err(AdminError::UnknownDocument { server, name, known });
            }
            _ => return Err(client.unexpected_answer()),
        }
    }
}

/// The entry that removes a document.
pub fn removal(name: &str, expect: Option<u64>) -> Vec<Entry> {
    vec![Entry::Document(DocumentUpdate {
        name: name.to_owned(),
        expected_version: expect,
        content: Content::Removed,
    })]
}

/// The entries that set a document to the content of a file.
pub fn content(name: &str, file: &Path, expect: Option<u64>) -> Result<Vec<Entry>, AdminError> {
    let file_name = || file.display().to_string();
    let bytes = std::fs::read(file).map_err(|source| AdminError::File { file: file_name(), source })?;
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let (length, max) = (bytes.len(), MAX_DOCUMENT_BYTES);
        return Err(AdminError::DocumentTooLong { file: file_name(), length, max });
    }
    Ok(Entry::document(name, bytes, expect))
}

/// Writes entries one after the other, and returns the text to print about the outcome of the last one.
pub fn write(client: &AdminClient, entries: Vec<Entry>, as_json: bool) -> Result<String, AdminError> {
    let id = entry_id();
    let mut last = None;
    for (n, entry) in (0u128..).zip(entries) {
        match ask(client, StoreRequest::Write { id: id + (n << 96), entry })? {
            StoreResponse::WriteOutcome(outcome) => last = Some(outcome),
            _ => return Err(client.unexpected_answer()),
        }
    }
    let server = client.server();
    match last {
        Some(Outcome::Applied(version)) if as_json => {
            Ok(json!({"done": true, "version": version}).to_string())
        }
        Some(Outcome::Applied(0)) => Ok("written".to_owned()),
        Some(Outcome::Applied(version)) => Ok(format!("written, version {version}")),
        Some(Outcome::Conflict(version)) => Err(AdminError::VersionConflict { server, version }),
        Some(Outcome::Rejected(reason)) => Err(AdminError::Rejected { server, reason }),
        Some(Outcome::Unsupported) => Err(AdminError::UnsupportedEntry { server }),
        None => Err(AdminError::NothingToWrite),
    }
}

/// A unique entry identifier, made of the time and the process id.
fn entry_id() -> u128 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
    nanos << 32 | u128::from(std::process::id())
}
