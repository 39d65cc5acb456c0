//! The timeouts that callers usually state. The time by which a stated timeout is shorter than a usual one
//! has passed in earlier attempts.

use super::*;

/// Most votes that a usual timeout keeps. It counts as known with an eighth of them, as well known with half.
const MAX_VOTES: u32 = 32;

/// The usual timeouts of all callers together: in a large fleet a server sees most single callers rarely.
#[derive(Default)]
pub struct CallerTimeouts([UsualTimeout; 6]);

#[derive(Default)]
struct UsualTimeout {
    /// The timeout as a share of the class deadline.
    share_of_deadline: f64,
    /// 0: this entry is unused.
    votes: u32,
}

/// Whether a stated timeout is taken for a usual one; both are shares of the class deadline. A timeout that
/// is longer than the usual one must be closer to it than a shorter one.
fn is_similar(share: f64, usual: f64) -> bool {
    share < usual + RELATIVE_TOLERANCE / 4.0 && share > usual - RELATIVE_TOLERANCE
}

impl CallerTimeouts {
    /// The timeouts with enough votes to count as known.
    fn known(&self) -> impl Iterator<Item = f64> + '_ {
        self.0.iter().filter(|usual| usual.votes >= MAX_VOTES / 8).map(|usual| usual.share_of_deadline)
    }

    /// Votes for the usual timeout that the stated one is similar to. If there is none, a first attempt votes
    /// against the one with the fewest votes, or replaces it if that has no votes left.
    pub fn record(&mut self, share: f64, is_first_attempt: bool) {
        // The time left after a first attempt that timed out is not a usual timeout, however often it is
        // stated.
        let is_remaining_time = self.known().any(|usual| is_similar(share, 1.0 - usual));
        if let Some(usual) = self.0.iter_mut().find(|usual| is_similar(share, usual.share_of_deadline)) {
            let share_of_deadline = usual.share_of_deadline.max(share);
            *usual = UsualTimeout { share_of_deadline, votes: (usual.votes + 1).min(MAX_VOTES) };
        } else if is_first_attempt && !is_remaining_time {
            let weakest = self.0.iter_mut().min_by_key(|usual| usual.votes);
            weakest.into_iter().for_each(|weakest| match weakest.votes {
                0 => *weakest = UsualTimeout { share_of_deadline: share, votes: 1 },
                _ => weakest.votes -= 1,
            });
        }
    }

    /// The least share of the class deadline that has passed, by the timeout that is stated. Callers state
    /// their usual timeout of an attempt or, where that is shorter, what is left of the timeout of the
    /// client's request, which is taken to be the longest one known. A timeout longer than all known ones is
    /// what is left of the class deadline.
    pub fn elapsed_share(&self, share: f64) -> f64 {
        let longest = self.known().fold(share, f64::max);
        // Before one usual timeout is well known, a second, longer one could be mistaken for what is left of
        // the deadline.
        let is_well_known = self.0.iter().any(|usual| usual.votes >= MAX_VOTES / 2);
        let default_share = if share < longest || !is_well_known { longest } else { 1.0 };
        let full_share = self.known().find(|usual| is_similar(share, *usual)).unwrap_or(default_share);
        (full_share - share).max(0.0)
    }
}
