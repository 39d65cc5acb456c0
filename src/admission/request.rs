//! The requests that are in flight here.

use super::*;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum Stage {
    #[default]
    Queued,
    Running,
    AwaitingDuplicate,
    AwaitingCall,
    Calling,
}

#[derive(Default)]
pub struct Request {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    pub priority_weight: f64,
    pub queued_kb: f64,
    pub cost: Option<f64>,
    pub stage: Stage,
    pub abandoned: bool,     // answered, or nobody waits: only its work is still here
    pub received_at: Micros, // by the machine
    pub deadline: Micros,
    pub objective_end: Micros, // after this an answer earns less
    pub is_late: bool,         // but still something, until the deadline
    pub was_considered: bool,  // by shedding, and let stay
    pub started_at: Micros,
    pub call_attempts: u32,
    pub call_not_before: Micros,
    pub call_may_have_run: bool,
}

impl Request {
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
    pub idempotency_keys: BTreeMap<RequestId, Micros>, // that are retained, and when they expire
    pub wait_queue: Vec<u64>,                          // in arrival order
}

impl RequestTable {
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

    pub fn in_stage_mut(&mut self, id: &RequestId, stage: Stage) -> Option<&mut Request> {
        let sequence = self.sequence_of.get(id)?;
        self.by_sequence.get_mut(sequence).filter(|request| request.stage == stage)
    }

    pub fn count(&self, stage: Stage) -> usize {
        self.by_sequence.values().filter(|request| request.stage == stage).count()
    }
}
