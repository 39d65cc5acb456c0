//! Fetches exports from a server into a file, and verifies them.

use std::fmt::Write as _;
use std::path::Path;

use serde_json::json;
use umberloom_replicated_store::Export;

use super::request;
use crate::admin_client::client::AdminClient;
use crate::admin_client::error::AdminError;
use crate::wire::replicated_store::{StoreRequest, StoreResponse};

/// Fetches an export, verifies it, and writes it to a file.
pub fn export(client: &AdminClient, file: &Path) -> Result<String, AdminError> {
    let bytes = fetch(client)?;
    let verified = Export::from_bytes(&bytes).and_then(|export| export.verify()).map_err(|reason| {
        AdminError::InvalidExport { origin: client.server().to_string(), reason: reason.to_string() }
    })?;
    let name = file.display().to_string();
    std::fs::write(file, &bytes).map_err(|source| AdminError::File { file: name.clone(), source })?;
    Ok(format!(
        "{name}: {} bytes, entries {} to {}",
        bytes.len(),
        verified.snapshot_index,
        verified.last_index
    ))
}

/// Fetches all parts of an export.
fn fetch(client: &AdminClient) -> Result<Vec<u8>, AdminError> {
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        match request(client, StoreRequest::Export(bytes.len() as u64))? {
            StoreResponse::ExportPart(part, length) => {
                bytes.extend_from_slice(&part);
                if bytes.len() as u64 >= length || part.is_empty() {
                    return Ok(bytes);
                }
            }
            _ => return Err(client.unexpected_response()),
        }
    }
}

/// Verifies an export in a file, and returns a summary of its content.
pub fn verify(file: &Path, as_json: bool) -> Result<String, AdminError> {
    let name = file.display().to_string();
    let bytes = std::fs::read(file).map_err(|source| AdminError::File { file: name.clone(), source })?;
    let invalid = |reason: String| AdminError::InvalidExport { origin: name.clone(), reason };
    let export = Export::from_bytes(&bytes).map_err(|e| invalid(e.to_string()))?;
    let verified = export.verify().map_err(|e| invalid(e.to_string()))?;
    if as_json {
        let value = json!({"record": format!("{:016x}", verified.store_id),
            "from": verified.snapshot_index, "to": verified.last_index, "by": export.exported_by,
            "unknown": verified.unsupported_entries, "documents": verified.documents});
        return Ok(serde_json::to_string_pretty(&value)?);
    }
    let mut text = format!(
        "{name}: sound, record {:016x} as {} had it, entries {} to {}, {} of newer programs\n",
        verified.store_id,
        export.exported_by,
        verified.snapshot_index,
        verified.last_index,
        verified.unsupported_entries
    );
    for (document, version, length) in &verified.documents {
        // Writing to a string never fails.
        let _ = writeln!(text, "{document}: version {version}, {length} bytes");
    }
    Ok(text)
}
