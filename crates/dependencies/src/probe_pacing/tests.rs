use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

const WINDOW: Micros = 100_000;

/// Returns the maximum number of probes of all servers within one window, over the minute after all of them
/// lost the target at the same time.
fn max_probes_in_a_window(servers: u32, most: f64, seed: u64) -> usize {
    let mut probes: Vec<Micros> = Vec::new();
    for server in 0..servers {
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_mul(131).wrapping_add(u64::from(server)));
        let mut now = 0;
        while now < 60_000_000 {
            now += probe_delay(
                servers,
                ProbeRate { window: WINDOW, max_probes: most },
                Micros::MAX,
                &mut random,
            );
            probes.push(now);
        }
    }
    probes.sort_unstable();
    let (mut from, mut found) = (0, 0);
    for (place, at) in probes.iter().enumerate() {
        while probes[from] + WINDOW <= *at {
            from += 1;
        }
        found = found.max(place + 1 - from);
    }
    found
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]
    /// For any rate N and number of servers, a window has at most N + 2 * sqrt(N) + 2 probes.
    #[test]
    fn probes_of_all_servers_stay_within_the_rate(servers in 1u32..=30, most in 1u32..=100, seed in 0u64..1_000) {
        let (found, most) = (max_probes_in_a_window(servers, f64::from(most), seed), f64::from(most));
        prop_assert!(found as f64 <= most + 2.0 * most.sqrt() + 2.0, "{} of {}", found, most);
    }

    #[test]
    fn delays_stay_within_their_bounds(servers in 0u32..10_000, most in 1u32..100, seed in 0u64..1_000) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let span = probe_delay(servers, ProbeRate { window: WINDOW, max_probes: f64::from(most) }, 700_000, &mut random);
        prop_assert!((WINDOW / 2..=700_000).contains(&span), "{}", span);
        prop_assert!((1_000..=2_000).contains(&spread_delay(servers, 1_000, &mut random)));
        prop_assert_eq!(spread_delay(1, 1_000, &mut random), 1_000);
    }
}
