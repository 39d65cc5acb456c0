//! One server process with its files and the stand-ins of its own peers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use umberloom_protocol_fakes::dependency::Behaviour;
use umberloom_protocol_fakes::farm::{Farm, Work};
use umberloom_protocol_fakes::{Announce, Balancer, Dependency, Request};

use crate::history::{Event, History};

/// Longest wait for anything.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long requests of each class may take, in milliseconds.
pub const CLASS_BUDGETS_MS: [(&str, u64); 2] = [("desk-search", 800), ("book-room", 1_000)];

/// A host on loopback that nothing else of this machine uses: by the process and a number of its own.
pub fn unique_loopback_host() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, more, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 20 + (number % 75) as u8, high ^ (more << 6) ^ (number / 75) as u8, low.max(1))
}

/// Below the ports that the system gives to connections: relays connect from this host, and one of them could take a port
/// that was free a moment ago.
fn free_address(host: Ipv4Addr, from: u16) -> std::io::Result<SocketAddr> {
    let free = |port: &u16| TcpListener::bind((host, *port)).is_ok();
    let port = (from..from + 500).find(free).ok_or(std::io::ErrorKind::AddrInUse)?;
    Ok(SocketAddr::from((host, port)))
}

/// One server: its place stays, its process comes and goes.
pub struct Server {
    pub name: String,
    pub host: Ipv4Addr,
    /// Where balancers connect, and where the fleet does.
    pub listen: SocketAddr,
    pub fleet_address: SocketAddr,
    pub farm: Farm,
    pub records: Dependency,
    /// Fields of its configuration that differ from the usual, by their places.
    pub config_overrides: Vec<(&'static str, Value)>,
    _announce: Announce,
    pub folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// How many processes there have been.
    pub start_count: u32,
    /// Bytes of the log that have been taken into the history.
    read: u64,
    /// Stopped by SIGSTOP.
    pub stopped: bool,
    /// Told to end, so that its end is no breach.
    pub stop_requested: bool,
    history: History,
}

impl Server {
    /// The place of a server; nothing runs yet.
    pub fn new(name: &str, program: &Path, folder: &Path, history: History) -> std::io::Result<Server> {
        let host = unique_loopback_host();
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder)?;
        let work = Work {
            cores: 4,
            median_ms: 4.0,
            sigma: 0.3,
            without_calls: vec![],
            call_timeout: Duration::from_millis(1_200),
        };
        Ok(Server {
            name: name.to_owned(),
            host,
            listen: free_address(host, 10_080)?,
            fleet_address: free_address(host, 12_080)?,
            farm: Farm::start(work),
            records: Dependency::start(Behaviour::quick(b"booked")),
            config_overrides: Vec::new(),
            _announce: Announce::start(),
            folder,
            program: program.to_owned(),
            child: None,
            start_count: 0,
            read: 0,
            stopped: false,
            stop_requested: false,
            history,
        })
    }

    /// Its configuration.
    pub fn config(&self) -> Value {
        let class = |(name, budget): (&str, u64), worth: f64| {
            json!({"name": name, "aim_us": budget * 1_000, "hard_limit_us": budget * 1_000, "credit": worth,
                   "late_worth": 0.0, "effect": "read_like", "repeat_window_us": 5_000_000})
        };
        let mut config = json!({
            "name": self.name, "listen": self.listen, "agent": self.farm.address,
            "announce": self._announce.address, "records": self.records.address,
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
        for (place, value) in &self.config_overrides {
            *config.pointer_mut(place).expect("a field of the configuration") = value.clone();
        }
        config
    }

    pub fn operator_config_path(&self) -> PathBuf {
        self.folder.join("operator.kdl")
    }

    /// Puts an operator's file in the place of the one before, whole.
    pub fn write_operator_config(&self, text: &str) -> std::io::Result<()> {
        let new = self.folder.join("operator.new");
        std::fs::write(&new, text)?;
        std::fs::rename(new, self.operator_config_path())
    }

    /// Starts a process.
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

    /// Waits until it answers a health check well; what it said instead is the error.
    pub fn wait_until_healthy(&mut self) -> Result<(), String> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.exit_status() {
                return Err(format!("{} ended at its start: {status}\n{}", self.name, self.log()));
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
        Err(format!("{} did not come up\n{}", self.name, self.log()))
    }

    /// The id of its process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, name: &str) {
        if let Some(id) = self.pid() {
            let sent = Command::new("kill").arg(format!("-{name}")).arg(id.to_string()).status();
            self.history.record(
                &self.name,
                "fault",
                json!({"signal": name, "sent": sent.is_ok_and(|s| s.success())}),
            );
        }
    }

    /// Ends it as the system would at worst.
    pub fn kill(&mut self) {
        self.stop_requested = true;
        if let Some(mut child) = self.child.take() {
            self.history.record(&self.name, "fault", json!({"signal": "KILL"}));
            let _ = child.kill();
            let _ = child.wait();
        }
        self.stopped = false;
    }

    /// Stops it from running, or lets it go on.
    pub fn set_stopped(&mut self, stopped: bool) {
        self.stopped = stopped;
        self.signal(if stopped { "STOP" } else { "CONT" });
    }

    /// Tells it to drain and end.
    pub fn terminate(&mut self) {
        self.stop_requested = true;
        self.signal("TERM");
    }

    /// How its process ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Waits for its end.
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

    pub fn is_running(&self) -> bool {
        self.child.is_some() && !self.stopped
    }

    /// Whether it ended although nobody told it to.
    pub fn has_crashed(&mut self) -> bool {
        self.child.is_some() && self.exit_status().is_some() && !self.stop_requested
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Takes what it has said since into the history.
    pub fn read_log(&mut self) {
        let log = self.log();
        let new = log.get(self.read as usize..).unwrap_or_default();
        let Some(last) = new.rfind('\n') else { return };
        for line in new[..last].lines() {
            let what = serde_json::from_str(line).unwrap_or_else(|_| json!({"msg": line}));
            let at = what["ts"].as_str().and_then(unix_us).unwrap_or_else(crate::history::now_us);
            self.history.add(Event { at_us: at, source: self.name.clone(), kind: "log", details: what });
        }
        self.read += last as u64 + 1;
    }

    /// Time that its process has had a core, in microseconds, where the system counts that.
    pub fn cpu_time_us(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.pid()?)).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok().map(|ns| ns / 1_000)
    }

    /// Asks it about its fleet with the product's own command.
    pub fn fleet_command(&self, about: &[&str]) -> Result<Value, String> {
        let (first, rest) = about.split_first().map_or((&"members", &[][..]), |parts| parts);
        let mut command = Command::new(&self.program);
        command.arg("fleet").arg(first).arg("--json").arg("--operator").arg(self.operator_config_path());
        command.arg("--at").arg(self.fleet_address.to_string()).args(rest);
        let output = command.output().map_err(|e| e.to_string())?;
        if !output.status.success() {
            return Err(String::from_utf8_lossy(&output.stderr).into_owned());
        }
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        // A line for people, where there is nothing to be read by a program.
        Ok(serde_json::from_str(&text).unwrap_or_else(|_| Value::String(text.trim().to_owned())))
    }

    /// Where its copy of the record is.
    pub fn store_folder(&self) -> PathBuf {
        self.folder.join("record")
    }

    /// Its disk is gone. The process has ended before.
    pub fn lose_disk(&self) {
        self.history.record(&self.name, "fault", json!({"disk": "lost"}));
        let _ = std::fs::remove_dir_all(self.store_folder());
    }

    /// The file of its copy, as it is now.
    pub fn disk_image(&self) -> std::io::Result<Vec<u8>> {
        std::fs::read(self.store_folder().join("rows.redb"))
    }

    /// Puts the file of its copy back as it was, or with other bytes. The process has ended before.
    pub fn restore_disk(&self, image: &[u8]) -> std::io::Result<()> {
        self.history.record(&self.name, "fault", json!({"disk": "put back"}));
        std::fs::write(self.store_folder().join("rows.redb"), image)
    }

    /// Turns a bit over every so many bytes of the file of its copy, whether a process has it open or not.
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
        // A stopped process ends by this too.
        self.kill();
    }
}

/// Unix microseconds of a time as log lines have it: `2026-12-01T22:58:04.123456789+00:00`.
fn unix_us(text: &str) -> Option<u64> {
    let part = |from: usize, to: usize| text.get(from..to)?.parse::<i64>().ok();
    let (year, month, day) = (part(0, 4)?, part(5, 7)?, part(8, 10)?);
    let (hour, minute, second) = (part(11, 13)?, part(14, 16)?, part(17, 19)?);
    let digits: String = text.get(20..)?.chars().take_while(char::is_ascii_digit).collect();
    let micros = format!("{digits:0<6}").get(..6)?.parse::<i64>().ok()?;
    // Days since 1970 in the proleptic Gregorian calendar.
    let (y, m) = if month <= 2 { (year - 1, month + 9) } else { (year, month - 3) };
    let days = 365 * y + y / 4 - y / 100 + y / 400 + (153 * m + 2) / 5 + day - 1 - 719_468;
    u64::try_from(((days * 24 + hour) * 60 + minute) * 60_000_000 + second * 1_000_000 + micros).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_of_log_lines_are_read() {
        assert_eq!(unix_us("1970-01-02T00:00:01.5Z"), Some(86_401_500_000));
        assert_eq!(unix_us("2026-12-01T22:54:22.123456789+00:00"), Some(1_796_165_662_123_456));
        assert_eq!(unix_us("nonsense"), None);
    }
}
