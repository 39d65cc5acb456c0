//! Runs a real server process on loopback with a stand-in for each of its peers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use crate::loopback::{free_address, unique_host};
use crate::{signals, standstill};
use crate::{Agent, Announce, Balancer, Records, Request};

/// Upper bound of every wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics after [`WAIT_TIMEOUT`]; `what` names the condition in the message.
pub fn eventually<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// Creates a temporary folder.
fn create_temp_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("umberloom-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Settings with deadlines that no test exceeds, so that results do not depend on the machine's speed.
pub fn settings() -> Value {
    let class = |name: &str, credit: f64| {
        json!({"name": name, "aim_us": 100_000_000, "hard_limit_us": 200_000_000, "credit": credit,
               "late_worth": 0.0, "effect": "read_like", "repeat_window_us": 5_000_000})
    };
    json!({
        "classes": [class("search", 1.0), class("book", 1.0), class("room", 3.0)],
        "family": "server",
        "family_info": {"callers": 3, "calls_over_us": 5_000_000, "class_calls": [true, false, true],
            "class_skip_worth": [0.3, 0.0, 0.5], "dep_share": 6.0, "downstream": "common",
            "fresh_start": false, "fresh_us": 0, "idle_us": 30_000_000, "key_kb": 170.0,
            "linger_us": 200_000, "mem_limit_kb": 110_652.0,
            "meters": ["core_use", "on_cores", "heap_share", "links"], "n_cores": 6,
            "preemption": "pause", "run_factor": 16.0, "say": "silent"},
        "guarantees": {"cold_from": 0.2, "cold_us": 17_000_000, "drain_grace_us": 2_500_000,
            "fall_multiple": 8.0, "fall_us": 1_500_000, "grace_to_answer_us": 60_000},
        "limits": {"max_retry_after_us": 1_000_000, "retry_after": true},
        "over_share_worth": 0.1, "prices": {"handshake": 0.02}, "realms": [], "servers": 10,
        "tick_us": 4_000, "tier": 0
    })
}

/// A server process with stand-ins for its peers. Dropping it kills the server and removes its files; if the
/// thread panics, it prints the server's log to stderr first.
pub struct TestEnvironment {
    /// The render farm agent.
    pub agent: Agent,
    /// The records service.
    pub records: Records,
    /// The announce service.
    pub announce: Announce,
    /// The address at which the server listens for balancers.
    pub listen: SocketAddr,
    program: PathBuf,
    /// The system's limit on the server's descriptors; `None` for the default.
    descriptor_limit: Option<usize>,
    config: Value,
    folder: PathBuf,
    server: Child,
}

/// A change of the default configuration.
pub type ConfigChange = fn(&mut Value);

impl TestEnvironment {
    /// Starts a server and waits until its agent is up and it is registered with the announce service.
    pub fn start_registered(program: &Path, change: ConfigChange) -> TestEnvironment {
        TestEnvironment::start_registered_with(program, change, None)
    }

    /// Like [`TestEnvironment::start_registered`], with an operator configuration.
    pub fn start_registered_with(
        program: &Path,
        change: ConfigChange,
        operator: Option<&str>,
    ) -> TestEnvironment {
        let mut environment = TestEnvironment::start_with(program, change, operator);
        environment.agent.send_initial_notice();
        assert_eq!(environment.announce.next_report(), "true");
        environment
    }

    /// Starts a server whose agent accepts its link and sends nothing yet.
    pub fn start(program: &Path, change: ConfigChange) -> TestEnvironment {
        TestEnvironment::start_with(program, change, None)
    }

    /// Like [`TestEnvironment::start`], with an operator configuration.
    pub fn start_with(program: &Path, change: ConfigChange, operator: Option<&str>) -> TestEnvironment {
        TestEnvironment::start_with_descriptor_limit(program, change, operator, None)
    }

    /// Like [`TestEnvironment::start_with`], with a limit of the system on the descriptors of the process.
    pub fn start_with_descriptor_limit(
        program: &Path,
        change: ConfigChange,
        operator: Option<&str>,
        descriptor_limit: Option<usize>,
    ) -> TestEnvironment {
        let (agent, records, announce) = (Agent::start(), Records::start(), Announce::start());
        let listen = free_address(unique_host()).expect("a free address");
        let mut config = json!({
            "name": "n3", "listen": listen, "agent": agent.address, "announce": announce.address,
            "records": records.address, "seed": "8c1f30d27a5be964", "stop_ms": 5_000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings()
        });
        change(&mut config);
        let folder = create_temp_folder();
        std::fs::write(folder.join("config.json"), config.to_string()).expect("written");
        if let Some(text) = operator {
            std::fs::write(folder.join("operator.kdl"), text).expect("written");
        }
        let program = program.to_owned();
        let server = launch(&program, &folder, descriptor_limit);
        TestEnvironment {
            agent,
            records,
            announce,
            listen,
            program,
            descriptor_limit,
            config,
            folder,
            server,
        }
    }

    /// Opens a connection of a balancer.
    pub fn balancer(&self) -> Balancer {
        Balancer::connect(self.listen)
    }

    /// Opens a connection, sends a request with the FastCGI id 1 and waits until the agent is told to launch
    /// its run.
    pub fn launch_request(&mut self, id: &str) -> Balancer {
        let mut balancer = self.balancer();
        balancer.send(&Request::new(1, id));
        assert_eq!(self.agent.expect_command("launch").0, id);
        balancer
    }

    /// Kills the server with SIGKILL and starts it again.
    pub fn kill_and_restart(&mut self) {
        self.server.kill().expect("killed");
        self.server.wait().expect("ended");
        self.server = launch(&self.program, &self.folder, self.descriptor_limit);
    }

    /// Changes the configuration, replaces its file atomically and signals the server to reload it.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config);
        self.replace_config_file(&self.config.to_string());
    }

    /// Replaces the configuration file by any text and signals the server to reload it.
    pub fn replace_config_file(&self, text: &str) {
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.join("config.json")).expect("renamed");
        self.signal("HUP");
    }

    /// Replaces the operator configuration and signals the server to reload it.
    pub fn replace_operator_config(&self, text: &str) {
        let new = self.folder.join("operator.new");
        std::fs::write(&new, text).expect("written");
        std::fs::rename(new, self.folder.join("operator.kdl")).expect("renamed");
        self.signal("HUP");
    }

    /// The server's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// The latest configuration of [`TestEnvironment::reconfigure`] or of the start.
    pub fn config(&self) -> &Value {
        &self.config
    }

    /// Removes the configuration file and signals the server to reload it.
    pub fn remove_config_file(&self) {
        std::fs::remove_file(self.folder.join("config.json")).expect("removed");
        self.signal("HUP");
    }

    /// Tells the server to drain and exit.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends the server a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        signals::send(self.server.id(), name).expect("a server that has not been waited for");
    }

    /// Sends SIGKILL at `at`, unless the server has ended by then. Returns whether it was still running, and
    /// the standstill of its core that may be why.
    pub fn kill_at(&mut self, at: Instant) -> (bool, Option<Duration>) {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        let is_running = self.is_alive();
        let cores = standstill::cores_of_process(self.server.id());
        self.server.kill().expect("killed");
        self.server.wait().expect("ended");
        (is_running, standstill::monitor().exit_delay(&cores, at))
    }

    /// Starts the server again after it has ended.
    pub fn restart(&mut self) {
        self.server = launch(&self.program, &self.folder, self.descriptor_limit);
    }

    /// Waits for the server to end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        eventually("the server's end", || self.server.try_wait().expect("a child"))
    }

    /// Whether the server is still running.
    pub fn is_alive(&mut self) -> bool {
        self.server.try_wait().expect("a child").is_none()
    }

    /// Resident memory of the server in kilobytes.
    pub fn memory_kb(&self) -> usize {
        let path = format!("/proc/{}/status", self.server.id());
        let status = std::fs::read_to_string(path).expect("a running server");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// The id of the server's process.
    pub fn pid(&self) -> u32 {
        self.server.id()
    }

    /// Whether the server has this descriptor open.
    pub fn has_open_descriptor(&self, number: usize) -> bool {
        std::fs::symlink_metadata(format!("/proc/{}/fd/{number}", self.server.id())).is_ok()
    }

    /// The number of descriptors that the server has open.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.server.id())).map_or(0, Iterator::count)
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
        if std::thread::panicking() {
            eprintln!("log of the server at {}:\n{}", self.listen, self.log());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A command that inherits neither the variable `BALANCER_CONFIG` nor the standard input.
fn command(program: &Path) -> Command {
    let mut command = Command::new(program);
    command.env_remove("BALANCER_CONFIG").stdin(Stdio::null());
    command
}

/// Starts the server with the configuration in `folder`.
fn launch(program: &Path, folder: &Path, descriptor_limit: Option<usize>) -> Child {
    let mut command = match descriptor_limit {
        None => command(program),
        // `prlimit` sets the limit and then becomes the program, with the same process id.
        Some(limit) => {
            let mut command = command(Path::new("prlimit"));
            command.arg(format!("--nofile={limit}:{limit}")).arg(program);
            command
        }
    };
    command.arg("serve").env("BALANCER_CONFIG", folder.join("config.json"));
    let operator = folder.join("operator.kdl");
    if operator.exists() {
        command.arg("--operator").arg(operator);
    }
    let log = std::fs::File::options().create(true).append(true).open(folder.join("log"));
    command.stderr(log.expect("a log")).spawn().expect("a server")
}

/// Runs the program to its end with these arguments and, if given, a configuration file.
pub fn run_program(program: &Path, arguments: &[&str], config: Option<&str>) -> Output {
    let folder = create_temp_folder();
    let mut command = command(program);
    command.args(arguments);
    if let Some(text) = config {
        let path = folder.join("config.json");
        std::fs::write(&path, text).expect("written");
        command.arg("--config").arg(path);
    }
    let output = command.output().expect("run");
    let _ = std::fs::remove_dir_all(folder);
    output
}
