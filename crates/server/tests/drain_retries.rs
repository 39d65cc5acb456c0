//! Retries with an idempotency key that reach a draining server: the first attempt runs or has run there, so
//! a rejection would have the request run a second time at another server.

mod common;

use std::thread::sleep;
use std::time::Duration;

use common::{classes_by_idempotency, request_of_class, Balancer, Request, TestEnvironment};

/// The drain grace.
const GRACE: Duration = Duration::from_millis(200);

/// Starts a server whose class `room` has idempotency keys.
fn start() -> TestEnvironment {
    TestEnvironment::start_registered(|config| {
        classes_by_idempotency(config);
        config["settings"]["guarantees"]["drain_grace_us"] = (GRACE.as_micros() as u64).into();
    })
}

/// A retry of the request whose id and idempotency key are `first_id`.
fn retry_of(first_id: &str, slot: u16) -> Request {
    request_of_class(slot, &format!("retry-of-{first_id}"), "room").with("HTTP_ONCE_KEY", first_id)
}

/// Sends a keyed request and waits until its run is launched.
fn launch(env: &mut TestEnvironment, balancer: &mut Balancer, slot: u16, id: &str) {
    balancer.send(&request_of_class(slot, id, "room"));
    assert_eq!(env.agent.expect_command("launch").0, id);
}

/// Guards against retries that are rejected after the drain grace although their first attempt has run.
#[test]
fn keyed_retries_after_the_drain_grace_get_the_result_of_their_first_attempt() {
    let mut env = start();
    let mut balancer = env.balancer();
    launch(&mut env, &mut balancer, 1, "ended");
    env.agent.send_outcome("ended", "fine", b"result of ended");
    assert_eq!(balancer.answer().status, 200);
    launch(&mut env, &mut balancer, 2, "running");
    env.terminate();
    env.announce.wait_for_report("false");
    sleep(2 * GRACE);
    let answer = balancer.round_trip(&retry_of("ended", 3));
    assert_eq!((answer.status, answer.body.as_slice()), (200, &b"result of ended"[..]));
    // A first attempt must not run any more, and may run elsewhere.
    assert_eq!(balancer.round_trip(&request_of_class(3, "new", "room")).status, 503);
    balancer.send(&retry_of("running", 3));
    env.agent.wait_for_samples(3);
    env.agent.send_outcome("running", "fine", b"result of running");
    for _ in 0..2 {
        let answer = balancer.answer();
        assert_eq!((answer.status, answer.body.as_slice()), (200, &b"result of running"[..]), "{answer:?}");
    }
    assert!(env.wait_for_exit().success());
}
