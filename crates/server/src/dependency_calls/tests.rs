use async_channel::Receiver;

use super::*;
use crate::memory::budget::Budget;
use crate::memory::request_table::RunState;
use crate::messages::caller::{ReplyTo, WorkRequest};

const NOW: Micros = 1_764_576_000_000_000;

/// The call plan of class `search` makes one call, to the platform's records service.
const OPERATOR_FILE: &str = r#"
dependency "records" { platform; }
plan "search" { stage most-ms=400 { needs "records"; }; }
"#;

/// Creates the call plans of [`OPERATOR_FILE`], with the receiving end of the dependency's mailbox.
fn dependency_calls() -> (DependencyCalls, Receiver<DependencyCommand>) {
    let operator = umberloom_operator_config::parse("operator.kdl", OPERATOR_FILE, None)
        .unwrap_or_else(|error| panic!("{error}"));
    let (mailbox, inbox) = async_channel::bounded(64);
    let settings = DependencySettings {
        config: operator.dependencies,
        mailboxes: BTreeMap::from([(Rc::from("records"), mailbox)]),
        shared_quotas: Vec::new(),
        charge: Budget::new(1, 0).charge(0).expect("a charge of 0 bytes"),
    };
    let log = Logger::root(slog::Discard, slog::o!());
    let quota_leases = QuotaLeases::new(None, 1, log.clone());
    let calls = DependencyCalls::new(NOW, settings, quota_leases, 1, log).expect("valid settings");
    (calls, inbox)
}

/// Creates a running request of class `search`.
fn open_request(id: &str) -> OpenRequest {
    OpenRequest {
        id: id.into(),
        class: 0,
        work: WorkRequest {
            id: id.to_owned(),
            class: "search".to_owned(),
            tenant: None,
            cost: None,
            received_at: NOW,
            timeout: None,
            is_retry: false,
            sender: 1,
            queued_kb: 1.0,
            rank: 0.5,
            dedup_key: None,
            idempotency_key: None,
        },
        body: Vec::new(),
        deadline: NOW + 1_000_000,
        reply_to: Some(ReplyTo::new(async_channel::bounded(1).0, 1, 1)),
        run: RunState::Running,
        has_run: true,
        launch_uncertain: false,
        preempting: false,
        call: None,
        had_call_plan: false,
        last_reply_at: None,
        duplicate_of: None,
        awaits_original: false,
        _charge: Budget::new(1, 0).charge(0).expect("a charge of 0 bytes"),
    }
}

/// Ids of the attempts that were started, and of those that were cancelled, since the last call.
fn take_commands(inbox: &Receiver<DependencyCommand>) -> (Vec<CallId>, Vec<CallId>) {
    let (mut started, mut cancelled) = (Vec::new(), Vec::new());
    while let Ok(command) = inbox.try_recv() {
        match command {
            DependencyCommand::Call(call) => started.push(call.id),
            DependencyCommand::Cancel(id) => cancelled.push(id),
            other => panic!("{other:?}"),
        }
    }
    (started, cancelled)
}

/// Guards against a late reply to an earlier call being delivered as the reply to the current one.
#[test]
fn next_call_of_a_run_cancels_the_previous_call_plan() {
    let (mut calls, inbox) = dependency_calls();
    let request = open_request("a");
    calls.start_plan(NOW, &request, Rc::from(&b"first"[..]), NOW + 400_000, 1);
    let (first, cancelled) = take_commands(&inbox);
    assert_eq!((first.len(), cancelled.len()), (1, 0));
    calls.start_plan(NOW + 1_000, &request, Rc::from(&b"second"[..]), NOW + 400_000, 1);
    let (second, cancelled) = take_commands(&inbox);
    assert_eq!((second.len(), &cancelled), (1, &first));
    calls.handle_attempt_end(NOW + 2_000, &first[0], Outcome::Ok, b"late".to_vec());
    assert_eq!(calls.take_finished().len(), 0);
    calls.handle_attempt_end(NOW + 3_000, &second[0], Outcome::Ok, b"reply".to_vec());
    let finished = calls.take_finished();
    assert_eq!(finished.len(), 1);
    assert_eq!((&*finished[0].id, finished[0].outcome, finished[0].duration), ("a", Outcome::Ok, 2_000));
    assert!(!calls.cancel_plan(NOW + 4_000, "a"), "no call plan is in flight");
}
