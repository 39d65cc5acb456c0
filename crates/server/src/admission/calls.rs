//! Downstream calls of runs. Runs of a class with a call plan make the calls of the plan, all others make one
//! call to the platform's records service. The controller sees one call in both cases.

use std::rc::Rc;

use umberloom::interface::{Event, Micros, Outcome, RequestId};

use super::AdmissionActor;
use crate::dependency_calls::{DependencyCalls, FinishedPlan};
use crate::memory::request_table::PendingCall;
use crate::messages::agent::AgentCommand;
use crate::messages::calls::{Call, CallId, DependencyCommand};

impl AdmissionActor {
    /// Handles the agent's notice that a run waits for a downstream call.
    pub(super) fn handle_needs_call(&mut self, id: &str, notice_seq: u64, body: Vec<u8>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.launch_uncertain = false;
        request.call = Some(PendingCall { notice_seq, body, in_flight: false });
        self.events.push(Event::NeedsCall(request.id.clone()));
    }

    /// Starts the downstream call, or the call plan, that a run waits for.
    pub(super) fn start_call(&mut self, now: Micros, id: &RequestId, deadline: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(call) = request.call.as_mut() else { return };
        call.in_flight = true;
        let body = Rc::from(call.body.as_slice());
        if let Some(calls) =
            self.dependency_calls.as_mut().filter(|calls| calls.has_plan(&request.work.class))
        {
            calls.start_plan(now, request, body, deadline, self.settings.classes.len());
            request.had_call_plan = true;
            return self.take_finished_plans();
        }
        let call_id = CallId::without_plan(id.clone());
        let command = DependencyCommand::Call(Call { id: call_id, address: None, body, deadline });
        if self.mailboxes.records.try_send(command).is_err() {
            call.in_flight = false;
            self.deferred_events.push_back(Event::CallEnded(id.clone(), Outcome::Unreachable, 0));
        }
    }

    /// Handles the end of a call without a call plan, or of an attempt in a call plan.
    pub(super) fn handle_call_end(
        &mut self,
        now: Micros,
        id: CallId,
        outcome: Outcome,
        duration: Micros,
        body: Vec<u8>,
    ) {
        if id.is_without_plan() {
            return self.deliver_reply(id.request, outcome, duration, body);
        }
        if let Some(calls) = &mut self.dependency_calls {
            calls.handle_attempt_end(now, &id, outcome, body);
            self.take_finished_plans();
        }
    }

    /// Delivers the replies of call plans that have ended. To the controller a call plan is one call.
    pub(super) fn take_finished_plans(&mut self) {
        let finished = self.dependency_calls.as_mut().map(DependencyCalls::take_finished);
        for FinishedPlan { id, outcome, duration, reply } in finished.unwrap_or_default() {
            self.deliver_reply(id, outcome, duration, reply);
        }
    }

    /// Delivers the reply of a successful call to its run, and adds the call's end to the controller's
    /// events.
    fn deliver_reply(&mut self, id: RequestId, outcome: Outcome, duration: Micros, body: Vec<u8>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(call) = request.call.as_mut().filter(|call| call.in_flight) else { return };
        call.in_flight = false;
        if outcome == Outcome::Ok {
            request.call = None;
            request.last_reply_at = Some(self.clock.now());
            self.send_to_agent(AgentCommand::DeliverReply { id: id.clone(), body });
        }
        self.events.push(Event::CallEnded(id, outcome, duration));
    }

    /// Lets a run continue without the downstream call that it waits for.
    pub(super) fn skip_call(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(call) = request.call.take() else { return };
        if call.in_flight {
            self.cancel_call(id);
        }
        self.send_to_agent(AgentCommand::SkipCall { id: id.clone(), notice_seq: call.notice_seq });
    }

    /// Cancels the downstream call of a request that has ended.
    pub(super) fn cancel_pending_call(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.call.take().is_some_and(|call| call.in_flight) {
            self.cancel_call(id);
        }
    }

    fn cancel_call(&mut self, id: &RequestId) {
        let now = self.clock.now();
        if self.dependency_calls.as_mut().is_some_and(|calls| calls.cancel_plan(now, id)) {
            return self.take_finished_plans();
        }
        // If the mailbox is full, the call ends at its deadline and its end is ignored.
        let cancel = DependencyCommand::Cancel(CallId::without_plan(id.clone()));
        let _ = self.mailboxes.records.try_send(cancel);
    }
}
