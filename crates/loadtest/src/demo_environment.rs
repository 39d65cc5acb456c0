//! A server process, stand-ins for everything it talks to, and its configuration files.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use umberloom_protocol_fakes::dependency::Behaviour;
use umberloom_protocol_fakes::farm::{Farm, FarmConfig};
use umberloom_protocol_fakes::loopback::{free_address, unique_host};
use umberloom_protocol_fakes::{Announce, Balancer, Dependency, Request};

/// The body of each answer of a healthy records service or dependency.
const RESPONSE_BODY: &[u8] = b"{\"well\":true}";
/// The number of cores of the render farm.
pub const FARM_CORES: usize = 4;
/// The classes, with the time in milliseconds that requests of each may take.
pub const CLASS_BUDGETS_MS: [(&str, u64); 2] = [("desk-search", 400), ("book-room", 600)];

/// A server process and everything it talks to. Dropping it kills the process and removes its files.
pub struct DemoEnvironment {
    pub listen: SocketAddr,
    pub records: Dependency,
    pub billing: [Dependency; 2],
    pub equipment: [Dependency; 2],
    pub notes: Dependency,
    pub farm: Farm,
    _announce: Announce,
    server: Child,
    folder: PathBuf,
}

impl DemoEnvironment {
    /// Starts everything and waits until the server passes a health check. With `plain` the server has no
    /// operator's file; its log goes to `log`, if given.
    pub fn start(server: &Path, plain: bool, log: Option<&Path>) -> Result<DemoEnvironment, String> {
        let healthy_dependency = || Dependency::start(Behaviour::quick(RESPONSE_BODY));
        let (records, notes) = (healthy_dependency(), healthy_dependency());
        let (billing, equipment) =
            ([healthy_dependency(), healthy_dependency()], [healthy_dependency(), healthy_dependency()]);
        let farm_config = FarmConfig {
            cores: FARM_CORES,
            median_ms: 8.0,
            sigma: 0.4,
            without_calls: vec![],
            call_timeout: Duration::from_millis(700),
        };
        let (farm, announce) = (Farm::start(farm_config), Announce::start());
        let listen =
            free_address(unique_host()).map_err(|e| format!("cannot bind a port on loopback: {e}"))?;
        let folder = std::env::temp_dir().join(format!("umberloom-loadtest-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let server_config = server_config(listen, &farm, &announce, &records);
        let operator_config = operator_config(&billing, &equipment, &notes);
        write(&folder.join("config.json"), &server_config)?;
        write(&folder.join("operator.kdl"), &operator_config)?;
        let mut command = Command::new(server);
        command.arg("serve").arg("--config").arg(folder.join("config.json"));
        if !plain {
            command.arg("--operator").arg(folder.join("operator.kdl"));
        }
        let stderr = match log {
            Some(path) => std::fs::File::create(path)
                .map(Stdio::from)
                .map_err(|e| format!("{}: {e}", path.display()))?,
            None => Stdio::null(),
        };
        let child = command.stdin(Stdio::null()).stderr(stderr).spawn();
        let child = child.map_err(|e| format!("{}: {e}", server.display()))?;
        let mut environment = DemoEnvironment {
            listen,
            records,
            billing,
            equipment,
            notes,
            farm,
            _announce: announce,
            server: child,
            folder,
        };
        environment.wait_until_healthy()?;
        Ok(environment)
    }

    fn wait_until_healthy(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.server.try_wait() {
                return Err(format!(
                    "the server exited during its start: {status}; --log FILE keeps its log"
                ));
            }
            if std::net::TcpStream::connect(self.listen).is_ok() {
                let mut balancer = Balancer::connect(self.listen);
                if balancer.round_trip(&Request::health_check(1, "")).status == 200 {
                    return Ok(());
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err("the server did not become healthy within 10 s".to_owned())
    }

    /// All dependencies except the records service, by name.
    pub fn dependencies(&self) -> [(&'static str, &[Dependency]); 3] {
        [
            ("billing", &self.billing),
            ("equipment", &self.equipment),
            ("notes", std::slice::from_ref(&self.notes)),
        ]
    }

    /// Returns how many calls all dependencies received and how many requests they were for, and resets the
    /// counts.
    pub fn take_counts(&self) -> (u64, u64) {
        let all = self.dependencies().into_iter().flat_map(|(_, all)| all).chain([&self.records]);
        all.map(Dependency::take_counts).fold((0, 0), |(calls, requests), (c, r)| (calls + c, requests + r))
    }

    /// The processor time of the server's main thread, where the system counts it.
    pub fn main_thread_cpu_time(&self) -> Option<Duration> {
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.server.id())).ok()?;
        text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    }

    /// Makes every dependency healthy again, except the records service, which never fails.
    pub fn restore_dependencies(&self) {
        for dependency in self.dependencies().into_iter().flat_map(|(_, all)| all) {
            dependency.set_behaviour(Behaviour::quick(RESPONSE_BODY));
        }
    }
}

impl Drop for DemoEnvironment {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// The configuration of the server, as JSON.
fn server_config(listen: SocketAddr, farm: &Farm, announce: &Announce, records: &Dependency) -> String {
    let class = |name: &str, budget_ms: u64, credit: f64| {
        json!({"name": name, "aim_us": budget_ms * 1_000, "hard_limit_us": budget_ms * 1_000, "credit": credit,
               "late_worth": 0.0, "effect": "read_like", "repeat_window_us": 5_000_000})
    };
    let [(search, search_ms), (book, book_ms)] = CLASS_BUDGETS_MS;
    json!({
        "name": "n3", "listen": listen, "agent": farm.address, "announce": announce.address,
        "records": records.address, "seed": "8c1f30d27a5be964", "stop_ms": 3_200,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "classes": [class(search, search_ms, 1.0), class(book, book_ms, 3.0)],
            "family": "server",
            "family_info": {"callers": 4, "calls_over_us": 5_000_000, "class_calls": [true, true],
                "class_skip_worth": [0.0, 0.0], "dep_share": 40.0, "downstream": "common", "fresh_start": false,
                "fresh_us": 0, "idle_us": 30_000_000, "key_kb": 170.0, "linger_us": 200_000,
                "mem_limit_kb": 110_652.0, "meters": ["core_use", "on_cores", "heap_share", "links"],
                "n_cores": FARM_CORES, "preemption": "drop", "run_factor": 16.0, "say": "silent"},
            "guarantees": {"cold_from": 0.2, "cold_us": 17_000_000, "drain_grace_us": 2_500_000,
                "fall_multiple": 16.0, "fall_us": 1_500_000, "grace_to_answer_us": 60_000},
            "limits": {"max_retry_after_us": 1_000_000, "retry_after": true},
            "over_share_worth": 0.1, "prices": {"handshake": 0.02}, "realms": [], "servers": 1,
            "tick_us": 4_000, "tier": 0
        }
    })
    .to_string()
}

/// The operator's file, with the dependencies and the call plans.
fn operator_config(billing: &[Dependency], equipment: &[Dependency], notes: &Dependency) -> String {
    let addresses = |all: &[Dependency]| {
        let quoted: Vec<String> = all.iter().map(|d| format!("\"{}\"", d.address)).collect();
        quoted.join(" ")
    };
    format!(
        r#"
dependency "records" {{ platform; }}
dependency "billing" {{
    endpoints {}
    path "/billing"
}}
dependency "equipment" {{
    endpoints {}
    path "/equipment"
    safe-to-repeat
    hedge quantile=0.95 least-ms=5
    fallback {{ left-out; }}
}}
dependency "notes" {{
    endpoints {}
    path "/notes"
    safe-to-repeat
    fallback {{ constant "no notes"; }}
}}
plan "book-room" {{
    stage share=2 {{ needs "records" "billing"; }}
    stage share=1 most-ms=150 {{ wants "equipment"; }}
}}
plan "desk-search" {{
    stage {{ needs "records"; wants "equipment" "notes"; }}
}}
"#,
        addresses(billing),
        addresses(equipment),
        addresses(std::slice::from_ref(notes)),
    )
}
