//! Tests of duplicates by resource key, which wait for the result of the original.

use super::*;

#[test]
fn duplicates_get_the_result_of_their_original() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", Some("k"));
    fixture.execute(Action::RetainKey("a".into(), 1_000_000));
    fixture.execute(Action::Admit("a".into()));
    fixture.send_request("b", Some("k"));
    assert_eq!(fixture.last_duplicate_of("b").as_deref(), Some("a"));
    fixture.execute(Action::AwaitDuplicate("b".into()));
    assert_eq!(fixture.take_responses(), []);
    fixture.end_run("a", RunOutcome::Success(b"r".to_vec()));
    // This duplicate arrives after the original has ended.
    fixture.send_request("c", Some("k"));
    fixture.execute(Action::AwaitDuplicate("c".into()));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    assert_eq!(fixture.take_responses(), [served(2), served(1), served(3)]);
    assert!(fixture.take_events().contains(&r#"RunEnded("c", Ok, 0)"#.to_owned()));
    assert_eq!(fixture.take_agent_commands().len(), 1);
}

#[test]
fn duplicate_fails_if_original_never_ran_and_is_not_linked_after_key_release() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", Some("k"));
    fixture.execute(Action::RetainKey("a".into(), 1_000_000));
    fixture.send_request("b", Some("k"));
    fixture.execute(Action::AwaitDuplicate("b".into()));
    fixture.execute(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(fixture.take_responses().last(), Some(&(2, Response::Failed)));
    assert!(fixture.take_events().contains(&r#"RunEnded("b", Error, 0)"#.to_owned()));
    fixture.send_request("c", Some("k2"));
    fixture.execute(Action::RetainKey("c".into(), 1_000_000));
    fixture.execute(Action::ReleaseKey("c".into()));
    fixture.send_request("d", Some("k2"));
    assert_eq!(fixture.last_duplicate_of("d"), None);
}

#[test]
fn request_table_is_empty_after_original_and_all_duplicates_end() {
    let mut fixture = fixture(Preemption::Pause);
    fixture.send_request("a", Some("k"));
    fixture.execute(Action::Admit("a".into()));
    fixture.execute(Action::RetainKey("a".into(), 1_000_000));
    for id in ["b", "c", "d"] {
        fixture.send_request(id, Some("k"));
        fixture.execute(Action::AwaitDuplicate(id.into()));
    }
    // One duplicate is cancelled and one is rejected; the third gets the original's result.
    fixture.send(AdmissionMessage::Cancelled { id: "b".into(), serial: 2 });
    fixture.execute(Action::Reject { id: "c".into(), retry_after: 0, terminal: false });
    assert!(!fixture.actor.requests.is_empty());
    fixture.end_run("a", RunOutcome::Success(b"r".to_vec()));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    let responses = fixture.take_responses();
    assert!(responses.contains(&served(1)) && responses.contains(&served(4)), "{responses:?}");
    assert!(
        responses.iter().all(|response| *response != served(2) && *response != served(3)),
        "{responses:?}"
    );
    assert!(fixture.actor.requests.is_empty());
}
