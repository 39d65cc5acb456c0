//! Tests of an actor whose store folder can't be used, and of one whose replica ends.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use super::*;

/// Limit of the wait for an event of the disk thread.
const DISK_TIMEOUT: Duration = Duration::from_secs(30);
/// The start of each test's time, in microseconds.
const NOW: Micros = 1_000_000;

/// A path in the place of a store folder, removed when dropped.
struct TemporaryPath(PathBuf);

impl TemporaryPath {
    fn new(name: &str) -> TemporaryPath {
        let name = format!("umberloom-replication-{}-{name}", std::process::id());
        TemporaryPath(std::env::temp_dir().join(name))
    }
}

impl Drop for TemporaryPath {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn actor(folder: &TemporaryPath) -> ReplicationActor {
    let settings = Settings {
        config: umberloom_replicated_store::Config {
            voters: 1,
            ..umberloom_replicated_store::Config::new("a", &[])
        },
        folder: Some(folder.0.clone()),
        max_bytes: 1 << 20,
        scrub_interval: 60_000_000,
    };
    ReplicationActor::new(NOW, settings, 1, Logger::root(slog::Discard, slog::o!()))
}

/// Handles the next event of the disk thread.
fn handle_next_disk_event(actor: &mut ReplicationActor) {
    let deadline = Instant::now() + DISK_TIMEOUT;
    loop {
        if let Ok(event) = actor.disk_events().try_recv() {
            return actor.handle_disk_event(NOW, event);
        }
        assert!(Instant::now() < deadline, "timed out waiting for the disk thread");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The reason for which the actor rejects a request for its status; `None` if it answers.
fn status_rejection(actor: &mut ReplicationActor) -> Option<String> {
    actor.handle_request(NOW, 0, RequestSource { stream_id: 1, number: 1 }, StoreRequest::Status);
    match actor.take_responses().pop() {
        Some((_, StoreResponse::Rejected(reason))) => Some(reason),
        _ => None,
    }
}

/// Guards against a reply that depends on the speed of the machine: while an unusable disk was tried again,
/// its server said that the disk was being opened.
#[test]
fn unusable_disk_is_reported_as_such_while_it_is_tried_again() {
    let folder = TemporaryPath::new("unusable");
    std::fs::write(&folder.0, "not a folder").expect("written");
    let mut actor = actor(&folder);
    assert!(status_rejection(&mut actor).is_some_and(|reason| reason.contains("its disk is being opened")));
    for _ in 0..3 {
        handle_next_disk_event(&mut actor);
        assert!(
            status_rejection(&mut actor).is_some_and(|reason| reason.contains("its disk can't be used now"))
        );
        // The disk thread starts, and its event is not handled yet.
        actor.open_disk(NOW);
        assert!(
            status_rejection(&mut actor).is_some_and(|reason| reason.contains("its disk can't be used now"))
        );
    }
    handle_next_disk_event(&mut actor);
    std::fs::remove_file(&folder.0).expect("removed");
    actor.open_disk(NOW);
    handle_next_disk_event(&mut actor);
    assert_eq!(status_rejection(&mut actor), None);
}

/// Names of the files in a store's folder.
fn file_names(folder: &TemporaryPath) -> Vec<String> {
    let entries = std::fs::read_dir(&folder.0).expect("a folder");
    entries.map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned()).collect()
}

/// Guards against a copy that is lost to an error in the program: only a replica that is known to be wrong is
/// quarantined.
#[test]
fn only_a_replica_that_is_wrong_is_quarantined_when_it_ends() {
    let reason = || "a test".to_owned();
    for (end, files) in
        [(ReplicaEnd::Restart { reason: reason() }, 1), (ReplicaEnd::Quarantine { reason: reason() }, 2)]
    {
        let folder = TemporaryPath::new(&format!("ended-{files}"));
        let mut actor = actor(&folder);
        handle_next_disk_event(&mut actor);
        assert_eq!(status_rejection(&mut actor), None);
        actor.end_replica(NOW, end);
        let rejection = status_rejection(&mut actor).expect("no replica");
        assert!(rejection.contains("its replica is being started again"), "{rejection}");
        assert_eq!(actor.next_timeout(), NOW + MIN_REOPEN_BACKOFF);
        while actor.replica.is_none() {
            // The earlier thread may still hold the file.
            actor.open_disk(NOW);
            handle_next_disk_event(&mut actor);
        }
        let names = file_names(&folder);
        assert_eq!(names.iter().filter(|name| name.starts_with("rows.redb")).count(), files, "{names:?}");
    }
}
