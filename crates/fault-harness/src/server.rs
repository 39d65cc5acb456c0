//! One server of a fleet: its process, its files and the stand-ins for its own peers.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use umberloom_protocol_fakes::dependency::Behaviour;
use umberloom_protocol_fakes::farm::{Farm, FarmConfig};
use umberloom_protocol_fakes::loopback::{free_address, unique_host};
use umberloom_protocol_fakes::{signals, Announce, Balancer, Dependency, Request};

use crate::history::{Event, History};

/// Upper bound of every wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time budget of a request by class, in milliseconds.
pub const CLASS_BUDGETS_MS: [(&str, u64); 2] = [("desk-search", 800), ("book-room", 1_000)];

/// One server. Its addresses and files stay while its process is stopped and started again.
pub struct Server {
    pub name: String,
    /// The server's own loopback address.
    pub host: Ipv4Addr,
    /// The address at which balancers connect.
    pub listen: SocketAddr,
    /// The address at which other servers connect.
    pub fleet_address: SocketAddr,
    /// The stand-in for the agent.
    pub farm: Farm,
    /// The stand-in for the records service.
    pub records: Dependency,
    /// Configuration fields that differ from the defaults, by JSON pointer.
    pub config_overrides: Vec<(&'static str, Value)>,
    announce: Announce,
    /// The folder of the server's files.
    pub folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Number of processes started so far.
    pub start_count: u32,
    /// Bytes of the log that have been copied to the history.
    log_bytes_read: u64,
    /// Whether the process is suspended by SIGSTOP.
    pub stopped: bool,
    /// Whether the process was killed or told to exit, so that its exit is not a crash.
    pub stop_requested: bool,
    history: History,
}

impl Server {
    /// Prepares a server's addresses, folder and stand-ins; no process runs yet.
    pub fn new(name: &str, program: &Path, folder: &Path, history: History) -> std::io::Result<Server> {
        let host = unique_host();
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder)?;
        let farm_config = FarmConfig {
            cores: 4,
            median_ms: 4.0,
            sigma: 0.3,
            without_calls: vec![],
            call_timeout: Duration::from_millis(1_200),
        };
        Ok(Server {
            name: name.to_owned(),
            host,
            listen: free_address(host)?,
            fleet_address: free_address(host)?,
            farm: Farm::start(farm_config),
            records: Dependency::start(Behaviour::quick(b"booked")),
            config_overrides: Vec::new(),
            announce: Announce::start(),
            folder,
            program: program.to_owned(),
            child: None,
            start_count: 0,
            log_bytes_read: 0,
            stopped: false,
            stop_requested: false,
            history,
        })
    }

    /// The server's configuration.
    pub fn config(&self) -> Value {
        let class = |(name, budget): (&str, u64), credit: f64| {
            json!({"name": name, "aim_us": budget * 1_000, "hard_limit_us": budget * 1_000, "credit": credit,
                   "late_worth": 0.0, "effect": "read_like", "repeat_window_us": 5_000_000})
        };
        let mut config = json!({
            "name": self.name, "listen": self.listen, "agent": self.farm.address,
            "announce": self.announce.address, "records": self.records.address,
            "seed": format!("8c1f30d27a5b{:04x}", self.start_count), "stop_ms": 2_000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": {
                "classes": [class(CLASS_BUDGETS_MS[0], 1.0), class(CLASS_BUDGETS_MS[1], 3.0)],
                "family": "server",
                "family_info": {"callers": 4, "calls_over_us": 5_000_000, "class_calls": [true, true],
                    "class_skip_worth": [0.0, 0.0], "dep_share": 60.0, "downstream": "common",
                    "fresh_start": false, "fresh_us": 0, "idle_us": 30_000_000, "key_kb": 170.0,
                    "linger_us": 200_000, "mem_limit_kb": 110_652.0,
                    "meters": ["core_use", "on_cores", "heap_share", "links"], "n_cores": 4,
                    "preemption": "drop", "run_factor": 16.0, "say": "silent"},
                "guarantees": {"cold_from": 0.2, "cold_us": 17_000_000, "drain_grace_us": 1_500_000,
                    "fall_multiple": 16.0, "fall_us": 1_500_000, "grace_to_answer_us": 60_000},
                "limits": {"max_retry_after_us": 1_000_000, "retry_after": true},
                "over_share_worth": 0.1, "prices": {"handshake": 0.02}, "realms": [], "servers": 1,
                "tick_us": 4_000, "tier": 0
            }
        });
        for (pointer, value) in &self.config_overrides {
            *config.pointer_mut(pointer).expect("a field of the configuration") = value.clone();
        }
        config
    }

    /// The path of the operator configuration.
    pub fn operator_config_path(&self) -> PathBuf {
        self.folder.join("operator.kdl")
    }

    /// Replaces the operator configuration atomically.
    pub fn write_operator_config(&self, text: &str) -> std::io::Result<()> {
        let new = self.folder.join("operator.new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.operator_config_path())
    }

    /// Writes the configuration and starts a process.
    pub fn start(&mut self) -> std::io::Result<()> {
        self.start_count += 1;
        std::fs::write(self.folder.join("config.json"), self.config().to_string())?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.program);
        command.env_remove("BALANCER_CONFIG").stdin(Stdio::null()).stderr(log);
        command
            .arg("serve")
            .arg("--log-format")
            .arg("json")
            .arg("--config")
            .arg(self.folder.join("config.json"));
        if self.operator_config_path().exists() {
            command.arg("--operator").arg(self.operator_config_path());
        }
        self.child = Some(command.spawn()?);
        (self.stopped, self.stop_requested) = (false, false);
        self.history.record(&self.name, "process", json!({"start": self.start_count, "id": self.pid()}));
        Ok(())
    }

    /// Waits until the server answers a health check with 200. The error contains its log.
    pub fn wait_until_healthy(&mut self) -> Result<(), String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.exit_status() {
                return Err(format!("{} exited during startup: {status}\n{}", self.name, self.log()));
            }
            if let Ok(stream) = TcpStream::connect(self.listen) {
                let _ = stream.set_read_timeout(Some(WAIT_TIMEOUT));
                let mut balancer = Balancer::tolerant(stream);
                balancer.send(&Request::health_check(1, ""));
                if balancer.try_answer().is_some_and(|answer| answer.status == 200) {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Err(format!("{} did not become healthy\n{}", self.name, self.log()))
    }

    /// The id of the server's process, if it has one.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends the process a signal, given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        if let Some(id) = self.pid() {
            let sent = signals::send(id, name).is_ok();
            self.history.record(&self.name, "fault", json!({"signal": name, "sent": sent}));
        }
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.stop_requested = true;
        if let Some(mut child) = self.child.take() {
            self.history.record(&self.name, "fault", json!({"signal": "KILL"}));
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// Suspends or resumes the process.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.stopped = stopped;
        self.signal(if stopped { "STOP" } else { "CONT" });
    }

    /// Tells the server to drain and exit.
    pub fn terminate(&mut self) {
        self.stop_requested = true;
        self.signal("TERM");
    }

    /// The exit status of the process, if it has ended since the last call.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits for the process to end; `None` if it has not ended within [`WAIT_TIMEOUT`].
    pub fn wait_for_exit(&mut self) -> Option<ExitStatus> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Whether the server has a process that is not suspended.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// Whether the process ended without being told to.
    pub fn has_crashed(&mut self) -> bool {
        self.child.is_some() && self.exit_status().is_some() && !self.stop_requested
    }

    /// The server's log so far, of all its processes.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Copies the log lines since the last call to the history.
    pub fn read_log(&mut self) {
        let log = self.log();
        let new = log.get(self.log_bytes_read as usize..).unwrap_or_default();
        let Some(last) = new.rfind('\n') else { return };
        for line in new[..last].lines() {
            let details: Value = serde_json::from_str(line).unwrap_or_else(|_| json!({"msg": line}));
            let at_us = details["ts"].as_str().and_then(unix_us).unwrap_or_else(crate::history::now_us);
            self.history.add(Event { at_us, source: self.name.clone(), kind: "log", details });
        }
        self.log_bytes_read += last as u64 + 1;
    }

    /// CPU time of the process's main thread in microseconds, if the system counts it.
    pub fn cpu_time_us(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid()?)).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok().map(|ns| ns / 1_000)
    }

    /// Runs `umberloom fleet` with these arguments against the server and returns its JSON output.
    pub fn fleet_command(&self, arguments: &[&str]) -> Result<Value, String> {
        let (subcommand, rest) = arguments.split_first().map_or((&"members", &[][..]), |split| split);
        let mut command = Command::new(&self.program);
        command.arg("fleet").arg(subcommand).arg("--json").arg("--operator").arg(self.operator_config_path());
        command.arg("--at").arg(self.fleet_address.to_string()).args(rest);
        let output = command.output().map_err(|e| e.to_string())?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned());
        }
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        // Some commands print a plain line instead of JSON.
        Ok(serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.trim().to_owned())))
    }

    /// The folder of the server's replica.
    pub fn store_folder(&self) -> PathBuf {
        self.folder.join("record")
    }

    /// Removes the replica's files. The process must have ended.
    pub fn lose_disk(&self) {
        self.history.record(&self.name, "fault", json!({"disk": "lost"}));
        let _ = std::fs::remove_dir_all(self.store_folder());
    }

    /// The present content of the replica's file.
    pub fn disk_image(&self) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.store_folder().join("rows.redb"))
    }

    /// Replaces the content of the replica's file, for instance by an earlier one. The process must have
    /// ended.
    pub fn restore_disk(&self, image: &[u8]) -> std::io::Result<()> {
        self.history.record(&self.name, "fault", json!({"disk": "put back"}));
        std::fs::write(self.store_folder().join("rows.redb"), image)
    }

    /// Flips one bit in every `every` bytes of the replica's file from `from` on, whether or not a process
    /// has it open.
    pub fn corrupt_disk(&self, from: u64, every: u64) -> std::io::Result<()> {
        use std::os::unix::fs::FileExt;
        self.history.record(&self.name, "fault", json!({"disk": "bits turned over"}));
        let file =
            std::fs::File::options().read(true).write(true).open(self.store_folder().join("rows.redb"))?;
        let (mut at, end) = (from, file.metadata()?.len());
        while at < end {
            let mut byte = [0];
            file.read_exact_at(&mut byte, at)?;
            file.write_all_at(&[byte[0] ^ 2], at)?;
            at += every;
        }
        Ok(())
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        // SIGKILL also ends a suspended process.
        self.kill();
    }
}

/// Parses the UTC time of a log line, such as `2026-12-01T22:58:04.123456789+00:00`, to Unix microseconds.
fn unix_us(text: &str) -> Option<u64> {
    let number = |from: usize, to: usize| text.get(from..to)?.parse::<i64>().ok();
    let (year, month, day) = (number(0, 4)?, number(5, 7)?, number(8, 10)?);
    let (hour, minute, second) = (number(11, 13)?, number(14, 16)?, number(17, 19)?);
    let fraction: String = text.get(20..)?.chars().take_while(char::is_ascii_digit).collect();
    let micros = format!("{fraction:0<6}").get(..6)?.parse::<i64>().ok()?;
    // Days since 1970 in the proleptic Gregorian calendar.
    let (y, m) = if month <= 2 { (year - 1, month + 9) } else { (year, month - 3) };
    let days = 365 * y + y / 4 - y / 100 + y / 400 + (153 * m + 2) / 5 + day - 1 - 719_468;
    u64::try_from(((days * 24 + hour) * 60 + minute) * 60_000_000 + second * 1_000_000 + micros).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn log_line_times_are_parsed() {
        assert_eq!(unix_us("1970-01-02T00:00:01.5Z"), Some(86_401_500_000));
        assert_eq!(unix_us("2026-12-01T22:54:22.123456789+00:00"), Some(1_796_165_662_123_456));
        assert_eq!(unix_us("nonsense"), None);
    }
}
