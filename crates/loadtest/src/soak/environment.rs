//! A server process with the stand-ins of the soak, and its configuration.

use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use umberloom_protocol_fakes::dependency::Behaviour;
use umberloom_protocol_fakes::loopback::{free_address, unique_host};
use umberloom_protocol_fakes::standstill::{cores_of_process, monitor};
use umberloom_protocol_fakes::test_environment::settings;
use umberloom_protocol_fakes::{signals, Dependency};

use super::agent::Agent;
use super::announce::Announce;
use super::check::Violation;
use super::plan::{ConfigChange, ServerPlan, STOP_MS};

/// Limit of the wait for the server's listening socket.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The dependencies of the example of an operator's file, without its call plans.
const OPERATOR_EXAMPLE: &str = include_str!("../../../../deploy/operator.kdl");

/// A server process and everything it talks to. Dropping it kills the process; its files stay.
pub struct Environment {
    pub listen: SocketAddr,
    pub agent: Agent,
    pub announce: Announce,
    records: [Dependency; 2],
    folder: PathBuf,
    config: Value,
    server: Child,
}

impl Environment {
    /// Starts the server and its peers. The agent is not up yet.
    pub fn start(plan: &ServerPlan, server: &Path, folder: &Path) -> Result<Environment, String> {
        let io_error = |e: std::io::Error| e.to_string();
        let agent = Agent::start(plan.seed, plan.endless_share).map_err(io_error)?;
        let announce = Announce::start().map_err(io_error)?;
        let records = [(); 2].map(|()| Dependency::start(Behaviour::quick(b"reply")));
        let listen = free_address(unique_host()).map_err(io_error)?;
        let config = json!({
            "name": "n3", "listen": listen, "agent": agent.addresses[0], "announce": announce.addresses[0],
            "records": records[0].address, "seed": format!("{:016x}", plan.seed), "stop_ms": STOP_MS,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": plan.sockets}, "settings": soak_settings()
        });
        std::fs::create_dir_all(folder).map_err(io_error)?;
        std::fs::write(folder.join("config.json"), config.to_string()).map_err(io_error)?;
        let operator = OPERATOR_EXAMPLE.split("\nplan ").next().unwrap_or_default();
        std::fs::write(folder.join("operator.kdl"), operator).map_err(io_error)?;
        let log = std::fs::File::create(folder.join("log")).map_err(io_error)?;
        let mut command = Command::new(server);
        command.arg("serve").arg("--config").arg(folder.join("config.json"));
        command.arg("--operator").arg(folder.join("operator.kdl"));
        let server = command.stdin(Stdio::null()).stderr(log).spawn().map_err(io_error)?;
        Ok(Environment { listen, agent, announce, records, folder: folder.to_owned(), config, server })
    }

    /// Waits until the server accepts connections.
    pub fn wait_until_listening(&mut self) -> Result<(), String> {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.server.try_wait() {
                return Err(format!("the server exited during its start: {status}"));
            }
            if TcpStream::connect(self.listen).is_ok() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(2));
        }
        Err("the server does not listen".to_owned())
    }

    /// Sends the server a signal, given by its name without `SIG`. One to a process that has ended is lost.
    pub fn signal(&self, name: &str) {
        let _ = signals::send(self.server.id(), name);
    }

    /// Replaces the configuration file and signals the server to read it.
    pub fn change_config(&mut self, change: ConfigChange) -> Result<(), String> {
        match change {
            ConfigChange::None => Ok(()),
            ConfigChange::Moved => {
                self.config["agent"] = json!(self.agent.addresses[1]);
                self.config["announce"] = json!(self.announce.addresses[1]);
                self.config["records"] = json!(self.records[1].address);
                self.replace_config(&self.config.to_string())
            }
            ConfigChange::Broken => {
                self.replace_config("{\"name\": ")?;
                self.replace_config(&self.config.to_string())
            }
        }
    }

    fn replace_config(&self, text: &str) -> Result<(), String> {
        let new = self.folder.join("config.new");
        std::fs::write(&new, text).map_err(|e| e.to_string())?;
        std::fs::rename(new, self.folder.join("config.json")).map_err(|e| e.to_string())?;
        self.signal("HUP");
        Ok(())
    }

    /// Takes down the services that the plan names.
    pub fn take_services_down(&self, plan: &ServerPlan) {
        if plan.records_down {
            self.records.iter().for_each(|records| records.set_behaviour(Behaviour::Down));
        }
        self.announce.set_down(plan.announce_down);
    }

    /// Sends SIGKILL at `at`, unless the process has ended by then, and returns what is wrong with its end.
    pub fn kill_at(&mut self, at: Instant, may_be_alive: bool) -> Option<Violation> {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        match self.server.try_wait() {
            Ok(Some(status)) if status.success() || is_ended_by_term(status) => None,
            Ok(Some(status)) => Some(Violation::ExitStatus { status: status.to_string() }),
            _ => {
                let cores = cores_of_process(self.server.id());
                let _ = self.server.kill();
                let _ = self.server.wait();
                let standstill = monitor().exit_delay(&cores, at);
                (!may_be_alive).then_some(Violation::AliveAtKill { standstill })
            }
        }
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = self.server.kill();
        let _ = self.server.wait();
    }
}

/// Whether SIGTERM ended the process, as it does before the process listens for signals.
fn is_ended_by_term(status: std::process::ExitStatus) -> bool {
    use std::os::unix::process::ExitStatusExt;
    const SIGTERM: i32 = 15;
    status.signal() == Some(SIGTERM)
}

/// Settings under which work is not preempted, and clients state how long they wait.
fn soak_settings() -> Value {
    let mut settings = settings();
    settings["family_info"]["preemption"] = "silent".into();
    settings["guarantees"]["drain_grace_us"] = 600_000.into();
    settings
}
