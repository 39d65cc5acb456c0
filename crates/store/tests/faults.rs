//! Runs a scripted sequence of commits on a store and injects faults, one run for each operation of the disk.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

use umberloom_store::disk::{Disk, RealDisk};
use umberloom_store::fault_disk::{FaultInjectingDisk, Faults, OperationFailure};
use umberloom_store::writer::{Writer, WriterEvent};
use umberloom_store::{Config, Store, StoreError, WriteBatch};

/// The number of commits of the script.
const COMMITS: u64 = 8;

fn config() -> Config {
    Config { max_bytes: 1 << 20, ..Config::new("store") }
}

/// The batch of the commit with this number. All rows start with that number, so that a mixture of states is
/// detected.
fn state_batch(commit: u64) -> WriteBatch {
    let value = |row: u64| {
        [&commit.to_le_bytes()[..], &vec![row as u8; 40 + (row * commit * 97 % 3_000) as usize]].concat()
    };
    let batch = (0..6).fold(WriteBatch::new(), |batch, row| batch.put(1, &[row as u8], &value(row)));
    // Space 2 holds a log that grows at its end and is truncated at its start.
    let batch = batch.put(2, &commit.to_be_bytes(), &commit.to_le_bytes());
    batch.remove_range(2, &0u64.to_be_bytes(), &commit.saturating_sub(3).to_be_bytes())
}

/// Reads the number of the commit whose state the store is in; a mixture of states is an error.
fn read_state(store: &Store) -> Result<u64, String> {
    let rows = store.range(1, &[], None, usize::MAX).map_err(|e| e.to_string())?;
    let numbers: Vec<u64> =
        rows.iter().map(|(_, value)| u64::from_le_bytes(value[..8].try_into().expect("8 bytes"))).collect();
    let commit = numbers.first().copied().unwrap_or(0);
    if numbers.iter().any(|other| *other != commit) || (commit > 0 && rows.len() != 6) {
        return Err(format!("a mixture of states: {numbers:?}"));
    }
    let log = store.range(2, &[], None, usize::MAX).map_err(|e| e.to_string())?;
    let log: Vec<u64> =
        log.iter().map(|(key, _)| u64::from_be_bytes(key[..].try_into().expect("8 bytes"))).collect();
    let expected_log: Vec<u64> = (commit.saturating_sub(3).max(1)..=commit).filter(|_| commit > 0).collect();
    if log != expected_log || store.generation() != commit {
        return Err(format!("state {commit}, log {log:?}, generation {}", store.generation()));
    }
    Ok(commit)
}

/// Runs the script up to the first error. Returns the number of commits that were acknowledged, and the
/// error.
fn run_script(disk: &FaultInjectingDisk) -> (u64, Option<StoreError>) {
    let mut acknowledged = 0;
    let mut run = || -> Result<(), StoreError> {
        let mut store = Store::open(disk, &config())?;
        acknowledged = store.generation();
        while acknowledged < COMMITS {
            store.commit(&state_batch(acknowledged + 1))?;
            acknowledged += 1;
            if acknowledged == COMMITS / 2 {
                store.compact()?;
                store.scrub()?;
                drop(store);
                store = Store::open(disk, &config())?;
            }
        }
        Ok(())
    };
    let error = run().err();
    (acknowledged, error)
}

/// The number of disk operations of a script run without faults.
fn count_operations() -> u64 {
    let disk = FaultInjectingDisk::new(0);
    assert_eq!(run_script(&disk).0, COMMITS);
    disk.operations()
}

/// Runs the script once for every `step`th operation, with a fault at that operation. Cuts the power
/// afterwards if `cut_power`, and checks the state of the store.
fn inject_at_each_operation(name: &str, step: usize, fault: impl Fn(u64) -> Faults, cut_power: bool) {
    for at in (1..=count_operations()).step_by(step) {
        let disk = FaultInjectingDisk::new(at);
        disk.set_faults(fault(at));
        let (acknowledged, _) = run_script(&disk);
        if cut_power {
            disk.cut_power();
        }
        disk.set_faults(Faults::default());
        let store = Store::open(&disk, &config()).unwrap_or_else(|e| panic!("{name} at {at}: {e}"));
        let found = read_state(&store).unwrap_or_else(|error| panic!("{name} at {at}: {error}"));
        // The store has the state of the last acknowledged commit, or of the one after it, which was written
        // but not acknowledged.
        assert!(
            (acknowledged..=acknowledged + 1).contains(&found),
            "{name} at {at}: {acknowledged} acknowledged, {found} found"
        );
        drop(store);
        assert_eq!(run_script(&disk).0, COMMITS, "{name} at {at}: the script can be completed");
    }
}

#[test]
fn a_power_cut_at_any_operation_leaves_the_last_commit_or_the_one_in_flight() {
    inject_at_each_operation(
        "power cut",
        1,
        |at| Faults { power_cut_at: Some(at), ..Faults::default() },
        true,
    );
}

#[test]
fn an_operation_that_fails_or_is_cut_short_leaves_a_complete_state() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        inject_at_each_operation(
            "failure",
            3,
            |at| Faults { failure: Some(OperationFailure { at, kind }), ..Faults::default() },
            false,
        );
    }
    inject_at_each_operation(
        "cut short",
        2,
        |at| Faults { short_write_at: Some(at), ..Faults::default() },
        true,
    );
}

#[test]
fn a_disk_that_ignores_syncs_shows_as_damage_or_an_older_state() {
    let (mut older, mut damaged) = (0, 0);
    for seed in 0..120 {
        let disk = FaultInjectingDisk::new(seed);
        let mut store = Store::open(&disk, &config()).expect("new");
        (1..=4).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("durable"), n));
        disk.set_faults(Faults { ignore_syncs: true, ..Faults::default() });
        (5..=7).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("reported as durable"), n));
        disk.cut_power();
        drop(store);
        match Store::open(&disk, &config()) {
            Ok(store) => {
                // Whatever was really synced must be there, unless the file is reported as damaged.
                let found = read_state(&store).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
                assert!((4..=7).contains(&found), "seed {seed}: {found}");
                older += u32::from(found < 7);
            }
            Err(error) => {
                assert!(error.is_damage(), "seed {seed}: {error}");
                damaged += 1;
            }
        }
    }
    // An older state is recognized by its generation, damage by the error of opening. The seeds must cover
    // both.
    assert!(older > 0 && damaged > 0, "{older} older, {damaged} damaged");
}

#[test]
fn a_flipped_bit_is_detected_before_anything_is_overwritten() {
    let disk = FaultInjectingDisk::new(3);
    assert_eq!(run_script(&disk).0, COMMITS);
    let (file, intact) = (config().file(), disk.image());
    let mut detected = 0;
    let offsets = (0..disk.file_length(&file)).step_by(1_009);
    for byte in offsets.clone() {
        disk.restore(intact.clone());
        disk.flip_bit(&file, byte, (byte % 8) as u8);
        let flipped = disk.image();
        match Store::open(&disk, &config()) {
            Ok(store) => assert_eq!(read_state(&store), Ok(COMMITS), "byte {byte}"),
            Err(error) => {
                assert!(
                    error.is_damage() && error.to_string().starts_with("store/rows.redb: damaged at"),
                    "{error}"
                );
                assert!(disk.image() == flipped, "byte {byte}: the damaged file was written to");
                detected += 1;
            }
        }
    }
    assert!(detected > 5, "{detected} of {} flipped bits detected", offsets.count());
    // After the quarantine the damaged file still exists, and a new store can be created.
    let quarantined = Store::quarantine(&disk, &config()).expect("quarantined");
    assert_eq!(quarantined, Path::new("store/rows.redb.aside-1"));
    let store = Store::open(&disk, &config()).expect("a new store");
    assert_eq!((store.generation(), disk.exists(&quarantined)), (0, true));
}

#[test]
fn a_bit_flipped_in_an_open_store_is_detected_by_a_scrub_or_a_reopen() {
    let disk = FaultInjectingDisk::new(3);
    let mut store = Store::open(&disk, &config()).expect("new");
    (1..=COMMITS).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("durable"), n));
    assert!(store.scrub().is_ok());
    let file = config().file();
    let mut detected = 0;
    for byte in (0..disk.file_length(&file)).step_by(211) {
        disk.flip_bit(&file, byte, 1);
    }
    detected += u32::from(store.scrub().is_err_and(|e| e.is_damage()));
    drop(store);
    detected += u32::from(Store::open(&disk, &config()).is_err_and(|e| e.is_damage()));
    assert!(detected > 0, "neither the scrub nor the reopening detected the damage");
}

#[test]
fn each_cause_of_failure_is_reported_and_leaves_the_store_unchanged() {
    let disk = FaultInjectingDisk::new(1);
    let store = Store::open(&disk, &config()).expect("new");
    let second = Store::open(&disk, &config()).expect_err("locked");
    assert_eq!(second.to_string(), "store/lock: another process has it open");
    drop(store);

    // A store that a newer program has written can't be opened.
    let newer = Config { format_version: 2, migrations: vec![|_| Ok(WriteBatch::new())], ..config() };
    drop(Store::open(&disk, &newer).expect("migrated"));
    let error = Store::open(&disk, &config()).expect_err("newer");
    assert_eq!(error.to_string(), "store/rows.redb: form 2, this program knows up to 1");

    let full = FaultInjectingDisk::new(1);
    let mut store = Store::open(&full, &Config { max_bytes: 4_000, ..config() }).expect("new");
    store.commit(&WriteBatch::new().put(1, b"a", &[7; 3_000])).expect("within the limit");
    let error = store.commit(&WriteBatch::new().put(1, b"b", &[7; 3_000])).expect_err("beyond the limit");
    assert!(matches!(error, StoreError::Full { max_bytes: 4_000, .. }), "{error}");
    store.commit(&WriteBatch::new().remove(1, b"a")).expect("removing is always possible");
    store.commit(&WriteBatch::new().put(1, b"b", &[7; 3_000])).expect("within the limit again");

    let disk_with_file = FaultInjectingDisk::new(1);
    disk_with_file.open(Path::new("store"), true).expect("a file");
    let error = Store::open(&disk_with_file, &config()).expect_err("not a directory");
    assert_eq!(error.to_string(), "store: expected a folder");

    let read_only = FaultInjectingDisk::new(1);
    read_only.set_faults(Faults { fail_writes: Some(ErrorKind::ReadOnlyFilesystem), ..Faults::default() });
    let error = Store::open(&read_only, &config()).expect_err("read only");
    assert!(error.to_string().starts_with("store: make the folder: "), "{error}");
}

#[test]
fn migrations_run_step_by_step_and_survive_power_cuts() {
    let to_version_2: umberloom_store::Migration = |store| {
        let old = store.get(1, b"name")?.unwrap_or_default();
        Ok(WriteBatch::new().put(1, b"name", &[&old[..], b"+2"].concat()))
    };
    let to_version_3: umberloom_store::Migration = |store| {
        let old = store.get(1, b"name")?.unwrap_or_default();
        Ok(WriteBatch::new().put(1, b"name", &[&old[..], b"+3"].concat()))
    };
    let newer = Config { format_version: 3, migrations: vec![to_version_2, to_version_3], ..config() };
    let mut at = 0;
    loop {
        at += 1;
        let disk = FaultInjectingDisk::new(at);
        let mut store = Store::open(&disk, &config()).expect("format version 1");
        store.commit(&WriteBatch::new().put(1, b"name", b"1")).expect("durable");
        drop(store);
        let before = disk.operations();
        disk.set_faults(Faults { power_cut_at: Some(before + at), ..Faults::default() });
        let completed = Store::open(&disk, &newer).is_ok();
        disk.cut_power();
        let store = Store::open(&disk, &newer).expect("format version 3");
        assert_eq!(store.get(1, b"name").expect("undamaged"), Some(b"1+2+3".to_vec()), "cut at {at}");
        if completed {
            break;
        }
    }
    assert!(at > 10, "{at} operations");
}

#[test]
fn the_writer_commits_in_order_and_commits_nothing_after_a_failure() {
    let disk = FaultInjectingDisk::new(1);
    let (events, received) = mpsc::channel();
    let store = Store::open(&disk, &config()).expect("new");
    let writer = Writer::start(store, 64, move |event| drop(events.send(event))).expect("a thread");
    for n in 1..=5 {
        writer.commit(n, WriteBatch::new().put(1, b"n", &n.to_le_bytes())).expect("queued");
    }
    let wait_until_durable = |batch: u64| loop {
        match received.recv_timeout(Duration::from_secs(20)).expect("an event") {
            WriterEvent::Durable { number, .. } if number == batch => return,
            WriterEvent::Durable { .. } => {}
            other => panic!("{other:?}"),
        }
    };
    wait_until_durable(5);
    disk.set_faults(Faults { fail_writes: Some(ErrorKind::StorageFull), ..Faults::default() });
    writer.commit(6, WriteBatch::new().put(1, b"n", &6u64.to_le_bytes())).expect("queued");
    let failed = received.recv_timeout(Duration::from_secs(20)).expect("an event");
    assert!(matches!(failed, WriterEvent::Failed { number: 6, error: StoreError::Io { .. } }), "{failed:?}");
    disk.set_faults(Faults::default());
    writer.commit(7, WriteBatch::new().put(1, b"n", &7u64.to_le_bytes())).expect("queued");
    assert!(writer.scrub());
    let scrubbed = received.recv_timeout(Duration::from_secs(20)).expect("an event");
    assert!(matches!(scrubbed, WriterEvent::Scrubbed(_)), "batch 7 was not discarded: {scrubbed:?}");
    writer.finish();
    let store = Store::open(&disk, &config()).expect("opened again");
    assert_eq!(store.get(1, b"n").expect("undamaged"), Some(5u64.to_le_bytes().to_vec()));
}

#[test]
fn the_store_commits_detects_damage_and_is_locked_on_a_real_disk() {
    let directory = std::env::temp_dir().join(format!("umberloom-store-{}", std::process::id()));
    let config = Config { max_bytes: 1 << 20, ..Config::new(&directory) };
    let mut store = Store::open(&RealDisk, &config).expect("new");
    (1..=COMMITS).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("durable"), n));
    assert!(matches!(Store::open(&RealDisk, &config), Err(StoreError::Locked { .. })));
    drop(store);
    let mut store = Store::open(&RealDisk, &config).expect("opened again");
    assert_eq!((read_state(&store), store.scrub().is_ok()), (Ok(COMMITS), true));
    drop(store);
    std::fs::write(config.file(), b"no store at all, but long enough to be looked at").expect("written");
    assert!(Store::open(&RealDisk, &config).is_err_and(|e| e.is_damage()));
    Store::quarantine(&RealDisk, &config).expect("quarantined");
    assert_eq!(Store::open(&RealDisk, &config).expect("a new store").generation(), 0);
    let _ = std::fs::remove_dir_all(directory);
}
