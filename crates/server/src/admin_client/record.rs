//! `umberloom fleet record …`: what the servers keep together, read and written by hand.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use bpaf::{construct, long, positional, Parser};
use serde_json::json;
use umberloom_operator_config::Fleet;
use umberloom_replicated_store::entry::{Content, DocumentUpdate, Entry, MAX_DOCUMENT_BYTES};
use umberloom_replicated_store::state::HistoryLine;
use umberloom_replicated_store::{Export, Outcome, ReplicaStatus};

use super::{age, columns, question};
use crate::wire::fleet::{FleetReply, FleetRequestKind};
use crate::wire::replicated_store::{StoreRequest, StoreResponse};

/// QuestionKind is asked of the record.
#[derive(Clone, Debug)]
pub enum About {
    /// How one server's part stands.
    Status,
    /// A document.
    Show { name: String, local: bool, out: Option<PathBuf> },
    /// The last lines.
    History(u32),
    /// A document takes on the content of a file, or is taken out.
    Put { name: String, file: Option<PathBuf>, expect: Option<u64> },
    /// A remark.
    Note(String),
    /// A member votes, or learns.
    Hand(String, bool),
    /// The copy of the server that is asked is the record from now on.
    Adopt,
    /// A copy in a file.
    Export(PathBuf),
    /// Whether such a file is sound; no server is asked.
    Verify(PathBuf),
}

fn name() -> impl Parser<String> {
    positional::<String>("NAME").help("A document's name")
}

/// The words after `record`.
pub fn command_line() -> impl Parser<About> {
    let status =
        bpaf::pure(About::Status).to_options().descr("How one server's part stands").command("status");
    let local =
        long("local").help("As this server has it, with its age; else the latest by a majority").switch();
    let out = long("out").help("Writes its content to this file").argument::<PathBuf>("FILE").optional();
    let named = name();
    let show =
        construct!(About::Show { local, out, name(named) }).to_options().descr("A document").command("show");
    let most = long("most").help("So many lines").argument::<u32>("N").fallback(20);
    let history =
        most.map(About::History).to_options().descr("The last entries, newest first").command("history");
    let expect = || {
        let help = "Only if it has this version now; 0: only if it is not there";
        long("expect").help(help).argument::<u64>("VERSION").optional()
    };
    let (named, expected) = (name(), expect());
    let file = positional::<PathBuf>("FILE").help("Its content").map(Some);
    let put = construct!(About::Put { expect(expected), name(named), file });
    let put = put.to_options().descr("A document takes on the content of a file").command("put");
    let (named, expected, file) = (name(), expect(), bpaf::pure(None));
    let remove = construct!(About::Put { expect(expected), file, name(named) });
    let remove = remove.to_options().descr("A document is taken out").command("remove");
    let text = positional::<String>("TEXT").help("A remark, for the history");
    let note = text.map(About::Note).to_options().descr("Writes a remark").command("note");
    let member = || positional::<String>("MEMBER").help("A server that holds a copy");
    let promote = member().map(|name| About::Hand(name, true));
    let promote = promote.to_options().descr("A member that learns votes from now on").command("promote");
    let demote = member().map(|name| About::Hand(name, false));
    let demote = demote.to_options().descr("A member that votes learns from now on").command("demote");
    let file = || positional::<PathBuf>("FILE");
    let export = file().map(About::Export).to_options().descr("A copy, in a file").command("export");
    let verify = file().map(About::Verify);
    let verify =
        verify.to_options().descr("Whether such a file is sound, without a server").command("verify");
    let adopt = bpaf::pure(About::Adopt).to_options();
    let adopt =
        adopt.descr("For the worst day: the asked server's copy is the record from now on").command("adopt");
    construct!([status, show, history, put, remove, note, promote, demote, adopt, export, verify])
}

fn ask(fleet: &Fleet, at: SocketAddr, asked: StoreRequest) -> Result<StoreResponse, String> {
    match question(fleet, at, FleetRequestKind::Store(asked))? {
        FleetReply::Store(StoreResponse::Rejected(why)) => Err(format!("{at}: {why}")),
        FleetReply::Store(told) => Ok(told),
        _ => Err(format!("{at}: an answer to something else")),
    }
}

fn odd(at: SocketAddr) -> String {
    format!("{at}: an answer to something else")
}

/// A number that no other entry has: by the time and this process.
fn number() -> u128 {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos());
    nanos << 32 | u128::from(std::process::id())
}

/// Asks, and gives what is to be printed.
pub fn run(fleet: &Fleet, at: SocketAddr, about: &About, as_json: bool) -> Result<String, String> {
    let text = |value: serde_json::Value| serde_json::to_string_pretty(&value).map_err(|e| e.to_string());
    match about {
        About::Status => match ask(fleet, at, StoreRequest::Status)? {
            StoreResponse::Status(standing) if as_json => text(json!(standing)),
            StoreResponse::Status(standing) => Ok(status(&standing)),
            _ => Err(odd(at)),
        },
        About::History(most) => match ask(fleet, at, StoreRequest::History(*most))? {
            StoreResponse::History(lines) if as_json => text(json!(lines)),
            StoreResponse::History(lines) => Ok(history(&lines)),
            _ => Err(odd(at)),
        },
        About::Show { name, local, out } => {
            let (version, by, index, age_ms, bytes) = fetch(fleet, at, name, !local)?;
            if let Some(out) = out {
                std::fs::write(out, &bytes).map_err(|e| format!("{}: {e}", out.display()))?;
            }
            let content = String::from_utf8_lossy(&bytes).into_owned();
            if as_json {
                return text(json!({"name": name, "version": version, "by": by, "index": index,
                    "latest": !local, "age_ms": age_ms, "length": bytes.len(), "content": content}));
            }
            let how = if *local { format!("as of {} ago", age(age_ms)) } else { "the latest".to_owned() };
            Ok(format!("{name}: version {version} by {by}, entry {index}, {how}\n{content}"))
        }
        About::Put { name, file, expect } => {
            let entries = match file {
                None => {
                    let content = Content::Removed;
                    vec![Entry::Document(DocumentUpdate {
                        name: name.clone(),
                        expected_version: *expect,
                        content,
                    })]
                }
                Some(file) => {
                    let bytes = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
                    if bytes.len() > MAX_DOCUMENT_BYTES {
                        let file = file.display();
                        return Err(format!("{file}: {} bytes, {MAX_DOCUMENT_BYTES} at most", bytes.len()));
                    }
                    Entry::document(name, bytes, *expect)
                }
            };
            write(fleet, at, entries, as_json)
        }
        About::Note(note) => write(fleet, at, vec![Entry::Note(note.clone())], as_json),
        About::Hand(name, votes) => {
            ask(fleet, at, StoreRequest::SetVoter(name.clone(), *votes))?;
            Ok(format!("the leader was asked to let {name} {}", if *votes { "vote" } else { "learn" }))
        }
        About::Adopt => {
            ask(fleet, at, StoreRequest::Adopt)?;
            Ok(format!("the copy of {at} is the record from now on, under a new number; the others join it"))
        }
        About::Export(file) => {
            let bytes = export(fleet, at)?;
            let found = Export::from_bytes(&bytes)
                .and_then(|export| export.verify())
                .map_err(|e| format!("{at}: {e}"))?;
            std::fs::write(file, &bytes).map_err(|e| format!("{}: {e}", file.display()))?;
            Ok(format!(
                "{}: {} bytes, entries {} to {}",
                file.display(),
                bytes.len(),
                found.snapshot_index,
                found.last_index
            ))
        }
        About::Verify(file) => verify(file, as_json),
    }
}

/// QuestionKind a file holds; no server is asked.
pub fn verify(file: &std::path::Path, as_json: bool) -> Result<String, String> {
    let name = file.display();
    let bytes = std::fs::read(file).map_err(|e| format!("{name}: {e}"))?;
    let export = Export::from_bytes(&bytes).map_err(|e| format!("{name}: {e}"))?;
    let found = export.verify().map_err(|e| format!("{name}: {e}"))?;
    if as_json {
        let value = json!({"record": format!("{:016x}", found.store_id), "from": found.snapshot_index, "to": found.last_index,
            "by": export.exported_by, "unknown": found.unsupported_entries, "documents": found.documents});
        return serde_json::to_string_pretty(&value).map_err(|e| e.to_string());
    }
    let mut out = format!(
        "{name}: sound, record {:016x} as {} had it, entries {} to {}, {} of newer programs\n",
        found.store_id, export.exported_by, found.snapshot_index, found.last_index, found.unsupported_entries
    );
    for (document, version, length) in &found.documents {
        let _ = writeln!(out, "{document}: version {version}, {length} bytes");
    }
    Ok(out)
}

type Fetched = (u64, String, u64, Option<u64>, Vec<u8>);

fn fetch(fleet: &Fleet, at: SocketAddr, name: &str, latest: bool) -> Result<Fetched, String> {
    // In parts; one that was written meanwhile is fetched anew.
    for _ in 0..8 {
        let (mut all, mut first) = (Vec::new(), None);
        loop {
            let from = all.len() as u64;
            // Only the first part has to be the latest: the others have to be of its version.
            let asked =
                StoreRequest::ReadDocument { name: name.to_owned(), latest: latest && from == 0, from };
            match ask(fleet, at, asked)? {
                StoreResponse::Document { version, index, by, length, part, age_ms } => {
                    let (known, ..) = first.get_or_insert((version, by, index, age_ms));
                    if *known != version {
                        break;
                    }
                    all.extend_from_slice(&part);
                    if all.len() as u64 >= length || part.is_empty() {
                        let Some((version, by, index, age_ms)) = first else { return Err(odd(at)) };
                        return Ok((version, by, index, age_ms, all));
                    }
                }
                StoreResponse::UnknownDocument(names) => {
                    return Err(format!(
                        "{at}: there is no document {name:?}; there are: {}",
                        names.join(", ")
                    ));
                }
                _ => return Err(odd(at)),
            }
        }
    }
    Err(format!("{at}: {name:?} is written faster than it can be read"))
}

fn export(fleet: &Fleet, at: SocketAddr) -> Result<Vec<u8>, String> {
    let mut all: Vec<u8> = Vec::new();
    loop {
        match ask(fleet, at, StoreRequest::Export(all.len() as u64))? {
            StoreResponse::ExportPart(part, length) => {
                all.extend_from_slice(&part);
                if all.len() as u64 >= length || part.is_empty() {
                    return Ok(all);
                }
            }
            _ => return Err(odd(at)),
        }
    }
}

fn write(fleet: &Fleet, at: SocketAddr, entries: Vec<Entry>, as_json: bool) -> Result<String, String> {
    let id = number();
    let mut last = None;
    for (n, entry) in (0u128..).zip(entries) {
        match ask(fleet, at, StoreRequest::Write { id: id + (n << 96), entry })? {
            StoreResponse::WriteOutcome(outcome) => last = Some(outcome),
            _ => return Err(odd(at)),
        }
    }
    match last {
        Some(Outcome::Applied(version)) if as_json => {
            Ok(json!({"done": true, "version": version}).to_string())
        }
        Some(Outcome::Applied(0)) => Ok("written".to_owned()),
        Some(Outcome::Applied(version)) => Ok(format!("written, version {version}")),
        Some(Outcome::Conflict(version)) => {
            Err(format!("{at}: it has version {version} now, nothing was written"))
        }
        Some(Outcome::Rejected(why)) => Err(format!("{at}: {why}")),
        Some(Outcome::Unsupported) => {
            Err(format!("{at}: this fleet's program does not know such an entry yet"))
        }
        None => Err("there is nothing to write".to_owned()),
    }
}

fn status(standing: &ReplicaStatus) -> String {
    let ReplicaStatus {
        store_id: record,
        replica_id: copy,
        role,
        term,
        leader,
        applied,
        commit,
        last_index: last,
        leader_heard_ms,
        unsupported_entries: unknown,
        ..
    } = standing;
    let leader = leader.as_deref().unwrap_or("nobody");
    let mut out = format!(
        "{role} of record {record:016x} with copy {copy:016x}, term {term}, leader {leader} (heard {} ago)\n\
         applied {applied} of {commit} agreed on, last entry {last}, {unknown} of newer programs\n",
        age(*leader_heard_ms)
    );
    if let Some((there, all)) = standing.catching_up {
        let _ = writeln!(out, "catching up: {there} of {all} pieces of a snapshot are here");
    }
    if standing.frozen {
        out.push_str("frozen: copies differ and nobody can tell which is right; nothing is written\n");
    }
    let mut rows = vec![["copy", "server", "zone", "votes", "applied", "heard"].map(str::to_owned).to_vec()];
    rows.extend(standing.replicas.iter().map(|c| {
        let applied = c.applied.map_or_else(|| "-".to_owned(), |n| n.to_string());
        let votes = if c.is_voter { "yes" } else { "no" };
        vec![
            format!("{:016x}", c.replica_id),
            c.server.clone(),
            c.zone.clone(),
            votes.to_owned(),
            applied,
            age(c.heard_ms),
        ]
    }));
    out + &columns(&rows)
}

fn history(lines: &[HistoryLine]) -> String {
    let mut rows = vec![["entry", "by", "what", "outcome"].map(str::to_owned).to_vec()];
    rows.extend(lines.iter().map(|line| {
        let outcome = match &line.outcome {
            Outcome::Applied(0) => "done".to_owned(),
            Outcome::Applied(version) => format!("version {version}"),
            Outcome::Conflict(version) => format!("refused: version {version} was there"),
            Outcome::Rejected(why) => format!("refused: {why}"),
            Outcome::Unsupported => "kept for a newer program".to_owned(),
        };
        vec![line.index.to_string(), line.author.server.clone(), line.description.clone(), outcome]
    }));
    columns(&rows)
}
