//! Commands that the agent may not have read when its link ends.

mod common;

use std::time::{Duration, Instant};

use common::{classes_by_idempotency, eventually, request_of_class, Agent, Balancer, TestEnvironment};
use serde_json::{json, Value};

/// The classes of [`classes_by_idempotency`].
const CLASSES: [&str; 3] = ["search", "book", "room"];
/// Time in which the server applies a reload that it has logged.
const RELOAD_TIME: Duration = Duration::from_millis(20);
/// Pause before a new link after one that did not last.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// A link on which no message has come for this long has ended: samples are requested far more often.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// Sends a request of each class and waits until its run is launched. The agent answers no sample from now
/// on, so that no launch is acknowledged.
fn launch_unacknowledged(env: &mut TestEnvironment, balancer: &mut Balancer) {
    env.agent.wait_for_samples(2);
    env.agent.answers_samples = false;
    for (slot, class) in (1..).zip(CLASSES) {
        balancer.send(&request_of_class(slot, class, class));
        assert_eq!(env.agent.expect_command("launch").0, class);
    }
}

/// Moves the agent to a new address, and returns the end of its link at the old one once the server has handled
/// the reload.
fn move_agent(env: &mut TestEnvironment) -> Agent {
    let agent = Agent::start();
    let address = agent.address;
    env.reconfigure(|config| config["agent"] = json!(address));
    let old_agent = std::mem::replace(&mut env.agent, agent);
    eventually("the reload", || env.log().contains("configuration reloaded").then_some(()));
    std::thread::sleep(RELOAD_TIME);
    old_agent
}

/// The next command that is not about pausing a run.
fn next_command(agent: &mut Agent) -> Value {
    loop {
        let command = agent.next_command();
        if command["op"] != "freeze" {
            return command;
        }
    }
}

/// Ends the run of each class and asserts that each request is answered with its result, and that the next
/// command is the launch of a later request.
fn assert_runs_end_once(env: &mut TestEnvironment, balancer: &mut Balancer) {
    for (slot, class) in (1..).zip(CLASSES) {
        env.agent.send_outcome(class, "fine", class.as_bytes());
        let answer = balancer.answer();
        assert_eq!((answer.slot, answer.body.as_slice()), (slot, class.as_bytes()));
    }
    balancer.send(&request_of_class(4, "later", "search"));
    let command = next_command(&mut env.agent);
    assert_eq!((&command["op"], &command["id"]), (&json!("launch"), &json!("later")));
}

/// Guards against a second run when the agent's address changes: the runs end just after the agent has
/// answered the first sample at its new address.
#[test]
fn runs_that_end_while_the_agent_moves_are_not_launched_again() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    let mut balancer = env.balancer();
    launch_unacknowledged(&mut env, &mut balancer);
    let mut old_agent = move_agent(&mut env);
    old_agent.answers_samples = true;
    old_agent.process_until_quiet(QUIET_TIME);
    env.agent.send_initial_notice();
    env.agent.wait_for_samples(1);
    assert_runs_end_once(&mut env, &mut balancer);
}

/// Guards against a second run when a link breaks. A launch that may have been read is repeated only if its
/// class is idempotent; the others' runs are in progress, and their results are answered.
#[test]
fn launches_that_may_have_been_read_on_a_broken_link_are_repeated_only_if_idempotent() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    let mut balancer = env.balancer();
    launch_unacknowledged(&mut env, &mut balancer);
    env.agent.disconnect();
    env.agent.answers_samples = true;
    env.agent.send_initial_notice();
    let command = next_command(&mut env.agent);
    assert_eq!((&command["op"], &command["id"]), (&json!("launch"), &json!("search")));
    assert_runs_end_once(&mut env, &mut balancer);
}

/// Guards against a second run when the agent's address changes and the old one no longer answers.
#[test]
fn launches_that_an_unreachable_address_may_have_read_are_repeated_only_if_idempotent() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    let mut balancer = env.balancer();
    launch_unacknowledged(&mut env, &mut balancer);
    let _silent_agent = move_agent(&mut env);
    env.agent.send_initial_notice();
    let command = next_command(&mut env.agent);
    assert_eq!((&command["op"], &command["id"]), (&json!("launch"), &json!("search")));
    assert_runs_end_once(&mut env, &mut balancer);
}

/// Guards against a request without an answer, and against a second run of its duplicate: the agent has never
/// read the launch, which must not be repeated.
#[test]
fn a_keyed_request_whose_launch_was_lost_fails_at_its_deadline_and_its_duplicate_never_runs() {
    let mut env = TestEnvironment::start_registered(|config| {
        classes_by_idempotency(config);
        config["settings"]["family_info"]["passes_deadline"] = true.into();
    });
    let mut balancer = env.balancer();
    env.agent.wait_for_samples(2);
    env.agent.answers_samples = false;
    balancer.send(&request_of_class(1, "lost", "room").with("HTTP_BUDGET_MS", "1000"));
    assert_eq!(env.agent.expect_command("launch").0, "lost");
    env.agent.disconnect();
    env.agent.answers_samples = true;
    env.agent.send_initial_notice();
    env.agent.wait_for_samples(2);
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.status), (1, 500));
    balancer.send(&request_of_class(2, "again", "room").with("HTTP_ONCE_KEY", "lost"));
    let answer = balancer.answer();
    assert_eq!((answer.slot, answer.status), (2, 500));
    balancer.send(&request_of_class(3, "later", "room"));
    assert_eq!(next_command(&mut env.agent)["id"], "later");
    assert!(env.log().contains("launch may not have been read"), "{}", env.log());
}

/// Guards against a server that spends its share of the processor on new links: an agent that closes each link
/// right after its greeting gets the next one after a pause.
#[test]
fn links_that_end_right_after_the_greeting_are_made_anew_after_a_pause() {
    let mut env = TestEnvironment::start_registered(classes_by_idempotency);
    let started_at = Instant::now();
    let mut links = 0;
    while started_at.elapsed() < Duration::from_millis(500) {
        env.agent.disconnect();
        env.agent.send_initial_notice();
        links += 1;
    }
    let pauses = started_at.elapsed().as_millis() / RECONNECT_PAUSE.as_millis();
    // The first link had lasted, so the second is made at once.
    assert!(links <= pauses + 2, "{links} links in {:?}", started_at.elapsed());
    let mut balancer = env.balancer();
    balancer.send(&request_of_class(1, "a", "search"));
    assert_eq!(next_command(&mut env.agent)["id"], "a");
}
