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
