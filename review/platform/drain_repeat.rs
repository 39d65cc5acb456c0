//! A server is told to drain. Before that, keyed requests have run at it, and their answers were lost as the
//! balancer's connections were reset. The requests come again, at the same server, within the window.
mod platform;
use platform::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const REQUESTS: usize = 20;
const STOP_MS: u64 = 3200;
const GRACE_MS: u64 = 2000;
const WINDOW_MS: u64 = 12_309;
const BUDGET_MS: u64 = 4100;
const RUN_MS: u64 = 60;

fn main() {
    let (record, folder) = arguments();
    let trouble = has_trouble();
    let script = |_: &str, _: &[u8]| vec![Step::Work(RUN_MS)];
    let world = Arc::new(World::new(&record, 2, Box::new(script)));
    let site = Site {
        servers: 2,
        classes: format!(
            r#"{{"name":"tally-capture","aim_us":1300000,"hard_limit_us":4100000,"credit":2.0,"late_worth":0.0,
"effect":"idempotency_key","write":true,"repeat_window_us":{}}}"#,
            WINDOW_MS * 1000
        ),
        calls: r#""class_calls":[false],"downstream":"silent","passes_deadline":false"#.to_owned(),
        stop_ms: STOP_MS,
        drain_grace_ms: GRACE_MS,
    };
    let servers = start_site(&world, &folder, &site);
    let request = |connection: &Connection, server: usize, n: usize, again: bool| {
        let (body, key) = (format!("tally {n}"), format!("key-{n}"));
        let t = Try {
            server,
            class: "tally-capture",
            body: body.as_bytes(),
            budget_ms: BUDGET_MS,
            states_budget: false,
            once_key: Some(&key),
            rank: 0.5,
            again,
        };
        send(&world, connection, &t)
    };
    let answer = |id: &str| world.state.lock().unwrap().requests[id].answers.first().map(|a| a.1.clone());
    // First tries. Each connection is reset just as the answer comes.
    let mut tries: Vec<Vec<String>> = Vec::new();
    for n in 0..REQUESTS {
        let connection = connect(&world, servers[0].address).unwrap();
        connection.reset_at_answer.store(true, Ordering::Relaxed);
        tries.push(vec![request(&connection, 0, n, false)]);
        thread::sleep(ms(40));
    }
    thread::sleep(ms(RUN_MS + 200));
    let noticed = Instant::now();
    if trouble {
        world.note("SIGTERM to server 0");
        servers[0].signal("TERM");
    }
    // The tries that come again, from 100 ms after the grace on, over 400 ms.
    thread::sleep(ms(GRACE_MS + 100).saturating_sub(noticed.elapsed()));
    let first = connect(&world, servers[0].address).unwrap();
    for (n, list) in tries.iter_mut().enumerate() {
        list.push(request(&first, 0, n, true));
        thread::sleep(ms(20));
    }
    thread::sleep(ms(200));
    // A refusal says that the try never ran, so the balancer goes on to the next server of its list.
    let other = connect(&world, servers[1].address).unwrap();
    for (n, list) in tries.iter_mut().enumerate() {
        if answer(&list[1]) == Some(Answer::Refused) {
            list.push(request(&other, 1, n, true));
            thread::sleep(ms(60));
        }
    }
    thread::sleep(ms(1500));
    world.stop.store(true, Ordering::Relaxed);
    let state = world.state.lock().unwrap();
    let has_run = |id: &String| state.runs.get(id).is_some_and(|r| r.starts > 0);
    let (mut ran, mut refused, mut again_served, mut again_failed, mut twice) = (0, 0, 0, 0, 0);
    for list in &tries {
        let first_ran = has_run(&list[0]);
        ran += usize::from(first_ran);
        match state.requests[&list[1]].answers.first().map(|a| &a.1) {
            Some(Answer::Refused) => refused += usize::from(first_ran),
            Some(Answer::Served(_)) => again_served += 1,
            _ => again_failed += 1,
        }
        twice += usize::from(list.iter().filter(|id| has_run(id)).count() > 1);
    }
    world.say(&format!("{REQUESTS} keyed requests, {ran} of them ran at server 0 with their first try"));
    world.say(&format!(
        "come again at server 0: {refused} of these turned away, {again_served} served, {again_failed} failed or unanswered"
    ));
    world.say(&format!("{twice} requests ran a second time, at server 1, after they had been turned away"));
    drop(state);
    if ran == 0 {
        drop(servers);
        std::process::exit(2);
    }
    finish(servers, refused > 0);
}
