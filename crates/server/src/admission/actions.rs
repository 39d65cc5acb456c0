//! Execution of the controller's actions.

use slog::debug;
use umberloom::interface::{Action, Event, Micros, Outcome, RequestId};

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

    /// Starts a request's run, or goes on with a paused one.
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
            },
        };
        let (previous_run, had_run) = (request.run, request.has_run);
        request.run = RunState::Running;
        request.has_run = true;
        if !self.send_to_agent(command) {
            self.undo_admit(id, previous_run, had_run);
        }
    }

    /// The command to run the request found no room in the agent's mailbox. A request that was not running fails at once
    /// and not when it is overdue.
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

    /// Stops a request's run, which counts as running until the agent says that it has ended.
    fn preempt(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        if request.run != RunState::Running {
            return;
        }
        request.preempting = true;
        self.send_to_agent(AgentCommand::Pause(id.clone()));
    }

    fn reject(&mut self, id: &RequestId, retry_after: Micros, terminal: bool) {
        // What has run may have taken effect, which a rejection would deny.
        let has_run = self.requests.get_mut(id).is_some_and(|request| request.has_run);
        let rejected = Response::Rejected { retry_after, terminal };
        self.finish(id, if has_run { Response::Failed } else { rejected });
    }
}
