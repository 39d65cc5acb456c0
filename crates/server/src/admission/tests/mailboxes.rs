//! Messages to the registration, the listener and the connections.

use super::*;
use crate::messages::caller::HealthCheck;

#[test]
fn readiness_never_displaces_the_registrations_new_address() {
    let mut bench = bench(Preemption::Pause);
    let address = RegistrationCommand::SetAddress(([127, 0, 0, 1], 9).into());
    bench.actor.mailboxes.registration.try_send(address).expect("room");
    for ready in [true, false, true, false, true, false] {
        bench.execute(Action::SetReady(ready));
    }
    let commands = received(&bench.registration);
    assert!(
        commands.contains(&address) && commands.contains(&RegistrationCommand::SetAccepting(false)),
        "{commands:?}"
    );
}

#[test]
fn readiness_and_the_idle_timeout_reach_the_registration_the_listener_and_health_checks() {
    let mut bench = bench(Preemption::Pause);
    bench.execute(Action::SetReady(false));
    bench.execute(Action::SetReady(true));
    bench.execute(Action::SetReady(false));
    // In order, as the newest counts.
    assert_eq!(bench.accepting(), [false, true, false]);
    bench.execute(Action::CloseIdle(70));
    assert!(matches!(received(&bench.listener).as_slice(), [ListenerCommand::CloseIdle(70)]));
    let reply_to = bench.reply_to();
    let serial = reply_to.serial();
    bench.send(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
    assert_eq!(bench.responses(), [(serial, Response::Health(false))]);
}

#[test]
fn the_load_hint_is_there_for_all_connections() {
    let mut bench = bench(Preemption::Pause);
    let load_hint = bench.actor.mailboxes.load_hint.clone();
    assert_eq!(load_hint.get(), None);
    bench.execute(Action::SetLoadHint(0.25));
    assert_eq!(load_hint.get(), Some(0.25));
}
