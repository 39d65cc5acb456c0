//! Clients of a virtual replicated store: what they write and read, and the results that they get.

use umberloom_replicated_store::entry::{Content, DocumentUpdate};
use umberloom_replicated_store::{Entry, Micros, Outcome, ReadOutcome};

use super::{VirtualReplicatedStore, MS};
use crate::linear::Operation;

/// How long a client waits for the result of a write.
const WRITE_TIMEOUT: Micros = 5_000 * MS;
/// How long a client waits for the result of a read.
const READ_TIMEOUT: Micros = 20_000 * MS;

/// An operation whose client waits for the result.
pub(super) struct PendingOperation {
    /// The server that the client called, and its process at that time.
    node: usize,
    process: u64,
    /// Index into the operations.
    operation: usize,
    kind: PendingKind,
    /// When the client stops waiting.
    timeout_at: Micros,
}

enum PendingKind {
    /// The id of the written entry.
    Write(u128),
    /// The number of the read request.
    Read(u64),
}

impl VirtualReplicatedStore {
    /// Writes a register as a client of server `n`. The write is rejected if the register does not have the
    /// version `expected_version`; `None` accepts any. The client waits for the result up to `WRITE_TIMEOUT`.
    pub fn write(&mut self, n: usize, register: &str, expected_version: Option<u64>) {
        self.last_id += 1;
        let id = self.last_id;
        let content = Content::Inline(id.to_le_bytes().to_vec());
        let entry = Entry::Document(DocumentUpdate { name: register.to_owned(), expected_version, content });
        let (now, process) = (self.now, self.nodes[n].process);
        let Some(replica) = &mut self.nodes[n].replica else { return };
        let proposed = replica.propose(now, id, 0, &entry);
        self.operations.push(Operation::write(register, now, id));
        let operation = self.operations.len() - 1;
        if proposed.is_ok() {
            let timeout_at = now + WRITE_TIMEOUT;
            self.pending.push(PendingOperation {
                node: n,
                process,
                operation,
                kind: PendingKind::Write(id),
                timeout_at,
            });
        } else {
            self.operations[operation].reject(now);
        }
        self.execute_actions(n);
    }

    /// Proposes entries as a client of a server, without waiting for the results.
    pub fn propose(&mut self, n: usize, entries: Vec<Entry>) {
        let now = self.now;
        for entry in entries {
            self.last_id += 1;
            if let Some(replica) = &mut self.nodes[n].replica {
                let _ = replica.propose(now, self.last_id, 0, &entry);
            }
        }
        self.execute_actions(n);
    }

    /// Reads the latest value of a register as a client of server `n`, which waits for the result up to
    /// `READ_TIMEOUT`.
    pub fn read(&mut self, n: usize, register: &str) {
        let (now, process) = (self.now, self.nodes[n].process);
        let Some(replica) = &mut self.nodes[n].replica else { return };
        if let Ok(request) = replica.request_read(now) {
            self.operations.push(Operation::read(register, now));
            let (operation, timeout_at) = (self.operations.len() - 1, now + READ_TIMEOUT);
            self.pending.push(PendingOperation {
                node: n,
                process,
                operation,
                kind: PendingKind::Read(request),
                timeout_at,
            });
        }
        self.execute_actions(n);
    }

    /// Records the results of a server's pending operations that have ended, and drops those without a
    /// result.
    pub(super) fn finish_operations(&mut self, n: usize, reads: &[(u64, ReadOutcome)]) {
        let (now, node) = (self.now, &self.nodes[n]);
        let Some(replica) = &node.replica else { return };
        let operations = &mut self.operations;
        let process = node.process;
        self.pending.retain(|pending| {
            if pending.node != n {
                return true;
            }
            if pending.process != process || now > pending.timeout_at {
                // The client never learns the result.
                return false;
            }
            match &pending.kind {
                PendingKind::Write(id) => match replica.outcome(*id) {
                    Some(Outcome::Applied(version)) => {
                        operations[pending.operation].complete(now, version, *id);
                    }
                    Some(_) => operations[pending.operation].reject(now),
                    None => return true,
                },
                PendingKind::Read(request) => match reads.iter().find(|(done, _)| done == request) {
                    Some((_, ReadOutcome::Ready)) => {
                        let register = operations[pending.operation].register.clone();
                        let document = replica.state().get(&register);
                        let value = document
                            .and_then(|d| d.bytes.as_deref()?.try_into().ok())
                            .map(u128::from_le_bytes);
                        operations[pending.operation].complete(
                            now,
                            document.map_or(0, |d| d.version),
                            value.unwrap_or(0),
                        );
                    }
                    Some(_) => operations[pending.operation].reject(now),
                    None => return true,
                },
            }
            false
        });
    }
}
