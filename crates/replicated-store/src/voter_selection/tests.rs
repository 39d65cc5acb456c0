use super::*;
use proptest::prelude::*;

const POLICY: VoterPolicy = VoterPolicy { voters: 3, replace_after: 30, reachable_within: 3 };

fn candidate(replica_id: u64, zone: &str, is_voter: bool, silent_for: Micros) -> Candidate {
    Candidate {
        replica_id,
        name: format!("n{replica_id}"),
        zone: zone.to_owned(),
        is_voter,
        is_configured: true,
        silent_for,
        caught_up: true,
        load: 0,
    }
}

fn three_voters() -> Vec<Candidate> {
    vec![candidate(1, "a", true, 0), candidate(2, "b", true, 0), candidate(3, "c", true, 0)]
}

fn three_voters_and(fourth: Candidate) -> Vec<Candidate> {
    [three_voters(), vec![fourth]].concat()
}

fn with_silent(index: usize, silent_for: Micros, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
    candidates[index].silent_for = silent_for;
    candidates
}

fn replace(new_voter: u64, old_voter: u64) -> MembershipChange {
    MembershipChange::Replace { new_voter, old_voter }
}

#[test]
fn next_change_promotes_replaces_and_removes_without_losing_the_quorum() {
    use MembershipChange::{AddLearner, Demote, Promote, Remove};
    let none = BTreeMap::new();
    let joins = BTreeMap::from([("n2".to_owned(), 12)]);
    let cases = [
        // A learner that has caught up joins the bootstrapping voter; one that has not must wait.
        (
            vec![candidate(1, "a", true, 0), candidate(2, "b", false, 0)],
            &none,
            Some(Promote { replica_id: 2 }),
        ),
        (
            vec![candidate(1, "a", true, 0), Candidate { caught_up: false, ..candidate(2, "b", false, 0) }],
            &none,
            None,
        ),
        // A learner in a zone without a voter is preferred.
        (
            vec![candidate(1, "a", true, 0), candidate(2, "a", false, 0), candidate(3, "b", false, 0)],
            &none,
            Some(Promote { replica_id: 3 }),
        ),
        (three_voters_and(candidate(4, "b", false, 0)), &none, None),
        // A voter has been silent for a short time; for long; for long, with no learner to replace it.
        (with_silent(1, 20, three_voters_and(candidate(4, "b", false, 0))), &none, None),
        (with_silent(1, 40, three_voters_and(candidate(4, "b", false, 0))), &none, Some(replace(4, 2))),
        (with_silent(1, 40, three_voters()), &none, None),
        // Two of three voters are silent: no change is allowed.
        (with_silent(0, 40, with_silent(1, 40, three_voters_and(candidate(4, "b", false, 0)))), &none, None),
        // A server has lost its disk and asks to join with a new replica.
        (with_silent(1, 5, three_voters()), &joins, Some(AddLearner { replica_id: 12, replaces: vec![2] })),
        // Another voter is silent: removing the old replica would leave one reachable voter of two, so it has
        // to wait.
        (with_silent(0, 5, with_silent(1, 5, three_voters())), &joins, None),
        (three_voters_and(candidate(4, "a", true, 0)), &none, Some(Demote { replica_id: 4 })),
        // A server that is no longer configured is removed, unless that would lose the majority.
        (
            three_voters_and(Candidate { is_configured: false, ..candidate(4, "b", false, 9) }),
            &none,
            Some(Remove { replica_id: 4 }),
        ),
        (
            vec![
                candidate(1, "a", true, 0),
                candidate(2, "b", true, 9),
                Candidate { is_configured: false, ..candidate(3, "c", true, 0) },
            ],
            &none,
            None,
        ),
    ];
    for (candidates, joins, expected) in cases {
        assert_eq!(next_change(&POLICY, &candidates, joins), expected, "{candidates:?}");
    }
}

#[test]
fn requested_change_replaces_one_voter_and_is_rejected_without_a_quorum() {
    let four = || three_voters_and(candidate(4, "b", false, 0));
    let request = |candidates: &[Candidate], server, is_voter| {
        requested_change(&POLICY, candidates, 1, server, is_voter)
    };

    assert_eq!(request(&four(), "n4", true), Ok(replace(4, 3)));
    assert_eq!(request(&with_silent(1, 9, four()), "n4", true), Ok(replace(4, 2)));
    assert_eq!(request(&four(), "n2", false), Ok(replace(4, 2)));
    let error = request(&three_voters()[..2], "n1", true).expect_err("n1 is a voter");
    assert_eq!(error.to_string(), "n1 votes already");
    assert!(
        request(&three_voters(), "n2", false).is_err_and(|error| error.to_string().contains("in its place"))
    );
    assert!(request(&with_silent(0, 9, with_silent(1, 9, four())), "n4", true).is_err());
}

proptest! {
    /// For any candidates, a change is made only while a majority of the voters is reachable both before and
    /// after it.
    #[test]
    fn no_change_costs_a_quorum(
        drawn in prop::collection::vec((0u8..3, any::<bool>(), 0u64..50, any::<bool>()), 1..8),
        joining in 0usize..8,
    ) {
        let draw = |(id, (zone, is_voter, silent_for, caught_up)): (u64, &(u8, bool, u64, bool))| Candidate {
            caught_up: *caught_up,
            ..candidate(id, &zone.to_string(), *is_voter, *silent_for)
        };
        let candidates: Vec<Candidate> = (1..).zip(&drawn).map(draw).collect();
        let joins = BTreeMap::from([(format!("n{joining}"), 99)]);
        let (gained, lost) = match next_change(&POLICY, &candidates, &joins) {
            None => return Ok(()),
            Some(MembershipChange::AddLearner { replaces, .. }) => (None, replaces),
            Some(MembershipChange::Promote { replica_id }) => (Some(replica_id), vec![]),
            Some(MembershipChange::Replace { new_voter, old_voter }) => (Some(new_voter), vec![old_voter]),
            Some(MembershipChange::Demote { replica_id } | MembershipChange::Remove { replica_id }) => {
                (None, vec![replica_id])
            }
        };
        let count = |is_voter: &dyn Fn(&Candidate) -> bool| {
            let voters: Vec<_> = candidates.iter().filter(|c| is_voter(c)).collect();
            let reachable = voters.iter().filter(|c| c.silent_for < POLICY.reachable_within).count();
            (reachable, voters.len())
        };
        for (reachable, voters) in [
            count(&|c| c.is_voter),
            count(&|c| (c.is_voter || Some(c.replica_id) == gained) && !lost.contains(&c.replica_id)),
        ] {
            prop_assert!(2 * reachable > voters, "{reachable} of {voters}");
        }
    }
}
