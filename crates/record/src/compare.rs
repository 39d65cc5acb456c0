//! Copies that differ: which one is wrong, and when nobody can tell.

use std::collections::BTreeSet;

/// What comparing has come to, for one copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No voter differs, or too few have been compared.
    Fine,
    /// A majority of the voters agree with each other and not with us: these. Our copy is wrong.
    WeDiffer(Vec<u64>),
    /// A majority agrees with us, and these don't: their copies are wrong.
    TheyDiffer(Vec<u64>),
    /// Copies differ and no majority agrees: nobody can tell which is right.
    NobodyKnows,
}

/// What is known of one other voter: its number, whether its digest at some index is the same as ours (`None`: not
/// compared), and whom it has found to be the same as itself.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its copy.
    pub copy: u64,
    /// See the type.
    pub same: Option<bool>,
    /// See the type.
    pub agrees: Vec<u64>,
}

/// Decides; `others` are all voters but us, and `votes` says whether we are one more.
pub fn verdict(votes: bool, others: &[Other]) -> Verdict {
    let quorum = (others.len() + usize::from(votes)) / 2 + 1;
    let differ: Vec<&Other> = others.iter().filter(|other| other.same == Some(false)).collect();
    if differ.is_empty() {
        return Verdict::Fine;
    }
    let with_us = usize::from(votes) + others.iter().filter(|other| other.same == Some(true)).count();
    if with_us >= quorum {
        return Verdict::TheyDiffer(differ.iter().map(|other| other.copy).collect());
    }
    // The largest group of those who differ from us and say that they agree with each other.
    let copies: BTreeSet<u64> = differ.iter().map(|other| other.copy).collect();
    let group = |one: &&Other| -> Vec<u64> {
        let mutual = |copy: &u64| {
            *copy == one.copy
                || (one.agrees.contains(copy)
                    && differ.iter().any(|o| o.copy == *copy && o.agrees.contains(&one.copy)))
        };
        copies.iter().copied().filter(mutual).collect()
    };
    let largest = differ.iter().map(group).max_by_key(Vec::len).unwrap_or_default();
    if largest.len() >= quorum {
        return Verdict::WeDiffer(largest);
    }
    // As long as some voter could still tip it, nothing is said.
    let open = others.iter().filter(|other| other.same.is_none()).count();
    if with_us + open >= quorum || largest.len() + open >= quorum {
        return Verdict::Fine;
    }
    Verdict::NobodyKnows
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_majority_is_right_and_without_one_nobody_knows() {
        let other = |copy, same: Option<bool>, agrees: &[u64]| Other { copy, same, agrees: agrees.to_vec() };
        let (yes, no) = (Some(true), Some(false));
        let cases = [
            (vec![other(2, yes, &[1]), other(3, yes, &[1])], true, Verdict::Fine),
            (vec![other(2, yes, &[1]), other(3, no, &[])], true, Verdict::TheyDiffer(vec![3])),
            (vec![other(2, no, &[3]), other(3, no, &[2])], true, Verdict::WeDiffer(vec![2, 3])),
            // They differ from us, and do not say that they agree with each other.
            (vec![other(2, no, &[]), other(3, no, &[2])], true, Verdict::NobodyKnows),
            (vec![other(2, no, &[]), other(3, None, &[])], true, Verdict::Fine),
            (
                vec![other(2, no, &[3]), other(3, no, &[2]), other(4, yes, &[1]), other(5, None, &[])],
                true,
                Verdict::Fine,
            ),
            (
                vec![
                    other(2, no, &[3, 4]),
                    other(3, no, &[2, 4]),
                    other(4, no, &[2, 3]),
                    other(5, yes, &[1]),
                ],
                true,
                Verdict::WeDiffer(vec![2, 3, 4]),
            ),
            // One that learns counts for nothing itself.
            (
                vec![other(2, yes, &[]), other(3, no, &[4]), other(4, no, &[3])],
                false,
                Verdict::WeDiffer(vec![3, 4]),
            ),
        ];
        for (others, votes, wanted) in cases {
            assert_eq!(verdict(votes, &others), wanted, "{others:?}");
        }
    }
}
