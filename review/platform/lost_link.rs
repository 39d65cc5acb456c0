//! The link to the render farm agent breaks now and then. Compares each reply that a run gets with what the
//! records service answered to the call that the run waited for.
mod platform;
use platform::*;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SERVERS: usize = 3;
/// Time between two breaks of the links, and how much longer it becomes with each.
const BREAK_EVERY_MS: u64 = 2500;
const BREAK_LATER_MS: u64 = 3;
const INTERVAL_MS: u64 = 20;
const BUDGET_MS: u64 = 1500;
const TOTAL: Duration = Duration::from_secs(80);
/// The agent looks at its link this often.
const AGENT_TICK_MS: u64 = 8;

fn main() {
    let (record, folder) = arguments();
    let trouble = has_trouble();
    // The work of a run differs from request to request.
    let script = |_: &str, body: &[u8]| {
        let sum = body.iter().fold(7u64, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(*b)));
        let work = |n: u64| Step::Work(6 + sum / (1 + 17 * n) % 12);
        vec![work(0), Step::Call, work(1), Step::Call, work(2), Step::Call, work(3)]
    };
    let mut world = World::new(&record, SERVERS, Box::new(script));
    world.agent_tick_ms = AGENT_TICK_MS;
    world.call_ms = Box::new(|_| 20);
    let world = Arc::new(world);
    let site = Site {
        servers: SERVERS,
        classes:
            r#"{"name":"night-plan","aim_us":2600000,"hard_limit_us":7900000,"credit":5.0,"late_worth":0.0,
"effect":"read_like","repeat_window_us":5000000}"#
                .to_owned(),
        calls: r#""class_calls":[true],"class_skip_worth":[0.0],"downstream":"common","dep_share":8.0,
"calls_over_us":5000000,"linger_us":200000"#
            .to_owned(),
        stop_ms: 3200,
        drain_grace_ms: 2500,
    };
    let servers = start_site(&world, &folder, &site);
    let breaks = Arc::new(AtomicU64::new(0));
    if trouble {
        let (world, breaks) = (world.clone(), breaks.clone());
        thread::spawn(move || {
            let mut pause = BREAK_EVERY_MS;
            while world.start.elapsed() + ms(pause) < TOTAL {
                thread::sleep(ms(pause));
                pause += BREAK_LATER_MS;
                (0..SERVERS).for_each(|machine| break_link(&world, machine));
                breaks.fetch_add(SERVERS as u64, Ordering::Relaxed);
            }
        });
    }
    steady_load(&world, &servers, ("night-plan", BUDGET_MS), (ms(INTERVAL_MS), TOTAL), |_| {});
    let breaks = breaks.load(Ordering::Relaxed);
    count_answers(&world);
    finish_wrong_replies(&world, servers, &format!("{breaks} breaks of a link"));
}
