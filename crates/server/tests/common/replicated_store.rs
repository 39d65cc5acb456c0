//! A fleet with a replicated store, and clients that read and write it through the server's command line.

use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::Value;
use umberloom_fault_harness::linear::{violations, Operation};
use umberloom_fault_harness::Fleet;

use super::{fleet_options, server_executable, UnwrapOrPanic};

/// Starts servers with a replicated store that has short timeouts, on disk or in memory, under a light
/// request load.
pub fn start_fleet_with_store(servers: usize, voters: usize, with_disks: bool) -> Fleet {
    let mut options = fleet_options(servers);
    options.store_options = Some(format!("voters={voters} election-ms=400 replace-after-s=3"));
    options.store_folder_options = with_disks.then(|| "most-mb=64".to_owned());
    let mut fleet = Fleet::start(options).unwrap_or_else(|error| panic!("{error}"));
    fleet.wait_for_replication(voters).unwrap_or_panic();
    fleet.start_traffic(2, Duration::from_millis(20));
    fleet
}

/// Writes a document at a server and returns its version.
pub fn put_document(fleet: &Fleet, server: usize, name: &str, content: &str) -> Result<u64, String> {
    let file = fleet.servers[server].folder.join("document");
    std::fs::write(&file, content).map_err(|e| e.to_string())?;
    let reply = fleet.store_command(server, &["put", name, &file.display().to_string()])?;
    reply["version"].as_u64().ok_or(reply.to_string())
}

/// Reads the latest content of a document at a server.
pub fn read_latest(fleet: &Fleet, server: usize, name: &str) -> Result<String, String> {
    let reply = fleet.store_command(server, &["show", name])?;
    Ok(reply["content"].as_str().unwrap_or_default().to_owned())
}

/// Waits until a server other than `former` leads and returns its index.
pub fn wait_for_other_leader(fleet: &Fleet, former: usize) -> usize {
    let other_leads = |fleet: &Fleet| fleet.leader().is_some_and(|leader| leader != former);
    fleet.wait_until("another leader", other_leads).unwrap_or_panic();
    fleet.leader().expect("the store has a leader")
}

/// The first voter that does not lead.
pub fn any_follower(fleet: &Fleet) -> usize {
    let is_follower = |server: &usize| fleet.store_status_field(*server, "role") == "Voter";
    (0..fleet.servers.len()).find(is_follower).expect("the store has a follower")
}

/// The fields of each log line of a server with this message.
pub fn log_events(fleet: &mut Fleet, server: usize, message: &str) -> Vec<Value> {
    fleet.servers[server].read_log();
    let name = fleet.servers[server].name.clone();
    fleet.history.log_lines(&name, message).into_iter().map(|event| event.details).collect()
}

/// One client for each server; they write and read one document until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Operation>>>,
}

impl Clients {
    /// Starts the clients. `seed` distinguishes the values that they write from those of other clients.
    pub fn start(fleet: &Fleet, seed: u128) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let started = Instant::now();
        let threads = fleet.servers.iter().zip(0u128..).map(|(server, client_index)| {
            let client = Client {
                content_file: server.folder.join(format!("client-{seed}")),
                operator_file: server.operator_config_path(),
                address: server.fleet_address.to_string(),
                client_index,
                seed,
                started,
            };
            let stop = stop.clone();
            std::thread::spawn(move || client.run(&stop))
        });
        Clients { threads: threads.collect(), stop }
    }

    /// Stops the clients and asserts that at least `min_completed` operations completed and that all
    /// operations are linearizable.
    pub fn stop_and_assert_linearizable(self, min_completed: usize) {
        self.stop.store(true, Ordering::Relaxed);
        let operations: Vec<Operation> = self
            .threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("the client did not panic"))
            .collect();
        let completed = operations.iter().filter(|operation| operation.result.is_some()).count();
        assert!(completed >= min_completed, "{completed} of {} operations completed", operations.len());
        assert_eq!(violations(&operations), Vec::<String>::new());
    }
}

/// A client of one server.
struct Client {
    /// The file with the content that the client writes.
    content_file: PathBuf,
    operator_file: PathBuf,
    address: String,
    client_index: u128,
    seed: u128,
    started: Instant,
}

impl Client {
    /// Writes in two of three rounds and reads in the third, until it is stopped.
    fn run(&self, stop: &AtomicBool) -> Vec<Operation> {
        let mut operations = Vec::new();
        for round in 0u128.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let is_write = !(round + self.client_index).is_multiple_of(3);
            operations.push(if is_write { self.write(round) } else { self.read() });
        }
        operations
    }

    fn write(&self, round: u128) -> Operation {
        let value = (self.seed << 64) + (self.client_index << 32) + round + 1;
        let mut operation = Operation::write("x", self.elapsed_us(), value);
        // If the file can't be written, the command fails and the operation does not complete.
        let _ = std::fs::write(&self.content_file, value.to_string());
        let reply = self.command(&["put", "x", &self.content_file.display().to_string()]);
        if let Some(version) = reply.and_then(|reply| reply["version"].as_u64()) {
            operation.complete(self.elapsed_us(), version, value);
        }
        operation
    }

    fn read(&self) -> Operation {
        let mut operation = Operation::read("x", self.elapsed_us());
        let Some(reply) = self.command(&["show", "x"]) else { return operation };
        let content = reply["content"].as_str().and_then(|text| text.parse().ok());
        if let Some(version) = reply["version"].as_u64() {
            operation.complete(self.elapsed_us(), version, content.unwrap_or(0));
        }
        operation
    }

    fn command(&self, arguments: &[&str]) -> Option<Value> {
        let mut command = Command::new(server_executable());
        command.args(["fleet", "record", "--json", "--operator"]).arg(&self.operator_file);
        let output = command.args(["--at", &self.address]).args(arguments).output().ok()?;
        let reply: Option<Value> = serde_json::from_slice(&output.stdout).ok();
        reply.filter(|_| output.status.success())
    }

    /// Microseconds since the clients were started.
    fn elapsed_us(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }
}
