//! Messages to the other actors. This actor never waits for room in a mailbox: a message that finds it full
//! is dropped or sent again, as stated for each kind of message.

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
    /// Mailbox of the link to the agent.
    pub agent: Sender<AgentActorMessage>,
    /// Mailbox of the client of the platform's records service.
    pub records: Sender<DependencyCommand>,
    /// Mailbox of the registration with the announce service.
    pub registration: Sender<RegistrationCommand>,
    /// Mailbox of the listener.
    pub listener: Sender<ListenerCommand>,
    /// Receives one message when the agent is up.
    pub agent_up: Sender<()>,
    /// The load hint that all connections read.
    pub load_hint: LoadHint,
    /// Mailbox of the fleet's actor, if this server is a member of a fleet.
    pub fleet: Option<Sender<FleetCommand>>,
}

impl AdmissionActor {
    /// Sends a command to the agent; `false` if its mailbox is full. That is not expected, as the mailbox has
    /// room for far more commands than the requests in flight can need.
    pub(super) fn send_to_agent(&mut self, command: AgentCommand) -> bool {
        let is_sent = self.mailboxes.agent.try_send(AgentActorMessage::Command(command)).is_ok();
        if !is_sent {
            self.warn_full_mailbox("agent");
        }
        is_sent
    }

    /// Sends the latest idle timeout to the listener. If the mailbox is full, it is sent again at the next
    /// timer event.
    pub(super) fn send_idle_timeout(&mut self) {
        let Some(timeout) = self.unsent_idle_timeout.take() else { return };
        if self.mailboxes.listener.try_send(ListenerCommand::CloseIdle(timeout)).is_err() {
            self.unsent_idle_timeout = Some(timeout);
            self.warn_full_mailbox("listener");
        }
    }

    /// Tells the registration whether this server accepts work. As only the latest state matters, the message
    /// replaces the oldest one in a full mailbox, unless that is a change of address.
    pub(super) fn set_accepting(&mut self, accepting: bool) {
        let registration = &self.mailboxes.registration;
        let displaced = registration.force_send(RegistrationCommand::SetAccepting(accepting));
        if let Ok(Some(address_command @ RegistrationCommand::SetAddress(_))) = displaced {
            // Displaces at most an older `SetAccepting`; fails only when the process is ending.
            let _ = registration.force_send(address_command);
        }
    }

    /// Reports this server's load, which is its CPU use in percent, to the other servers of the fleet.
    pub(super) fn report_load(&self, gauges: &Gauges) {
        let (Some(fleet), Some(cpu)) = (&self.mailboxes.fleet, gauges.cpu) else { return };
        let percent = (cpu.clamp(0.0, 1.0) * 100.0) as u8;
        // A report dropped because the mailbox is full is superseded by that of the next gauge sample.
        let _ = fleet.try_send(FleetCommand::SetLoad(percent));
    }

    fn warn_full_mailbox(&mut self, mailbox: &'static str) {
        if let Some(suppressed) = self.full_mailbox_throttle.record(Instant::now()) {
            warn!(self.log, "mailbox full"; "mailbox" => mailbox, "suppressed" => suppressed);
        }
    }
}
