//! Execution of the admission controller's actions.

use slog::debug;
use umberloom::interface::{Action, Event, Idempotency, Micros, Outcome, RequestId};

use super::AdmissionActor;
use crate::memory::request_table::RunState;
use crate::messages::agent::AgentCommand;
use crate::messages::caller::Response;

impl AdmissionActor {
    pub(super) fn execute(&mut self, now: Micros, action: Action) {
        match action {
            Action::Admit(id) => self.admit(&id),
            Action::Preempt(id) => self.preempt(&id),
            Action::Reject { id, retry_after, terminal } => self.reject(&id, retry_after, terminal),
            Action::Fail(id) => self.finish(&id, Response::Failed),
            Action::Call(id, deadline) => self.start_call(now, &id, deadline),
            Action::SkipCall(id) => self.skip_call(&id),
            Action::RetainKey(id, duration) => self.retain_key(now, &id, now + duration),
            Action::ReleaseKey(id) => self.release_key(&id),
            Action::AwaitDuplicate(id) => self.await_original(&id),
            Action::SetReady(ready) => {
                self.ready = Some(ready);
                self.set_accepting(ready);
            }
            Action::SetLoadHint(value) => self.mailboxes.load_hint.set(Some(value)),
            Action::CloseIdle(timeout) => {
                self.unsent_idle_timeout = Some(timeout);
                self.send_idle_timeout();
            }
            Action::WakeAfter(duration) => self.wake_at = Some(now + duration),
            Action::Log(text) => debug!(self.log, "admission controller"; "message" => text),
        }
    }

    /// Starts a request's run, or resumes a paused one.
    fn admit(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.reply_to.is_none() && request.run != RunState::Running {
            self.deferred_events.push_back(Event::RunEnded(id.clone(), Outcome::NotStarted, 0));
            return;
        }
        let command = match request.run {
            RunState::Running => return,
            RunState::Paused => AgentCommand::Resume(id.clone()),
            RunState::NotRunning => AgentCommand::Launch {
                id: id.clone(),
                class: request.work.class.clone(),
                body: request.body.clone(),
                repeatable: self
                    .settings
                    .classes
                    .get(request.class)
                    .is_some_and(|class| class.idempotency == Idempotency::Idempotent),
            },
        };
        let (previous_run, had_run) = (request.run, request.has_run);
        request.run = RunState::Running;
        request.has_run = true;
        if !self.send_to_agent(command) {
            self.undo_admit(id, previous_run, had_run);
        }
    }

    /// Restores the request's state after the command to run it was not sent, as the agent's mailbox is full.
    /// A request without a run fails at once, instead of waiting until it is overdue.
    fn undo_admit(&mut self, id: &RequestId, previous_run: RunState, had_run: bool) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.run = previous_run;
        request.has_run = had_run;
        if previous_run == RunState::NotRunning {
            self.respond(id, Response::Failed);
            self.deferred_events.push_back(Event::RunEnded(id.clone(), Outcome::NotStarted, 0));
            self.remove_if_ended(id);
        }
    }

    /// Tells the agent to stop a request's run. The run counts as running until the agent reports its end.
    fn preempt(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.run != RunState::Running {
            return;
        }
        request.preempting = true;
        self.send_to_agent(AgentCommand::Pause(id.clone()));
    }

    fn reject(&mut self, id: &RequestId, retry_after: Micros, terminal: bool) {
        // A request that has run may have taken effect, while a rejection states that it never ran.
        let has_run = self.requests.get_mut(id).is_some_and(|request| request.has_run);
        let rejected = Response::Rejected { retry_after, terminal };
        self.finish(id, if has_run { Response::Failed } else { rejected });
    }
}
