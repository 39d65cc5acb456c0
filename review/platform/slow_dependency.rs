//! The dependency that all servers share becomes slow for 12 s. Counts the calls in its hands, those given up
//! included, and compares their mean over `calls_over_us` with what the dependency survives.
mod platform;
use platform::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const SHARE: f64 = 3.0;
const WINDOW_MS: u64 = 5000;
const LINGER_MS: u64 = 200;
const BUDGET_MS: u64 = 480;
const USUAL_CALL_MS: u64 = 100;
const SLOW_CALL_MS: u64 = 600;
const CALM: Duration = Duration::from_secs(10);
const SLOW: Duration = Duration::from_secs(12);
const TOTAL: Duration = Duration::from_secs(26);

fn main() {
    let (record, folder) = arguments();
    let trouble = has_trouble();
    let script = |_: &str, _: &[u8]| vec![Step::Work(20), Step::Call, Step::Work(30)];
    let mut world = World::new(&record, SERVERS, Box::new(script));
    world.linger_ms = LINGER_MS;
    world.call_ms = Box::new(move |at| {
        let is_slow = trouble && at >= CALM && at < CALM + SLOW;
        if is_slow {
            SLOW_CALL_MS
        } else {
            USUAL_CALL_MS
        }
    });
    let world = Arc::new(world);
    let site = Site {
        servers: SERVERS,
        classes: r#"{"name":"search","aim_us":2000000,"hard_limit_us":6100000,"credit":1.0,"late_worth":0.2,
"effect":"read_like","repeat_window_us":5000000}"#
            .to_owned(),
        calls: format!(
            r#""class_calls":[true],"class_skip_worth":[0.0],"downstream":"common","dep_share":{SHARE:.1},
"calls_over_us":{},"linger_us":{}"#,
            WINDOW_MS * 1000,
            LINGER_MS * 1000
        ),
        stop_ms: 3200,
        drain_grace_ms: 2000,
    };
    let servers = start_site(&world, &folder, &site);
    steady_load(&world, &servers, ("search", BUDGET_MS), (ms(60), TOTAL), |_| {});
    count_answers(&world);
    let state = world.state.lock().unwrap();
    let (mean, at) = worst_mean(&state.in_hand_log, ms(WINDOW_MS), Instant::now());
    let most = state.in_hand_log.iter().map(|e| e.1).max().unwrap_or(0);
    drop(state);
    let survives = SHARE * SERVERS as f64;
    world.say(&format!(
        "calls in hand: {most} at most; worst mean of {WINDOW_MS} ms {mean:.2}, at {:.1} s; \
         the dependency survives {survives:.1}",
        at.saturating_duration_since(world.start).as_secs_f64()
    ));
    finish(servers, mean > survives);
}
