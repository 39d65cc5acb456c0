use super::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BOUNDS: LimitBounds = LimitBounds { initial: 8, min: 1, max: 8 };
const ROUTE: LoadBalancerConfig = LoadBalancerConfig {
    consecutive_failures: 3,
    latency_factor: 5.0,
    base_ejection_time: 1_000_000,
    max_ejected_share: 0.5,
    recovery_ramp: 5_000_000,
    servers: 1,
};

fn pool(count: usize) -> (LoadBalancer, ChaCha8Rng) {
    let addresses: Vec<String> = (0..count).map(|n| format!("e{n}")).collect();
    (LoadBalancer::new(ROUTE, &addresses, BOUNDS), ChaCha8Rng::seed_from_u64(7))
}

/// One call after the other, each 1 ms later; how many went to each endpoint.
fn play(
    pool: &mut LoadBalancer,
    random: &mut ChaCha8Rng,
    (from, calls): (Micros, u64),
    ends: impl Fn(usize) -> (Micros, bool),
) -> Vec<u64> {
    let mut got = vec![0; pool.endpoints.len()];
    for n in 0..calls {
        let now = from + n * 1_000;
        let place = pool.pick(now, &[], random).expect("a place");
        pool.start(place);
        let (took, failed) = ends(place);
        pool.end(now, place, CallSample::Answered(took), Some(failed), random);
        got[place] += 1;
        assert_eq!(pool.check_invariants(), Ok(()));
    }
    got
}

/// As many failures in a row as it takes.
fn fail(pool: &mut LoadBalancer, place: usize, now: Micros, random: &mut ChaCha8Rng) {
    for _ in 0..ROUTE.consecutive_failures {
        pool.start(place);
        pool.end(now, place, CallSample::Ignored, Some(true), random);
    }
}

#[test]
fn calls_are_spread_and_the_quicker_gets_more() {
    let (mut pool, mut random) = pool(4);
    let even = play(&mut pool, &mut random, (0, 4_000), |_| (1_000, false));
    assert!(even.iter().all(|&n| (800..1_200).contains(&n)), "{even:?}");
    let uneven =
        play(&mut pool, &mut random, (4_000_000, 4_000), |p| (if p == 0 { 3_000 } else { 1_000 }, false));
    assert!(uneven[0] < even[0] / 2, "{uneven:?}");
}

#[test]
fn one_that_fails_fast_does_not_draw_calls() {
    let (mut pool, mut random) = pool(4);
    play(&mut pool, &mut random, (0, 400), |_| (20_000, false));
    let got =
        play(&mut pool, &mut random, (400_000, 1_000), |p| if p == 2 { (10, true) } else { (20_000, false) });
    // It need not even be left out: one failure counts as ten times what the others take.
    assert!(got[2] <= 5, "{got:?}");
}

#[test]
fn one_that_lags_is_left_out() {
    let (mut pool, mut random) = pool(4);
    play(&mut pool, &mut random, (0, 400), |_| (1_000, false));
    let got = play(&mut pool, &mut random, (400_000, 400), |p| (if p == 1 { 9_000 } else { 1_000 }, false));
    assert!(got[1] <= 3, "{got:?}");
    assert_eq!(pool.status()[1].last_ejection.map(|(why, _)| why), Some(EjectionReason::HighLatency));
}

#[test]
fn one_comes_back_by_a_probe_and_slowly() {
    let (mut pool, mut random) = pool(2);
    play(&mut pool, &mut random, (0, 100), |_| (1_000, false));
    fail(&mut pool, 0, 200_000, &mut random);
    assert!(matches!(pool.status()[0].state, EndpointState::Ejected(_)));
    let at = pool.next_probe_at().expect("a probe");
    assert_eq!(pool.pick(at, &[], &mut random), Some(0), "a probe comes first");
    pool.start(0);
    assert_eq!(pool.pick(at, &[], &mut random), Some(1), "one at a time");
    pool.end(at, 0, CallSample::Answered(1_000), Some(false), &mut random);
    let first = play(&mut pool, &mut random, (at, 500), |_| (1_000, false));
    let later = play(&mut pool, &mut random, (at + 6_000_000, 500), |_| (1_000, false));
    assert!(first[0] < 100 && (180..320).contains(&later[0]), "{first:?} {later:?}");
}

#[test]
fn each_failed_probe_doubles_the_time_out() {
    let (mut pool, mut random) = pool(2);
    play(&mut pool, &mut random, (0, 200), |_| (1_000, false));
    fail(&mut pool, 0, 200_000, &mut random);
    assert_eq!(pool.status()[0].last_ejection, Some((EjectionReason::ConsecutiveFailures, 1)));
    let mut spans = Vec::new();
    let mut at = pool.next_probe_at().expect("a probe");
    for _ in 0..5 {
        pool.start(0);
        pool.end(at, 0, CallSample::Answered(10), Some(true), &mut random);
        let next = pool.next_probe_at().expect("a probe");
        spans.push((next - at) / ROUTE.base_ejection_time);
        at = next;
    }
    assert_eq!(spans, [2, 4, 4, 4, 4]);
}

#[test]
fn no_more_are_out_than_allowed_and_the_rest_is_held_in() {
    let (mut pool, mut random) = pool(4);
    play(&mut pool, &mut random, (0, 900), |_| (1_000, true));
    let views = pool.status();
    assert_eq!(views.iter().filter(|v| matches!(v.state, EndpointState::Ejected(_))).count(), 2);
    assert_eq!(views.iter().filter(|v| v.ejection_withheld).count(), 2);
    // They still get calls.
    assert!(pool.pick(900_000, &[], &mut random).is_some());
}

#[test]
fn where_all_may_be_out_and_are_calls_go_to_any() {
    let (mut pool, mut random) = pool(3);
    pool.reconfigure(
        0,
        LoadBalancerConfig { max_ejected_share: 1.0, ..ROUTE },
        &["e0".into(), "e1".into(), "e2".into()],
        BOUNDS,
    );
    for place in 0..3 {
        (0..3).for_each(|_| {
            pool.start(place);
            pool.end(0, place, CallSample::Answered(10), Some(true), &mut random);
        });
    }
    assert!(pool.status().iter().all(|v| matches!(v.state, EndpointState::Ejected(_))));
    let mut seen: Vec<usize> = (0..50).filter_map(|_| pool.pick(1, &[], &mut random)).collect();
    seen.sort_unstable();
    seen.dedup();
    assert_eq!(seen, [0, 1, 2]);
}

#[test]
fn another_is_taken_where_there_is_another() {
    let (pool, mut random) = pool(2);
    assert!((0..50).all(|_| pool.pick(0, &[0], &mut random) == Some(1)));
    assert!(pool.has_alternative(&[0]) && !pool.has_alternative(&[0, 1]));
    assert!(pool.pick(0, &[0, 1], &mut random).is_some(), "one that was tried is better than none");
}

#[test]
fn full_endpoints_get_nothing() {
    let (mut pool, mut random) = pool(2);
    for _ in 0..16 {
        let place = pool.pick(0, &[], &mut random).expect("a place");
        pool.start(place);
    }
    assert_eq!(pool.pick(0, &[], &mut random), None);
    pool.end(1, 1, CallSample::Ignored, None, &mut random);
    assert_eq!(pool.pick(1, &[], &mut random), Some(1));
}

#[test]
fn endpoints_that_leave_the_file_end_their_calls_and_their_places_are_used_again() {
    let (mut pool, mut random) = pool(2);
    pool.start(0);
    pool.reconfigure(5, ROUTE, &["e1".into(), "e2".into()], BOUNDS);
    assert_eq!(pool.endpoints.len(), 3);
    assert!((0..50).all(|_| pool.pick(5, &[], &mut random) != Some(0)));
    pool.end(6, 0, CallSample::Answered(5), Some(false), &mut random);
    pool.reconfigure(7, ROUTE, &["e1".into(), "e3".into()], BOUNDS);
    assert_eq!(pool.endpoints.len(), 3);
    let names: Vec<_> = pool.status().iter().map(|v| v.address.to_string()).collect();
    assert_eq!(names, ["e3", "e1"]);
}

/// A draw by which `servers` of them route to four endpoints, of which the last has just come back to all at one moment.
fn fleet(servers: u32, seed: u64) -> Vec<(LoadBalancer, ChaCha8Rng)> {
    let addresses: Vec<String> = (0..4).map(|n| format!("e{n}")).collect();
    let one = |n: u32| {
        let bounds = LimitBounds { initial: 500, min: 1, max: 500 };
        let mut pool = LoadBalancer::new(LoadBalancerConfig { servers, ..ROUTE }, &addresses, bounds);
        pool.readmit(0, 3);
        (pool, ChaCha8Rng::seed_from_u64(seed * 1_000 + u64::from(n)))
    };
    (0..servers).map(one).collect()
}

/// The ramp holds for the sum of all servers, which know of each other only how many they are: at each moment of it the
/// endpoint has N calls in hand at most that its part of the full share allows, and 2 x root of N + 2 by chance.
#[test]
fn the_ramp_holds_for_the_sum_of_all_servers() {
    for (servers, full, seed) in
        (0..120).map(|n: u32| (1 + n * 29 / 119, [1, 2, 4, 10, 25, 60, 100][n as usize % 7], u64::from(n)))
    {
        let mut all = fleet(servers, seed);
        // So many calls in hand over four endpoints that the full share of each is `full`; each lasts 100 ms.
        let (took, gap) = (100_000, 100_000 / (4 * full));
        let mut in_hand: std::collections::VecDeque<(Micros, usize, usize)> = Default::default();
        let mut there = 0u64;
        for now in (0..ROUTE.recovery_ramp).step_by(gap as usize) {
            while in_hand.front().is_some_and(|(until, ..)| *until <= now) {
                let (_, server, place) = in_hand.pop_front().expect("one");
                let (pool, random) = &mut all[server];
                pool.end(now, place, CallSample::Answered(took), Some(false), random);
                there -= u64::from(place == 3);
            }
            // Whose call it is has nothing to do with where calls are: it is drawn, too.
            let server = (now / gap).wrapping_mul(0x9e37_79b9_7f4a_7c15) as usize % all.len();
            let (pool, random) = &mut all[server];
            let place = pool.pick(now, &[], random).expect("a place");
            pool.start(place);
            in_hand.push_back((now + took, server, place));
            there += u64::from(place == 3);
            let budget = full as f64
                * (INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * now as f64 / ROUTE.recovery_ramp as f64);
            let most = budget + 2.0 * budget.sqrt() + 2.0;
            assert!(
                there as f64 <= most,
                "{servers} servers, {there} calls of {budget:.1} at {now}, seed {seed}"
            );
        }
        for (until, server, place) in in_hand {
            let (pool, random) = &mut all[server];
            pool.end(until, place, CallSample::Answered(took), Some(false), random);
        }
        let (pool, random) = &mut all[0];
        let got = (0..400).filter(|_| pool.pick(2 * ROUTE.recovery_ramp, &[], random) == Some(3)).count();
        assert!(got > 40, "it has its full share in the end: {got} of 400");
    }
}

/// Servers that see an endpoint fail at one moment probe it one after the other, not at once.
#[test]
fn probes_of_many_servers_are_spread() {
    for servers in [1, 2, 5, 10, 20, 30] {
        let mut all = fleet(servers, 3);
        let mut at: Vec<Micros> = Vec::new();
        for (pool, random) in &mut all {
            fail(pool, 0, 200_000, random);
            at.push(pool.next_probe_at().expect("a probe"));
        }
        // A probe takes 50 ms; so many may be under way at once, where the endpoint survives two.
        let most =
            at.iter().map(|from| at.iter().filter(|to| (*from..*from + 50_000).contains(*to)).count()).max();
        assert!(most <= Some(2 + 2 + 2), "{servers}: {most:?}");
        assert!(at.iter().all(|at| (1_200_000..=2_200_000).contains(at)), "{at:?}");
    }
}
