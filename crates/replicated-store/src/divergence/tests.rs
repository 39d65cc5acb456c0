use super::*;

fn peer(replica_id: u64, matches: Option<bool>, applied: u64, digest: u8) -> PeerComparison {
    PeerComparison { replica_id, matches, position: Position { applied, rolling_digest: [digest; 16] } }
}

#[test]
fn a_majority_decides_which_replicas_are_wrong_and_without_one_none_is() {
    let (yes, no) = (Some(true), Some(false));
    let cases = [
        (vec![peer(2, yes, 9, 1), peer(3, yes, 9, 1)], true, Verdict::NoDivergence),
        (vec![peer(2, yes, 9, 1), peer(3, no, 9, 2)], true, Verdict::PeersDiverged(vec![3])),
        (vec![peer(2, no, 9, 2), peer(3, no, 9, 2)], true, Verdict::LocalDiverged(vec![2, 3])),
        // All three replicas differ from each other.
        (vec![peer(2, no, 9, 2), peer(3, no, 9, 3)], true, Verdict::NoMajority),
        // The two differ from us, but at different entries they cannot be compared with each other.
        (vec![peer(2, no, 9, 2), peer(3, no, 8, 3)], true, Verdict::NoDivergence),
        (vec![peer(2, no, 9, 2), peer(3, None, 0, 0)], true, Verdict::NoDivergence),
        (
            vec![peer(2, no, 9, 2), peer(3, no, 9, 2), peer(4, yes, 9, 1), peer(5, None, 0, 0)],
            true,
            Verdict::NoDivergence,
        ),
        (
            vec![peer(2, no, 9, 2), peer(3, no, 9, 2), peer(4, no, 9, 2), peer(5, yes, 9, 1)],
            true,
            Verdict::LocalDiverged(vec![2, 3, 4]),
        ),
        // This replica is a learner and does not count towards a majority.
        (
            vec![peer(2, yes, 9, 1), peer(3, no, 9, 2), peer(4, no, 9, 2)],
            false,
            Verdict::LocalDiverged(vec![3, 4]),
        ),
    ];
    for (others, is_voter, expected) in cases {
        assert_eq!(verdict(is_voter, &others), expected, "{others:?}");
    }
}
