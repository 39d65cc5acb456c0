//! Messages to the other actors. This actor never waits for another: what finds no room is lost or sent again, as stated
//! at each kind of message.

use std::time::Instant;

use async_channel::Sender;
use slog::warn;
use umberloom::interface::Gauges;

use super::AdmissionActor;
use crate::messages::agent::{AgentActorMessage, AgentCommand};
use crate::messages::caller::LoadHint;
use crate::messages::calls::DependencyCommand;
use crate::messages::fleet::FleetCommand;
use crate::messages::listener::ListenerCommand;
use crate::messages::registration::RegistrationCommand;

/// The mailboxes of the other actors.
pub struct Mailboxes {
    /// The link to the agent.
    pub agent: Sender<AgentActorMessage>,
    /// The platform's records service.
    pub records: Sender<DependencyCommand>,
    /// The registration in the endpoint list.
    pub registration: Sender<RegistrationCommand>,
    /// The listener.
    pub listener: Sender<ListenerCommand>,
    /// Gets one message, when the agent is up.
    pub agent_up: Sender<()>,
    /// The load hint, which all connections read.
    pub load_hint: LoadHint,
    /// The fleet, if this server is in one.
    pub fleet: Option<Sender<FleetCommand>>,
}

impl AdmissionActor {
    /// Sends a command to the agent; `false` if its mailbox is full. That takes far more commands than the requests in
    /// flight can need.
    pub(super) fn send_to_agent(&mut self, command: AgentCommand) -> bool {
        let is_sent = self.mailboxes.agent.try_send(AgentActorMessage::Command(command)).is_ok();
        if !is_sent {
            self.warn_full_mailbox("agent");
        }
        is_sent
    }

    /// Sends the newest idle timeout to the listener. One that finds no room is sent again with the next timer event.
    pub(super) fn send_idle_timeout(&mut self) {
        let Some(timeout) = self.unsent_idle_timeout.take() else { return };
        if self.mailboxes.listener.try_send(ListenerCommand::CloseIdle(timeout)).is_err() {
            self.unsent_idle_timeout = Some(timeout);
            self.warn_full_mailbox("listener");
        }
    }

    /// Tells the registration whether this server takes work. The newest message counts, so it takes the place of the
    /// oldest one in a full mailbox, but not that of an address.
    pub(super) fn set_accepting(&mut self, accepting: bool) {
        let registration = &self.mailboxes.registration;
        let displaced = registration.force_send(RegistrationCommand::SetAccepting(accepting));
        if let Ok(Some(address_command @ RegistrationCommand::SetAddress(_))) = displaced {
            // Displaces an older `SetAccepting` at most; fails only at the end of the program.
            let _ = registration.force_send(address_command);
        }
    }

    /// Tells the other servers how loaded this one is.
    pub(super) fn report_load(&self, gauges: &Gauges) {
        let (Some(fleet), Some(cpu)) = (&self.mailboxes.fleet, gauges.cpu) else { return };
        let percent = (cpu.clamp(0.0, 1.0) * 100.0) as u8;
        // One that finds no room is followed by the next sample's.
        let _ = fleet.try_send(FleetCommand::SetLoad(percent));
    }

    fn warn_full_mailbox(&mut self, mailbox: &'static str) {
        if let Some(suppressed) = self.full_mailbox_throttle.tell(Instant::now()) {
            warn!(self.log, "mailbox full"; "mailbox" => mailbox, "suppressed" => suppressed);
        }
    }
}
