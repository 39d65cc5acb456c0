//! Duplicates by resource key, which wait for the result of the original.

use super::*;

#[test]
fn duplicates_get_the_result_of_the_original() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.execute(Action::RetainKey("a".into(), 1_000_000));
    bench.execute(Action::Admit("a".into()));
    bench.request("b", Some("k"));
    assert_eq!(bench.last_duplicate_of("b").as_deref(), Some("a"));
    bench.execute(Action::AwaitDuplicate("b".into()));
    assert_eq!(bench.responses(), []);
    bench.end_run("a", RunOutcome::Success(b"r".to_vec()));
    // And one that arrives after the original has ended.
    bench.request("c", Some("k"));
    bench.execute(Action::AwaitDuplicate("c".into()));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    assert_eq!(bench.responses(), [served(2), served(1), served(3)]);
    assert!(bench.events().contains(&r#"RunEnded("c", Ok, 0)"#.to_owned()));
    assert_eq!(bench.commands().len(), 1);
}

#[test]
fn a_duplicate_fails_if_the_original_never_ran_and_is_none_if_its_key_was_released() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.execute(Action::RetainKey("a".into(), 1_000_000));
    bench.request("b", Some("k"));
    bench.execute(Action::AwaitDuplicate("b".into()));
    bench.execute(Action::Reject { id: "a".into(), retry_after: 0, terminal: false });
    assert_eq!(bench.responses().last(), Some(&(2, Response::Failed)));
    assert!(bench.events().contains(&r#"RunEnded("b", Error, 0)"#.to_owned()));
    bench.request("c", Some("k2"));
    bench.execute(Action::RetainKey("c".into(), 1_000_000));
    bench.execute(Action::ReleaseKey("c".into()));
    bench.request("d", Some("k2"));
    assert_eq!(bench.last_duplicate_of("d"), None);
}

#[test]
fn nothing_is_left_of_an_original_and_its_duplicates_once_all_have_ended() {
    let mut bench = bench(Preemption::Pause);
    bench.request("a", Some("k"));
    bench.execute(Action::Admit("a".into()));
    bench.execute(Action::RetainKey("a".into(), 1_000_000));
    for id in ["b", "c", "d"] {
        bench.request(id, Some("k"));
        bench.execute(Action::AwaitDuplicate(id.into()));
    }
    // One is cancelled, one is rejected; the last gets the original's result.
    bench.send(AdmissionMessage::Cancelled { id: "b".into(), serial: 2 });
    bench.execute(Action::Reject { id: "c".into(), retry_after: 0, terminal: false });
    assert!(!bench.actor.requests.is_empty());
    bench.end_run("a", RunOutcome::Success(b"r".to_vec()));
    let served = |serial| (serial, Response::Served(b"r".to_vec()));
    let responses = bench.responses();
    assert!(responses.contains(&served(1)) && responses.contains(&served(4)), "{responses:?}");
    assert!(
        responses.iter().all(|response| *response != served(2) && *response != served(3)),
        "{responses:?}"
    );
    assert!(bench.actor.requests.is_empty());
}
