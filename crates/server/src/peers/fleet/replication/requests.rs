//! Operators' requests about the replicated store that wait for a read or a write, and their responses.

use umberloom_replicated_store::{Entry, EntryId, Micros, ReadOutcome, Replica, RequestError};

use crate::wire::replicated_store::{StoreRequest, StoreResponse, MAX_PART_BYTES};

/// How long a request may wait for its read or write.
const REQUEST_TIMEOUT: Micros = 4_000_000;
/// Interval at which a write that no leader has accepted is proposed again.
const PROPOSE_INTERVAL: Micros = 100_000;
/// Interval at which an accepted write is proposed again, as it may have been lost since.
const ACCEPTED_PROPOSE_INTERVAL: Micros = 10 * PROPOSE_INTERVAL;
/// Maximum number of requests that wait at once.
const MAX_PENDING_REQUESTS: usize = 256;
/// Maximum number of document names listed if the requested document does not exist.
const MAX_LISTED_DOCUMENTS: usize = 64;

/// Where a request came from, and where its response goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSource {
    /// The stream on which it arrived.
    pub stream_id: u64,
    /// Its number on that stream, chosen at random by its sender.
    pub number: u64,
}

struct PendingRequest {
    source: RequestSource,
    kind: PendingKind,
    deadline: Micros,
}

enum PendingKind {
    Write(PendingWrite),
    Read(PendingRead),
}

/// A read of the latest state.
struct PendingRead {
    /// Identifies the read in the replica.
    ticket: u64,
    /// Name of the document.
    name: String,
    /// Offset in bytes where the part to read starts.
    offset: u64,
}

impl PendingRead {
    /// The response if the read is done. A read that the replica has given up is requested again, as the
    /// replica waits for a shorter time than a request may.
    fn poll(
        &mut self,
        now: Micros,
        finished_reads: &[(u64, ReadOutcome)],
        replica: &mut Replica,
    ) -> Option<StoreResponse> {
        let (_, outcome) = finished_reads.iter().find(|(finished, _)| *finished == self.ticket)?;
        match outcome {
            ReadOutcome::Ready => Some(read_document(replica, now, &self.name, self.offset)),
            ReadOutcome::Failed(RequestError::TimedOut) => match replica.request_read(now) {
                Ok(ticket) => {
                    self.ticket = ticket;
                    None
                }
                Err(e) => Some(rejected(&e)),
            },
            ReadOutcome::Failed(e) => Some(rejected(e)),
        }
    }
}

struct PendingWrite {
    id: EntryId,
    /// When the request arrived, a Unix time in milliseconds.
    at_ms: u64,
    entry: Entry,
    /// When it was last proposed.
    proposed_at: Micros,
    /// Result of proposing it, `None` before the first time; stays `Ok` once a leader has accepted it.
    proposal: Option<Result<(), RequestError>>,
}

impl PendingWrite {
    fn is_accepted(&self) -> bool {
        matches!(self.proposal, Some(Ok(())))
    }

    /// Proposes the write if that is due. One that was lost on the network or with a leader is proposed again
    /// under the same id, so it is applied only once.
    fn propose_if_due(&mut self, now: Micros, replica: &mut Replica) {
        let accepted = self.is_accepted();
        let interval = if accepted { ACCEPTED_PROPOSE_INTERVAL } else { PROPOSE_INTERVAL };
        if self.proposal.is_some() && now < self.proposed_at + interval {
            return;
        }
        let result = replica.propose(now, self.id, self.at_ms, &self.entry);
        self.proposal = Some(if accepted { Ok(()) } else { result });
        self.proposed_at = now;
    }

    /// The response to a write that has timed out.
    fn timeout_response(&self) -> StoreResponse {
        match &self.proposal {
            // It may still be applied, so the response must not say that it was rejected.
            Some(Ok(())) => rejected(&RequestError::TimedOut),
            Some(Err(e)) => rejected(e),
            None => rejected(&RequestError::NoLeader),
        }
    }
}

/// Pending requests, and responses that are ready.
#[derive(Default)]
pub(super) struct RequestQueue {
    pending: Vec<PendingRequest>,
    responses: Vec<(RequestSource, StoreResponse)>,
}

impl RequestQueue {
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Rejects a request that came while there is no replica.
    pub(super) fn reject_without_replica(&mut self, source: RequestSource, reason: &str) {
        let text = format!("this server has no part in the record: {reason}");
        self.responses.push((source, StoreResponse::Rejected(text)));
    }

    /// Answers a request at once, or queues it until its read or write is done.
    pub(super) fn handle_request(
        &mut self,
        now: Micros,
        at_ms: u64,
        source: RequestSource,
        request: StoreRequest,
        replica: &mut Replica,
    ) {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return self.responses.push((source, rejected(&RequestError::Busy)));
        }
        match begin_request(now, at_ms, request, replica) {
            Disposition::Answered(response) => self.responses.push((source, response)),
            Disposition::Pending(kind) => {
                let deadline = now + REQUEST_TIMEOUT;
                self.pending.push(PendingRequest { source, kind, deadline });
            }
        }
    }

    /// Answers requests whose read or write is done or has timed out, and proposes the other writes again
    /// when due.
    pub(super) fn answer_pending(&mut self, now: Micros, replica: Option<&mut Replica>) {
        let Some(replica) = replica else {
            let pending = self.pending.drain(..);
            self.responses.extend(pending.map(|request| (request.source, rejected(&RequestError::Outside))));
            return;
        };
        let finished_reads = replica.take_finished_reads();
        let responses = &mut self.responses;
        self.pending.retain_mut(|request| {
            let timed_out = now >= request.deadline;
            let response = match &mut request.kind {
                PendingKind::Read(read) => match read.poll(now, &finished_reads, replica) {
                    None if timed_out => Some(rejected(&RequestError::TimedOut)),
                    response => response,
                },
                PendingKind::Write(write) => match replica.outcome(write.id) {
                    Some(outcome) => Some(StoreResponse::WriteOutcome(outcome)),
                    None if timed_out => Some(write.timeout_response()),
                    None => {
                        write.propose_if_due(now, replica);
                        None
                    }
                },
            };
            let Some(response) = response else { return true };
            responses.push((request.source, response));
            false
        });
    }

    pub(super) fn take_responses(&mut self) -> Vec<(RequestSource, StoreResponse)> {
        std::mem::take(&mut self.responses)
    }
}

/// How a request is handled.
enum Disposition {
    Answered(StoreResponse),
    /// It has to wait for other members.
    Pending(PendingKind),
}

/// Answers a request, or starts its read or write.
fn begin_request(now: Micros, at_ms: u64, request: StoreRequest, replica: &mut Replica) -> Disposition {
    let response = match request {
        StoreRequest::Status => StoreResponse::Status(Box::new(replica.status(now))),
        StoreRequest::History(max_lines) => {
            let newest_first = replica.state().history().rev();
            StoreResponse::History(newest_first.take(max_lines as usize).cloned().collect())
        }
        StoreRequest::SetVoter(name, votes) => accepted(replica.set_voter(now, &name, votes)),
        StoreRequest::Adopt => accepted(replica.adopt(now, at_ms)),
        StoreRequest::ReadDocument { name, latest: false, from } => read_document(replica, now, &name, from),
        StoreRequest::ReadDocument { name, latest: true, from } => match replica.request_read(now) {
            Ok(ticket) => {
                let read = PendingRead { ticket, name, offset: from };
                return Disposition::Pending(PendingKind::Read(read));
            }
            Err(e) => rejected(&e),
        },
        StoreRequest::Write { id, entry } => {
            let write = PendingWrite { id, at_ms, entry, proposed_at: 0, proposal: None };
            return Disposition::Pending(PendingKind::Write(write));
        }
        StoreRequest::Export(from) => match replica.export().map(|export| export.to_bytes()) {
            Some(bytes) => StoreResponse::ExportPart(part_from(&bytes, from), bytes.len() as u64),
            None => rejected(&RequestError::Outside),
        },
    };
    Disposition::Answered(response)
}

fn accepted<T>(result: Result<T, RequestError>) -> StoreResponse {
    match result {
        Ok(_) => StoreResponse::Accepted,
        Err(e) => rejected(&e),
    }
}

fn rejected(error: &RequestError) -> StoreResponse {
    StoreResponse::Rejected(error.to_string())
}

/// At most [`MAX_PART_BYTES`] of `bytes`, starting at `offset`.
fn part_from(bytes: &[u8], offset: u64) -> Vec<u8> {
    let start = (offset as usize).min(bytes.len());
    let end = bytes.len().min(start + MAX_PART_BYTES);
    bytes[start..end].to_vec()
}

/// The part of a document that starts at `offset`, or the names of existing documents if there is none
/// of this name.
fn read_document(replica: &Replica, now: Micros, name: &str, offset: u64) -> StoreResponse {
    let Some(document) = replica.state().get(name) else {
        let names = replica.state().documents().map(|(name, _)| name.clone());
        return StoreResponse::UnknownDocument(names.take(MAX_LISTED_DOCUMENTS).collect());
    };
    let bytes = document.bytes.as_deref().unwrap_or_default();
    StoreResponse::Document {
        version: document.version,
        index: document.index,
        by: document.author.clone(),
        length: bytes.len() as u64,
        part: part_from(bytes, offset),
        age_ms: replica.status(now).leader_heard_ms,
    }
}
