//! Formats a replica's status and the history of the store as text.

use std::fmt::Write as _;

use umberloom_replicated_store::state::HistoryLine;
use umberloom_replicated_store::{Outcome, ReplicaStatus};

use crate::admin_client::table::{age, Table};

/// The state of the replica itself, followed by a table of all replicas.
pub fn status_text(status: &ReplicaStatus) -> String {
    let ReplicaStatus {
        store_id,
        replica_id,
        role,
        term,
        leader,
        applied,
        commit,
        last_index,
        leader_heard_ms,
        unsupported_entries,
        ..
    } = status;
    let leader = leader.as_deref().unwrap_or("nobody");
    let mut text = format!(
        "{role} of record {store_id:016x} with copy {replica_id:016x}, term {term}, leader {leader} (heard {} ago)\n\
         applied {applied} of {commit} agreed on, last entry {last_index}, {unsupported_entries} of newer programs\n",
        age(*leader_heard_ms)
    );
    if let Some((received, total)) = status.catching_up {
        // Writing to a string never fails.
        let _ = writeln!(text, "catching up: {received} of {total} pieces of a snapshot are here");
    }
    if status.frozen {
        text.push_str("frozen: copies differ and nobody can tell which is right; nothing is written\n");
    }
    let mut table = Table::with_headings(["copy", "server", "zone", "votes", "applied", "heard"]);
    table.extend(status.replicas.iter().map(|replica| {
        let applied = replica.applied.map_or_else(|| "-".to_owned(), |index| index.to_string());
        let votes = if replica.is_voter { "yes" } else { "no" };
        vec![
            format!("{:016x}", replica.replica_id),
            replica.server.clone(),
            replica.zone.clone(),
            votes.to_owned(),
            applied,
            age(replica.heard_ms),
        ]
    }));
    text + &table.render()
}

/// A table of entries with their outcomes.
pub fn history_text(lines: &[HistoryLine]) -> String {
    let mut table = Table::with_headings(["entry", "by", "what", "outcome"]);
    table.extend(lines.iter().map(|line| {
        let outcome = outcome_text(&line.outcome);
        vec![line.index.to_string(), line.author.server.clone(), line.description.clone(), outcome]
    }));
    table.render()
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Applied(0) => "done".to_owned(),
        Outcome::Applied(version) => format!("version {version}"),
        Outcome::Conflict(version) => format!("refused: version {version} was there"),
        Outcome::Rejected(reason) => format!("refused: {reason}"),
        Outcome::Unsupported => "kept for a newer program".to_owned(),
    }
}
