//! Events from the agent: its start, ends of runs, rejected commands, gauge samples.

use umberloom::interface::{Event, Gauges, Micros, Outcome, Preemption, RequestId};
use umberloom::AdmissionController;

use super::AdmissionActor;
use crate::memory::request_table::RunState;
use crate::messages::agent::AgentCommand;
use crate::messages::caller::Response;
use crate::messages::RunOutcome;

/// How long a timer event waits for the agent's gauges.
pub(super) const GAUGE_TIMEOUT: Micros = 10_000;

/// A gauge sample that the agent has not answered yet.
pub(super) struct PendingGaugeSample {
    /// Tag of the command.
    tag: u64,
    /// When the timer event is sent without gauges.
    pub(super) deadline: Micros,
}

impl AdmissionActor {
    /// Creates the controller. Its uptime is that of the agent and not that of this process.
    pub(super) fn handle_agent_up(&mut self, now: Micros, uptime: Micros) {
        if self.controller.is_some() {
            return;
        }
        // The settings were validated when they were read.
        let started_at = now.saturating_sub(uptime);
        self.controller = AdmissionController::new(started_at, self.settings.clone()).ok();
        // The controller may have actions to take before the first request arrives.
        self.events = vec![Event::Timer(Gauges::default())];
        // A drain notice that was received before the agent was up keeps its receipt time.
        self.events.extend(self.drain_notice.as_ref().map(|notice| notice.event(now)));
        // Sent once, to a mailbox with room for one message, so this fails only when the process is ending.
        let _ = self.mailboxes.agent_up.try_send(());
        let is_draining = self.drain_notice.is_some();
        self.set_accepting(self.ready.unwrap_or(!is_draining));
    }

    /// Handles a launch that the agent may never have read and that must not be repeated. If the run is in
    /// progress, its result arrives as usual. Once the request is answered, the run counts as ended, as the
    /// agent may never report its end.
    pub(super) fn handle_uncertain_launch(&mut self, id: &str) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.launch_uncertain = true;
        self.remove_if_ended(id);
    }

    /// Handles the end of a run.
    pub(super) fn handle_run_end(&mut self, id: &str, run_outcome: RunOutcome, duration: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let id = request.id.clone();
        let was_preempting = request.preempting;
        let outcome = match run_outcome {
            RunOutcome::Success(result) => {
                self.learn_local_work(&id);
                self.respond_with_result(&id, result);
                Outcome::Ok
            }
            RunOutcome::Failed => Outcome::Error,
            RunOutcome::Aborted => Outcome::Aborted,
            RunOutcome::NotStarted => Outcome::NotStarted,
        };
        self.cancel_pending_call(&id);
        self.update_run_state(&id, outcome == Outcome::Aborted && was_preempting);
        self.events.push(Event::RunEnded(id.clone(), outcome, duration));
        self.remove_if_ended(&id);
    }

    /// Updates a request's state after its run has ended.
    fn update_run_state(&mut self, id: &RequestId, was_aborted_by_preemption: bool) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.preempting = false;
        request.launch_uncertain = false;
        // The controller decides on an unanswered request whose run was preempted.
        let is_preempted = was_aborted_by_preemption && request.reply_to.is_some();
        let is_paused = is_preempted && self.settings.preemption == Preemption::Pause;
        request.run = if is_paused { RunState::Paused } else { RunState::NotRunning };
        if !is_preempted {
            // A run that failed, or was aborted by anything other than preemption, has not been answered yet.
            self.respond(id, Response::Failed);
        }
    }

    /// Records how long the run went on after its last downstream call.
    fn learn_local_work(&mut self, id: &RequestId) {
        let Some(calls) = &mut self.dependency_calls else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        if let Some(last_reply_at) = request.last_reply_at {
            let duration = self.clock.now().saturating_sub(last_reply_at);
            calls.learn_local_work(&request.work.class, duration);
        }
    }

    /// Handles a command that the agent rejected. A rejected `launch` started no run, as the agent does not
    /// know the request; it does not count as a failed run, as it says nothing about the success of runs on
    /// this server. Other commands may be rejected because a new link repeated them after they had been
    /// executed: the run goes on until it ends by itself or is overdue.
    pub(super) fn handle_rejected_command(&mut self, command: &str, id: &str) {
        if command != "launch" {
            return;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.has_run = false;
        }
        self.end_without_report(id, Outcome::NotStarted);
    }

    /// Handles an invalid notice about a request's run. The agent will send no further notice about that run.
    pub(super) fn handle_invalid_notice(&mut self, id: &str) {
        self.end_without_report(id, Outcome::Error);
    }

    /// Ends a request about whose run the agent will send no further notice.
    fn end_without_report(&mut self, id: &str, outcome: Outcome) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let id = request.id.clone();
        request.run = RunState::NotRunning;
        self.cancel_pending_call(&id);
        self.respond(&id, Response::Failed);
        self.events.push(Event::RunEnded(id.clone(), outcome, 0));
        self.remove_if_ended(&id);
    }

    /// Asks the agent for the gauges of the next timer event.
    pub(super) fn sample_gauges(&mut self, now: Micros) {
        let tag = self.next_tag();
        self.gauge_sample = Some(PendingGaugeSample { tag, deadline: now + GAUGE_TIMEOUT });
        self.send_to_agent(AgentCommand::SampleGauges(tag));
    }

    /// Handles the agent's answer to a gauge sample.
    pub(super) fn handle_gauges(&mut self, tag: u64, values: Vec<f64>) {
        if self.gauge_sample.as_ref().is_none_or(|sample| sample.tag != tag) {
            return;
        }
        self.gauge_sample = None;
        let gauges = self.gauge_names.gauges(values);
        self.report_load(&gauges);
        self.events.push(Event::Timer(gauges));
    }

    /// Sends the timer event without gauges if the agent has not answered in time.
    pub(super) fn expire_gauge_sample(&mut self, now: Micros) {
        if self.gauge_sample.as_ref().is_some_and(|sample| now >= sample.deadline) {
            self.gauge_sample = None;
            self.events.push(Event::Timer(Gauges::default()));
        }
    }
}
