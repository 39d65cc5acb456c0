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

/// The batch that makes the state after so many commits: all rows say the same number, so that a mixture shows.
fn state_batch(n: u64) -> WriteBatch {
    let value =
        |row: u64| [&n.to_le_bytes()[..], &vec![row as u8; 40 + (row * n * 97 % 3_000) as usize]].concat();
    let rows = (0..6).fold(WriteBatch::new(), |batch, row| batch.put(1, &[row as u8], &value(row)));
    // A log that grows and is cut at its start.
    let rows = rows.put(2, &n.to_be_bytes(), &n.to_le_bytes());
    rows.remove_range(2, &0u64.to_be_bytes(), &n.saturating_sub(3).to_be_bytes())
}

/// Reads the number of the commit whose state the store is in; a mixture of states is an error.
fn read_state(store: &Store) -> Result<u64, String> {
    let rows = store.range(1, &[], None, usize::MAX).map_err(|e| e.to_string())?;
    let numbers: Vec<u64> =
        rows.iter().map(|(_, v)| u64::from_le_bytes(v[..8].try_into().expect("8 bytes"))).collect();
    let n = numbers.first().copied().unwrap_or(0);
    if numbers.iter().any(|other| *other != n) || (n > 0 && rows.len() != 6) {
        return Err(format!("a mixture: {numbers:?}"));
    }
    let log = store.range(2, &[], None, usize::MAX).map_err(|e| e.to_string())?;
    let log: Vec<u64> =
        log.iter().map(|(k, _)| u64::from_be_bytes(k[..].try_into().expect("8 bytes"))).collect();
    let wanted: Vec<u64> = (n.saturating_sub(3).max(1)..=n).filter(|_| n > 0).collect();
    if log != wanted || store.generation() != n {
        return Err(format!("state {n}, log {log:?}, generation {}", store.generation()));
    }
    Ok(n)
}

/// Runs the script up to the first error. Returns the number of commits that were acknowledged, and the
/// error.
fn run_script(disk: &FaultInjectingDisk) -> (u64, Option<StoreError>) {
    let mut acked = 0;
    let mut play = || -> Result<(), StoreError> {
        let mut store = Store::open(disk, &config())?;
        acked = store.generation();
        while acked < COMMITS {
            store.commit(&state_batch(acked + 1))?;
            acked += 1;
            if acked == COMMITS / 2 {
                store.compact()?;
                store.scrub()?;
                drop(store);
                store = Store::open(disk, &config())?;
            }
        }
        Ok(())
    };
    let ended = play().err();
    (acked, ended)
}

/// The number of disk operations of a script run without faults.
fn count_operations() -> u64 {
    let disk = FaultInjectingDisk::new(0);
    assert_eq!(run_script(&disk).0, COMMITS);
    disk.operations()
}

/// Runs the script with a fault at each operation in turn, cuts the power afterwards if `cut`, and checks the state.
fn inject_at_each_operation(name: &str, step: usize, fault: impl Fn(u64) -> Faults, cut: bool) {
    for at in (1..=count_operations()).step_by(step) {
        let disk = FaultInjectingDisk::new(at);
        disk.set_faults(fault(at));
        let (acked, _) = run_script(&disk);
        if cut {
            disk.cut_power();
        }
        disk.set_faults(Faults::default());
        let store = Store::open(&disk, &config()).unwrap_or_else(|e| panic!("{name} at {at}: {e}"));
        let found = read_state(&store).unwrap_or_else(|why| panic!("{name} at {at}: {why}"));
        // The last that returned, or one more whose answer did not come.
        assert!((acked..=acked + 1).contains(&found), "{name} at {at}: {acked} returned, {found} found");
        drop(store);
        assert_eq!(run_script(&disk).0, COMMITS, "{name} at {at}: it goes on");
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
        (5..=7).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("told to be durable"), n));
        disk.cut_power();
        drop(store);
        match Store::open(&disk, &config()) {
            Ok(store) => {
                // What was truly synced is there or the file says that it is damaged.
                let found = read_state(&store).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
                assert!((4..=7).contains(&found), "seed {seed}: {found}");
                older += u32::from(found < 7);
            }
            Err(why) => {
                assert!(why.is_damage(), "seed {seed}: {why}");
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
    let (file, sound) = (config().file(), disk.image());
    let mut found = 0;
    let places = (0..disk.file_length(&file)).step_by(1_009);
    for byte in places.clone() {
        disk.restore(sound.clone());
        disk.flip_bit(&file, byte, (byte % 8) as u8);
        let flipped = disk.image();
        match Store::open(&disk, &config()) {
            Ok(store) => assert_eq!(read_state(&store), Ok(COMMITS), "byte {byte}"),
            Err(why) => {
                assert!(
                    why.is_damage() && why.to_string().starts_with("store/rows.redb: damaged at"),
                    "{why}"
                );
                assert!(disk.image() == flipped, "byte {byte}: it was written to");
                found += 1;
            }
        }
    }
    assert!(found > 5, "{found} of {} places", places.count());
    // Set aside it stays as it is, and a new one begins.
    let aside = Store::quarantine(&disk, &config()).expect("set aside");
    assert_eq!(aside, Path::new("store/rows.redb.aside-1"));
    let store = Store::open(&disk, &config()).expect("a new one");
    assert_eq!((store.generation(), disk.exists(&aside)), (0, true));
}

#[test]
fn a_bit_flipped_in_an_open_store_is_detected_by_a_scrub_or_a_reopen() {
    let disk = FaultInjectingDisk::new(3);
    let mut store = Store::open(&disk, &config()).expect("new");
    (1..=COMMITS).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("durable"), n));
    assert!(store.scrub().is_ok());
    let file = config().file();
    let mut found = 0;
    for byte in (0..disk.file_length(&file)).step_by(211) {
        disk.flip_bit(&file, byte, 1);
    }
    found += u32::from(store.scrub().is_err_and(|e| e.is_damage()));
    drop(store);
    found += u32::from(Store::open(&disk, &config()).is_err_and(|e| e.is_damage()));
    assert!(found > 0, "neither a scrub nor a start has found it");
}

#[test]
fn obstacles_are_reported_and_change_nothing() {
    let disk = FaultInjectingDisk::new(1);
    let store = Store::open(&disk, &config()).expect("new");
    let second = Store::open(&disk, &config()).expect_err("locked");
    assert_eq!(second.to_string(), "store/lock: another process has it open");
    drop(store);

    // A store that a newer program has written can't be opened.
    let newer = Config { format_version: 2, migrations: vec![|_| Ok(WriteBatch::new())], ..config() };
    drop(Store::open(&disk, &newer).expect("migrated"));
    let refused = Store::open(&disk, &config()).expect_err("newer");
    assert_eq!(refused.to_string(), "store/rows.redb: form 2, this program knows up to 1");

    let full = FaultInjectingDisk::new(1);
    let mut store = Store::open(&full, &Config { max_bytes: 4_000, ..config() }).expect("new");
    store.commit(&WriteBatch::new().put(1, b"a", &[7; 3_000])).expect("room");
    let why = store.commit(&WriteBatch::new().put(1, b"b", &[7; 3_000])).expect_err("no room");
    assert!(matches!(why, StoreError::Full { max_bytes: 4_000, .. }), "{why}");
    store.commit(&WriteBatch::new().remove(1, b"a")).expect("taking out is always possible");
    store.commit(&WriteBatch::new().put(1, b"b", &[7; 3_000])).expect("room again");

    let file = FaultInjectingDisk::new(1);
    file.open(Path::new("store"), true).expect("a file");
    let why = Store::open(&file, &config()).expect_err("no folder");
    assert_eq!(why.to_string(), "store: expected a folder");

    let read_only = FaultInjectingDisk::new(1);
    read_only.set_faults(Faults { fail_writes: Some(ErrorKind::ReadOnlyFilesystem), ..Faults::default() });
    let why = Store::open(&read_only, &config()).expect_err("read only");
    assert!(why.to_string().starts_with("store: make the folder: "), "{why}");
}

#[test]
fn migrations_run_step_by_step_and_survive_power_cuts() {
    let two: umberloom_store::Migration = |store| {
        let old = store.get(1, b"name")?.unwrap_or_default();
        Ok(WriteBatch::new().put(1, b"name", &[&old[..], b"+2"].concat()))
    };
    let three: umberloom_store::Migration = |store| {
        let old = store.get(1, b"name")?.unwrap_or_default();
        Ok(WriteBatch::new().put(1, b"name", &[&old[..], b"+3"].concat()))
    };
    let newer = Config { format_version: 3, migrations: vec![two, three], ..config() };
    let mut at = 0;
    loop {
        at += 1;
        let disk = FaultInjectingDisk::new(at);
        let mut store = Store::open(&disk, &config()).expect("form 1");
        store.commit(&WriteBatch::new().put(1, b"name", b"1")).expect("durable");
        drop(store);
        let before = disk.operations();
        disk.set_faults(Faults { power_cut_at: Some(before + at), ..Faults::default() });
        let through = Store::open(&disk, &newer).is_ok();
        disk.cut_power();
        let store = Store::open(&disk, &newer).expect("form 3");
        assert_eq!(store.get(1, b"name").expect("sound"), Some(b"1+2+3".to_vec()), "cut at {at}");
        if through {
            break;
        }
    }
    assert!(at > 10, "{at} operations");
}

#[test]
fn the_writer_keeps_the_order_and_commits_nothing_after_a_failure() {
    let disk = FaultInjectingDisk::new(1);
    let (events, received) = mpsc::channel();
    let store = Store::open(&disk, &config()).expect("new");
    let writer = Writer::start(store, 64, move |event| drop(events.send(event))).expect("a thread");
    for n in 1..=5 {
        writer.commit(n, WriteBatch::new().put(1, b"n", &n.to_le_bytes())).expect("room");
    }
    let durable = |wanted: u64| loop {
        match received.recv_timeout(Duration::from_secs(20)).expect("an answer") {
            WriterEvent::Durable { number, .. } if number == wanted => return,
            WriterEvent::Durable { .. } => {}
            other => panic!("{other:?}"),
        }
    };
    durable(5);
    disk.set_faults(Faults { fail_writes: Some(ErrorKind::StorageFull), ..Faults::default() });
    writer.commit(6, WriteBatch::new().put(1, b"n", &6u64.to_le_bytes())).expect("room");
    let failed = received.recv_timeout(Duration::from_secs(20)).expect("an answer");
    assert!(matches!(failed, WriterEvent::Failed { number: 6, error: StoreError::Io { .. } }), "{failed:?}");
    disk.set_faults(Faults::default());
    writer.commit(7, WriteBatch::new().put(1, b"n", &7u64.to_le_bytes())).expect("room");
    assert!(writer.scrub());
    let scrubbed = received.recv_timeout(Duration::from_secs(20)).expect("an answer");
    assert!(matches!(scrubbed, WriterEvent::Scrubbed(_)), "batch 7 was taken: {scrubbed:?}");
    writer.finish();
    let store = Store::open(&disk, &config()).expect("opened anew");
    assert_eq!(store.get(1, b"n").expect("sound"), Some(5u64.to_le_bytes().to_vec()));
}

#[test]
fn the_system_s_disk_behaves_the_same() {
    let folder = std::env::temp_dir().join(format!("umberloom-store-{}", std::process::id()));
    let config = Config { max_bytes: 1 << 20, ..Config::new(&folder) };
    let mut store = Store::open(&RealDisk, &config).expect("new");
    (1..=COMMITS).for_each(|n| assert_eq!(store.commit(&state_batch(n)).expect("durable"), n));
    assert!(matches!(Store::open(&RealDisk, &config), Err(StoreError::Locked { .. })));
    drop(store);
    let mut store = Store::open(&RealDisk, &config).expect("again");
    assert_eq!((read_state(&store), store.scrub().is_ok()), (Ok(COMMITS), true));
    drop(store);
    std::fs::write(config.file(), b"no store at all, but long enough to be looked at").expect("written");
    assert!(Store::open(&RealDisk, &config).is_err_and(|e| e.is_damage()));
    Store::quarantine(&RealDisk, &config).expect("set aside");
    assert_eq!(Store::open(&RealDisk, &config).expect("a new one").generation(), 0);
    let _ = std::fs::remove_dir_all(folder);
}
