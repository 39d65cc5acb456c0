//! Decides which connections a server accepts, and which it closes to make room for others.

use umberloom::interface::Micros;

/// One in this many descriptors is reserved for overflow connections: connections beyond the table, on which
/// every request is rejected. Without them, requests would stay unread in the accept queue until their
/// deadline.
const OVERFLOW_DIVISOR: usize = 16;
/// One in this many slots of the table is kept free for new connections.
const FREE_DIVISOR: usize = 5;
/// One in this many slots of a listener's guaranteed quota is never lent, so that the listener can accept the
/// start of a surge.
const UNLENT_DIVISOR: usize = 16;
/// Time in microseconds without activity after which a connection counts as settled; before that it may be
/// about to carry more data.
pub const SETTLE_TIME: Micros = 100_000;
/// Time in microseconds within which a connection that was asked to close is gone, if it closes at all.
const CLOSE_TIMEOUT: Micros = 300_000;

/// The connection slots of one server, and how its listeners share them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionTable {
    /// The number of slots in the table.
    capacity: usize,
    /// The number of slots for overflow connections.
    overflow_capacity: usize,
    /// The number of guaranteed slots of each listener.
    guaranteed_quotas: Vec<usize>,
}

impl ConnectionTable {
    /// Divides a number of file descriptors among listeners by weight.
    pub fn new(descriptors: usize, weights: &[u32]) -> ConnectionTable {
        let overflow_capacity = descriptors.div_ceil(OVERFLOW_DIVISOR).min(descriptors / 2);
        let capacity = descriptors - overflow_capacity;
        let total_weight: usize = weights.iter().map(|&weight| weight as usize).sum();
        let quota = |&weight: &u32| capacity * weight as usize / total_weight.max(1);
        let guaranteed_quotas = weights.iter().map(quota).collect();
        ConnectionTable { capacity, overflow_capacity, guaranteed_quotas }
    }

    /// The number of slots in the table.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The number of slots in the table and for overflow together.
    pub fn total_capacity(&self) -> usize {
        self.capacity + self.overflow_capacity
    }

    /// The number of slots of a listener that it can always get back after they were lent.
    pub fn guaranteed_quota(&self, listener: usize) -> usize {
        self.guaranteed_quotas.get(listener).copied().unwrap_or(0)
    }

    /// Decides about a new connection of `listener`, given all connections that exist.
    ///
    /// A connection that has never sent a request is closed for a new one: peers connect when they have
    /// something to send, so a connection without a request is likely to stay silent. A listener under its
    /// quota may replace such a connection of a listener that is over its quota; otherwise it may only
    /// replace one of its own.
    pub fn admit(&self, now: Micros, listener: usize, connections: &[ConnectionState]) -> AdmissionDecision {
        let decide = |admission, close_first| AdmissionDecision { admission, close_first };
        if self.has_capacity(now, listener, connections) {
            return decide(Admission::Accept, None);
        }
        if connections.len() >= self.total_capacity() {
            return decide(Admission::Close, None);
        }
        match self.replaceable_connection(now, listener, connections) {
            Some(replaced) => decide(Admission::Accept, Some(replaced)),
            None => decide(Admission::RejectRequests, None),
        }
    }

    /// Finds a connection that has never sent a request and may be closed for a new one of `listener`.
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

    /// Whether there is a slot that this listener may take: within its own quota, or one that the others
    /// leave idle.
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

    /// The number of free slots that must be left for the other listeners.
    fn reserved_for_others(&self, listener: usize, accepted: &[usize]) -> usize {
        let reserved = |other: usize| {
            let quota = self.guaranteed_quotas[other];
            let unlent = (quota / UNLENT_DIVISOR).max(1).min(quota);
            unlent.min(quota.saturating_sub(accepted[other]))
        };
        let others = (0..self.guaranteed_quotas.len()).filter(|&other| other != listener);
        others.map(reserved).sum()
    }

    /// The number of connections in the table, by listener.
    fn accepted_by_listener(&self, connections: &[ConnectionState]) -> Vec<usize> {
        let mut accepted = vec![0; self.guaranteed_quotas.len()];
        for connection in connections.iter().filter(|c| !c.in_overflow) {
            if let Some(count) = accepted.get_mut(connection.listener) {
                *count += 1;
            }
        }
        accepted
    }

    /// Whether the host should accept nothing for now, because the table is full and a slot is about to
    /// become free. A peer in the accept queue waits at most 0.3 s for it. If no connection is closing,
    /// accepting never pauses.
    pub fn should_pause_accept(&self, now: Micros, connections: &[ConnectionState]) -> bool {
        connections.len() >= self.capacity && connections.iter().any(|c| c.is_closing(now))
    }

    /// Idle connections to close: those that have been idle for the timeout of their listener (in
    /// microseconds), and as many more as needed to keep a fifth of the slots free.
    ///
    /// The latter are chosen in this order: connections that have never sent a request, those of listeners
    /// over their quota, those that have been idle longest. Connections active within [`SETTLE_TIME`] are not
    /// among them.
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
        let reserved_free = self.capacity.div_ceil(FREE_DIVISOR);
        let excess = in_table.saturating_sub(self.capacity - reserved_free).saturating_sub(to_close.len());

        let is_settled = |c: &ConnectionState| now >= c.last_active + SETTLE_TIME;
        let is_within_quota = |c: &ConnectionState| accepted[c.listener] <= self.guaranteed_quota(c.listener);
        let mut candidates: Vec<&ConnectionState> =
            idle.iter().copied().filter(|c| is_settled(c) && !to_close.contains(&c.id)).collect();
        candidates.sort_by_key(|c| (c.has_sent_request, is_within_quota(c), c.last_active));

        // The free slots are for new connections. New silent connections beyond their number are closed only
        // after they have settled, as earlier they could not have sent a request. Until then, no connection
        // that has sent a request is closed to make room for them.
        let new_silent = idle.iter().filter(|c| !is_settled(c) && !c.has_sent_request).count();
        let excess_new_silent = new_silent.saturating_sub(reserved_free);
        let settled_silent = candidates.iter().filter(|c| !c.has_sent_request).count();
        let count = excess.min(settled_silent.max(excess.saturating_sub(excess_new_silent)));
        to_close.extend(candidates.iter().take(count).map(|c| c.id));
        to_close
    }

    /// Connections to close once the requests on them have ended, so that listeners under their quota get
    /// back the slots that they lent. They are connections of listeners over their quota, the latest first,
    /// as many as are missing. Empty while the table has free slots. `connections` must be in ascending order
    /// of their ids.
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

/// The state of a connection as the host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// The number of the connection; later connections have higher numbers.
    pub id: u64,
    /// The index of the listener that accepted it.
    pub listener: usize,
    /// The number of complete requests on it that have no answer yet.
    pub requests_in_flight: usize,
    /// Whether it has ever carried a complete request.
    pub has_sent_request: bool,
    /// When it last carried data.
    pub last_active: Micros,
    /// When it was asked to close, if it was.
    pub close_requested_at: Option<Micros>,
    /// Whether it is an overflow connection: all requests on it are rejected.
    pub in_overflow: bool,
}

impl ConnectionState {
    /// The state of a connection that was accepted at `now`.
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

    /// Whether it was asked to close within [`CLOSE_TIMEOUT`] and has carried nothing since.
    fn is_closing(&self, now: Micros) -> bool {
        let is_expected =
            |requested_at: Micros| requested_at >= self.last_active && now < requested_at + CLOSE_TIMEOUT;
        !self.in_overflow && self.close_requested_at.is_some_and(is_expected)
    }

    /// Whether it is in the table and has no request without an answer.
    fn is_idle(&self) -> bool {
        !self.in_overflow && self.requests_in_flight == 0
    }
}

/// How a new connection is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is served.
    Accept,
    /// The connection becomes an overflow connection: its requests are read and rejected, with the advice to
    /// try another server.
    RejectRequests,
    /// The connection is closed at once, without running a request.
    Close,
}

/// How a new connection is handled, and which other connection is closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// How the new connection is handled.
    pub admission: Admission,
    /// The connection to close at once, so that the new one gets its slot.
    pub close_first: Option<u64>,
}

#[cfg(test)]
mod tests;
