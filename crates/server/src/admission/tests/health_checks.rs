//! Tests of answers to health checks.

use super::*;
use crate::admission::health_checks::HEALTH_CHECK_TIMEOUT;
use crate::messages::caller::HealthCheck;

/// Sends a deep health check, which is passed on to the agent; returns its tag.
fn start_deep_check(fixture: &mut Fixture) -> u64 {
    let reply_to = fixture.reply_to();
    fixture.send(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
    let [AgentCommand::RunHealthCheck(tag)] = fixture.take_agent_commands()[..] else {
        panic!("expected one deep health check")
    };
    tag
}

#[test]
fn deep_health_check_ends_on_agent_answer_timeout_or_link_loss() {
    let mut fixture = fixture(Preemption::Pause);
    let tag = start_deep_check(&mut fixture);
    fixture.send(AdmissionMessage::HealthCheckEnded { tag, healthy: true });
    start_deep_check(&mut fixture);
    fixture.actor.handle_timeout(NOW + HEALTH_CHECK_TIMEOUT);
    start_deep_check(&mut fixture);
    fixture.send(AdmissionMessage::AgentLinkLost);
    let responses = [(1, Response::Health(true)), (2, Response::Health(false)), (3, Response::Health(false))];
    assert_eq!(fixture.take_responses(), responses);
}
