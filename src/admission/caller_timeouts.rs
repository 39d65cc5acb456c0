//! The timeouts that callers usually state: what is missing from a usual one has passed in earlier attempts.

use super::*;

const MAX_VOTES: u32 = 32; // for a usual timeout; with an eighth of them it counts as known

/// The usual timeouts over all callers: in a large fleet a server meets most callers rarely.
#[derive(Default)]
pub struct CallerTimeouts([UsualTimeout; 6]);

#[derive(Default)]
struct UsualTimeout {
    share_of_deadline: f64,
    votes: u32,
}

fn is_similar(share: f64, usual: f64) -> bool {
    share < usual + RELATIVE_TOLERANCE / 4.0 && share > usual - RELATIVE_TOLERANCE
}

impl CallerTimeouts {
    fn known(&self) -> impl Iterator<Item = f64> + '_ {
        self.0.iter().filter(|usual| usual.votes >= MAX_VOTES / 8).map(|usual| usual.share_of_deadline)
    }

    /// Votes for the usual timeout that a stated one is similar to, or against the one with the fewest votes.
    pub fn record(&mut self, share: f64, is_first_attempt: bool) {
        // What is left after a first attempt that timed out is not usual, however often it comes.
        let is_remainder = self.known().any(|usual| is_similar(share, 1.0 - usual));
        if let Some(usual) = self.0.iter_mut().find(|usual| is_similar(share, usual.share_of_deadline)) {
            let share_of_deadline = usual.share_of_deadline.max(share);
            *usual = UsualTimeout { share_of_deadline, votes: (usual.votes + 1).min(MAX_VOTES) };
        } else if is_first_attempt && !is_remainder {
            let weakest = self.0.iter_mut().min_by_key(|usual| usual.votes);
            weakest.into_iter().for_each(|weakest| match weakest.votes {
                0 => *weakest = UsualTimeout { share_of_deadline: share, votes: 1 },
                _ => weakest.votes -= 1,
            });
        }
    }

    /// The share of the deadline that has passed at least. Callers have a usual timeout for an attempt, and
    /// the longest for a client's request, less what has passed of it; what is longer is left of a deadline.
    pub fn elapsed_share(&self, share: f64) -> f64 {
        let longest = self.known().fold(share, f64::max);
        // Only well after the first is known can a second no longer be mistaken for such a rest.
        let is_well_known = self.0.iter().any(|usual| usual.votes >= MAX_VOTES / 2);
        let otherwise = if share < longest || !is_well_known { longest } else { 1.0 };
        let full = self.known().find(|usual| is_similar(share, *usual)).unwrap_or(otherwise);
        (full - share).max(0.0)
    }
}
