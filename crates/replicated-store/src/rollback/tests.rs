use super::*;

fn progress(starts: u64, term: u64, last_index: u64) -> DurableProgress {
    DurableProgress { starts, term, last_index }
}

#[test]
fn a_replica_that_lacks_progress_remembered_by_peers_was_rolled_back() {
    let others: Vec<MemberName> = ["b", "c", "d", "e"].map(MemberName::from).to_vec();
    // Each case: the replica's own progress, what two of four other voters remember of it, and the verdict.
    let cases = [
        (progress(3, 5, 90), [Some(progress(2, 5, 90)), Some(progress(2, 4, 80))], Verdict::UpToDate),
        (progress(3, 5, 90), [None, None], Verdict::UpToDate),
        (progress(3, 5, 90), [Some(progress(2, 6, 70)), None], Verdict::RolledBack(progress(2, 6, 70))),
        (progress(3, 5, 90), [None, Some(progress(2, 5, 91))], Verdict::RolledBack(progress(2, 5, 91))),
        (progress(3, 5, 90), [Some(progress(4, 5, 90)), None], Verdict::RolledBack(progress(4, 5, 90))),
        // A later leader has replaced entries that were never committed.
        (progress(3, 6, 60), [Some(progress(2, 5, 70)), None], Verdict::UpToDate),
    ];
    for (own, remembered, expected) in cases {
        let mut check = RollbackCheck::new(own);
        assert_eq!(check.verdict(&others), Verdict::Undecided);
        check.handle_answer(&others[0], remembered[0]);
        check.handle_answer(&others[1], remembered[1]);
        assert_eq!(check.verdict(&others), expected, "{own:?} {remembered:?}");
    }
    assert_eq!(RollbackCheck::new(progress(1, 1, 1)).verdict(&[]), Verdict::UpToDate);
}

#[test]
fn remembered_progress_never_decreases_and_is_bounded() {
    let mut remembered = PeerProgress::default();
    remembered.record(7, progress(1, 4, 50));
    remembered.record(7, progress(1, 3, 90));
    assert_eq!(remembered.progress_of(7), Some(progress(1, 4, 50)));

    (1..=2 * MAX_REMEMBERED_REPLICAS as u64).for_each(|id| remembered.record(id, progress(1, 1, 1)));

    assert_eq!(remembered.0.len(), MAX_REMEMBERED_REPLICAS);
}
