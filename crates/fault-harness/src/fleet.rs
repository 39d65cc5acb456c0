//! A fleet of server processes, the relays between them and their shared dependency.

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
use umberloom_protocol_fakes::{standstill, Dependency};

use crate::check;
use crate::history::History;
use crate::relay::{Direction, Faults, Relay};
use crate::server::{Server, WAIT_TIMEOUT};
use crate::traffic::{RequestOutcome, Traffic};

/// Configuration of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the server program.
    pub program: PathBuf,
    /// Number of servers: 2 to 24, or 1 for a server without peers.
    pub servers: usize,
    /// Concurrent calls that the shared dependency survives; the limit that all servers together must keep.
    pub capacity: u32,
    /// Seed of the random draws of link faults.
    pub seed: u64,
    /// The node `timing` of the operator configuration. The defaults are short to keep tests short.
    pub timing: String,
    /// The node `loans` of the operator configuration.
    pub loans: String,
    /// Median service time of the shared dependency in milliseconds.
    pub service_time_ms: f64,
    /// Whether the servers know each other. Without it each server runs alone, with a fixed share of the
    /// capacity.
    pub fleet_enabled: bool,
    /// Names of the servers; `n1`, `n2` and so on by default.
    pub names: Vec<String>,
    /// Shortest time between two changes of a partition status, in milliseconds; matches `damp-ms` in
    /// `timing`.
    pub damp_ms: u64,
    /// Whether each server has a fixed share of the capacity, with no leases between servers.
    pub fixed_quota_shares: bool,
    /// Properties of the node `record`; `None` if the servers have no replicated store.
    pub store_options: Option<String>,
    /// Properties of the store's folder; `None` if replicas are lost when their processes end.
    pub store_folder_options: Option<String>,
}

impl Options {
    /// Default options for this number of servers, without a replicated store.
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

/// A running fleet. Dropping it kills all servers and removes their files.
pub struct Fleet {
    pub options: Options,
    pub history: History,
    pub servers: Vec<Server>,
    pub shared_dependency: Dependency,
    /// The link directions between servers, by sender and receiver.
    directions: BTreeMap<(usize, usize), Direction>,
    /// The relays between servers, by the connecting server and its peer.
    relays: BTreeMap<(usize, usize), Relay>,
    /// The relay from each server to the shared dependency, with its outgoing direction.
    shared_dependency_links: Vec<(Relay, Direction)>,
    pub traffic: Option<Traffic>,
    /// The peers in each server's configuration: all others, unless a test changes it.
    pub configured_peers: Vec<Vec<usize>>,
    folder: PathBuf,
    prepared_at: Instant,
    // Ends the relays when the fleet is dropped.
    _relay_driver: Driver,
}

/// A thread that runs the relays' executor until this value is dropped.
pub(crate) struct Driver {
    stop: mpsc::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Driver {
    pub(crate) fn start(executor: Arc<Executor<'static>>) -> Driver {
        let (stop, stopped) = mpsc::channel::<()>();
        let thread = thread::spawn(move || {
            let until_stopped = async {
                while matches!(stopped.try_recv(), Err(mpsc::TryRecvError::Empty)) {
                    Timer::after(Duration::from_millis(20)).await;
                }
            };
            async_io::block_on(executor.run(until_stopped));
        });
        Driver { stop, thread: Some(thread) }
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        self.thread.take().map(thread::JoinHandle::join);
    }
}

impl Fleet {
    /// Prepares the relays, the shared dependency and the servers' files; no server runs yet.
    pub fn prepare(options: Options) -> std::io::Result<Fleet> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("umberloom-fault-harness-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        // Started before the first call, if no earlier fleet has started it.
        standstill::monitor();
        let history = History::default();
        let executor = Arc::new(Executor::new());
        let new_server = |(n, name): (usize, &String)| {
            Server::new(name, &options.program, &folder.join(n.to_string()), history.clone())
        };
        let servers: std::io::Result<Vec<Server>> =
            options.names.iter().enumerate().map(new_server).collect();
        let servers = servers?;
        let behaviour =
            Behaviour::Answer { body: b"billed".to_vec(), median_ms: options.service_time_ms, sigma: 0.3 };
        let shared_dependency = Dependency::start(behaviour);
        let pairs = || {
            (0..servers.len()).flat_map(|a| (0..servers.len()).map(move |b| (a, b))).filter(|(a, b)| a != b)
        };
        let seed = |a: usize, b: usize| options.seed.wrapping_mul(1_000).wrapping_add((a * 64 + b) as u64);
        let directions: BTreeMap<_, _> = pairs().map(|(a, b)| ((a, b), Direction::new(seed(a, b)))).collect();
        let mut relays = BTreeMap::new();
        for (a, b) in pairs().filter(|_| options.fleet_enabled) {
            let both_directions = (directions[&(a, b)].clone(), directions[&(b, a)].clone());
            let relay = Relay::start(
                &executor,
                servers[a].host,
                servers[a].fleet_address,
                servers[b].fleet_address,
                both_directions,
            )?;
            relays.insert((a, b), relay);
        }
        let shared_dependency_links =
            link_to_dependency(&executor, &servers, &shared_dependency, options.seed)?;
        let all_others =
            (0..servers.len()).map(|a| (0..servers.len()).filter(|b| *b != a).collect()).collect();
        let fleet = Fleet {
            options,
            history,
            servers,
            shared_dependency,
            directions,
            relays,
            shared_dependency_links,
            traffic: None,
            configured_peers: all_others,
            folder,
            prepared_at: Instant::now(),
            _relay_driver: Driver::start(executor),
        };
        for n in 0..fleet.servers.len() {
            fleet.servers[n].write_operator_config(&fleet.operator_config(n))?;
        }
        Ok(fleet)
    }

    /// Starts all servers and waits until they pass their health checks.
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

    /// Like [`Fleet::start`], and waits until every partition status is `whole` and every server has a quota
    /// share.
    pub fn start_converged(options: Options) -> Result<Fleet, String> {
        let fleet = Fleet::start(options)?;
        fleet.wait_for_partition_status_everywhere("whole")?;
        fleet.wait_until("every server to have a quota share", |fleet| {
            let has_share =
                |n: usize| fleet.view(n).is_ok_and(|v| v["allowances"][0][1]["part"].as_u64() > Some(0));
            (0..fleet.servers.len()).all(has_share)
        })?;
        Ok(fleet)
    }

    /// The text of a server's operator configuration.
    pub fn operator_config(&self, n: usize) -> String {
        let (shared, capacity, servers) =
            (self.shared_dependency_links[n].0.address, self.options.capacity, self.servers.len());
        let survives = match (self.options.fleet_enabled, self.options.fixed_quota_shares) {
            (true, false) => format!("survives calls={capacity}"),
            _ => format!("survives calls={capacity} servers={servers}"),
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
            if let Some(store) = &self.options.store_options {
                let folder = self.servers[n].store_folder();
                let folder_node =
                    self.options.store_folder_options.as_ref().map_or_else(String::new, |options| {
                        format!("folder \"{}\" {options}", folder.display())
                    });
                let _ = writeln!(text, " record {store} {{ {folder_node}\n }}");
            }
            for other in &self.configured_peers[n] {
                let (name, address) = (&self.servers[*other].name, self.relays[&(n, *other)].address);
                let _ = writeln!(text, " peer \"{name}\" address=\"{address}\" zone=\"z{}\"", other % 3);
            }
            text.push_str("}\n");
        }
        text
    }

    /// Rewrites a server's operator configuration and signals the server to reload it.
    pub fn reload(&self, n: usize) {
        let _ = self.servers[n].write_operator_config(&self.operator_config(n));
        self.servers[n].signal("HUP");
    }

    /// Starts this many callers per server, which pause for `gap` between requests.
    pub fn start_traffic(&mut self, callers: usize, gap: Duration) {
        let servers: Vec<(SocketAddr, _)> =
            self.servers.iter().map(|s| (s.listen, s.farm.completion_notifier())).collect();
        self.traffic = Some(Traffic::start(&servers, callers, gap));
    }

    /// Sets the faults of one direction.
    pub fn set_faults(&self, from: usize, to: usize, faults: Faults) {
        let details = json!({"from": self.servers[from].name, "to": self.servers[to].name, "faults": format!("{faults:?}")});
        self.history.record("rig", "fault", details);
        self.directions[&(from, to)].set(faults);
    }

    /// Sets the faults of every direction between servers.
    pub fn set_all_faults(&self, faults: Faults) {
        self.history.record("rig", "fault", json!({"all": format!("{faults:?}")}));
        self.directions.values().for_each(|direction| direction.set(faults));
    }

    /// Changes some faults of one direction and leaves the others.
    pub fn change_faults(&self, from: usize, to: usize, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.directions[&(from, to)].faults();
        change(&mut faults);
        self.set_faults(from, to, faults);
    }

    /// Cuts both directions between servers of different groups. Servers in no group keep all their links.
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

    /// Removes all faults between servers and towards the shared dependency.
    pub fn heal(&self) {
        self.set_all_faults(Faults::default());
        self.shared_dependency_links.iter().for_each(|(_, direction)| direction.set(Faults::default()));
    }

    /// Makes the shared dependency unreachable from this server, or reachable again.
    pub fn cut_shared_dependency(&self, n: usize, cut: bool) {
        self.history.record("rig", "fault", json!({"shared_from": self.servers[n].name, "cut": cut}));
        self.shared_dependency_links[n].1.set(Faults { refuse: cut, ..Faults::default() });
    }

    /// The direction between two servers.
    pub fn direction(&self, from: usize, to: usize) -> &Direction {
        &self.directions[&(from, to)]
    }

    /// The relay from one server to another.
    pub fn relay(&self, from: usize, to: usize) -> &Relay {
        &self.relays[&(from, to)]
    }

    /// The membership view of a server, from `umberloom fleet members`.
    pub fn view(&self, n: usize) -> Result<Value, String> {
        self.servers[n].fleet_command(&["members"])
    }

    /// Runs a replicated store command, `umberloom fleet record`, against a server.
    pub fn store_command(&self, n: usize, arguments: &[&str]) -> Result<Value, String> {
        self.servers[n].fleet_command(&[&["record"], arguments].concat())
    }

    /// One field of a server's replicated store status; null if there is no status or no such field.
    pub fn store_status_field(&self, n: usize, field: &str) -> Value {
        self.store_command(n, &["status"]).map_or(Value::Null, |mut status| status[field].take())
    }

    /// The leader of the replicated store: of the servers that report the role, the one with the highest
    /// term.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.servers.len()).filter(|n| self.servers[*n].is_running());
        let status = running.filter_map(|n| Some((n, self.store_command(n, &["status"]).ok()?)));
        let leads = status.filter(|(_, status)| status["role"] == "Leader");
        leads.max_by_key(|(_, status)| status["term"].as_u64()).map(|(n, _)| n)
    }

    /// Waits until the store has this many voters, every running server has a replica, and all have applied
    /// the same entries.
    pub fn wait_for_replication(&self, voters: usize) -> Result<(), String> {
        self.wait_until(&format!("a replicated store of {voters} voters with equal replicas"), |fleet| {
            let running = (0..fleet.servers.len()).filter(|n| fleet.servers[*n].is_running());
            let all: Vec<Value> = running.filter_map(|n| fleet.store_command(n, &["status"]).ok()).collect();
            let count = fleet.servers.iter().filter(|s| s.is_running()).count();
            let counts = |status: &Value| {
                let replicas = status["copies"].as_array().map(Vec::as_slice).unwrap_or_default();
                (replicas.iter().filter(|replica| replica["votes"] == true).count(), replicas.len())
            };
            let same = |field: &str| all.iter().all(|status| status[field] == all[0][field]);
            all.len() == count
                && ["record", "applied", "chain"].into_iter().all(same)
                && all.iter().all(|status| counts(status) == (voters, count) && status["role"] != "Outside")
                && all.iter().any(|status| status["role"] == "Leader")
        })
    }

    /// The partition status that a server reports, in lower case; the error text if it can't be asked.
    pub fn partition_status(&self, n: usize) -> String {
        self.view(n).map_or_else(|why| why, |view| view["standing"].as_str().unwrap_or("?").to_lowercase())
    }

    /// The member state of `other` in the view of server `n`, in lower case.
    pub fn member_state(&self, n: usize, other: usize) -> String {
        let Ok(view) = self.view(n) else { return "?".to_owned() };
        let name = self.servers[other].name.as_str();
        let member =
            view["members"].as_array().and_then(|all| all.iter().find(|m| m["name"] == name).cloned());
        member.map_or_else(|| "unknown".to_owned(), |m| m["state"].as_str().unwrap_or("?").to_lowercase())
    }

    /// Waits until a condition holds. The error names the condition and contains each server's status and the
    /// end of its log.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Fleet) -> bool) -> Result<(), String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if condition(self) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(40));
        }
        let mut report = String::new();
        for (n, server) in self.servers.iter().enumerate() {
            let store = self.options.store_options.as_ref().map(|_| self.store_command(n, &["status"]));
            let _ =
                writeln!(report, "{}: {:?}\n{store:?}\n{}", server.name, self.view(n), tail(&server.log()));
        }
        Err(format!(
            "timed out waiting for {what}\nrequests of the last 5 s: {}\n{report}",
            self.recent_outcomes()
        ))
    }

    /// The number of requests of the last five seconds by server and outcome.
    fn recent_outcomes(&self) -> String {
        let requests = self.traffic.as_ref().map(Traffic::outcomes).unwrap_or_default();
        let from = crate::history::now_us().saturating_sub(5_000_000);
        let mut counts: BTreeMap<(usize, String), usize> = BTreeMap::new();
        for request in requests.iter().filter(|r| r.at_us + r.took.as_micros() as u64 >= from) {
            *counts.entry((request.server, format!("{:?}", request.outcome))).or_default() += 1;
        }
        let text = |((n, outcome), count): (&(usize, String), &usize)| {
            format!("{} {outcome} {count}", self.servers[*n].name)
        };
        counts.iter().map(text).collect::<Vec<_>>().join(", ")
    }

    /// Waits until a server reports this partition status.
    pub fn wait_for_partition_status(&self, n: usize, status: &str) -> Result<(), String> {
        self.wait_until(&format!("{} to have the partition status {status}", self.servers[n].name), |fleet| {
            fleet.partition_status(n) == status
        })
    }

    /// Waits until every running server reports this partition status.
    pub fn wait_for_partition_status_everywhere(&self, status: &str) -> Result<(), String> {
        let running: Vec<usize> = (0..self.servers.len()).filter(|n| self.servers[*n].is_running()).collect();
        running.iter().try_for_each(|n| self.wait_for_partition_status(*n, status))
    }

    /// Waits until server `n` sees `other` in this member state.
    pub fn wait_for_member_state(&self, n: usize, other: usize, state: &str) -> Result<(), String> {
        let what = format!("{} to see {} as {state}", self.servers[n].name, self.servers[other].name);
        self.wait_until(&what, |fleet| fleet.member_state(n, other) == state.replace(' ', ""))
    }

    /// The calls that the shared dependency received.
    pub fn call_intervals(&self) -> Vec<CallInterval> {
        self.shared_dependency.call_intervals()
    }

    /// The largest number of calls in progress at the shared dependency at any instant.
    pub fn peak_concurrency(&self) -> usize {
        peak_concurrency(&self.call_intervals()).0
    }

    /// Ends the traffic, reads all logs and returns every violated invariant.
    pub fn finish_and_check(&mut self) -> Vec<String> {
        let requests = self.traffic.take().map(Traffic::finish).unwrap_or_default();
        self.check_invariants(&requests)
    }

    /// Reads all logs and returns every violated invariant. `requests` are those of traffic that has ended
    /// already.
    pub fn check_invariants(&mut self, requests: &[RequestOutcome]) -> Vec<String> {
        let mut violations = Vec::new();
        for server in &mut self.servers {
            if server.has_crashed() {
                violations.push(format!(
                    "{} ended without being told to\n{}",
                    server.name,
                    tail(&server.log())
                ));
            }
            server.read_log();
        }
        let events = self.history.events();
        let standstills = standstill::monitor().between(self.prepared_at, Instant::now());
        violations.extend(check::capacity_exceeded(
            &self.call_intervals(),
            self.options.capacity as usize,
            &standstills,
        ));
        violations.extend(check::lost_or_extra_answers(requests));
        violations.extend(check::flapping(&events, self.options.damp_ms));
        violations.extend(check::panics(&events));
        violations
    }
}

/// Starts a relay from each server to the shared dependency. Returns each with its outgoing direction.
fn link_to_dependency(
    executor: &Arc<Executor<'static>>,
    servers: &[Server],
    dependency: &Dependency,
    seed: u64,
) -> std::io::Result<Vec<(Relay, Direction)>> {
    let start = |server: &Server| {
        let direction = Direction::new(seed);
        let both_directions = (direction.clone(), Direction::new(seed));
        let (host, from) = (server.host, server.fleet_address);
        let relay = Relay::start(executor, host, from, dependency.address, both_directions)?;
        Ok((relay, direction))
    };
    servers.iter().map(start).collect()
}

/// The last 25 lines of a log.
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
