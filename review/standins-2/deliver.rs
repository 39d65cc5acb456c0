//! Runs that make two calls each, under a steady load. The disruption is either breaks of the agent's link, or
//! replies of the records service with a second copy behind. Checked: each run gets, for each of its calls, the
//! reply to that call.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LOAD_SECONDS: u64 = 75;

fn config(dirs: &CaseDirs, listen: SocketAddr, agent: SocketAddr, announce: SocketAddr, records: SocketAddr) -> std::path::PathBuf {
    let class = |name: &str, credit: f64, aim: u64, limit: u64| {
        format!(
            "{{\"name\":\"{name}\",\"aim_us\":{aim},\"hard_limit_us\":{limit},\"credit\":{credit},\"late_worth\":0.0,\
             \"effect\":\"read_like\",\"repeat_window_us\":5000000}}"
        )
    };
    let text = format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"agent\":\"{agent}\",\"announce\":\"{announce}\",\
          \"records\":\"{records}\",\"seed\":\"8c1f30d27a5be964\",\"stop_ms\":3200,\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"settings\":{{\
          \"classes\":[{},{}],\"family\":\"server\",\"family_info\":{{\"callers\":3,\"calls_over_us\":5000000,\
          \"class_calls\":[true,true],\"class_skip_worth\":[0.0,0.0],\"dep_share\":30.0,\"downstream\":\"common\",\
          \"fresh_start\":false,\"fresh_us\":0,\"idle_us\":30000000,\"key_kb\":170.0,\"linger_us\":200000,\
          \"mem_limit_kb\":110652.0,\"meters\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"n_cores\":6,\
          \"preemption\":\"pause\",\"run_factor\":16.0,\"say\":\"silent\"}},\
          \"guarantees\":{{\"cold_from\":0.2,\"cold_us\":17000000,\"drain_grace_us\":2500000,\"fall_multiple\":8.0,\
          \"fall_us\":1500000,\"grace_to_answer_us\":60000}},\
          \"limits\":{{\"max_retry_after_us\":1000000,\"retry_after\":true}},\"over_share_worth\":0.1,\
          \"prices\":{{\"handshake\":0.02}},\"realms\":[],\"servers\":10,\"tick_us\":4000,\"tier\":0}}}}",
        class("search", 1.0, 1_300_000, 3_300_000),
        class("book", 3.0, 2_200_000, 5_400_000),
    );
    let path = dirs.temp.join("config.json");
    std::fs::write(&path, text).expect("config");
    path
}

fn main() {
    let dirs = case_dirs();
    let kind = std::env::args().nth(4).expect("kind");
    // A page names up to 190 first tries a second for a server, and six times as many on one day.
    let requests_per_second: u64 = if kind == "breaks" { 500 } else { 100 };
    let break_ms: u64 = std::env::var("BREAK_MS").ok().and_then(|v| v.parse().ok()).unwrap_or(700);
    let gap_us: u64 = std::env::var("GAP_US").ok().and_then(|v| v.parse().ok()).unwrap_or(2_000);
    let copies = Arc::new(AtomicU64::new(0));
    let calls = Arc::new(AtomicU64::new(0));
    let records = {
        let (record, copies, calls) = (dirs.record.clone(), copies.clone(), calls.clone());
        let with_copies = dirs.trouble && kind == "copies";
        let copy_every = 20;
        http_service(move |_, body| {
            let number = calls.fetch_add(1, Ordering::Relaxed) + 1;
            let text = format!("reply to {}", String::from_utf8_lossy(body));
            let bytes = http_bytes("200 OK", text.as_bytes());
            let has_copy = with_copies && number % copy_every == 0;
            if has_copy {
                copies.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("records: [{text}], with a second copy behind"));
            }
            let behind = has_copy.then(|| (Duration::from_micros(gap_us), bytes.clone()));
            HttpReply { delay: Duration::from_millis(2), bytes: Some(bytes), behind }
        })
    };
    let announce = announce_service(&dirs.record);
    let plan = Plan { calls: 2, work_ms: 8.0, random: true };
    let (agent_address, mut agent) =
        Agent::new(&dirs.record, &[("search", plan.clone()), ("book", plan)], 0x9e37_79b9_7f4a_7c15);
    agent.room = 60.0;
    if dirs.trouble && kind == "breaks" {
        agent.break_every = Some(Duration::from_millis(break_ms));
    }
    let over = agent.over.clone();
    let listen = free_address();
    let config = config(&dirs, listen, agent_address, announce, records);
    let mut server = Server::start(&dirs, "n1", listen, &config, "");

    let answers: Arc<Mutex<HashMap<String, Answer>>> = Arc::default();
    let sent: Arc<AtomicU64> = Arc::default();
    let end = Instant::now() + Duration::from_secs(LOAD_SECONDS);
    let healthy: Arc<Mutex<Option<bool>>> = Arc::default();
    {
        let (answers, over, sent, record, healthy) =
            (answers.clone(), over, sent.clone(), dirs.record.clone(), healthy.clone());
        thread::spawn(move || {
            let is_healthy = wait_until_healthy(listen);
            *healthy.lock().unwrap() = Some(is_healthy);
            if is_healthy {
                offer_load(listen, end, requests_per_second, &answers, &over, &sent, &record);
            }
        });
    }
    agent.work_until(end + Duration::from_secs(6));

    let alive = server.is_alive();
    let wrong: Vec<String> = agent
        .delivered
        .iter()
        .filter(|d| d.reply != [b"reply to ", &(agent.call_body)(&d.id, d.call)[..]].concat())
        .map(|d| {
            format!("run {} waited for call {} and got [{}]", d.id, d.call, String::from_utf8_lossy(&d.reply))
        })
        .collect();
    let answers = answers.lock().unwrap();
    let served = answers.values().filter(|a| a.meaning() == "served").count();
    let wrong_results = answers
        .iter()
        .filter(|(id, a)| {
            let expected = format!("body of {id}|reply to call 1 of {id}|reply to call 2 of {id}");
            a.meaning() == "served" && a.body != expected.as_bytes()
        })
        .count();
    let sent = sent.load(Ordering::Relaxed);
    let summary = format!(
        "sent {sent}, answered {}, served {served}, delivered {}, link breaks {}, calls {}, second copies {}; \
         wrong replies given to runs: {}, callers served with a result of wrong replies: {wrong_results}; server alive: {alive}",
        answers.len(),
        agent.delivered.len(),
        agent.breaks,
        calls.load(Ordering::Relaxed),
        copies.load(Ordering::Relaxed),
        wrong.len(),
    );
    for line in wrong.iter().take(20) {
        dirs.record.line(&format!("WRONG: {line}"));
    }
    dirs.record.line(&summary);
    println!("{summary}");
    for line in wrong.iter().take(3) {
        println!("  {line}");
    }
    let ran = *healthy.lock().unwrap() == Some(true) && served > 1_000;
    drop(server);
    std::process::exit(if !ran {
        2
    } else if wrong.is_empty() {
        0
    } else {
        1
    });
}

/// Sends requests at a steady rate over three connections, and notes their answers.
fn offer_load(
    listen: SocketAddr,
    end: Instant,
    requests_per_second: u64,
    answers: &Arc<Mutex<HashMap<String, Answer>>>,
    over: &Arc<Mutex<std::collections::HashSet<String>>>,
    sent: &Arc<AtomicU64>,
    record: &Record,
) {
    type Open = Arc<Mutex<HashMap<u16, String>>>;
    let mut connections: Vec<(TcpStream, Open)> = Vec::new();
    for _ in 0..6 {
        let Some(stream) = connect(listen) else { return };
        let open: Open = Arc::default();
        let reader = stream.try_clone().expect("copy");
        let (answers, over, open_of_reader, record) =
            (answers.clone(), over.clone(), open.clone(), record.clone());
        thread::spawn(move || {
            let mut reader = AnswerReader::new(reader);
            while let Some(answer) = reader.next() {
                let Some(id) = open_of_reader.lock().unwrap().remove(&answer.slot) else { continue };
                record.line(&format!("balancer: {id} is {} ({})", answer.meaning(), answer.status));
                over.lock().unwrap().insert(id.clone());
                answers.lock().unwrap().insert(id, answer);
            }
        });
        connections.push((stream, open));
    }
    let start = Instant::now();
    let mut number: u64 = 0;
    while Instant::now() < end {
        let due = start + Duration::from_micros(number * 1_000_000 / requests_per_second);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let (stream, open) = &mut connections[(number % 6) as usize];
        let id = format!("{number:016x}");
        let slot = {
            let mut open = open.lock().unwrap();
            let Some(slot) = (1..=30u16).find(|slot| !open.contains_key(slot)) else { continue };
            open.insert(slot, id.clone());
            slot
        };
        let class = if number % 4 == 0 { "book" } else { "search" };
        let rank = if class == "book" { "0.8000" } else { "0.2000" };
        let fields = [
            ("REQUEST_METHOD", "POST".to_owned()),
            ("SCRIPT_NAME", format!("/svc/{class}")),
            ("HTTP_REQUEST_ID", id.clone()),
            ("HTTP_RECEIVED_AT", unix_ms().to_string()),
            ("HTTP_SENT_BY", "4".to_owned()),
            ("HTTP_BUDGET_MS", "2500".to_owned()),
            ("HTTP_FOOTPRINT_KB", "24.5".to_owned()),
            ("HTTP_PRIORITY_RANK", rank.to_owned()),
        ];
        record.line(&format!("balancer: {id} sent, class {class}"));
        sent.fetch_add(1, Ordering::Relaxed);
        if stream.write_all(&fcgi_request(slot, &fields, format!("body of {id}").as_bytes())).is_err() {
            return;
        }
    }
}
