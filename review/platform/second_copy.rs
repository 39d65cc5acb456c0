//! Some replies of the records service bring a second copy behind, in a later piece. Compares each reply that
//! a run gets with what the records service answered to the call that the run waited for.
mod platform;
use platform::*;
use std::sync::Arc;
use std::time::Duration;

const SERVERS: usize = 2;
const ONE_IN: u64 = 20;
const COPY_AFTER_MS: u64 = 5;
const BUDGET_MS: u64 = 1500;
const TOTAL: Duration = Duration::from_secs(40);

fn main() {
    let (record, folder) = arguments();
    let trouble = has_trouble();
    let script = |_: &str, _: &[u8]| vec![Step::Work(20), Step::Call, Step::Work(30)];
    let mut world = World::new(&record, SERVERS, Box::new(script));
    world.call_ms = Box::new(|_| 30);
    world.copy_after_ms = Box::new(move |n| (trouble && n % ONE_IN == 0).then_some(COPY_AFTER_MS));
    let world = Arc::new(world);
    let site = Site {
        servers: SERVERS,
        classes:
            r#"{"name":"book-room","aim_us":2200000,"hard_limit_us":5400000,"credit":3.0,"late_worth":0.0,
"effect":"read_like","repeat_window_us":5000000}"#
                .to_owned(),
        calls: r#""class_calls":[true],"class_skip_worth":[0.0],"downstream":"common","dep_share":6.0,
"calls_over_us":5000000,"linger_us":200000"#
            .to_owned(),
        stop_ms: 3200,
        drain_grace_ms: 2500,
    };
    let servers = start_site(&world, &folder, &site);
    steady_load(&world, &servers, ("book-room", BUDGET_MS), (ms(20), TOTAL), |_| {});
    count_answers(&world);
    finish_wrong_replies(&world, servers, "second copies behind 1 of 20 replies");
}
