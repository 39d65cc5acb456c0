use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const WINDOW: Micros = 100_000;

/// Returns the maximum number of probes of all servers within one window, over the minute after all of them
/// lost the target at the same time.
fn max_probes_in_a_window(servers: u32, max_probes: f64, seed: u64) -> usize {
    let mut probes: Vec<Micros> = Vec::new();
    for server in 0..servers {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(131).wrapping_add(u64::from(server)));
        let mut now = 0;
        while now < 60_000_000 {
            now += probe_delay(servers, ProbeRate { window: WINDOW, max_probes }, Micros::MAX, &mut random);
            probes.push(now);
        }
    }
    probes.sort_unstable();
    let (mut first, mut max_found) = (0, 0);
    for (index, at) in probes.iter().enumerate() {
        while probes[first] + WINDOW <= *at {
            first += 1;
        }
        max_found = max_found.max(index + 1 - first);
    }
    max_found
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    /// For any rate N and number of servers, a window has at most N + 2 * sqrt(N) + 2 probes.
    #[test]
    fn probes_of_all_servers_stay_within_the_rate(
        servers in 1u32..=30, max_probes in 1u32..=100, seed in 0u64..1_000,
    ) {
        let max_probes = f64::from(max_probes);
        let found = max_probes_in_a_window(servers, max_probes, seed);
        let max_allowed = max_probes + 2.0 * max_probes.sqrt() + 2.0;
        prop_assert!(found as f64 <= max_allowed, "{} of {}", found, max_probes);
    }

    #[test]
    fn delays_stay_within_their_bounds(
        servers in 0u32..10_000, max_probes in 1u32..100, seed in 0u64..1_000,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let rate = ProbeRate { window: WINDOW, max_probes: f64::from(max_probes) };
        let delay = probe_delay(servers, rate, 700_000, &mut random);
        prop_assert!((WINDOW / 2..=700_000).contains(&delay), "{}", delay);
        prop_assert!((1_000..=2_000).contains(&spread_delay(servers, 1_000, &mut random)));
        prop_assert_eq!(spread_delay(1, 1_000, &mut random), 1_000);
    }
}

/// Number of the minutes, one for each seed and number of servers from 1 to 30, in which some window has more
/// probes than the rate allows.
fn minutes_over(max_probes: u32, seeds: std::ops::Range<u64>) -> usize {
    let max_probes = f64::from(max_probes);
    let max_allowed = max_probes + 2.0 * max_probes.sqrt() + 2.0;
    let is_over = |servers, seed| max_probes_in_a_window(servers, max_probes, seed) as f64 > max_allowed;
    seeds
        .flat_map(|seed| (1..=30).map(move |servers| (servers, seed)))
        .filter(|(n, s)| is_over(*n, *s))
        .count()
}

/// Guards against spacing that keeps the bound only for large rates: independent random times gather, and at
/// a rate of one to five in a window some gathered beyond it.
#[test]
fn small_rates_are_kept_in_every_minute() {
    assert!(max_probes_in_a_window(10, 1.0, 319) <= 5);
    for max_probes in [1, 2, 3, 5, 10] {
        assert_eq!(minutes_over(max_probes, 0..50), 0, "of 1,500 minutes at {max_probes} in a window");
    }
}

/// The same for rates at which a minute has many probes, with fewer seeds because each takes longer.
#[test]
fn large_rates_are_kept_in_every_minute() {
    for max_probes in [30, 100] {
        assert_eq!(minutes_over(max_probes, 0..20), 0, "of 600 minutes at {max_probes} in a window");
    }
}
