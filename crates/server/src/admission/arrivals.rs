//! Requests that arrive, and callers that give them up.
//!
//! Attempts of one request are linked by its subject: in a class with idempotency keys by that key alone, in others by the
//! resource key. A duplicate never runs: it is answered by the result of the request that has the key.

use umberloom::interface::{Arrival, Class, Event, Idempotency, Micros, RequestId};

use super::AdmissionActor;
use crate::memory::idempotency_cache::{BodyDigest, CachedRequest, DedupKey};
use crate::memory::request_table::{OpenRequest, RunState};
use crate::messages::caller::{Request, Response};

/// The response to a request that nothing is known about.
const REJECTED: Response = Response::Rejected { retry_after: 0, terminal: false };

/// How long a request has waited, and how long its caller still does.
struct RequestTiming {
    /// The time that it spent in socket buffers, which counts: the caller's wait began when it reached the machine.
    read_delay: Micros,
    /// How long its caller still waits, where that is stated.
    caller_timeout: Option<Micros>,
    /// When its caller stops waiting.
    deadline: Micros,
}

/// What the idempotency cache has under a request's subject.
#[derive(Default)]
struct KeyLookup {
    /// The request that has the key.
    duplicate_of: Option<RequestId>,
    /// The key is free, and is reserved if the request is accepted.
    reservation: Option<KeyReservation>,
}

/// A key that keeps duplicates from running from the arrival of its first attempt on.
struct KeyReservation {
    dedup_key: DedupKey,
    body: BodyDigest,
    expires_at: Micros,
}

impl AdmissionActor {
    /// Responds to a request at once, or makes it an event for the controller.
    pub(super) fn handle_request(&mut self, now: Micros, mut request: Request) {
        if self.controller.is_none() {
            // Nothing can run before the agent is up.
            return request.reply_to.respond(REJECTED);
        }
        if let Err(response) = self.set_dedup_key(&mut request) {
            return request.reply_to.respond(response);
        }
        let timing = self.timing(now, &request);
        match self.look_up_key(now, &request, timing.read_delay) {
            Ok(lookup) => self.accept(request, &timing, lookup),
            Err(response) => request.reply_to.respond(response),
        }
    }

    /// Makes the idempotency key the request's subject, in a class that has them.
    ///
    /// # Errors
    ///
    /// A request without its key could run twice, so it is malformed.
    fn set_dedup_key(&self, request: &mut Request) -> Result<(), Response> {
        if self.class_with_keys(request.class).is_none() {
            return Ok(());
        }
        let Some(key) = request.work.idempotency_key.take() else { return Err(Response::BadRequest) };
        // The same key of two tenants is two keys: neither may get the other's result.
        let has_tenants = !self.settings.tenants.is_empty();
        let key = if has_tenants { format!("{}/{key}", request.tenant) } else { key };
        request.work.dedup_key = Some(key);
        Ok(())
    }

    /// The settings of a class, if its requests have idempotency keys.
    fn class_with_keys(&self, class: usize) -> Option<&Class> {
        let class = self.settings.classes.get(class)?;
        (class.idempotency == Idempotency::WithKey).then_some(class)
    }

    fn timing(&self, now: Micros, request: &Request) -> RequestTiming {
        let unix_now = self.clock.unix();
        let read_delay = unix_now.saturating_sub(request.work.received_at);
        // Where requests pass no deadline on, one that a request states all the same is ignored.
        let stated = request.work.remaining_timeout(unix_now);
        let caller_timeout = stated.filter(|_| self.shape.passes_deadline);
        // Without one the deadline of its class counts from when it reached the machine.
        let class_deadline = self.settings.classes.get(request.class).map_or(0, |class| class.deadline);
        let remaining = caller_timeout.unwrap_or(class_deadline.saturating_sub(read_delay));
        RequestTiming { read_delay, caller_timeout, deadline: now + remaining }
    }

    /// Looks for the request that this one is a duplicate of.
    ///
    /// # Errors
    ///
    /// The response, where the key belongs to a request with another body, or where there is no room for a new key.
    fn look_up_key(
        &mut self,
        now: Micros,
        request: &Request,
        read_delay: Micros,
    ) -> Result<KeyLookup, Response> {
        let Some(key) = request.work.dedup_key.clone() else { return Ok(KeyLookup::default()) };
        let dedup_key = DedupKey { class: request.class, key };
        // A duplicate counts by when it reached the machine, however late it is read. While the first attempt is in
        // flight no other may run, though its key has expired.
        let arrived_at = now.saturating_sub(read_delay);
        let cached = self.idempotency_cache.get(&dedup_key).cloned();
        let cached = cached
            .filter(|original| original.expires_at > arrived_at || self.requests.contains(&original.id));
        let Some(class) = self.class_with_keys(request.class) else {
            return Ok(KeyLookup { duplicate_of: cached.map(|original| original.id), reservation: None });
        };
        let expires_at = now + class.idempotency_window;
        let body = self.idempotency_cache.digest(&request.body);
        match cached {
            // Another request under a key that is taken is no duplicate: it must neither run nor get the other's result.
            Some(original) if original.body != body => Err(Response::BadRequest),
            Some(original) => Ok(KeyLookup { duplicate_of: Some(original.id), reservation: None }),
            // Without room for its key nothing would keep a duplicate from running.
            None if !self.make_room_for_key(now) => Err(REJECTED),
            None => {
                let reservation = Some(KeyReservation { dedup_key, body, expires_at });
                Ok(KeyLookup { duplicate_of: None, reservation })
            }
        }
    }

    /// Adds a request to the table and tells the controller of it.
    fn accept(&mut self, request: Request, timing: &RequestTiming, lookup: KeyLookup) {
        let Request { id, class, tenant, work, body, reply_to, charge } = request;
        let arrival = Arrival {
            id: id.clone(),
            class,
            tenant,
            caller: work.sender,
            caller_timeout: timing.caller_timeout,
            read_delay: timing.read_delay,
            queued_kb: work.queued_kb,
            rank: work.rank,
            cost: work.cost,
            duplicate_of: lookup.duplicate_of.clone(),
            is_retry: self.shape.marks_retry && work.is_retry,
        };
        let open_request = OpenRequest {
            id,
            class,
            work,
            body,
            deadline: timing.deadline,
            reply_to: Some(reply_to),
            run: RunState::NotRunning,
            has_run: false,
            preempting: false,
            call: None,
            had_call_plan: false,
            last_reply_at: None,
            duplicate_of: lookup.duplicate_of,
            awaits_original: false,
            _charge: charge,
        };
        if let Err(duplicate_id) = self.requests.insert(Box::new(open_request)) {
            // The name is in use: the controller would mix the two requests up.
            if let Some(reply_to) = duplicate_id.reply_to {
                reply_to.respond(Response::BadRequest);
            }
            return;
        }
        // Two attempts may be read before the controller decides on the first, so the first has the key from here on.
        if let Some(reservation) = lookup.reservation {
            let cached = CachedRequest {
                id: arrival.id.clone(),
                body: reservation.body,
                expires_at: reservation.expires_at,
                evictable: false,
            };
            self.idempotency_cache.insert(reservation.dedup_key, cached);
        }
        self.events.push(Event::Arrived(arrival));
    }

    /// Handles that a caller has given its request up. One that is answered already, or another request under the same
    /// name, is not this caller's.
    pub(super) fn handle_cancellation(&mut self, id: &str, serial: u64) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let is_callers_request =
            request.reply_to.as_ref().is_some_and(|reply_to| reply_to.serial() == serial);
        if !is_callers_request {
            return;
        }
        let id = request.id.clone();
        self.respond(&id, Response::Aborted);
        self.cancel_pending_call(&id);
        self.events.push(Event::Cancelled(id.clone()));
        self.remove_if_ended(&id);
    }

    /// Makes the request's subject known for as long as the controller wants, so that duplicates are linked to it.
    pub(super) fn retain_key(&mut self, now: Micros, id: &RequestId, expires_at: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(dedup_key) = request.dedup_key() else { return };
        let body = self.idempotency_cache.digest(&request.body);
        let evictable = self.class_with_keys(dedup_key.class).is_none();
        if self.make_room_for_key(now) {
            let cached = CachedRequest { id: id.clone(), body, expires_at, evictable };
            self.idempotency_cache.insert(dedup_key, cached);
        }
    }

    /// Makes the request's subject unknown, if this request has it.
    pub(super) fn release_key(&mut self, id: &str) {
        let Some(dedup_key) = self.requests.get_mut(id).and_then(|request| request.dedup_key()) else {
            return;
        };
        self.idempotency_cache.release(&dedup_key, id);
    }

    /// Drops expired keys. A duplicate that reached the machine in time may be read later, by its deadline at most, and
    /// is known until then.
    pub(super) fn expire_keys(&mut self, now: Micros) {
        let longest_deadline = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let requests = &self.requests;
        self.idempotency_cache.expire(now.saturating_sub(longest_deadline), |id| requests.contains(id));
    }

    fn make_room_for_key(&mut self, now: Micros) -> bool {
        let requests = &self.requests;
        self.idempotency_cache.make_room(now, |id| requests.contains(id))
    }
}
