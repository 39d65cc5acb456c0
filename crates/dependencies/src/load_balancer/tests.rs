use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BOUNDS: LimitBounds = LimitBounds { initial: 8, min: 1, max: 8 };
const CONFIG: LoadBalancerConfig = LoadBalancerConfig {
    consecutive_failures: 3,
    latency_factor: 5.0,
    base_ejection_time: 1_000_000,
    max_ejected_share: 0.5,
    recovery_ramp: 5_000_000,
    servers: 1,
};

fn balancer(count: usize) -> (LoadBalancer, ChaCha8Rng) {
    let addresses: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
    (LoadBalancer::new(CONFIG, &addresses, BOUNDS), ChaCha8Rng::seed_from_u64(7))
}

/// Makes `calls` calls one after the other, each 1 ms later, that end by `ends(endpoint)` with a latency and
/// whether they failed. Returns the number of calls to each endpoint.
fn run_calls(
    balancer: &mut LoadBalancer,
    random: &mut ChaCha8Rng,
    (from, calls): (Micros, u64),
    ends: impl Fn(usize) -> (Micros, bool),
) -> Vec<u64> {
    let mut got = vec![0; balancer.endpoints.len()];
    for n in 0..calls {
        let now = from + n * 1_000;
        let endpoint = balancer.pick(now, &[], random).expect("an endpoint with capacity");
        balancer.start(endpoint);
        let (took, failed) = ends(endpoint);
        balancer.end(now, endpoint, CallSample::Answered(took), Some(failed), random);
        got[endpoint] += 1;
        assert_eq!(balancer.check_invariants(), Ok(()));
    }
    got
}

/// Makes as many calls fail in a row as it takes to eject the endpoint.
fn fail_repeatedly(balancer: &mut LoadBalancer, endpoint: usize, now: Micros, random: &mut ChaCha8Rng) {
    for _ in 0..CONFIG.consecutive_failures {
        balancer.start(endpoint);
        balancer.end(now, endpoint, CallSample::Ignored, Some(true), random);
    }
}

#[test]
fn calls_are_spread_and_quicker_endpoints_get_more() {
    let (mut balancer, mut random) = balancer(4);
    let even = run_calls(&mut balancer, &mut random, (0, 4_000), |_| (1_000, false));
    assert!(even.iter().all(|&n| (800..1_200).contains(&n)), "{even:?}");
    let uneven = run_calls(&mut balancer, &mut random, (4_000_000, 4_000), |endpoint| {
        (if endpoint == 0 { 3_000 } else { 1_000 }, false)
    });
    assert!(uneven[0] < even[0] / 2, "{uneven:?}");
}

#[test]
fn endpoint_that_fails_fast_does_not_attract_calls() {
    let (mut balancer, mut random) = balancer(4);
    run_calls(&mut balancer, &mut random, (0, 400), |_| (20_000, false));
    let got = run_calls(&mut balancer, &mut random, (400_000, 1_000), |endpoint| {
        if endpoint == 2 {
            (10, true)
        } else {
            (20_000, false)
        }
    });
    // It need not even be ejected, because a failure counts as ten times the latency of the others.
    assert!(got[2] <= 5, "{got:?}");
}

#[test]
fn endpoint_with_high_latency_is_ejected() {
    let (mut balancer, mut random) = balancer(4);
    run_calls(&mut balancer, &mut random, (0, 400), |_| (1_000, false));
    let got = run_calls(&mut balancer, &mut random, (400_000, 400), |endpoint| {
        (if endpoint == 1 { 9_000 } else { 1_000 }, false)
    });
    assert!(got[1] <= 3, "{got:?}");
    assert_eq!(
        balancer.status()[1].last_ejection.map(|ejection| ejection.reason),
        Some(EjectionReason::HighLatency)
    );
}

#[test]
fn ejected_endpoint_comes_back_by_a_probe_and_ramps_up() {
    let (mut balancer, mut random) = balancer(2);
    run_calls(&mut balancer, &mut random, (0, 100), |_| (1_000, false));
    fail_repeatedly(&mut balancer, 0, 200_000, &mut random);
    assert!(matches!(balancer.status()[0].state, EndpointState::Ejected { .. }));
    let at = balancer.next_probe_at().expect("a probe");
    assert_eq!(balancer.pick(at, &[], &mut random), Some(0), "a due probe is made first");
    balancer.start(0);
    assert_eq!(balancer.pick(at, &[], &mut random), Some(1), "only one probe at a time is made");
    balancer.end(at, 0, CallSample::Answered(1_000), Some(false), &mut random);
    let first = run_calls(&mut balancer, &mut random, (at, 500), |_| (1_000, false));
    let later = run_calls(&mut balancer, &mut random, (at + 6_000_000, 500), |_| (1_000, false));
    assert!(first[0] < 100 && (180..320).contains(&later[0]), "{first:?} {later:?}");
}

#[test]
fn failed_probe_doubles_the_ejection_time() {
    let (mut balancer, mut random) = balancer(2);
    run_calls(&mut balancer, &mut random, (0, 200), |_| (1_000, false));
    fail_repeatedly(&mut balancer, 0, 200_000, &mut random);
    assert_eq!(
        balancer.status()[0].last_ejection,
        Some(Ejection { reason: EjectionReason::ConsecutiveFailures, consecutive: 1 })
    );
    let mut ejection_factors = Vec::new();
    let mut at = balancer.next_probe_at().expect("a probe");
    for _ in 0..5 {
        balancer.start(0);
        balancer.end(at, 0, CallSample::Answered(10), Some(true), &mut random);
        let next = balancer.next_probe_at().expect("a probe");
        ejection_factors.push((next - at) / CONFIG.base_ejection_time);
        at = next;
    }
    assert_eq!(ejection_factors, [2, 4, 4, 4, 4]);
}

#[test]
fn no_more_endpoints_are_ejected_than_allowed() {
    let (mut balancer, mut random) = balancer(4);
    run_calls(&mut balancer, &mut random, (0, 900), |_| (1_000, true));
    let statuses = balancer.status();
    assert_eq!(
        statuses.iter().filter(|status| matches!(status.state, EndpointState::Ejected { .. })).count(),
        2
    );
    assert_eq!(statuses.iter().filter(|status| status.ejection_withheld).count(), 2);
    // The endpoints that are not ejected still get calls.
    assert!(balancer.pick(900_000, &[], &mut random).is_some());
}

#[test]
fn calls_go_to_any_endpoint_while_all_are_ejected() {
    let (mut balancer, mut random) = balancer(3);
    balancer.reconfigure(
        0,
        LoadBalancerConfig { max_ejected_share: 1.0, ..CONFIG },
        &["e0".into(), "e1".into(), "e2".into()],
        BOUNDS,
    );
    for endpoint in 0..3 {
        (0..3).for_each(|_| {
            balancer.start(endpoint);
            balancer.end(0, endpoint, CallSample::Answered(10), Some(true), &mut random);
        });
    }
    assert!(balancer.status().iter().all(|status| matches!(status.state, EndpointState::Ejected { .. })));
    let mut seen: Vec<usize> = (0..50).filter_map(|_| balancer.pick(1, &[], &mut random)).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen, [0, 1, 2]);
}

#[test]
fn avoided_endpoints_are_used_only_without_an_alternative() {
    let (balancer, mut random) = balancer(2);
    assert!((0..50).all(|_| balancer.pick(0, &[0], &mut random) == Some(1)));
    assert!(balancer.has_alternative(&[0]) && !balancer.has_alternative(&[0, 1]));
    assert!(
        balancer.pick(0, &[0, 1], &mut random).is_some(),
        "a tried endpoint is used if there is no other"
    );
}

#[test]
fn endpoints_at_their_limit_get_no_calls() {
    let (mut balancer, mut random) = balancer(2);
    for _ in 0..16 {
        let endpoint = balancer.pick(0, &[], &mut random).expect("an endpoint with capacity");
        balancer.start(endpoint);
    }
    assert_eq!(balancer.pick(0, &[], &mut random), None);
    balancer.end(1, 1, CallSample::Ignored, None, &mut random);
    assert_eq!(balancer.pick(1, &[], &mut random), Some(1));
}

#[test]
fn removed_endpoints_end_their_calls_and_their_indices_are_reused() {
    let (mut balancer, mut random) = balancer(2);
    balancer.start(0);
    balancer.reconfigure(5, CONFIG, &["e1".into(), "e2".into()], BOUNDS);
    assert_eq!(balancer.endpoints.len(), 3);
    assert!((0..50).all(|_| balancer.pick(5, &[], &mut random) != Some(0)));
    balancer.end(6, 0, CallSample::Answered(5), Some(false), &mut random);
    balancer.reconfigure(7, CONFIG, &["e1".into(), "e3".into()], BOUNDS);
    assert_eq!(balancer.endpoints.len(), 3);
    let names: Vec<_> = balancer.status().iter().map(|status| status.address.to_string()).collect();
    assert_eq!(names, ["e3", "e1"]);
}

/// The load balancers of `servers` servers over the same four endpoints, each with its own random numbers.
/// All of them have just readmitted the last endpoint at the same time.
fn fleet_with_readmitted_endpoint(servers: u32, seed: u64) -> Vec<(LoadBalancer, ChaCha8Rng)> {
    let addresses: Vec<String> = (0..4).map(|n| format!("e{n}")).collect();
    let new_balancer = |n: u32| {
        let bounds = LimitBounds { initial: 500, min: 1, max: 500 };
        let mut balancer = LoadBalancer::new(LoadBalancerConfig { servers, ..CONFIG }, &addresses, bounds);
        balancer.readmit(0, 3);
        (balancer, ChaCha8Rng::seed_from_u64(seed * 1_000 + u64::from(n)))
    };
    (0..servers).map(new_balancer).collect()
}

/// Servers know only the number of the others, yet the recovery ramp must hold for the sum of their calls: at
/// each time the endpoint has at most the N calls in flight that its current weight allows, plus a random
/// excess of up to 2 * sqrt(N) + 2.
#[test]
fn recovery_ramp_holds_for_the_sum_of_all_servers() {
    for (servers, full, seed) in
        (0..120).map(|n: u32| (1 + n * 29 / 119, [1, 2, 4, 10, 25, 60, 100][n as usize % 7], u64::from(n)))
    {
        let mut fleet = fleet_with_readmitted_endpoint(servers, seed);
        // Each call takes 100 ms, and calls start at such intervals that the full share of each endpoint is
        // `full` calls in flight.
        let (took, gap) = (100_000, 100_000 / (4 * full));
        let mut in_flight: std::collections::VecDeque<(Micros, usize, usize)> = Default::default();
        let mut at_readmitted = 0u64;
        for now in (0..CONFIG.recovery_ramp).step_by(gap as usize) {
            while in_flight.front().is_some_and(|(until, ..)| *until <= now) {
                let (_, server, endpoint) = in_flight.pop_front().expect("a call in flight");
                let (balancer, random) = &mut fleet[server];
                balancer.end(now, endpoint, CallSample::Answered(took), Some(false), random);
                at_readmitted -= u64::from(endpoint == 3);
            }
            // The calling server is chosen by a hash of the time, independently of the calls in flight.
            let server = (now / gap).wrapping_mul(0x9e37_79b9_7f4a_7c15) as usize % fleet.len();
            let (balancer, random) = &mut fleet[server];
            let endpoint = balancer.pick(now, &[], random).expect("an endpoint with capacity");
            balancer.start(endpoint);
            in_flight.push_back((now + took, server, endpoint));
            at_readmitted += u64::from(endpoint == 3);
            let budget = full as f64
                * (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * now as f64 / CONFIG.recovery_ramp as f64);
            let max_allowed = budget + 2.0 * budget.sqrt() + 2.0;
            assert!(
                at_readmitted as f64 <= max_allowed,
                "{servers} servers, {at_readmitted} calls of {budget:.1} at {now}, seed {seed}"
            );
        }
        for (until, server, endpoint) in in_flight {
            let (balancer, random) = &mut fleet[server];
            balancer.end(until, endpoint, CallSample::Answered(took), Some(false), random);
        }
        let (balancer, random) = &mut fleet[0];
        let got =
            (0..400).filter(|_| balancer.pick(2 * CONFIG.recovery_ramp, &[], random) == Some(3)).count();
        assert!(got > 40, "after the ramp it must get its full share: {got} of 400");
    }
}

/// Guards against many servers that probe an endpoint at the same time because they all saw it fail at the
/// same time.
#[test]
fn probes_of_many_servers_are_spread() {
    for servers in [1, 2, 5, 10, 20, 30] {
        let mut fleet = fleet_with_readmitted_endpoint(servers, 3);
        let mut probe_times: Vec<Micros> = Vec::new();
        for (balancer, random) in &mut fleet {
            fail_repeatedly(balancer, 0, 200_000, random);
            probe_times.push(balancer.next_probe_at().expect("a probe"));
        }
        // A probe takes 50 ms, and the endpoint can handle two calls at once. The other four are the random
        // excess that is allowed.
        let max_concurrent = probe_times
            .iter()
            .map(|from| probe_times.iter().filter(|to| (*from..*from + 50_000).contains(*to)).count())
            .max();
        assert!(max_concurrent <= Some(2 + 2 + 2), "{servers}: {max_concurrent:?}");
        assert!(probe_times.iter().all(|at| (1_200_000..=2_200_000).contains(at)), "{probe_times:?}");
    }
}
