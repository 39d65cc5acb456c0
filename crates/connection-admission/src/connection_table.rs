//! Places for connections: who gets one, and who leaves one.

use umberloom::interface::Micros;

/// Places at the door, one for so many of all: connections beyond the table, on which every request is turned away.
/// Without them what waits to be accepted would carry requests that nobody reads until their time is up.
const OVERFLOW_DIVISOR: usize = 16;
/// Part of the table that is kept free for new connections: one in so many.
const FREE_DIVISOR: usize = 5;
/// Part of its guaranteed places that nobody may borrow from a listener, one in so many: a surge starts there.
const UNLENT_DIVISOR: usize = 16;
/// A connection that carried something within this time may be about to carry more.
pub const SETTLE_TIME: Micros = 100_000;
/// A connection that was told to close is gone within this time, if it closes at all.
const CLOSE_TIMEOUT: Micros = 300_000;

/// What is seen of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Its name; later ones have higher ones.
    pub id: u64,
    /// The listener that it came by.
    pub listener: usize,
    /// Whole requests open on it.
    pub requests_in_flight: usize,
    /// It has carried a whole request.
    pub has_sent_request: bool,
    /// When it last carried something.
    pub last_active: Micros,
    /// When it was told to close, if it has carried nothing since.
    pub close_requested_at: Option<Micros>,
    /// It stands at the door.
    pub in_overflow: bool,
}

impl ConnectionState {
    /// A connection that has just come.
    pub fn new(id: u64, listener: usize, now: Micros) -> ConnectionState {
        ConnectionState {
            id,
            listener,
            requests_in_flight: 0,
            has_sent_request: false,
            last_active: now,
            close_requested_at: None,
            in_overflow: false,
        }
    }

    fn is_closing(&self, now: Micros) -> bool {
        !self.in_overflow
            && self
                .close_requested_at
                .is_some_and(|told| told >= self.last_active && now < told + CLOSE_TIMEOUT)
    }

    fn is_idle(&self) -> bool {
        !self.in_overflow && self.requests_in_flight == 0
    }
}

/// What becomes of a connection that has just come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Accepted,
    /// It may ask, and is told to go elsewhere.
    RejectRequests,
    /// It is closed at once, with nothing run.
    Close,
}

/// The places of one server and how they are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionTable {
    capacity: usize,
    overflow_capacity: usize,
    guaranteed_quotas: Vec<usize>,
}

impl ConnectionTable {
    /// Parts so many descriptors among listeners with these weights.
    pub fn new(descriptors: usize, weights: &[u32]) -> ConnectionTable {
        let overflow_capacity = descriptors.div_ceil(OVERFLOW_DIVISOR).min(descriptors / 2);
        let capacity = descriptors - overflow_capacity;
        let sum: usize = weights.iter().map(|&w| w as usize).sum();
        let part = |&weight: &u32| capacity * weight as usize / sum.max(1);
        ConnectionTable { capacity, overflow_capacity, guaranteed_quotas: weights.iter().map(part).collect() }
    }

    /// Places in the table.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Places in all, those at the door included.
    pub fn total_capacity(&self) -> usize {
        self.capacity + self.overflow_capacity
    }

    /// Places that a listener can always get back.
    pub fn guaranteed_quota(&self, listener: usize) -> usize {
        self.guaranteed_quotas.get(listener).copied().unwrap_or(0)
    }

    /// Where a new connection of `listener` finds its place, and which connection is to be closed for it at once. One
    /// that has never asked gives up its place to one that comes: peers connect when they have something to send, so
    /// what says nothing is likely to go on so.
    pub fn admit(&self, now: Micros, listener: usize, all: &[ConnectionState]) -> (Admission, Option<u64>) {
        if self.has_capacity(now, listener, all) {
            return (Admission::Accepted, None);
        }
        if all.len() >= self.total_capacity() {
            return (Admission::Close, None);
        }
        let may_go = |s: &&ConnectionState| s.is_idle() && !s.has_sent_request && !s.is_closing(now);
        let taken = self.accepted_by_listener(all);
        // Within its part a listener may take the place of any that has more than its own; beyond it only of its own.
        let over = |s: &&ConnectionState| taken[s.listener] > self.guaranteed_quota(s.listener);
        let within = taken.get(listener).copied().unwrap_or(0) < self.guaranteed_quota(listener);
        let lent = all.iter().filter(may_go).find(|s| s.listener != listener && within && over(s));
        match lent.or_else(|| all.iter().filter(may_go).find(|s| s.listener == listener)) {
            Some(silent) => (Admission::Accepted, Some(silent.id)),
            None => (Admission::RejectRequests, None),
        }
    }

    /// Whether there is a place that this listener may take: its own, or one that others leave.
    fn has_capacity(&self, now: Micros, listener: usize, all: &[ConnectionState]) -> bool {
        let leaving = all.iter().filter(|s| s.is_closing(now)).count();
        let taken = self.accepted_by_listener(all);
        let in_table: usize = taken.iter().sum();
        let free = (self.capacity + leaving).saturating_sub(in_table);
        if all.len() >= self.total_capacity() || free == 0 {
            return false;
        }
        let mine = taken.get(listener).copied().unwrap_or(0);
        mine < self.guaranteed_quota(listener) || free > self.reserved_for_others(listener, &taken)
    }

    /// Free places that must stay for the others.
    fn reserved_for_others(&self, listener: usize, taken: &[usize]) -> usize {
        let kept = |other: usize| {
            (self.guaranteed_quotas[other] / UNLENT_DIVISOR).max(1).min(self.guaranteed_quotas[other])
        };
        let others = (0..self.guaranteed_quotas.len()).filter(|&other| other != listener);
        others.map(|other| kept(other).min(self.guaranteed_quotas[other].saturating_sub(taken[other]))).sum()
    }

    fn accepted_by_listener(&self, all: &[ConnectionState]) -> Vec<usize> {
        let mut taken = vec![0; self.guaranteed_quotas.len()];
        for seen in all.iter().filter(|s| !s.in_overflow) {
            if let Some(count) = taken.get_mut(seen.listener) {
                *count += 1;
            }
        }
        taken
    }

    /// Whether nothing is to be accepted for now, as a place is about to be free: who waits for that is read within
    /// 0.3 s. Where nothing leaves, nobody is let wait.
    pub fn should_pause_accept(&self, now: Micros, all: &[ConnectionState]) -> bool {
        all.len() >= self.capacity && all.iter().any(|s| s.is_closing(now))
    }

    /// Connections that are to close for having been idle, each listener with a span of its own, and for a fifth of the
    /// places to be free: those that never asked first, then those idle longest, none that has only just carried
    /// something. Of listeners that have more than their part come the first.
    pub fn idle_connections_to_close(
        &self,
        now: Micros,
        spans: &[Micros],
        all: &[ConnectionState],
    ) -> Vec<u64> {
        let span = |s: &ConnectionState| spans.get(s.listener).copied().unwrap_or(Micros::MAX);
        let idle = all.iter().filter(|s| s.is_idle());
        let mut close: Vec<u64> =
            idle.clone().filter(|s| now.saturating_sub(s.last_active) >= span(s)).map(|s| s.id).collect();
        let taken = self.accepted_by_listener(all);
        let in_table: usize = taken.iter().sum();
        let keep = self.capacity - self.capacity.div_ceil(FREE_DIVISOR);
        let excess = in_table.saturating_sub(keep).saturating_sub(close.len());
        let young = |s: &&ConnectionState| now < s.last_active + SETTLE_TIME;
        let mut more: Vec<&ConnectionState> =
            idle.clone().filter(|s| !young(s) && !close.contains(&s.id)).collect();
        let within = |s: &ConnectionState| taken[s.listener] <= self.guaranteed_quota(s.listener);
        more.sort_by_key(|s| (s.has_sent_request, within(s), s.last_active));
        // Places kept free are for who has just come. A crowd beyond them that says nothing goes once it has
        // settled; until then nobody who has asked leaves for it, and none of it is closed before it could ask.
        let fresh = idle.filter(young).filter(|s| !s.has_sent_request).count();
        let crowd = fresh.saturating_sub(self.capacity.div_ceil(FREE_DIVISOR));
        let silent = more.iter().filter(|s| !s.has_sent_request).count();
        close.extend(more.iter().take(excess.min(silent.max(excess.saturating_sub(crowd)))).map(|s| s.id));
        close
    }

    /// Connections with something open that are to close after it, so that a listener under its part finds the places
    /// that were lent: as many as are missing, of those that have most beyond their part, the latest first.
    pub fn borrowed_connections_to_close(&self, all: &[ConnectionState]) -> Vec<u64> {
        let mut taken = self.accepted_by_listener(all);
        let in_table: usize = taken.iter().sum();
        if in_table < self.capacity {
            return Vec::new();
        }
        let missing = |listener: usize| self.guaranteed_quotas[listener].saturating_sub(taken[listener]);
        let mut missing: usize = (0..taken.len()).map(missing).sum();
        let mut back = Vec::new();
        for seen in all.iter().rev().filter(|s| !s.in_overflow && s.close_requested_at.is_none()) {
            if missing > 0 && taken[seen.listener] > self.guaranteed_quotas[seen.listener] {
                taken[seen.listener] -= 1;
                missing -= 1;
                back.push(seen.id);
            }
        }
        back
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn busy(id: u64, listener: usize) -> ConnectionState {
        ConnectionState {
            requests_in_flight: 1,
            has_sent_request: true,
            ..ConnectionState::new(id, listener, 0)
        }
    }

    fn idle(id: u64, listener: usize, last: Micros) -> ConnectionState {
        ConnectionState { has_sent_request: true, ..ConnectionState::new(id, listener, last) }
    }

    #[test]
    fn one_listener_has_all_places() {
        let places = ConnectionTable::new(312, &[1]);
        assert_eq!((places.capacity(), places.total_capacity(), places.guaranteed_quota(0)), (292, 312, 292));
        let mut all: Vec<ConnectionState> = (0..291).map(|id| busy(id, 0)).collect();
        assert_eq!(places.admit(0, 0, &all), (Admission::Accepted, None));
        all.push(busy(291, 0));
        assert_eq!(places.admit(0, 0, &all), (Admission::RejectRequests, None));
        all.extend((292..312).map(|id| ConnectionState { in_overflow: true, ..busy(id, 0) }));
        assert_eq!(places.admit(0, 0, &all), (Admission::Close, None));
    }

    #[test]
    fn what_one_leaves_the_other_borrows_but_for_a_start() {
        let places = ConnectionTable::new(34, &[1, 1]);
        assert_eq!((places.capacity(), places.guaranteed_quota(0)), (31, 15));
        let all: Vec<ConnectionState> = (0..30).map(|id| busy(id, 0)).collect();
        assert_eq!(places.admit(0, 0, &all).0, Admission::RejectRequests, "the last place is the other's");
        assert_eq!(places.admit(0, 1, &all).0, Admission::Accepted);
        assert_eq!(places.admit(0, 0, &all[..29]).0, Admission::Accepted);
    }

    #[test]
    fn borrowed_places_come_back() {
        let places = ConnectionTable::new(34, &[1, 1]);
        let mut all: Vec<ConnectionState> = (0..31).map(|id| busy(id, 0)).collect();
        assert_eq!(places.admit(0, 1, &all).0, Admission::RejectRequests);
        // The latest of those that were lent, as many as the other has a right to.
        let back = places.borrowed_connections_to_close(&all);
        assert_eq!(back, (16..31).rev().collect::<Vec<u64>>());
        all.retain(|s| !back.contains(&s.id));
        assert_eq!(places.admit(0, 1, &all), (Admission::Accepted, None));
        assert_eq!(places.borrowed_connections_to_close(&all), []);
    }

    #[test]
    fn a_thousand_silent_ones_do_not_keep_a_surge_out() {
        let places = ConnectionTable::new(34, &[1, 1]);
        let mut all: Vec<ConnectionState> = (0..31).map(|id| ConnectionState::new(id, 1, 0)).collect();
        for id in 100..115 {
            let (admission, closed) = places.admit(0, 0, &all);
            assert_eq!(admission, Admission::Accepted);
            let closed = closed.expect("one that never asked");
            all.retain(|s| s.id != closed);
            all.push(busy(id, 0));
        }
        // Its part is reached: from here on only its own silent ones would give way.
        assert_eq!(places.admit(0, 0, &all).0, Admission::RejectRequests);
    }

    #[test]
    fn a_place_that_is_coming_is_waited_for_but_not_for_long() {
        let places = ConnectionTable::new(4, &[1]);
        let mut all =
            vec![busy(0, 0), ConnectionState { close_requested_at: Some(10), ..idle(1, 0, 5) }, busy(2, 0)];
        assert!(
            places.should_pause_accept(20, &all) && !places.should_pause_accept(10 + CLOSE_TIMEOUT, &all)
        );
        all[1].last_active = 11;
        assert!(!places.should_pause_accept(20, &all), "it has carried something since");
    }

    #[test]
    fn a_fifth_is_kept_free_and_what_never_asked_goes_first() {
        let places = ConnectionTable::new(11, &[1]);
        assert_eq!(places.capacity(), 10);
        let mut all: Vec<ConnectionState> = (0..9).map(|id| idle(id, 0, id * 10)).collect();
        all[5].has_sent_request = false;
        all[8].last_active = SETTLE_TIME;
        let now = SETTLE_TIME + 80;
        assert_eq!(places.idle_connections_to_close(now, &[Micros::MAX], &all), [5]);
        all.push(busy(9, 0));
        assert_eq!(places.idle_connections_to_close(now, &[Micros::MAX], &all), [5, 0]);
        assert_eq!(places.idle_connections_to_close(now, &[SETTLE_TIME + 70], &all), [0, 1]);
    }

    /// Guards against closing a caller that has asked before, for a crowd of silent ones that has only just
    /// come (bad_clients: peers that connect and say nothing), and against closing who could not ask yet.
    #[test]
    fn a_silent_crowd_that_just_came_goes_once_settled_and_nobody_for_it() {
        let places = ConnectionTable::new(11, &[1]);
        let mut all = vec![idle(0, 0, 0)];
        all.extend((1..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
        assert_eq!(places.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &all), [] as [u64; 0]);
        // A fifth of ten is kept free, by those of the crowd that came first.
        assert_eq!(places.idle_connections_to_close(2 * SETTLE_TIME, &[Micros::MAX], &all), [1, 2]);
    }

    /// Guards the other side: who has just come into the free places is no crowd, and idle ones make room again.
    #[test]
    fn for_those_that_came_into_the_free_places_idle_ones_leave() {
        let places = ConnectionTable::new(11, &[1]);
        let mut all: Vec<ConnectionState> = (0..8).map(|id| idle(id, 0, id)).collect();
        all.extend((8..10).map(|id| ConnectionState::new(id, 0, SETTLE_TIME)));
        assert_eq!(places.idle_connections_to_close(SETTLE_TIME + 10, &[Micros::MAX], &all), [0, 1]);
    }

    #[test]
    fn the_span_of_one_listener_is_not_that_of_another() {
        let places = ConnectionTable::new(40, &[1, 1]);
        let all = [idle(0, 0, 0), idle(1, 1, 0)];
        assert_eq!(places.idle_connections_to_close(1_000, &[500, 5_000], &all), [0]);
    }

    fn connections(listeners: usize) -> impl Strategy<Value = Vec<(usize, usize, bool, Micros)>> {
        prop::collection::vec((0..listeners, 0usize..3, any::<bool>(), 0u64..1_000_000), 0..200)
    }

    proptest! {
        /// Whatever comes: never more connections than places, and a listener under its part is served as soon as
        /// what was lent has been given back.
        #[test]
        fn places_are_kept_and_given_back(
            descriptors in 8usize..100, weights in prop::collection::vec(1u32..5, 1..4), steps in connections(3),
        ) {
            let places = ConnectionTable::new(descriptors, &weights);
            let mut all: Vec<ConnectionState> = Vec::new();
            for (id, (listener, requests_in_flight, has_sent_request, now)) in steps.into_iter().enumerate() {
                let listener = listener % weights.len();
                let (admission, closed) = places.admit(now, listener, &all);
                if let Some(closed) = closed {
                    prop_assert!(all.iter().any(|s| s.id == closed && s.requests_in_flight == 0 && !s.has_sent_request));
                    all.retain(|s| s.id != closed);
                }
                if admission != Admission::Close {
                    let in_overflow = admission == Admission::RejectRequests;
                    all.push(ConnectionState { requests_in_flight, has_sent_request, in_overflow, ..ConnectionState::new(id as u64, listener, now) });
                }
                prop_assert!(all.len() <= places.total_capacity());
                prop_assert!(all.iter().filter(|s| !s.in_overflow).count() <= places.capacity());
                let close = places.idle_connections_to_close(now, &vec![500_000; weights.len()], &all);
                prop_assert!(close.iter().all(|id| all.iter().any(|s| s.id == *id && s.requests_in_flight == 0)));
            }
            let back = places.borrowed_connections_to_close(&all);
            all.retain(|s| !back.contains(&s.id) && !s.in_overflow);
            for listener in 0..weights.len() {
                let taken = all.iter().filter(|s| s.listener == listener).count();
                if taken < places.guaranteed_quota(listener) {
                    prop_assert_eq!(places.admit(0, listener, &all).0, Admission::Accepted);
                }
            }
        }
    }
}
