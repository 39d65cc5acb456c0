//! Retries of keyed requests that have run, while the server drains. Checked: none of them is turned away, and
//! none runs a second time on the server.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Requests, each with a key of its own.
const REQUESTS: u64 = 4;
/// How long the balancer waits for the first try. It does not say so, and gives no sign when it stops waiting.
const PATIENCE: Duration = Duration::from_millis(700);
/// The time from the notice to SIGKILL, as in the example of the deploy page.
const STOP_MS: u64 = 3_200;
/// The site's drain grace.
const GRACE_MS: u64 = 2_000;

fn config(dirs: &CaseDirs, name: &str, listen: SocketAddr, agent: SocketAddr, announce: SocketAddr) -> std::path::PathBuf {
    let text = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"agent\":\"{agent}\",\"announce\":\"{announce}\",\
          \"seed\":\"8c1f30d27a5be964\",\"stop_ms\":{STOP_MS},\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"settings\":{{\
          \"classes\":[{{\"name\":\"view\",\"aim_us\":1500000,\"hard_limit_us\":5100000,\"credit\":1.0,\
          \"late_worth\":0.0,\"effect\":\"read_like\",\"repeat_window_us\":5000000}},\
          {{\"name\":\"capture\",\"aim_us\":1300000,\"hard_limit_us\":4100000,\"credit\":2.0,\"late_worth\":0.0,\
          \"effect\":\"idempotency_key\",\"write\":true,\"repeat_window_us\":12309000}}],\
          \"family\":\"server\",\"family_info\":{{\"callers\":3,\"calls_over_us\":5000000,\
          \"class_calls\":[false,false],\"downstream\":\"silent\",\"fresh_start\":false,\"fresh_us\":0,\
          \"idle_us\":30000000,\"key_kb\":170.0,\"linger_us\":200000,\"mem_limit_kb\":110652.0,\
          \"meters\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"n_cores\":2,\
          \"passes_deadline\":false,\"preemption\":\"silent\",\"run_factor\":16.0,\"say\":\"silent\"}},\
          \"guarantees\":{{\"cold_from\":0.2,\"cold_us\":17000000,\"drain_grace_us\":{},\"fall_multiple\":8.0,\
          \"fall_us\":1500000,\"grace_to_answer_us\":100000}},\"client_habits\":{{\"marks_retry\":true}},\
          \"load_report\":{{\"how\":\"piggyback\",\"names\":[\"backlog\"]}},\
          \"limits\":{{\"max_retry_after_us\":1000000,\"retry_after\":true}},\"over_share_worth\":0.1,\
          \"prices\":{{\"handshake\":0.02}},\"realms\":[],\"servers\":2,\"tick_us\":4000,\"tier\":0}}}}",
        GRACE_MS * 1_000,
    );
    let path = dirs.temp.join(format!("{name}.json"));
    std::fs::write(&path, text).expect("config");
    path
}

type Launches = HashMap<String, u32>;

/// Starts an agent in a thread of its own; it ends when told, and its launches are returned.
fn start_agent(dirs: &CaseDirs, seed: u64, stop: &Arc<AtomicBool>) -> (SocketAddr, thread::JoinHandle<Launches>) {
    let plan = Plan { calls: 0, work_ms: 900.0, random: false };
    let (address, mut agent) = Agent::new(&dirs.record, &[("view", plan.clone()), ("capture", plan)], seed);
    let stop = stop.clone();
    let handle = thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            agent.work_until(Instant::now() + Duration::from_millis(50));
        }
        agent.launches
    });
    (address, handle)
}

/// Sends one try and waits for its answer.
fn send_try(dirs_record: &Record, server: SocketAddr, id: &str, key: &str, attempt: u32) -> Option<Answer> {
    let mut stream = std::net::TcpStream::connect(server).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let fields = [
        ("REQUEST_METHOD", "POST".to_owned()),
        ("SCRIPT_NAME", "/svc/capture".to_owned()),
        ("HTTP_REQUEST_ID", id.to_owned()),
        ("HTTP_RECEIVED_AT", unix_ms().to_string()),
        ("HTTP_SENT_BY", "4".to_owned()),
        ("HTTP_FOOTPRINT_KB", "24.5".to_owned()),
        ("HTTP_PRIORITY_RANK", "0.7500".to_owned()),
        ("HTTP_ATTEMPT", attempt.to_string()),
        ("HTTP_ONCE_KEY", key.to_owned()),
    ];
    dirs_record.line(&format!("balancer: key {key}: try {attempt} ({id}) is sent"));
    stream.write_all(&fcgi_request(1, &fields, format!("tally {key}").as_bytes())).ok()?;
    let answer = AnswerReader::new(stream).next();
    let text = match &answer {
        Some(a) => format!(
            "{} (status {}, protocol status {}) [{}]",
            a.meaning(),
            a.status,
            a.protocol_status,
            String::from_utf8_lossy(&a.body)
        ),
        None => "no answer".to_owned(),
    };
    dirs_record.line(&format!("balancer: key {key}: try {attempt} ({id}) is {text}"));
    answer
}

fn main() {
    let dirs = case_dirs();
    let stop: Arc<AtomicBool> = Arc::default();
    let announce = announce_service(&dirs.record);
    let (agent1, agent1_thread) = start_agent(&dirs, 11, &stop);
    let (agent2, agent2_thread) = start_agent(&dirs, 12, &stop);
    let (listen1, listen2) = (free_address(), free_address());
    let config1 = config(&dirs, "n1", listen1, agent1, announce);
    let config2 = config(&dirs, "n2", listen2, agent2, announce);
    let mut server1 = Server::start(&dirs, "n1", listen1, &config1, "");
    let server2 = Server::start(&dirs, "n2", listen2, &config2, "");
    if !wait_until_healthy(listen1) || !wait_until_healthy(listen2) {
        println!("the servers did not become healthy");
        std::process::exit(2);
    }
    // The first tries: the balancer stops waiting for each before its answer is there, and gives no sign.
    let first: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = dirs.record.clone();
            thread::sleep(Duration::from_millis(50));
            thread::spawn(move || {
                let sent = Instant::now();
                let answer = send_try(&record, listen1, &format!("a{n:015x}"), &format!("slip-{n}"), 1);
                if sent.elapsed() > PATIENCE {
                    record.line(&format!("balancer: key slip-{n}: had stopped waiting for try 1"));
                }
                answer
            })
        })
        .collect();
    let notice = Instant::now();
    if dirs.trouble {
        dirs.record.line("SIGTERM to n1: the notice to drain");
        server1.signal("TERM");
    }
    // The clients' retries return to the same server, after the grace and before its stop.
    let retries: Vec<_> = (0..REQUESTS)
        .map(|n| {
            let record = dirs.record.clone();
            let at = notice + Duration::from_millis(GRACE_MS + 100 + 150 * n);
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let answer = send_try(&record, listen1, &format!("b{n:015x}"), &format!("slip-{n}"), 2);
                // A refusal says that the try never ran, so that the caller may take the request elsewhere.
                let elsewhere = answer.as_ref().is_some_and(|a| a.meaning() == "refused").then(|| {
                    record.line(&format!("balancer: key slip-{n}: refused by n1, goes on to n2"));
                    send_try(&record, listen2, &format!("c{n:015x}"), &format!("slip-{n}"), 3)
                });
                (answer, elsewhere.flatten())
            })
        })
        .collect();
    let first: Vec<Option<Answer>> = first.into_iter().map(|t| t.join().expect("try")).collect();
    let retries: Vec<_> = retries.into_iter().map(|t| t.join().expect("retry")).collect();
    let kill_at = notice + Duration::from_millis(STOP_MS);
    while dirs.trouble && server1.is_alive() && Instant::now() < kill_at {
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    let launches1 = agent1_thread.join().expect("agent");
    let launches2 = agent2_thread.join().expect("agent");
    drop((server1, server2));

    let results: Mutex<Vec<String>> = Mutex::default();
    let (mut ran, mut refused, mut ran_again, mut answered, mut at_both) = (0, 0, 0, 0, 0);
    for n in 0..REQUESTS as usize {
        let has_run = launches1.contains_key(&format!("a{n:015x}"));
        if !has_run {
            continue;
        }
        ran += 1;
        ran_again += u32::from(launches1.contains_key(&format!("b{n:015x}")));
        at_both += u32::from(launches2.contains_key(&format!("c{n:015x}")));
        let (retry, _) = &retries[n];
        answered += u32::from(retry.is_some());
        if retry.as_ref().is_some_and(|a| a.meaning() == "refused") {
            refused += 1;
            let first = first[n].as_ref().map_or("no answer", Answer::meaning);
            results.lock().unwrap().push(format!("slip-{n}: ran on n1 (its first try was {first}), its retry was refused there"));
        }
    }
    let summary = format!(
        "requests that ran on n1: {ran}; retries answered there: {answered}; retries refused by n1 although the \
         request had run: {refused}; run again on n1: {ran_again}; run by n2 after the refusal: {at_both}"
    );
    for line in results.lock().unwrap().iter() {
        dirs.record.line(&format!("WRONG: {line}"));
    }
    dirs.record.line(&summary);
    println!("{summary}");
    std::process::exit(if ran < REQUESTS / 2 {
        2
    } else if refused + ran_again > 0 {
        1
    } else {
        0
    });
}
