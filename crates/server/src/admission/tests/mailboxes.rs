//! Tests of messages to the registration, the listener and the connections.

use super::*;
use crate::messages::caller::HealthCheck;

#[test]
fn readiness_messages_do_not_displace_a_new_registration_address() {
    let mut fixture = fixture(Preemption::Pause);
    let address = RegistrationCommand::SetAddress(([127, 0, 0, 1], 9).into());
    fixture.actor.mailboxes.registration.try_send(address).expect("room in the mailbox");
    for ready in [true, false, true, false, true, false] {
        fixture.execute(Action::SetReady(ready));
    }
    let commands = receive_all(&fixture.registration);
    assert!(
        commands.contains(&address) && commands.contains(&RegistrationCommand::SetAccepting(false)),
        "{commands:?}"
    );
}

#[test]
fn readiness_and_idle_timeout_reach_registration_listener_and_health_checks() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.execute(Action::SetReady(false));
    fixture.execute(Action::SetReady(true));
    fixture.execute(Action::SetReady(false));
    // The order matters, as the registration uses the latest state.
    assert_eq!(fixture.take_accepting(), [false, true, false]);
    fixture.execute(Action::CloseIdle(70));
    assert!(matches!(receive_all(&fixture.listener).as_slice(), [ListenerCommand::CloseIdle(70)]));
    let reply_to = fixture.reply_to();
    let serial = reply_to.serial();
    fixture.send(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
    assert_eq!(fixture.take_responses(), [(serial, Response::Health(false))]);
}

#[test]
fn load_hint_is_visible_to_connections() {
    let mut fixture = fixture(Preemption::Pause);
    let load_hint = fixture.actor.mailboxes.load_hint.clone();
    assert_eq!(load_hint.get(), None);
    fixture.execute(Action::SetLoadHint(0.25));
    assert_eq!(load_hint.get(), Some(0.25));
}
