//! The requests that are in flight at this server.

use super::*;

/// What a request in flight is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Stage {
    /// It is in the wait queue.
    #[default]
    Queued,
    Running,
    /// It waits for the answer of another request with the same idempotency key.
    AwaitingDuplicate,
    /// It needs a downstream call that is not being made now.
    AwaitingCall,
    /// It waits for a downstream call to end.
    Calling,
}

/// A request in flight.
#[derive(Default)]
pub struct Request {
    pub id: RequestId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings.
    pub tenant: usize,
    /// The priority weight that its rank selects among those of the classes.
    pub priority_weight: f64,
    /// Memory while queued, in kilobytes.
    pub queued_kb: f64,
    /// Stated cost, in microseconds.
    pub cost: Option<f64>,
    pub stage: Stage,
    /// It has been answered or nobody waits for it any more; only its work goes on.
    pub abandoned: bool,
    /// When it reached the machine.
    pub received_at: Micros,
    /// The time by which its answer is due.
    pub deadline: Micros,
    /// The end of its latency objective: a later answer earns less.
    pub objective_end: Micros,
    /// Its objective has passed, but an answer until the deadline still earns a share of the weight.
    pub is_late: bool,
    /// Shedding has considered it before and kept it.
    pub was_considered: bool,
    /// When its run started.
    pub started_at: Micros,
    /// Attempts of its current downstream call.
    pub call_attempts: u32,
    /// The earliest time of the next attempt.
    pub call_not_before: Micros,
    /// A failed attempt of a call may have taken effect.
    pub call_may_have_run: bool,
}

impl Request {
    /// Whether its run has not started.
    pub fn has_not_run(&self) -> bool {
        matches!(self.stage, Stage::Queued | Stage::AwaitingDuplicate)
    }
}

/// All requests by sequence number, which is their order of arrival.
#[derive(Default)]
pub struct RequestTable {
    pub next_sequence: u64,
    pub by_sequence: BTreeMap<u64, Request>,
    pub sequence_of: BTreeMap<RequestId, u64>,
    /// The requests whose idempotency keys are retained, with the times when these expire.
    pub idempotency_keys: BTreeMap<RequestId, Micros>,
    /// Sequence numbers of the queued requests, in arrival order.
    pub wait_queue: Vec<u64>,
}

impl RequestTable {
    /// Appends a request to the wait queue and returns its sequence number.
    pub fn enqueue(&mut self, request: Request) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.sequence_of.insert(request.id.clone(), sequence);
        self.by_sequence.insert(sequence, request);
        self.wait_queue.push(sequence);
        sequence
    }

    pub fn remove(&mut self, sequence: u64) -> Option<Request> {
        let request = self.by_sequence.remove(&sequence)?;
        self.sequence_of.remove(&request.id);
        self.wait_queue.retain(|&queued| queued != sequence);
        Some(request)
    }

    /// The request with this identifier, if it is in this stage.
    pub fn in_stage_mut(&mut self, id: &RequestId, stage: Stage) -> Option<&mut Request> {
        let sequence = self.sequence_of.get(id)?;
        self.by_sequence.get_mut(sequence).filter(|request| request.stage == stage)
    }

    /// Number of requests in this stage.
    pub fn count(&self, stage: Stage) -> usize {
        self.by_sequence.values().filter(|request| request.stage == stage).count()
    }
}
