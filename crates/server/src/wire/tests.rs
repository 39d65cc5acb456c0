//! Compares the encoding of operator requests and responses, and the output of `--json`, with golden files
//! from commit 604394b. Commands and servers of that version must understand those of this version, and
//! scripts must still be able to read the output.

use std::collections::BTreeMap;

use serde::{de::DeserializeOwned, Serialize};
use umberloom_fault_harness::golden::{from_hex, to_hex};
use umberloom_membership::wire::{BuildInfo, RejectReason};
use umberloom_membership::{Evidence, MemberState, MemberView, MessageCounts, PartitionStatus};
use umberloom_quota::{ChangeCause, QuotaStatus};
use umberloom_replicated_store::entry::Entry;
use umberloom_replicated_store::state::{Author, HistoryLine};
use umberloom_replicated_store::{Outcome, ReplicaView, Role};

use super::fleet::{FleetReply, FleetRequest, FleetRequestKind, FleetResponse, FleetView};
use super::replicated_store::{StoreRequest, StoreResponse};

const REQUESTS: &str = include_str!("golden/questions.txt");
const RESPONSES: &str = include_str!("golden/answers.txt");
const MEMBERS_JSON: &str = include_str!("golden/members.json");
const EVIDENCE_JSON: &str = include_str!("golden/evidence.json");
const STATUS_JSON: &str = include_str!("golden/status.json");
const HISTORY_JSON: &str = include_str!("golden/history.json");

/// Asserts that each value is encoded as its line of the golden file, and that the line is decoded as the
/// value.
fn assert_golden<T>(values: &[T], golden: &str)
where
    T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let encode = |value: &T| to_hex(&postcard::to_allocvec(value).expect("serializable"));
    assert_eq!(values.iter().map(encode).collect::<Vec<_>>().join("\n"), golden.trim_end());
    for (value, line) in values.iter().zip(golden.lines()) {
        assert_eq!(postcard::from_bytes::<T>(&from_hex(line)).as_ref(), Ok(value));
    }
}

fn evidence() -> Vec<Evidence> {
    vec![
        Evidence { what: "it said that it leaves".to_owned(), age_ms: Some(1_200) },
        Evidence { what: "named by the operator".to_owned(), age_ms: None },
    ]
}

fn members() -> Vec<MemberView> {
    let states = [
        MemberState::NeverSeen,
        MemberState::Present,
        MemberState::Suspected,
        MemberState::Failed,
        MemberState::Leaving,
        MemberState::Left,
    ];
    let partition_statuses = [
        PartitionStatus::Unsure,
        PartitionStatus::Alone,
        PartitionStatus::Minority,
        PartitionStatus::Majority,
        PartitionStatus::Whole,
    ];
    let build_info = BuildInfo {
        zone: "east".to_owned(),
        program: "0.2.0".to_owned(),
        config: 1 << 60,
        operator: 9,
        shares: 1 << 40,
    };
    let members = states.into_iter().enumerate().map(|(n, state)| MemberView {
        name: format!("server-{n}").into(),
        named: n != 4,
        state,
        for_ms: 12_345,
        boot: 1_700_000_000_000_001,
        incarnation: 3,
        renewal: 400,
        heard_ms: (n != 0).then_some(12),
        hears_us_ms: (n != 0).then_some(13),
        reached: n == 1,
        says: partition_statuses.get(n).map(|&status| (status, 50, 2)),
        about: build_info.clone(),
        differs_ms: (n == 2).then_some(900),
    });
    members.collect()
}

fn quotas() -> Vec<(String, QuotaStatus)> {
    let causes = [
        ChangeCause::Started,
        ChangeCause::Settled,
        ChangeCause::Lent,
        ChangeCause::LoanBack,
        ChangeCause::Borrowed,
        ChangeCause::LoanOver,
        ChangeCause::Part,
        ChangeCause::Silenced,
    ];
    let quota_status = |cause| QuotaStatus {
        whole: 40,
        part: 13,
        wanted: 14,
        lent: 1,
        borrowed: 2,
        used: 3,
        waiting: 4,
        moved: (cause, 250),
        quiet_ms: 500,
    };
    causes.map(|cause| (format!("{cause:?}"), quota_status(cause))).to_vec()
}

fn fleet_view() -> FleetView {
    FleetView {
        name: "server-a".to_owned(),
        boot: 1_700_000_000_000_002,
        standing: PartitionStatus::Majority,
        sick: 1,
        silenced: true,
        members: members(),
        allowances: quotas(),
        disagreements: vec![("server-2".to_owned(), vec!["server-3: not there here".to_owned()])],
        counts: MessageCounts {
            sent: (500, 70_000),
            heard: (400, 60_000),
            refused: BTreeMap::from(RejectReason::ALL.map(|reason| (reason, 300 + reason as u64))),
            standstills: 2,
        },
    }
}

fn replica_status() -> umberloom_replicated_store::ReplicaStatus {
    let replica = |replica_id, is_voter, applied| ReplicaView {
        replica_id,
        server: format!("server-{replica_id}"),
        zone: "east".to_owned(),
        is_voter,
        applied,
        heard_ms: applied,
    };
    umberloom_replicated_store::ReplicaStatus {
        store_id: umberloom_replicated_store::StoreId(u64::MAX - 5),
        replica_id: 7,
        role: Role::Leader,
        term: 12,
        leader: Some("server-a".to_owned()),
        applied: 300,
        commit: 301,
        last_index: 302,
        leader_heard_ms: Some(20),
        rolling_digest: [5; 16],
        replicas: vec![replica(7, true, Some(300)), replica(8, false, None)],
        catching_up: Some((3, 9)),
        unsupported_entries: 1,
        frozen: true,
    }
}

fn history() -> Vec<HistoryLine> {
    let outcomes = [
        Outcome::Applied(0),
        Outcome::Applied(2),
        Outcome::Conflict(2),
        Outcome::Rejected("too large".to_owned()),
        Outcome::Unsupported,
    ];
    let line = |(index, outcome)| HistoryLine {
        index,
        author: Author { server: "server-a".to_owned(), at_ms: 1_700_000_000_123 },
        description: "document limits".to_owned(),
        outcome,
    };
    (300..).zip(outcomes).map(line).collect()
}

fn requests() -> Vec<FleetRequest> {
    let read_document =
        |latest| StoreRequest::ReadDocument { name: "limits".to_owned(), latest, from: 70_000 };
    let store = [
        StoreRequest::Status,
        read_document(true),
        read_document(false),
        StoreRequest::History(20),
        StoreRequest::Write { id: 1 << 100, entry: Entry::Note("a remark".to_owned()) },
        StoreRequest::SetVoter("server-b".to_owned(), true),
        StoreRequest::Export(65_536),
        StoreRequest::Adopt,
    ];
    let fleet = [FleetRequestKind::Members, FleetRequestKind::Explain("server-b".to_owned())];
    let all = fleet.into_iter().chain(store.map(FleetRequestKind::Store));
    all.map(|kind| FleetRequest { number: 70_000, kind }).collect()
}

fn responses() -> Vec<FleetResponse> {
    let status = |role| {
        let status = umberloom_replicated_store::ReplicaStatus { role, ..replica_status() };
        StoreResponse::Status(Box::new(status))
    };
    let document = StoreResponse::Document {
        version: 2,
        index: 300,
        by: "server-a".to_owned(),
        length: 70_000,
        part: vec![1, 2, 255],
        age_ms: Some(40),
    };
    let mut store: Vec<StoreResponse> =
        [Role::Outside, Role::Returning, Role::Learner, Role::Voter, Role::Leader].map(status).to_vec();
    store.extend([
        document,
        StoreResponse::UnknownDocument(vec!["limits".to_owned()]),
        StoreResponse::History(history()),
        StoreResponse::Accepted,
        StoreResponse::ExportPart(vec![1, 2], 70_000),
        StoreResponse::Rejected("nobody leads".to_owned()),
    ]);
    store.extend(history().into_iter().map(|line| StoreResponse::WriteOutcome(line.outcome)));
    let fleet = [
        FleetReply::Members(fleet_view()),
        FleetReply::Explain(evidence()),
        FleetReply::UnknownMember(vec!["server-a".to_owned(), "server-b".to_owned()]),
    ];
    let all = fleet.into_iter().chain(store.into_iter().map(FleetReply::Store));
    all.map(|reply| FleetResponse { number: 70_000, reply }).collect()
}

#[test]
fn operator_requests_keep_their_encoding() {
    assert_golden(&requests(), REQUESTS);
}

#[test]
fn operator_responses_keep_their_encoding() {
    assert_golden(&responses(), RESPONSES);
}

#[test]
fn json_output_keeps_its_fields_and_format() {
    let text = |value: serde_json::Result<String>| value.expect("serializable");
    assert_eq!(text(serde_json::to_string_pretty(&fleet_view())), MEMBERS_JSON.trim_end());
    assert_eq!(text(serde_json::to_string_pretty(&evidence())), EVIDENCE_JSON.trim_end());
    // `record status` and `record history` print these through a `serde_json::Value`, which sorts the fields
    // by name.
    let status = serde_json::json!(replica_status());
    assert_eq!(text(serde_json::to_string_pretty(&status)), STATUS_JSON.trim_end());
    let history = serde_json::json!(history());
    assert_eq!(text(serde_json::to_string_pretty(&history)), HISTORY_JSON.trim_end());
}
