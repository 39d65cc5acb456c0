//! A fleet of server processes, the relays between them and what they share.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use serde_json::{json, Value};
use umberloom_protocol_fakes::dependency::{peak_concurrency, Behaviour, CallInterval};
use umberloom_protocol_fakes::Dependency;

use crate::check;
use crate::history::History;
use crate::relay::{Direction, Faults, Relay};
use crate::server::{Server, WAIT_TIMEOUT};
use crate::traffic::{RequestOutcome, Traffic};

/// What a fleet is to be.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that serves.
    pub program: PathBuf,
    /// From 2 to 24, or one for a server without others.
    pub servers: usize,
    /// Calls at once that the shared dependency survives.
    pub capacity: u32,
    /// For all that is drawn.
    pub seed: u64,
    /// The node `timing` of the operator's file: short times, so that tests are.
    pub timing: String,
    /// The node `loans`.
    pub loans: String,
    /// How long the shared dependency takes, as a median in milliseconds.
    pub service_time_ms: f64,
    /// Without it every server is on its own, with a cut part of what is shared.
    pub fleet_enabled: bool,
    /// Names of the servers, where they are not `n1`, `n2` and so on.
    pub names: Vec<String>,
    /// Standings may change this soon after one another, in milliseconds.
    pub damp_ms: u64,
    /// With it nothing lends: each server has its own part of the whole.
    pub fixed_quota_shares: bool,
    /// The properties of the node `record`, where the servers keep one.
    pub store_options: Option<String>,
    /// The properties of its folder, where its copies outlive their processes.
    pub store_folder_options: Option<String>,
}

impl Options {
    pub fn new(program: &Path, servers: usize) -> Options {
        Options {
            program: program.to_owned(),
            servers,
            capacity: 24,
            seed: 1,
            timing: "timing probe-ms=200 suspect-ms=600 beat-ms=150 rise-ms=200 damp-ms=500 disagree-ms=1500"
                .to_owned(),
            loans: "loans loan-ms=600 call-ms=300 delivery-ms=100".to_owned(),
            service_time_ms: 20.0,
            fleet_enabled: true,
            fixed_quota_shares: false,
            store_options: None,
            store_folder_options: None,
            names: (1..=servers).map(|n| format!("n{n}")).collect(),
            damp_ms: 500,
        }
    }
}

/// All of it. What it started ends with it.
pub struct Fleet {
    pub options: Options,
    pub history: History,
    pub servers: Vec<Server>,
    pub shared_dependency: Dependency,
    directions: BTreeMap<(usize, usize), Direction>,
    relays: BTreeMap<(usize, usize), Relay>,
    /// From each server to the shared dependency.
    to_shared: Vec<(Relay, Direction)>,
    pub traffic: Option<Traffic>,
    /// Whom each server is told of; everyone, unless a test says otherwise.
    pub configured_peers: Vec<Vec<usize>>,
    folder: PathBuf,
    // Ends the relays with the fleet.
    _relays: Driver,
}

/// A thread that drives relays until this is dropped.
pub(crate) struct Driver {
    over: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Driver {
    pub(crate) fn start(executor: Arc<Executor<'static>>) -> Driver {
        let (over, told) = mpsc::channel::<()>();
        let thread = thread::spawn(move || {
            let end = async {
                while matches!(told.try_recv(), Err(mpsc::TryRecvError::Empty)) {
                    Timer::after(Duration::from_millis(20)).await;
                }
            };
            async_io::block_on(executor.run(end));
        });
        Driver { over, thread: Some(thread) }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let _ = self.over.send(());
        self.thread.take().map(thread::JoinHandle::join);
    }
}

impl Fleet {
    /// Makes everything ready; no server runs yet.
    pub fn prepare(options: Options) -> std::io::Result<Fleet> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("umberloom-fault-harness-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let history = History::default();
        let executor = Arc::new(Executor::new());
        let place = |(n, name): (usize, &String)| {
            Server::new(name, &options.program, &folder.join(n.to_string()), history.clone())
        };
        let servers: std::io::Result<Vec<Server>> = options.names.iter().enumerate().map(place).collect();
        let servers = servers?;
        let behaviour =
            Behaviour::Answer { body: b"billed".to_vec(), median_ms: options.service_time_ms, sigma: 0.3 };
        let shared = Dependency::start(behaviour);
        let pairs = || {
            (0..servers.len()).flat_map(|a| (0..servers.len()).map(move |b| (a, b))).filter(|(a, b)| a != b)
        };
        let seed = |a: usize, b: usize| options.seed.wrapping_mul(1_000).wrapping_add((a * 64 + b) as u64);
        let directions: BTreeMap<_, _> = pairs().map(|(a, b)| ((a, b), Direction::new(seed(a, b)))).collect();
        let mut relays = BTreeMap::new();
        for (a, b) in pairs().filter(|_| options.fleet_enabled) {
            let both = (directions[&(a, b)].clone(), directions[&(b, a)].clone());
            let relay = Relay::start(
                &executor,
                servers[a].host,
                servers[a].fleet_address,
                servers[b].fleet_address,
                both,
            )?;
            relays.insert((a, b), relay);
        }
        let mut to_shared = Vec::new();
        for server in &servers {
            let direction = Direction::new(options.seed);
            let both = (direction.clone(), Direction::new(options.seed));
            to_shared.push((
                Relay::start(&executor, server.host, server.fleet_address, shared.address, both)?,
                direction,
            ));
        }
        let everyone = (0..servers.len()).map(|a| (0..servers.len()).filter(|b| *b != a).collect()).collect();
        let fleet = Fleet {
            options,
            history,
            servers,
            shared_dependency: shared,
            directions,
            relays,
            to_shared,
            traffic: None,
            configured_peers: everyone,
            folder,
            _relays: Driver::start(executor),
        };
        for n in 0..fleet.servers.len() {
            fleet.servers[n].write_operator_config(&fleet.operator_config(n))?;
        }
        Ok(fleet)
    }

    /// Starts all servers and waits until they are well.
    pub fn start(options: Options) -> Result<Fleet, String> {
        let mut fleet = Fleet::prepare(options).map_err(|e| e.to_string())?;
        for n in 0..fleet.servers.len() {
            fleet.servers[n].start().map_err(|e| e.to_string())?;
        }
        for n in 0..fleet.servers.len() {
            fleet.servers[n].wait_until_healthy()?;
        }
        Ok(fleet)
    }

    /// The same, and waits until everyone stands whole and uses its part.
    pub fn start_converged(options: Options) -> Result<Fleet, String> {
        let fleet = Fleet::start(options)?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        fleet.wait_until("parts in use", |fleet| {
            let part =
                |n: usize| fleet.view(n).is_ok_and(|v| v["allowances"][0][1]["part"].as_u64() > Some(0));
            (0..fleet.servers.len()).all(part)
        })?;
        Ok(fleet)
    }

    /// The operator's file of a server.
    pub fn operator_config(&self, n: usize) -> String {
        let (shared, whole, servers) =
            (self.to_shared[n].0.address, self.options.capacity, self.servers.len());
        let survives = match (self.options.fleet_enabled, self.options.fixed_quota_shares) {
            (true, false) => format!("survives calls={whole}"),
            _ => format!("survives calls={whole} servers={servers}"),
        };
        let mut text = format!(
            "dependency \"billing\" {{\n endpoints \"{shared}\"\n path \"/billing\"\n limit start=64 least=1 \
             most=256\n endpoint-limit start=64 least=1 most=256\n retry most=0 share=0\n no-breaker\n route \
             failures=1000 lag=100\n {survives}\n}}\nplan \"book-room\" {{\n stage {{ needs \"billing\"; }}\n}}\n"
        );
        if self.options.fleet_enabled {
            let _ = write!(
                text,
                "fleet \"rig\" {{\n listen \"{}\"\n secret \"between us\"\n zone \"z{}\"\n {}\n {}\n",
                self.servers[n].fleet_address,
                n % 3,
                self.options.timing,
                self.options.loans
            );
            if let Some(record) = &self.options.store_options {
                let folder = self.servers[n].store_folder();
                let disk = self.options.store_folder_options.as_ref();
                let disk =
                    disk.map_or_else(String::new, |disk| format!("folder \"{}\" {disk}", folder.display()));
                let _ = writeln!(text, " record {record} {{ {disk}\n }}");
            }
            for other in &self.configured_peers[n] {
                let (name, address) = (&self.servers[*other].name, self.relays[&(n, *other)].address);
                let _ = writeln!(text, " peer \"{name}\" address=\"{address}\" zone=\"z{}\"", other % 3);
            }
            text.push_str("}\n");
        }
        text
    }

    /// Writes a server's file anew, as it is to be now, and says so.
    pub fn reload(&self, n: usize) {
        let _ = self.servers[n].write_operator_config(&self.operator_config(n));
        self.servers[n].signal("HUP");
    }

    /// Callers at every server.
    pub fn start_traffic(&mut self, callers: usize, gap: Duration) {
        let servers: Vec<(SocketAddr, _)> =
            self.servers.iter().map(|s| (s.listen, s.farm.completion_notifier())).collect();
        self.traffic = Some(Traffic::start(&servers, callers, gap));
    }

    /// What one direction is to be like.
    pub fn set_faults(&self, from: usize, to: usize, faults: Faults) {
        let what = json!({"from": self.servers[from].name, "to": self.servers[to].name, "faults": format!("{faults:?}")});
        self.history.record("rig", "fault", what);
        self.directions[&(from, to)].set(faults);
    }

    /// What every direction is to be like.
    pub fn set_all_faults(&self, faults: Faults) {
        self.history.record("rig", "fault", json!({"all": format!("{faults:?}")}));
        self.directions.values().for_each(|direction| direction.set(faults));
    }

    /// Changes one thing of one direction.
    pub fn change_faults(&self, from: usize, to: usize, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.directions[&(from, to)].faults();
        change(&mut faults);
        self.set_faults(from, to, faults);
    }

    /// Cuts both directions between servers of different groups; those in no group keep all.
    pub fn partition(&self, groups: &[&[usize]]) {
        let group = |n: usize| groups.iter().position(|group| group.contains(&n));
        for (a, b) in self.directions.keys() {
            if let (Some(x), Some(y)) = (group(*a), group(*b)) {
                if x != y {
                    self.change_faults(*a, *b, |faults| faults.cut = true);
                }
            }
        }
    }

    /// Everything between servers is well.
    pub fn heal(&self) {
        self.set_all_faults(Faults::default());
        self.to_shared.iter().for_each(|(_, direction)| direction.set(Faults::default()));
    }

    /// The shared dependency can't be reached from this server, or can again.
    pub fn cut_shared_dependency(&self, n: usize, cut: bool) {
        self.history.record("rig", "fault", json!({"shared_from": self.servers[n].name, "cut": cut}));
        self.to_shared[n].1.set(Faults { refuse: cut, ..Faults::default() });
    }

    /// The direction between two servers.
    pub fn direction(&self, from: usize, to: usize) -> &Direction {
        &self.directions[&(from, to)]
    }

    /// The relay from one server to another.
    pub fn relay(&self, from: usize, to: usize) -> &Relay {
        &self.relays[&(from, to)]
    }

    /// What a server says of its fleet.
    pub fn view(&self, n: usize) -> Result<Value, String> {
        self.servers[n].fleet_command(&["members"])
    }

    /// Asks a server about the record.
    pub fn store_command(&self, n: usize, words: &[&str]) -> Result<Value, String> {
        self.servers[n].fleet_command(&[&["record"], words].concat())
    }

    /// One figure of how a server's part in the record stands; null where it has none.
    pub fn store_status_field(&self, n: usize, field: &str) -> Value {
        self.store_command(n, &["status"]).map_or(Value::Null, |mut status| status[field].take())
    }

    /// Which server leads the record: one that says so of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.servers.len()).filter(|n| self.servers[*n].is_running());
        let status = running.filter_map(|n| Some((n, self.store_command(n, &["status"]).ok()?)));
        let leads = status.filter(|(_, status)| status["role"] == "Leader");
        leads.max_by_key(|(_, status)| status["term"].as_u64()).map(|(n, _)| n)
    }

    /// Waits until so many vote, every server that runs has a copy, and all have applied the same.
    pub fn wait_for_replication(&self, voters: usize) -> Result<(), String> {
        self.wait_until(&format!("a record of {voters} voters, the same everywhere"), |fleet| {
            let running = (0..fleet.servers.len()).filter(|n| fleet.servers[*n].is_running());
            let all: Vec<Value> = running.filter_map(|n| fleet.store_command(n, &["status"]).ok()).collect();
            let count = fleet.servers.iter().filter(|s| s.is_running()).count();
            let votes = |status: &Value| {
                let copies = status["copies"].as_array().map(Vec::as_slice).unwrap_or_default();
                (copies.iter().filter(|copy| copy["votes"] == true).count(), copies.len())
            };
            let same = |field: &str| all.iter().all(|status| status[field] == all[0][field]);
            all.len() == count
                && ["record", "applied", "chain"].into_iter().all(same)
                && all.iter().all(|status| votes(status) == (voters, count) && status["role"] != "Outside")
                && all.iter().any(|status| status["role"] == "Leader")
        })
    }

    /// How a server stands, by its own word.
    pub fn partition_status(&self, n: usize) -> String {
        self.view(n).map_or_else(|why| why, |view| view["standing"].as_str().unwrap_or("?").to_lowercase())
    }

    /// What one server holds another for.
    pub fn member_state(&self, n: usize, other: usize) -> String {
        let Ok(view) = self.view(n) else { return "?".to_owned() };
        let name = self.servers[other].name.as_str();
        let member =
            view["members"].as_array().and_then(|all| all.iter().find(|m| m["name"] == name).cloned());
        member.map_or_else(|| "unknown".to_owned(), |m| m["state"].as_str().unwrap_or("?").to_lowercase())
    }

    /// Waits until something holds; else what was waited for, with everything that was said.
    pub fn wait_until(&self, what: &str, holds: impl Fn(&Fleet) -> bool) -> Result<(), String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if holds(self) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(40));
        }
        let mut said = String::new();
        for (n, server) in self.servers.iter().enumerate() {
            let kept = self.options.store_options.as_ref().map(|_| self.store_command(n, &["status"]));
            let _ = writeln!(said, "{}: {:?}\n{kept:?}\n{}", server.name, self.view(n), tail(&server.log()));
        }
        Err(format!("waited in vain for {what}\nrequests of the last 5 s: {}\n{said}", self.of_late()))
    }

    /// How requests of the last five seconds ended, by server.
    fn of_late(&self) -> String {
        let asked = self.traffic.as_ref().map(Traffic::outcomes).unwrap_or_default();
        let from = crate::history::now_us().saturating_sub(5_000_000);
        let mut ends: BTreeMap<(usize, String), usize> = BTreeMap::new();
        for one in asked.iter().filter(|a| a.at_us + a.took.as_micros() as u64 >= from) {
            *ends.entry((one.server, format!("{:?}", one.outcome))).or_default() += 1;
        }
        let word = |((n, end), count): (&(usize, String), &usize)| {
            format!("{} {end} {count}", self.servers[*n].name)
        };
        ends.iter().map(word).collect::<Vec<_>>().join(", ")
    }

    /// Waits until this server stands so.
    pub fn wait_for_partition_status(&self, n: usize, standing: &str) -> Result<(), String> {
        self.wait_until(&format!("{} to stand as {standing}", self.servers[n].name), |fleet| {
            fleet.partition_status(n) == standing
        })
    }

    /// Waits until every server that runs stands so.
    pub fn wait_for_partition_status_everywhere(&self, standing: &str) -> Result<(), String> {
        let running: Vec<usize> = (0..self.servers.len()).filter(|n| self.servers[*n].is_running()).collect();
        running.iter().try_for_each(|n| self.wait_for_partition_status(*n, standing))
    }

    /// Waits until one server holds another for this.
    pub fn wait_for_member_state(&self, n: usize, other: usize, state: &str) -> Result<(), String> {
        let what = format!("{} to hold {} for {state}", self.servers[n].name, self.servers[other].name);
        self.wait_until(&what, |fleet| fleet.member_state(n, other) == state.replace(' ', ""))
    }

    /// The calls that the shared dependency saw.
    pub fn call_intervals(&self) -> Vec<CallInterval> {
        self.shared_dependency.call_intervals()
    }

    /// The most calls that were in use there at any instant.
    pub fn peak_concurrency(&self) -> usize {
        peak_concurrency(&self.call_intervals()).0
    }

    /// Ends the traffic, reads all logs, and tells every breach of what must always hold.
    pub fn finish_and_check(&mut self) -> Vec<String> {
        let asked = self.traffic.take().map(Traffic::finish).unwrap_or_default();
        self.check_invariants(&asked)
    }

    /// The same about requests that are over already.
    pub fn check_invariants(&mut self, asked: &[RequestOutcome]) -> Vec<String> {
        let mut found = Vec::new();
        for server in &mut self.servers {
            if server.has_crashed() {
                found.push(format!(
                    "{} ended although nobody told it to\n{}",
                    server.name,
                    tail(&server.log())
                ));
            }
            server.read_log();
        }
        let events = self.history.events();
        found.extend(check::capacity_exceeded(&self.call_intervals(), self.options.capacity as usize));
        found.extend(check::lost_or_extra_answers(asked));
        found.extend(check::flapping(&events, self.options.damp_ms));
        found.extend(check::panics(&events));
        found
    }
}

fn tail(log: &str) -> String {
    let lines: Vec<&str> = log.lines().collect();
    lines[lines.len().saturating_sub(25)..].join("\n")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.servers.iter_mut().for_each(Server::kill);
        self.traffic = None;
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
