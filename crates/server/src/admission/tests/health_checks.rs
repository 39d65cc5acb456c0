//! Answers to health checks.

use super::*;
use crate::admission::health_checks::HEALTH_CHECK_TIMEOUT;
use crate::messages::caller::HealthCheck;

/// A deep health check arrives and is passed on to the agent; gives its tag.
fn deep_check(bench: &mut Bench) -> u64 {
    let reply_to = bench.reply_to();
    bench.send(AdmissionMessage::HealthCheck(HealthCheck { is_deep: true, reply_to }));
    let [AgentCommand::RunHealthCheck(tag)] = bench.commands()[..] else { panic!("a health check") };
    tag
}

#[test]
fn a_deep_check_ends_with_its_work_its_deadline_or_the_agents_link() {
    let mut bench = bench(Preemption::Pause);
    let tag = deep_check(&mut bench);
    bench.send(AdmissionMessage::HealthCheckEnded { tag, healthy: true });
    deep_check(&mut bench);
    bench.actor.handle_timeout(NOW + HEALTH_CHECK_TIMEOUT);
    deep_check(&mut bench);
    bench.send(AdmissionMessage::AgentLinkLost);
    let responses = [(1, Response::Health(true)), (2, Response::Health(false)), (3, Response::Health(false))];
    assert_eq!(bench.responses(), responses);
}
