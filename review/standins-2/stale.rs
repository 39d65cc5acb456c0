//! Three servers that keep a record. Their leader stands still for some seconds; documents are written meanwhile, and
//! written again. Checked: once the leader goes on, no document has the content that was overwritten.

#[path = "common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const NAMES: [&str; 3] = ["n1", "n2", "n3"];
/// Small documents that are written twice.
const DOCUMENTS: usize = 24;
/// Documents of 1 MiB that are written meanwhile; each takes 65 entries and more.
const LARGE: usize = 66;
/// Plays in one run, as far as there is time.
const PLAYS: usize = 4;
const MAX_TIME: Duration = Duration::from_secs(85);

fn configure(dirs: &CaseDirs, index: usize, fleet: &[SocketAddr], listen: SocketAddr, agent: SocketAddr, announce: SocketAddr) -> (PathBuf, PathBuf) {
    let name = NAMES[index];
    let config = format!(
        "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"agent\":\"{agent}\",\"announce\":\"{announce}\",\
          \"seed\":\"8c1f30d27a5be96{index}\",\"stop_ms\":3200,\
          \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"settings\":{{\
          \"classes\":[{{\"name\":\"view\",\"aim_us\":1500000,\"hard_limit_us\":5100000,\"credit\":1.0,\
          \"late_worth\":0.0,\"effect\":\"read_like\",\"repeat_window_us\":5000000}}],\
          \"family\":\"server\",\"family_info\":{{\"callers\":3,\"calls_over_us\":5000000,\
          \"class_calls\":[false],\"downstream\":\"silent\",\"fresh_start\":false,\"fresh_us\":0,\
          \"idle_us\":30000000,\"key_kb\":170.0,\"linger_us\":200000,\"mem_limit_kb\":110652.0,\
          \"meters\":[\"core_use\",\"on_cores\",\"heap_share\",\"links\"],\"n_cores\":2,\
          \"preemption\":\"pause\",\"run_factor\":16.0,\"say\":\"silent\"}},\
          \"guarantees\":{{\"cold_from\":0.2,\"cold_us\":17000000,\"drain_grace_us\":2500000,\"fall_multiple\":8.0,\
          \"fall_us\":1500000,\"grace_to_answer_us\":60000}},\
          \"limits\":{{\"max_retry_after_us\":1000000,\"retry_after\":true}},\"over_share_worth\":0.1,\
          \"prices\":{{\"handshake\":0.02}},\"realms\":[],\"servers\":3,\"tick_us\":4000,\"tier\":0}}}}"
    );
    let config_path = dirs.temp.join(format!("{name}.json"));
    std::fs::write(&config_path, config).expect("config");
    // As deploy/record.kdl, without its plan.
    let mut operator = format!("fleet \"desks\" {{\n    listen \"{}\"\n    secret \"a secret\"\n    zone \"west\"\n", fleet[index]);
    for (other, address) in NAMES.iter().zip(fleet).filter(|(other, _)| **other != name) {
        operator += &format!("    peer \"{other}\" address=\"{address}\" zone=\"west\"\n");
    }
    operator += &format!(
        "    record voters=3 election-ms=1000 replace-after-s=30 catch-up-kb=8192 {{\n        folder \"{}\" most-mb=256 scrub-s=600\n    }}\n}}\n",
        dirs.temp.join(format!("{name}-record")).display()
    );
    let operator_path = dirs.temp.join(format!("{name}.kdl"));
    std::fs::write(&operator_path, operator).expect("operator's file");
    (config_path, operator_path)
}

/// The operator's command line.
struct Operator {
    program: PathBuf,
    file: PathBuf,
    fleet: Vec<SocketAddr>,
}

impl Operator {
    fn ask(&self, at: usize, words: &[&str]) -> Output {
        let mut command = Command::new(&self.program);
        command.args(["fleet", "record", "--operator"]).arg(&self.file).args(["--at", &self.fleet[at].to_string()]);
        command.args(words).output().expect("the command line")
    }

    fn text(&self, at: usize, words: &[&str]) -> String {
        let output = self.ask(at, words);
        let text = [output.stdout, output.stderr].concat();
        String::from_utf8_lossy(&text).trim().replace('\n', " / ").chars().take(400).collect()
    }

    fn put(&self, at: usize, name: &str, file: &Path) -> bool {
        self.ask(at, &["put", name, &file.display().to_string()]).status.success()
    }
}

/// One play; `None` if it could not run, else how many documents have the overwritten content again.
fn play(dirs: &CaseDirs, number: usize) -> Option<usize> {
    let own = CaseDirs {
        root: dirs.root.clone(),
        temp: dirs.temp.join(format!("play{number}")),
        record: dirs.record.clone(),
        trouble: dirs.trouble,
    };
    std::fs::create_dir_all(&own.temp).ok()?;
    let stop: Arc<AtomicBool> = Arc::default();
    let announce = announce_service(&own.record);
    let fleet: Vec<SocketAddr> = NAMES.iter().map(|_| free_address()).collect();
    let mut servers = Vec::new();
    for index in 0..3 {
        let plan = Plan { calls: 0, work_ms: 20.0, random: false };
        let (agent_address, mut agent) = Agent::new(&own.record, &[("view", plan)], 5 + index as u64);
        let stop = stop.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                agent.work_until(Instant::now() + Duration::from_millis(50));
            }
        });
        let listen = free_address();
        let (config, operator) = configure(&own, index, &fleet, listen, agent_address, announce);
        let extra = format!(" --operator {}", operator.display());
        let server = Server::start(&own, NAMES[index], listen, &config, &extra);
        // run-case.sh ends what is left by the list in the case's own folder.
        let mut pids = std::fs::OpenOptions::new().create(true).append(true).open(dirs.temp.join("pids")).ok()?;
        std::io::Write::write_all(&mut pids, format!("{}\n", server.pid).as_bytes()).ok()?;
        servers.push(server);
    }
    let operator = Arc::new(Operator {
        program: own.root.join("target/release/umberloom"),
        file: own.temp.join("n1.kdl"),
        fleet: fleet.clone(),
    });
    let result = exercise(&own, &operator, &servers);
    stop.store(true, Ordering::Relaxed);
    drop(servers);
    let _ = std::fs::remove_dir_all(&own.temp);
    result
}

fn exercise(dirs: &CaseDirs, operator: &Arc<Operator>, servers: &[Server]) -> Option<usize> {
    let end = Instant::now() + Duration::from_secs(20);
    let leader = loop {
        let status = operator.text(0, &["status"]);
        let votes = status.matches("  yes  ").count();
        let leader = NAMES.iter().position(|name| status.contains(&format!("leader {name} ")));
        if let Some(leader) = leader.filter(|_| votes == 3) {
            break leader;
        }
        if Instant::now() > end {
            dirs.record.line(&format!("no three voters: {status}"));
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    };
    let (old, new) = (dirs.temp.join("old"), dirs.temp.join("new"));
    std::fs::write(&old, b"old").ok()?;
    std::fs::write(&new, b"new").ok()?;
    let followers: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    // Whether each write was acknowledged. One that was not may still be applied, as the operating page says.
    let write_all = |path: &PathBuf| -> Vec<bool> {
        let writers: Vec<_> = (0..DOCUMENTS)
            .map(|number| {
                let (operator, path, at) = (operator.clone(), path.clone(), followers[number % 2]);
                thread::spawn(move || operator.put(at, &format!("document{number}"), &path))
            })
            .collect();
        writers.into_iter().map(|writer| writer.join().unwrap_or(false)).collect()
    };
    if dirs.trouble {
        dirs.record.line(&format!("SIGSTOP to {}, which leads", NAMES[leader]));
        servers[leader].signal("STOP");
    }
    let stopped_at = Instant::now();
    let written_old = write_all(&old);
    let written_new = write_all(&new);
    let both: Vec<bool> = written_old.iter().zip(&written_new).map(|(old, new)| *old && *new).collect();
    let count = |written: &[bool]| written.iter().filter(|written| **written).count();
    let (written_old, written_new) = (count(&written_old), count(&written_new));
    dirs.record.line(&format!("operator: put at {} and {}: {written_old} old and then {written_new} new acknowledged", NAMES[followers[0]], NAMES[followers[1]]));
    let big: Vec<u8> = vec![b'x'; (1 << 20) - 64];
    // Seven at a time: the store keeps the pieces of eight unfinished documents.
    let next = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let workers: Vec<_> = (0..7)
        .map(|worker| {
            let (operator, next, at) = (operator.clone(), next.clone(), followers[worker % 2]);
            let (path, big) = (dirs.temp.join(format!("large{worker}")), big.clone());
            thread::spawn(move || {
                let mut written = 0;
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= LARGE {
                        return written;
                    }
                    let _ = std::fs::write(&path, [&big[..], format!("{number:064}").as_bytes()].concat());
                    written += usize::from(operator.put(at, &format!("large{worker}"), &path));
                }
            })
        })
        .collect();
    let large: usize = workers.into_iter().map(|worker| worker.join().unwrap_or(0)).sum();
    if dirs.trouble {
        servers[leader].signal("CONT");
        dirs.record.line(&format!("SIGCONT to {} after {:.1} s", NAMES[leader], stopped_at.elapsed().as_secs_f64()));
    }
    dirs.record.line(&format!("operator: put {large} large documents meanwhile"));
    thread::sleep(Duration::from_secs(4));
    let mut back = 0;
    for number in 0..DOCUMENTS {
        let copy = dirs.temp.join("copy");
        let _ = std::fs::remove_file(&copy);
        let name = format!("document{number}");
        let shown = operator.ask(followers[0], &["show", "--out", &copy.display().to_string(), &name]);
        let content = std::fs::read_to_string(&copy).unwrap_or_default();
        if shown.status.success() && content == "old" && both[number] {
            back += 1;
            dirs.record.line(&format!("WRONG: {name}: old and then new were acknowledged, and it has its old content again"));
        }
    }
    let summary = format!(
        "acknowledged: {written_old} old, then {written_new} new, {large} large meanwhile; documents of which both were acknowledged and that have their old content again: {back}"
    );
    dirs.record.line(&summary);
    println!("{summary}");
    (both.contains(&true) && large > LARGE - 3).then_some(back)
}

fn main() {
    let dirs = case_dirs();
    let start = Instant::now();
    let (mut plays, mut back) = (0, 0);
    for number in 0..PLAYS {
        if start.elapsed() > MAX_TIME || (back > 0) {
            break;
        }
        if let Some(documents) = play(&dirs, number) {
            plays += 1;
            back += documents;
        }
    }
    println!("plays: {plays}; documents with an overwritten content: {back}");
    std::process::exit(if plays == 0 {
        2
    } else if back > 0 {
        1
    } else {
        0
    });
}
