//! A session with one member: both ends have proven that they answer now, and no message counts twice.
//!
//! Anything may be replayed: by a network that doubles, by one that keeps datagrams from before a restart. So nothing
//! of a process is believed before it has answered a number drawn for it, and within a session each number of a
//! message counts once. Of two processes under one name the later start wins once it has answered; the other is told.

use crate::identity::MemberName;
use crate::wire::{BuildInfo, RejectReason, SenderStatus};
use crate::Micros;

/// Numbers that may come out of order: what goes by stream alone may wait behind much that goes by datagram.
const WINDOW: u64 = 1_024;
/// Least time between two questions to the same member.
const HELLO_EVERY: Micros = 150_000;

/// Which numbers have come.
#[derive(Clone, Copy, Debug)]
struct Window {
    highest: u64,
    /// A bit for each of the last numbers, by number modulo the window.
    seen: [u64; (WINDOW / 64) as usize],
}

impl Default for Window {
    fn default() -> Window {
        Window { highest: 0, seen: [0; (WINDOW / 64) as usize] }
    }
}

impl Window {
    fn accept(&mut self, seq: u64) -> bool {
        if seq > self.highest {
            // Places of numbers that have not come yet are free again.
            let first = (self.highest + 1).max((seq + 1).saturating_sub(WINDOW));
            (first..=seq).for_each(|number| self.set(number, false));
            self.highest = seq;
        } else if self.highest - seq >= WINDOW || self.is_set(seq) {
            return false;
        }
        self.set(seq, true);
        true
    }

    fn is_set(&self, seq: u64) -> bool {
        self.seen[(seq % WINDOW / 64) as usize] >> (seq % 64) & 1 == 1
    }

    fn set(&mut self, seq: u64, came: bool) {
        let word = &mut self.seen[(seq % WINDOW / 64) as usize];
        *word = *word & !(1 << (seq % 64)) | u64::from(came) << (seq % 64);
    }
}

/// What a link knows of the process at its other end.
#[derive(Clone, Debug)]
pub struct Session {
    /// Its name.
    pub name: MemberName,
    /// Named by the operator; else a guest.
    pub named: bool,
    /// The start of the process that has proven to answer; 0 while none has.
    pub boot: u64,
    window: Window,
    seq: u64,
    /// The number in our last question, and when it was asked.
    hello: (u64, Micros),
    /// The number that we answered a question of this start with.
    offered: Option<(u64, u64)>,
    /// When anything of its session was last heard directly, and when by datagram.
    pub heard: Option<Micros>,
    /// The same, by datagram.
    pub heard_datagram: Option<Micros>,
    /// When something was last sent to it in the session.
    pub sent: Option<Micros>,
    /// What it last said of itself, and when.
    pub note: Option<(Micros, SenderStatus)>,
    /// What it is made of.
    pub about: BuildInfo,
    /// Since when its view has differed from ours.
    pub differs: Option<Micros>,
    /// When it was last announced to although both hear each other, because gossip holds otherwise.
    pub mended: Micros,
}

/// What a message of a session that has not been proven asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Believe it.
    Take,
    /// Drop it, and ask who is there.
    Ask(RejectReason),
    /// Drop it, and tell the sender that it has been superseded.
    Tell,
    /// Drop it.
    Drop(RejectReason),
}

impl Session {
    /// Nothing is known yet.
    pub fn new(name: MemberName, named: bool) -> Session {
        Session {
            name,
            named,
            boot: 0,
            window: Window::default(),
            seq: 0,
            hello: (0, 0),
            offered: None,
            heard: None,
            heard_datagram: None,
            sent: None,
            note: None,
            about: BuildInfo::default(),
            differs: None,
            mended: 0,
        }
    }

    /// The number of the next message.
    pub fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Whether a question may be asked now; `fresh` is its number, if so.
    pub fn ask(&mut self, now: Micros, fresh: u64) -> Option<u64> {
        let (number, at) = self.hello;
        if number != 0 && now < at + HELLO_EVERY {
            return None;
        }
        // An answer to the question before may still be under way: it keeps its number for a while.
        let number = if number != 0 && now < at + 10 * HELLO_EVERY { number } else { fresh.max(1) };
        self.hello = (number, now);
        Some(number)
    }

    /// A process that started then asks: the number to answer with. `None`: a later one has proven itself.
    pub fn asked(&mut self, boot: u64, fresh: u64) -> Option<u64> {
        if boot < self.boot {
            return None;
        }
        match self.offered {
            Some((to, number)) if to == boot => Some(number),
            _ => {
                self.offered = Some((boot, fresh.max(1)));
                Some(fresh.max(1))
            }
        }
    }

    /// The start of the process whose question was answered last.
    pub fn offered_to(&self) -> Option<u64> {
        self.offered.map(|(boot, _)| boot)
    }

    /// It answers our question.
    pub fn welcomed(&mut self, boot: u64, echo: u64) -> bool {
        let proven = self.hello.0 != 0 && echo == self.hello.0 && boot >= self.boot;
        if proven {
            self.hello = (0, self.hello.1);
            self.prove(boot);
        }
        proven
    }

    /// It answers our answer.
    pub fn ready(&mut self, boot: u64, echo: u64) -> bool {
        let proven = self.offered == Some((boot, echo)) && boot >= self.boot;
        if proven {
            self.offered = None;
            self.prove(boot);
        }
        proven
    }

    fn prove(&mut self, boot: u64) {
        if self.boot != boot {
            let Session { name, named, seq, hello, offered, .. } = self;
            let fresh =
                Session { seq: *seq, hello: *hello, offered: *offered, ..Session::new(name.clone(), *named) };
            *self = Session { boot, ..fresh };
        }
    }

    /// A message that claims to be of a session, sent by a process that started at `boot` to one at `to_boot`.
    pub fn message(&mut self, mine: u64, boot: u64, to_boot: u64, seq: u64) -> Disposition {
        if boot < self.boot {
            return Disposition::Tell;
        }
        if boot > self.boot {
            return Disposition::Ask(RejectReason::Unproven);
        }
        if to_boot != mine {
            // It does not know yet that we are another process than it spoke with.
            return Disposition::Ask(RejectReason::NotForUs);
        }
        if self.window.accept(seq) {
            Disposition::Take
        } else {
            Disposition::Drop(RejectReason::Replayed)
        }
    }

    /// It was heard directly.
    pub fn hear(&mut self, now: Micros, by_datagram: bool) {
        self.heard = Some(now);
        if by_datagram {
            self.heard_datagram = Some(now);
        }
    }

    /// Whether it was heard within this span, not before `from`.
    pub fn is_heard(&self, now: Micros, from: Micros, span: Micros) -> bool {
        self.heard.is_some_and(|at| at >= from && now.saturating_sub(at) <= span)
    }

    /// How long ago it heard us, by its own word.
    pub fn hears_us(&self, now: Micros) -> Option<Micros> {
        let (at, note) = self.note?;
        let said =
            (note.heard_receiver_ms != u32::MAX).then_some(Micros::from(note.heard_receiver_ms) * 1_000)?;
        Some(said + now.saturating_sub(at))
    }

    /// Both hear each other: heard within this span, not before `from`, and by its word it hears us.
    pub fn is_reached(&self, now: Micros, from: Micros, span: Micros) -> bool {
        self.is_heard(now, from, span) && self.hears_us(now).is_some_and(|age| age <= 2 * span)
    }

    /// Nothing that was heard before counts any more; it has to be heard again.
    pub fn forget(&mut self) {
        (self.heard, self.heard_datagram, self.note, self.differs) = (None, None, None, None);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn only_who_answers_now_is_believed() {
        let mut link = Session::new("b".into(), true);
        assert_eq!(link.message(1, 5, 1, 1), Disposition::Ask(RejectReason::Unproven));
        let number = link.ask(0, 77).expect("a question");
        assert!(!link.welcomed(5, 78) && link.welcomed(5, number));
        assert_eq!(link.message(1, 5, 1, 1), Disposition::Take);
        assert_eq!(link.message(1, 5, 1, 1), Disposition::Drop(RejectReason::Replayed));
        assert_eq!(link.message(1, 5, 9, 2), Disposition::Ask(RejectReason::NotForUs));
        // The answer to an old question, once more.
        assert!(!link.welcomed(5, number));
        // A later process must answer before the earlier one is superseded.
        assert_eq!(link.message(1, 6, 1, 1), Disposition::Ask(RejectReason::Unproven));
        assert_eq!(link.boot, 5);
        let offered = link.asked(6, 99).expect("not superseded");
        assert!(!link.ready(7, offered) && link.ready(6, offered));
        assert_eq!((link.boot, link.message(1, 5, 1, 3)), (6, Disposition::Tell));
        assert_eq!(link.asked(5, 1), None);
    }

    #[test]
    fn questions_are_few_and_keep_their_number_while_an_answer_may_come() {
        let mut link = Session::new("b".into(), true);
        assert_eq!(link.ask(0, 3), Some(3));
        assert_eq!(link.ask(1, 4), None);
        assert_eq!(link.ask(HELLO_EVERY, 5), Some(3));
        assert_eq!(link.ask(20 * HELLO_EVERY, 6), Some(6));
    }

    proptest! {
        /// In whatever order numbers come, and however often, each counts once at most.
        #[test]
        fn no_number_counts_twice(numbers in prop::collection::vec(1u64..3_000, 1..600)) {
            let mut window = Window::default();
            let mut seen = std::collections::BTreeSet::new();
            for seq in numbers {
                if window.accept(seq) {
                    prop_assert!(seen.insert(seq));
                } else {
                    prop_assert!(seen.contains(&seq) || seq + WINDOW <= window.highest);
                }
            }
        }
    }
}
