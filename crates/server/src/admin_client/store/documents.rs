//! Reads documents, in parts, and writes them.

use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::json;
use umberloom_replicated_store::entry::{Content, DocumentUpdate, Entry, MAX_DOCUMENT_BYTES};
use umberloom_replicated_store::Outcome;

use super::request;
use crate::admin_client::client::AdminClient;
use crate::admin_client::error::AdminError;
use crate::admin_client::table::age;
use crate::wire::replicated_store::{StoreRequest, StoreResponse};

/// Maximum number of attempts to read a document that changes while it is being read.
const MAX_READ_ATTEMPTS: usize = 8;

/// The version of a document that was read.
#[derive(Clone, Debug)]
struct Revision {
    /// Number of the version.
    version: u64,
    /// The server that wrote it.
    author: String,
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
    let Revision { version, author, index, age_ms } = revision;
    if as_json {
        let value = json!({"name": name, "version": version, "by": author, "index": index,
            "latest": !local, "age_ms": age_ms, "length": bytes.len(), "content": content});
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let freshness = if local { format!("as of {} ago", age(age_ms)) } else { "the latest".to_owned() };
    Ok(format!("{name}: version {version} by {author}, entry {index}, {freshness}\n{content}"))
}

/// Reads all parts of a document. If it changes while it is being read, reading starts again from its
/// beginning.
fn read(client: &AdminClient, name: &str, latest: bool) -> Result<(Revision, Vec<u8>), AdminError> {
    for _ in 0..MAX_READ_ATTEMPTS {
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
        let offset = content.len() as u64;
        // Only the first part is requested as the latest: the others must have the version of the first.
        let latest = latest && offset == 0;
        let read_request = StoreRequest::ReadDocument { name: name.to_owned(), latest, from: offset };
        match request(client, read_request)? {
            StoreResponse::Document { version, index, by, length, part, age_ms } => {
                let revision = first.get_or_insert(Revision { version, author: by, index, age_ms });
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
            _ => return Err(client.unexpected_response()),
        }
    }
}

/// The entry that removes a document.
pub fn removal_entries(name: &str, expected_version: Option<u64>) -> Vec<Entry> {
    vec![Entry::Document(DocumentUpdate {
        name: name.to_owned(),
        expected_version,
        content: Content::Removed,
    })]
}

/// The entries that set a document to the content of a file.
pub fn content_entries(
    name: &str,
    file: &Path,
    expected_version: Option<u64>,
) -> Result<Vec<Entry>, AdminError> {
    let file_name = || file.display().to_string();
    let bytes = std::fs::read(file).map_err(|source| AdminError::File { file: file_name(), source })?;
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let (length, max) = (bytes.len(), MAX_DOCUMENT_BYTES);
        return Err(AdminError::DocumentTooLong { file: file_name(), length, max });
    }
    Ok(Entry::document(name, bytes, expected_version))
}

/// Writes entries one after the other, and returns the text to print about the outcome of the last one.
pub fn write(client: &AdminClient, entries: Vec<Entry>, as_json: bool) -> Result<String, AdminError> {
    let first_id = entry_id();
    let mut last_outcome = None;
    for (index, entry) in (0u128..).zip(entries) {
        match request(client, StoreRequest::Write { id: first_id + (index << 96), entry })? {
            StoreResponse::WriteOutcome(outcome) => last_outcome = Some(outcome),
            _ => return Err(client.unexpected_response()),
        }
    }
    let server = client.server();
    match last_outcome {
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

/// A unique entry identifier, made of the time and the process id. Its bits from 96 on are 0: the index of an
/// entry within a write is added there.
fn entry_id() -> u128 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
    nanos << 32 | u128::from(std::process::id())
}
