//! Format compatibility with the version of commit 604394b: the messages, log entries, stores and exports
//! that it wrote are decoded to the same values, and messages and entries are encoded to the same bytes.

use std::path::Path;

use umberloom_fault_harness::golden::{assert_decoded, assert_encoded};
use umberloom_membership::MemberName;
use umberloom_replicated_store::entry::{Content, DocumentPart, DocumentUpdate, Entry, Envelope};
use umberloom_replicated_store::export::Export;
use umberloom_replicated_store::log::{Manifest, StoredReplica, KEYSPACES};
use umberloom_replicated_store::message::{self, OfferedSnapshot, PeerMessage, StatusMessage};
use umberloom_replicated_store::rollback::DurableProgress;
use umberloom_replicated_store::state::{HistoryLine, Outcome};
use umberloom_replicated_store::transfer::SnapshotChunk;
use umberloom_replicated_store::{State, StoreId};
use umberloom_store::disk::RealDisk;
use umberloom_store::{Config as StoreConfig, Store};

const MESSAGES: &str = include_str!("golden/messages.txt");
const ENVELOPES: &str = include_str!("golden/envelopes.txt");
const EXPORT: &[u8] = include_bytes!("golden/export");

fn messages() -> Vec<(&'static str, PeerMessage)> {
    let durable = DurableProgress { starts: 3, term: 500, last_index: 70_000 };
    let status = StatusMessage {
        store_id: StoreId(u64::MAX - 2),
        replica_id: 77,
        adopted_from: StoreId(5),
        durable,
        is_voter: true,
        applied: 69_999,
        rolling_digest: [7; 16],
        leader: Some(MemberName::from("server-b")),
        reachable: vec![MemberName::from("server-b"), MemberName::from("server-c")],
        receiver_progress: Some(DurableProgress { starts: 1, term: 2, last_index: 3 }),
        fetching_snapshot: true,
        snapshot: OfferedSnapshot { index: 60_000, manifest: Manifest { digest: [9; 16], length: 123_456 } },
        load_percent: 42,
    };
    vec![
        ("status", PeerMessage::Status(Box::new(status))),
        ("status-empty", PeerMessage::Status(Box::default())),
        ("raft", PeerMessage::Raft { to: 300, message: vec![1, 2, 3] }),
        ("hop", PeerMessage::Relay { to: MemberName::from("server-c"), message: vec![4, 5] }),
        (
            "passed",
            PeerMessage::Relayed {
                from: MemberName::from("server-a"),
                boot_id: 1_700_000_000_000_001,
                message: vec![6],
            },
        ),
        ("join", PeerMessage::Join { replica_id: 77, zone: MemberName::from("east") }),
        ("hand", PeerMessage::SetVoter { member: MemberName::from("server-b"), is_voter: true }),
        ("ask", PeerMessage::ChunkRequest { digest: [1; 16], index: 400 }),
        ("piece", PeerMessage::Chunk(SnapshotChunk { digest: [1; 16], index: 400, bytes: vec![255, 0] })),
    ]
}

fn entries() -> Vec<(&'static str, Entry)> {
    let document = |expected_version, content| {
        Entry::Document(DocumentUpdate { name: "limits".to_owned(), expected_version, content })
    };
    vec![
        ("note", Entry::Note("a remark".to_owned())),
        ("part", Entry::Part(DocumentPart { document_digest: [3; 16], index: 2, bytes: vec![1, 2, 3] })),
        ("document", document(Some(300), Content::Inline(b"forty".to_vec()))),
        ("document-in-parts", document(None, Content::Parts([3; 16], 5))),
        ("document-removed", document(None, Content::Removed)),
    ]
}

#[test]
fn messages_are_written_byte_for_byte_as_before() {
    assert_encoded(&messages(), MESSAGES, message::encode);
}

#[test]
fn messages_of_the_earlier_version_are_read() {
    assert_decoded(&messages(), MESSAGES, message::decode);
}

#[test]
fn log_entries_are_written_byte_for_byte_as_before() {
    let encode = |entry: &Entry| entry.to_envelope(1 << 100, "server-a", 1_700_000_000_123).to_bytes();
    assert_encoded(&entries(), ENVELOPES, encode);
}

#[test]
fn log_entries_of_the_earlier_version_are_read() {
    let decode = |bytes: &[u8]| {
        let envelope = Envelope::from_bytes(bytes)?;
        assert_eq!((envelope.id, envelope.author.as_str()), (1 << 100, "server-a"));
        assert_eq!(envelope.written_at_ms, 1_700_000_000_123);
        envelope.decode()
    };
    assert_decoded(&entries(), ENVELOPES, decode);
}

/// The history that all three servers of the earlier version had when they were stopped, oldest line first.
fn expected_history() -> Vec<(String, Outcome)> {
    vec![
        ("document limits".to_owned(), Outcome::Applied(1)),
        ("document limits".to_owned(), Outcome::Applied(2)),
        ("document routes".to_owned(), Outcome::Applied(1)),
        ("document large".to_owned(), Outcome::Applied(1)),
        ("document retired".to_owned(), Outcome::Applied(1)),
        ("document retired".to_owned(), Outcome::Applied(2)),
        ("document limits".to_owned(), Outcome::Conflict(2)),
        ("rolled back the spring limits".to_owned(), Outcome::Applied(0)),
    ]
}

/// Asserts that the state has every document, version, content and history line that the earlier version
/// wrote.
fn assert_is_the_earlier_state(state: &State) {
    let large: Vec<u8> = (0..40_000u32).map(|n| (n % 251) as u8).collect();
    let documents: Vec<(&str, u64, &[u8])> = state
        .documents()
        .map(|(name, document)| {
            (name.as_str(), document.version, document.bytes.as_deref().unwrap_or_default())
        })
        .collect();
    let routes = br#"{"billing":["10.0.0.1:80"]}"#;
    let expected: [(&str, u64, &[u8]); 3] =
        [("large", 1, &large), ("limits", 2, b"fifty"), ("routes", 1, routes)];
    assert_eq!(documents, expected);
    let lines: Vec<&HistoryLine> = state.history().collect();
    let history: Vec<(String, Outcome)> =
        lines.iter().map(|line| (line.description.clone(), line.outcome.clone())).collect();
    assert_eq!(history, expected_history());
    assert!(lines.iter().all(|line| line.author.at_ms > 1_700_000_000_000), "{lines:?}");
}

/// The replica in the store that a server of the earlier version wrote; `store` is its folder among the
/// golden files.
fn read_golden_store(store: &str) -> StoredReplica {
    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(store);
    let copied_folder = std::env::temp_dir().join(format!("umberloom-stored-{}-{store}", std::process::id()));
    std::fs::create_dir_all(&copied_folder).expect("folder created");
    std::fs::copy(golden.join("rows.redb"), copied_folder.join("rows.redb")).expect("file copied");
    let rows = {
        let store = Store::open(&RealDisk, &StoreConfig::new(&copied_folder)).expect("a valid store");
        let rows_of = |keyspace| store.range(keyspace, &[], None, usize::MAX).expect("readable rows");
        KEYSPACES.map(|keyspace| (keyspace, rows_of(keyspace))).to_vec()
    };
    std::fs::remove_dir_all(&copied_folder).expect("folder removed");
    StoredReplica::read(rows).expect("valid rows").expect("a replica")
}

#[test]
fn stores_of_the_earlier_version_have_all_documents_and_history_lines() {
    for (store, server) in ["n1", "n2", "n3"].into_iter().enumerate() {
        let replica = read_golden_store(&format!("store-{store}"));
        assert_eq!(replica.identity.server, server);
        assert_eq!(replica.identity.starts, 1);
        let mut state = replica.state.clone().expect("a snapshot");
        let last_index = replica.last_position().index;
        let log = umberloom_replicated_store::log::Log::load(replica);
        for entry in log.entries_through(last_index) {
            entry.apply_to(&mut state);
        }
        assert_is_the_earlier_state(&state);
    }
}

#[test]
fn an_export_of_the_earlier_version_is_valid_and_complete() {
    let export = Export::from_bytes(EXPORT).expect("an export");
    let verified = export.verify().expect("a valid export");
    let documents =
        [("large".to_owned(), 1, 40_000), ("limits".to_owned(), 2, 5), ("routes".to_owned(), 1, 27)];
    assert_eq!((verified.documents, verified.unsupported_entries), (documents.to_vec(), 0));
    assert_eq!(export.to_bytes(), EXPORT);
    let mut state = State::from_bytes(&export.snapshot).expect("a state");
    for entry in &export.entries {
        entry.apply_to(&mut state);
    }
    assert_is_the_earlier_state(&state);
}
