use super::*;

fn peer(replica_id: u64, matches: Option<bool>, applied: u64, digest: u8) -> PeerComparison {
    PeerComparison { replica_id, matches, position: Position { applied, rolling_digest: [digest; 16] } }
}

#[test]
fn the_majority_is_right_and_without_one_nothing_is_decided() {
    let (yes, no) = (Some(true), Some(false));
    let cases = [
        (vec![peer(2, yes, 9, 1), peer(3, yes, 9, 1)], true, Verdict::NoDivergence),
        (vec![peer(2, yes, 9, 1), peer(3, no, 9, 2)], true, Verdict::PeersDiverged(vec![3])),
        (vec![peer(2, no, 9, 2), peer(3, no, 9, 2)], true, Verdict::LocalDiverged(vec![2, 3])),
        // They differ from us and from each other.
        (vec![peer(2, no, 9, 2), peer(3, no, 9, 3)], true, Verdict::NoMajority),
        // At different entries nothing can be said of the two.
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
        // A learner counts for nothing itself.
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
