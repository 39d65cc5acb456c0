//! Which connections a server accepts, and which it closes for others.

use umberloom::interface::Micros;

/// One descriptor in so many is for overflow: connections beyond the table, on which every request is rejected. Without
/// them the accept queue would carry requests that nobody reads until their time is up.
const OVERFLOW_DIVISOR: usize = 16;
/// One place of the table in so many is kept free for new connections.
const FREE_DIVISOR: usize = 5;
/// One place of a listener's guaranteed quota in so many is never lent: a surge starts there.
const UNLENT_DIVISOR: usize = 16;
/// A connection that carried something within this time may be about to carry more, in microseconds.
pub const SETTLE_TIME: Micros = 100_000;
/// A connection that was asked to close is gone within this time, if it closes at all, in microseconds.
const CLOSE_TIMEOUT: Micros = 300_000;

/// The places of one server and how its listeners share them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionTable {
    capacity: usize,
    overflow_capacity: usize,
    /// By listener.
    guaranteed_quotas: Vec<usize>,
}

impl ConnectionTable {
    /// Divides this number of descriptors among listeners with these weights.
    pub fn new(descriptors: usize, weights: &[u32]) -> ConnectionTable {
        let overflow_capacity = descriptors.div_ceil(OVERFLOW_DIVISOR).min(descriptors / 2);
        let capacity = descriptors - overflow_capacity;
        let total_weight: usize = weights.iter().map(|&weight| weight as usize).sum();
        let quota = |&weight: &u32| capacity * weight as usize / total_weight.max(1);
        let guaranteed_quotas = weights.iter().map(quota).collect();
        ConnectionTable { capacity, overflow_capacity, guaranteed_quotas }
    }

    /// Places in the table.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Places in all, those for overflow included.
    pub fn total_capacity(&self) -> usize {
        self.capacity + self.overflow_capacity
    }

    /// Places that a listener can always get back.
    pub fn guaranteed_quota(&self, listener: usize) -> usize {
        self.guaranteed_quotas.get(listener).copied().unwrap_or(0)
    }

    /// What becomes of a new connection of `listener`, given all that are there.
    ///
    /// A connection that never sent a request gives up its place to a new one: peers connect when they have something to
    /// send, so one that has sent nothing is likely to go on so. Within its quota a listener takes the place of any
    /// listener that is over its own; beyond it only of its own.
    pub fn admit(&self, now: Micros, listener: usize, connections: &[ConnectionState]) -> AdmissionDecision {
        let decide = |admission, close_first| AdmissionDecision { admission, close_first };
        if self.has_capacity(now, listener, connections) {
            return decide(Admission::Accept, None);
        }
        if connections.len() >= self.total_capacity() {
            return decide(Admission::Close, None);
        }
        match self.replaceable_connection(now, listener, connections) {
            Some(silent) => decide(Admission::Accept, Some(silent)),
            None => decide(Admission::RejectRequests, None),
        }
    }

    /// A connection that never sent a request and may be closed for a new one of `listener`.
    fn replaceable_connection(
        &self,
        now: Micros,
        listener: usize,
        connections: &[ConnectionState],
    ) -> Option<u64> {
        let accepted = self.accepted_by_listener(connections);
        let is_under_quota = accepted.get(listener).copied().unwrap_or(0) < self.guaranteed_quota(listener);
        let is_silent = |c: &&ConnectionState| c.is_idle() && !c.has_sent_request && !c.is_closing(now);
        let is_borrowed = |c: &&ConnectionState| accepted[c.listener] > self.guaranteed_quota(c.listener);
        let silent = || connections.iter().filter(is_silent);
        let borrowed = silent().find(|c| c.listener != listener && is_under_quota && is_borrowed(c));
        let own = || silent().find(|c| c.listener == listener);
        borrowed.or_else(own).map(|c| c.id)
    }

    /// Whether there is a place that this listener may take: of its own quota, or one that the others leave idle.
    fn has_capacity(&self, now: Micros, listener: usize, connections: &[ConnectionState]) -> bool {
        let closing = connections.iter().filter(|c| c.is_closing(now)).count();
        let accepted = self.accepted_by_listener(connections);
        let in_table: usize = accepted.iter().sum();
        let free = (self.capacity + closing).saturating_sub(in_table);
        if connections.len() >= self.total_capacity() || free == 0 {
            return false;
        }
        let own = accepted.get(listener).copied().unwrap_or(0);
        own < self.guaranteed_quota(listener) || free > self.reserved_for_others(listener, &accepted)
    }

    /// Free places that must stay for the other listeners.
    fn reserved_for_others(&self, listener: usize, accepted: &[usize]) -> usize {
        let reserved = |other: usize| {
            let quota = self.guaranteed_quotas[other];
            let unlent = (quota / UNLENT_DIVISOR).max(1).min(quota);
            unlent.min(quota.saturating_sub(accepted[other]))
        };
        let others = (0..self.guaranteed_quotas.len()).filter(|&other| other != listener);
        others.map(reserved).sum()
    }

    /// Connections in the table, by listener.
    fn accepted_by_listener(&self, connections: &[ConnectionState]) -> Vec<usize> {
        let mut accepted = vec![0; self.guaranteed_quotas.len()];
        for connection in connections.iter().filter(|c| !c.in_overflow) {
            if let Some(count) = accepted.get_mut(connection.listener) {
                *count += 1;
            }
        }
        accepted
    }

    /// Whether to accept nothing for now, as a place is about to be free: a peer that waits in the accept queue for it
    /// is read within 0.3 s. Where nothing is closing, nobody is made to wait.
    pub fn should_pause_accept(&self, now: Micros, connections: &[ConnectionState]) -> bool {
        connections.len() >= self.capacity && connections.iter().any(|c| c.is_closing(now))
    }

    /// Idle connections to close: those idle for the timeout of their listener (in microseconds), and as many more as
    /// are needed for a fifth of the places to be free.
    ///
    /// Of the latter those that never sent a request come first, then those of listeners over their quota, then those
    /// idle longest; none that has only just carried something.
    pub fn idle_connections_to_close(
        &self,
        now: Micros,
        idle_timeouts: &[Micros],
        connections: &[ConnectionState],
    ) -> Vec<u64> {
        let timeout = |c: &ConnectionState| idle_timeouts.get(c.listener).copied().unwrap_or(Micros::MAX);
        let idle: Vec<&ConnectionState> = connections.iter().filter(|c| c.is_idle()).collect();
        let timed_out = idle.iter().filter(|c| now.saturating_sub(c.last_active) >= timeout(c));
        let mut to_close: Vec<u64> = timed_out.map(|c| c.id).collect();

        let accepted = self.accepted_by_listener(connections);
        let in_table: usize = accepted.iter().sum();
        let kept_free = self.capacity.div_ceil(FREE_DIVISOR);
        let excess = in_table.saturating_sub(self.capacity - kept_free).saturating_sub(to_close.len());

        let is_settled = |c: &ConnectionState| now >= c.last_active + SETTLE_TIME;
        let is_within_quota = |c: &ConnectionState| accepted[c.listener] <= self.guaranteed_quota(c.listener);
        let mut candidates: Vec<&ConnectionState> =
            idle.iter().copied().filter(|c| is_settled(c) && !to_close.contains(&c.id)).collect();
        candidates.sort_by_key(|c| (c.has_sent_request, is_within_quota(c), c.last_active));

        // Free places are for connections that have just come. A crowd beyond them that has sent nothing goes once it
        // has settled; until then no connection that has sent a request is closed for it, and none of the crowd before
        // it could send one.
        let new_silent = idle.iter().filter(|c| !is_settled(c) && !c.has_sent_request).count();
        let crowd = new_silent.saturating_sub(kept_free);
        let settled_silent = candidates.iter().filter(|c| !c.has_sent_request).count();
        let count = excess.min(settled_silent.max(excess.saturating_sub(crowd)));
        to_close.extend(candidates.iter().take(count).map(|c| c.id));
        to_close
    }

    /// Connections to close after the requests on them, so that listeners under their quota get back the places that
    /// were lent: as many as are missing, of listeners over their quota, the latest first.
    pub fn borrowed_connections_to_close(&self, connections: &[ConnectionState]) -> Vec<u64> {
        let mut accepted = self.accepted_by_listener(connections);
        let in_table: usize = accepted.iter().sum();
        if in_table < self.capacity {
            return Vec::new();
        }
        let quotas = self.guaranteed_quotas.iter().zip(&accepted);
        let mut missing: usize = quotas.map(|(quota, count)| quota.saturating_sub(*count)).sum();
        let mut to_close = Vec::new();
        let latest_first = connections.iter().rev();
        for connection in latest_first.filter(|c| !c.in_overflow && c.close_requested_at.is_none()) {
            let listener = connection.listener;
            if missing > 0 && accepted[listener] > self.guaranteed_quotas[listener] {
                accepted[listener] -= 1;
                missing -= 1;
                to_close.push(connection.id);
            }
        }
        to_close
    }
}

/// What the host sees of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// Its number; later ones have higher ones.
    pub id: u64,
    /// The listener that accepted it.
    pub listener: usize,
    /// Complete requests on it that have no answer yet.
    pub requests_in_flight: usize,
    /// It has carried a complete request.
    pub has_sent_request: bool,
    /// When it last carried something.
    pub last_active: Micros,
    /// When it was asked to close.
    pub close_requested_at: Option<Micros>,
    /// It is beyond the table: all its requests are rejected.
    pub in_overflow: bool,
}

impl ConnectionState {
    /// A connection that has just been accepted.
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

    /// Whether it was asked to close, has carried nothing since, and may yet close.
    fn is_closing(&self, now: Micros) -> bool {
        let is_expected = |asked_at: Micros| asked_at >= self.last_active && now < asked_at + CLOSE_TIMEOUT;
        !self.in_overflow && self.close_requested_at.is_some_and(is_expected)
    }

    fn is_idle(&self) -> bool {
        !self.in_overflow && self.requests_in_flight == 0
    }
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is served.
    Accept,
    /// It is kept in overflow: its requests are read and rejected, with the advice to go elsewhere.
    RejectRequests,
    /// It is closed at once, with nothing run.
    Close,
}

/// What becomes of a new connection, and which other one is closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// What becomes of the new connection.
    pub admission: Admission,
    /// The connection that is closed at once, so that the new one gets its place.
    pub close_first: Option<u64>,
}

#[cfg(test)]
mod tests;
