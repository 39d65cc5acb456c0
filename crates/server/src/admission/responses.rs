//! Final responses, and the removal of requests that have ended.

use slog::error;
use umberloom::interface::{Event, Micros, Outcome, RequestId};

use super::AdmissionActor;
use crate::memory::request_table::RunState;
use crate::messages::caller::Response;

impl AdmissionActor {
    /// Sends the final response to a request, unless one was sent already.
    pub(super) fn respond(&mut self, id: &str, response: Response) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(reply_to) = request.reply_to.take() {
            reply_to.respond(response);
        }
    }

    /// Responds to a request and cancels its downstream call. A run in progress is left to end by itself.
    pub(super) fn finish(&mut self, id: &RequestId, response: Response) {
        self.respond(id, response);
        self.cancel_pending_call(id);
        self.remove_if_ended(id);
    }

    /// Responds with a result to a request and to the duplicates that wait for it.
    pub(super) fn respond_with_result(&mut self, id: &RequestId, result: Vec<u8>) {
        if let Some(dedup_key) = self.requests.get_mut(id).and_then(|request| request.dedup_key()) {
            self.idempotency_cache.borrow_mut().store_result(&dedup_key, id, &result);
        }
        for duplicate in self.requests.awaiting(id) {
            self.end_duplicate(&duplicate, Some(&result));
        }
        self.respond(id, Response::Served(result));
    }

    /// Answers a duplicate with the result of its original, or makes it wait for that result.
    pub(super) fn await_original(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(original) = request.duplicate_of.clone() else { return };
        let dedup_key = request.dedup_key();
        self.requests.await_original(id);
        let cache = self.idempotency_cache.borrow();
        let result = dedup_key.and_then(|key| cache.result(&key, &original)).map(<[u8]>::to_vec);
        drop(cache);
        if result.is_some() || !self.requests.contains(&original) {
            self.end_duplicate(id, result.as_deref());
        }
    }

    /// Ends a duplicate with the result of its original; `None` means that there will be no result.
    fn end_duplicate(&mut self, id: &RequestId, result: Option<&[u8]>) {
        let (response, outcome) = match result {
            Some(result) => (Response::Served(result.to_vec()), Outcome::Ok),
            None => (Response::Failed, Outcome::Error),
        };
        self.respond(id, response);
        self.deferred_events.push_back(Event::RunEnded(id.clone(), outcome, 0));
        self.remove_if_ended(id);
    }

    /// Removes a request if it is answered and not running. Duplicates that still wait for its result fail.
    pub(super) fn remove_if_ended(&mut self, id: &str) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_running = request.run == RunState::Running;
        if request.reply_to.is_some() || (is_running && !request.launch_uncertain) {
            return;
        }
        if is_running {
            let ended = Event::RunEnded(request.id.clone(), Outcome::Aborted, 0);
            self.deferred_events.push_back(ended);
        }
        if !request.has_run {
            // A request that never ran must not prevent another attempt from running.
            self.release_key(id);
        }
        self.requests.remove(id);
        for duplicate in self.requests.awaiting(id) {
            self.end_duplicate(&duplicate, None);
        }
    }

    /// Fails requests that are past their deadline by half the answer slack, by which time the controller
    /// should have answered them. It may have lost track of a request, for example after a run that was
    /// stopped from outside.
    pub(super) fn fail_overdue(&mut self, now: Micros) {
        let slack = self.settings.answer_slack / 2;
        for id in self.requests.overdue(now.saturating_sub(slack)) {
            error!(self.log, "overdue request failed"; "request" => &*id);
            self.finish(&id, Response::Failed);
            self.deferred_events.push_back(Event::Cancelled(id));
        }
    }
}
