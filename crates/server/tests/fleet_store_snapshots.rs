//! Several server processes whose replicated store has more content than fits into a log, so that new voters get
//! it as a snapshot, and whose leader is killed as one of them has just become a voter.

mod common;

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use common::replicated_store::read_latest;
use common::{assert_invariants, fleet_options, server_executable, sleep_ms, UnwrapOrPanic};
use umberloom_fault_harness::Fleet;

/// Length of a document in bytes, the most that one may have.
const DOCUMENT_BYTES: usize = 1 << 20;
/// Clients that write documents at the same time.
const CLIENTS: usize = 4;
/// Documents that are written before there is a second voter.
const DOCUMENTS: usize = 24;
/// How long the killed leader is away, in milliseconds.
const AWAY_MS: u64 = 3_000;
/// Limit of the time for one document, with repetitions.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);
/// Limit of the wait for a second voter.
const VOTER_TIMEOUT: Duration = Duration::from_secs(60);

/// Starts three servers, of which the first one leads a store with documents that the others have yet to fetch.
fn start_fleet_with_documents() -> Fleet {
    let mut options = fleet_options(3);
    options.store_options = Some("voters=3 election-ms=1000 replace-after-s=30 catch-up-kb=8192".to_owned());
    options.store_folder_options = Some("most-mb=256".to_owned());
    let fleet = Fleet::start(options).unwrap_or_else(|error| panic!("{error}"));
    let file = fleet.servers[0].folder.join("small");
    std::fs::write(&file, "content").expect("written");
    fleet.wait_until("a leader", |fleet| put(fleet, 0, "small", &file)).unwrap_or_panic();
    let leader = StoreClient::new(&fleet, 0);
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let leader = &leader;
            scope.spawn(move || {
                (client..DOCUMENTS).step_by(CLIENTS).for_each(|number| leader.put_document(number));
            });
        }
    });
    fleet
}

/// A client of a server that several threads may use.
struct StoreClient {
    folder: PathBuf,
    operator_file: PathBuf,
    address: String,
}

impl StoreClient {
    fn new(fleet: &Fleet, server: usize) -> StoreClient {
        let server = &fleet.servers[server];
        StoreClient {
            folder: server.folder.clone(),
            operator_file: server.operator_config_path(),
            address: server.fleet_address.to_string(),
        }
    }

    /// Writes the document with this number, which begins with the number.
    fn put_document(&self, number: usize) {
        let file = self.folder.join(format!("document{number}"));
        let content = format!("{number:08} ").repeat(DOCUMENT_BYTES / 9);
        std::fs::write(&file, content).expect("written");
        let end = Instant::now() + WRITE_TIMEOUT;
        loop {
            let mut command = Command::new(server_executable());
            command.args(["fleet", "record", "--operator"]).arg(&self.operator_file);
            command.args(["--at", &self.address, "put", &format!("document{number}")]).arg(&file);
            let output = command.output().expect("a client");
            if output.status.success() {
                return;
            }
            // On a busy machine a write may take longer than the server waits for it.
            assert!(Instant::now() < end, "{}", String::from_utf8_lossy(&output.stderr));
        }
    }
}

fn put(fleet: &Fleet, server: usize, name: &str, file: &Path) -> bool {
    fleet.store_command(server, &["put", name, &file.display().to_string()]).is_ok()
}

/// Waits until a server other than the first one logs that it is a voter.
fn wait_for_second_voter(fleet: &Fleet) {
    let is_voter = |server: &usize| {
        let log = fleet.servers[*server].log();
        log.lines().any(|line| line.contains("replica role changed") && line.contains("\"to\":\"voter\""))
    };
    let end = Instant::now() + VOTER_TIMEOUT;
    while !(1..fleet.servers.len()).any(|server| is_voter(&server)) {
        assert!(Instant::now() < end, "no second voter\n{}", fleet.servers[1].log());
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Guards against a majority without a leader for good: the new voter quarantined its sound copy in the election.
#[test]
fn a_new_voter_keeps_its_copy_when_the_leader_is_killed() {
    let mut fleet = start_fleet_with_documents();
    wait_for_second_voter(&fleet);
    fleet.servers[0].kill();
    sleep_ms(AWAY_MS);
    fleet.servers[0].start().expect("the server starts");
    let file = fleet.servers[0].folder.join("small");
    fleet
        .wait_until("a write after the leader's return", |fleet| put(fleet, 0, "after", &file))
        .unwrap_or_panic();
    for number in 0..DOCUMENTS {
        let content = read_latest(&fleet, 0, &format!("document{number}")).unwrap_or_else(|e| panic!("{e}"));
        assert!(content.starts_with(&format!("{number:08} ")), "document {number}");
    }
    for server in &fleet.servers {
        let log = server.log();
        assert!(!log.contains("quarantined") && !log.contains("raft library failed"), "{log}");
    }
    assert_invariants(fleet);
}
