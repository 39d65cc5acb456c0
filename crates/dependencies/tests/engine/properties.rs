//! Many random plans and behaviours. `World` holds every step to the rules.

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberloom::interface::{Micros, Outcome};
use umberloom_dependencies::config::{
    Bounds, Breaker, Call, Config, Dependency, Fallback, FallbackCacheLimits, Hedge, Plan, Retry, Route,
    Stage,
};

use super::world::{World, MS};

fn bounds() -> impl Strategy<Value = Bounds> {
    (1usize..3, 0usize..4, 0usize..8).prop_map(|(least, start, most)| Bounds {
        least,
        start: least + start,
        most: least + start + most,
    })
}

fn fallbacks() -> impl Strategy<Value = Vec<Fallback>> {
    prop_oneof![
        Just(vec![]),
        Just(vec![Fallback::LeftOut]),
        Just(vec![Fallback::Kept(80 * MS), Fallback::Constant(b"c".to_vec())]),
        Just(vec![Fallback::Kept(20 * MS), Fallback::LeftOut]),
    ]
}

prop_compose! {
    fn dependency(place: usize)(
        endpoints in 1usize..4, repeatable in any::<bool>(), hedge in any::<bool>(),
        most in 0u32..4, share in 0.0f64..0.5, burst in 0.0f64..5.0, back_off in 0u64..20 * MS,
        limit in bounds(), endpoint_limit in bounds(), survives in prop::option::of((1.0f64..20.0, 1u32..5)),
        breaker_share in 0.1f64..=1.0, calls in 1u32..30, failures in 1u32..6, out_most in 0.0f64..=1.0,
        fallbacks in fallbacks(),
    ) -> Dependency {
        let endpoints = (0..endpoints).map(|n| format!("d{place}e{n}")).collect();
        Dependency {
            name: format!("d{place}"),
            endpoints,
            repeatable,
            retry: Retry { most, share, burst, back_off },
            hedge: (hedge && repeatable).then_some(Hedge { quantile: 0.9, least: MS }),
            limit,
            endpoint_limit,
            survives,
            breaker: (calls > 1).then_some(Breaker { share: breaker_share, calls, open: 50 * MS }),
            route: Route { failures, lag: 4.0, out: 30 * MS, out_most, ramp: 100 * MS, servers: 1 },
            fallbacks,
        }
    }
}

/// Stage and need of each call; share, least and span of each stage.
type Drawn = (Vec<(usize, bool)>, Vec<(f64, u64, u64)>);

/// Every plan calls some of the five dependencies, each once.
fn plans() -> impl Strategy<Value = Vec<Plan>> {
    let call = (0usize..3, any::<bool>());
    let one = (
        prop::collection::vec(call, 5),
        prop::collection::vec((0.1f64..4.0, 0u64..20 * MS, 0u64..200 * MS), 3),
    );
    prop::collection::vec(one, 1..4).prop_map(|all| {
        let plan = |(number, (calls, times)): (usize, Drawn)| {
            let stage = |(which, (share, least, more)): (usize, (f64, u64, u64))| {
                let here = calls.iter().enumerate().filter(|(_, (stage, _))| *stage == which);
                let calls: Vec<Call> = here
                    .map(|(d, (_, needed))| Call { dependency: format!("d{d}"), needed: *needed })
                    .collect();
                (!calls.is_empty()).then_some(Stage { share, least, most: least + more, calls })
            };
            let stages = times.into_iter().enumerate().filter_map(stage).collect();
            Plan { class: format!("c{number}"), stages }
        };
        all.into_iter().enumerate().map(plan).collect()
    })
}

fn configs() -> impl Strategy<Value = Config> {
    let dependencies = (dependency(0), dependency(1), dependency(2), dependency(3), dependency(4));
    (dependencies, plans(), 0usize..6).prop_map(|((a, b, c, d, e), plans, entries)| Config {
        dependencies: vec![a, b, c, d, e],
        plans,
        kept: FallbackCacheLimits { entries, bytes: 2_000 },
    })
}

/// How calls end: a mood that changes now and then, so that outages and lulls are met.
fn moody(seed: u64) -> impl FnMut(&super::world::Started) -> (Micros, Outcome) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut moods = [0u8; 5];
    move |call| {
        let place = usize::from(call.dependency.as_bytes()[1] - b'0');
        if random.random_bool(0.05) {
            moods[place] = random.random_range(0..5);
        }
        let outcomes = [
            Outcome::Error,
            Outcome::Rejected,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
            Outcome::NotStarted,
            Outcome::TimedOut,
        ];
        let outcome = match moods[place] {
            0 | 1 => Outcome::Ok,
            2 => outcomes[random.random_range(0..outcomes.len())],
            3 => outcomes[place],
            _ if random.random_bool(0.5) => Outcome::Ok,
            _ => outcomes[random.random_range(0..outcomes.len())],
        };
        let slow = moods[place] == 1 || random.random_bool(0.1);
        (if slow { random.random_range(0..400 * MS) } else { random.random_range(0..20 * MS) }, outcome)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn every_plan_ends_in_time_and_every_rule_holds(
        all in configs(), other in configs(), seed in any::<u64>(),
        requests in prop::collection::vec((0u64..15 * MS, 0usize..4, 0u64..400 * MS, 0u16..4, 0u8..8), 1..150),
    ) {
        prop_assert_eq!(all.validate(), []);
        let mut world = World::new(all.clone(), moody(seed));
        let mut given_up = 0;
        for (id, &(after, class, time, level, what)) in requests.iter().enumerate() {
            let class = format!("c{class}");
            let has_plan = world.engine.has_plan(&class);
            if has_plan {
                let key = ["x", "y"][id % 2];
                world.ask_as(id as u64, &class, time, level, (what % 2 == 0).then_some(key), what == 7);
            }
            world.run_until(world.now + after);
            if has_plan && what == 5 && world.ended(id as u64).is_none() {
                given_up += 1;
                world.give_up(id as u64);
            }
        }
        world.run_until(world.now + 1_000 * MS);
        let asked = requests.iter().filter(|r| world.engine.has_plan(&format!("c{}", r.1))).count();
        prop_assert_eq!(world.all_ended().count() + given_up, asked);
        prop_assert_eq!(world.engine.in_flight(), (0, 0));
        // And with other settings, on what was learned.
        world.set(other);
        for id in 1_000..1_040 {
            if world.engine.has_plan("c0") {
                world.ask_as(id, "c0", 200 * MS, 0, Some("x"), false);
            }
            world.run_until(world.now + 5 * MS);
        }
        world.run_until(world.now + 1_000 * MS);
        prop_assert_eq!(world.engine.in_flight(), (0, 0));
    }
}
