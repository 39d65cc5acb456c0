//! Arriving requests, and requests that their callers cancel.
//!
//! Attempts of one request are linked by its deduplication key: the idempotency key in a class that has them,
//! the resource key in others. A duplicate never runs: it is answered with the result of the request that has
//! the key.

use umberloom::interface::{Arrival, Class, Event, Idempotency, Micros, RequestId};

use super::AdmissionActor;
use crate::memory::idempotency_cache::{BodyDigest, CachedRequest, DedupKey};
use crate::memory::request_table::{OpenRequest, RunState};
use crate::messages::caller::{Request, Response};

/// Rejection of a request that was not passed to the controller: it states no retry time and allows other
/// servers.
const REJECTED: Response = Response::Rejected { retry_after: 0, terminal: false };

/// How long a request has waited, and how long its caller still waits.
struct RequestTiming {
    /// Time that the request spent in socket buffers before it was read, in microseconds. It counts towards
    /// the caller's wait, which began when the request reached the machine.
    read_delay: Micros,
    /// How long the caller still waits, in microseconds, if the request states it.
    caller_timeout: Option<Micros>,
    /// When the caller stops waiting.
    deadline: Micros,
}

/// Result of looking up a request's deduplication key in the idempotency cache.
#[derive(Default)]
struct KeyLookup {
    /// Id of the original, if another request has the key.
    duplicate_of: Option<RequestId>,
    /// The entry to add if the request is accepted, where the key is free and the class has idempotency keys.
    reservation: Option<KeyReservation>,
}

/// A cache entry that, as soon as the first attempt has arrived, prevents duplicates from running.
struct KeyReservation {
    dedup_key: DedupKey,
    body_digest: BodyDigest,
    expires_at: Micros,
}

impl AdmissionActor {
    /// Responds to a request at once, or adds an arrival event for the controller.
    pub(super) fn handle_request(&mut self, now: Micros, mut request: Request) {
        if self.controller.is_none() {
            // Requests can't run before the agent is up.
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

    /// Replaces the request's deduplication key by its idempotency key, in a class that has idempotency keys.
    ///
    /// # Errors
    ///
    /// `BadRequest` if the request has no idempotency key, as it could run twice.
    fn set_dedup_key(&self, request: &mut Request) -> Result<(), Response> {
        if self.class_with_keys(request.class).is_none() {
            return Ok(());
        }
        let Some(key) = request.work.idempotency_key.take() else { return Err(Response::BadRequest) };
        let tenant = (!self.settings.tenants.is_empty()).then_some(request.tenant);
        request.work.dedup_key = Some(DedupKey::of_idempotency_key(request.class, tenant, &key).key);
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
        // A stated timeout is ignored at deployments whose requests are not configured to pass deadlines on.
        let stated = request.work.remaining_timeout(unix_now);
        let caller_timeout = stated.filter(|_| self.shape.passes_deadline);
        // Without a caller timeout the class deadline applies, counted from the request's arrival at the
        // machine.
        let class_deadline = self.settings.classes.get(request.class).map_or(0, |class| class.deadline);
        let remaining = caller_timeout.unwrap_or(class_deadline.saturating_sub(read_delay));
        RequestTiming { read_delay, caller_timeout, deadline: now + remaining }
    }

    /// Looks up the original request that this one is a duplicate of.
    ///
    /// # Errors
    ///
    /// The response to send, if the key belongs to a request with a different body, or if there is no room
    /// for a new key.
    fn look_up_key(
        &mut self,
        now: Micros,
        request: &Request,
        read_delay: Micros,
    ) -> Result<KeyLookup, Response> {
        let Some(key) = request.work.dedup_key.clone() else { return Ok(KeyLookup::default()) };
        let dedup_key = DedupKey { class: request.class, key };
        // A key's expiry is compared with the duplicate's arrival at the machine, however late the duplicate
        // is read. While the original is in flight no duplicate may run, even if the key has expired.
        let arrived_at = now.saturating_sub(read_delay);
        let cached = self.idempotency_cache.borrow().get(&dedup_key).cloned();
        let cached = cached
            .filter(|original| original.expires_at > arrived_at || self.requests.contains(&original.id));
        let Some(class) = self.class_with_keys(request.class) else {
            return Ok(KeyLookup { duplicate_of: cached.map(|original| original.id), reservation: None });
        };
        let expires_at = now + class.idempotency_window;
        let body_digest = self.idempotency_cache.borrow().digest(&request.body);
        match cached {
            // A different request under a key in use is no duplicate: it must neither run nor get the
            // original's result.
            Some(original) if original.body_digest != body_digest => Err(Response::BadRequest),
            Some(original) => Ok(KeyLookup { duplicate_of: Some(original.id), reservation: None }),
            // Without an entry for the key, nothing would prevent a duplicate from running.
            None if !self.make_room_for_key(now) => Err(REJECTED),
            None => {
                let reservation = Some(KeyReservation { dedup_key, body_digest, expires_at });
                Ok(KeyLookup { duplicate_of: None, reservation })
            }
        }
    }

    /// Adds a request to the table and an arrival event for the controller.
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
            launch_uncertain: false,
            preempting: false,
            call: None,
            had_call_plan: false,
            last_reply_at: None,
            duplicate_of: lookup.duplicate_of,
            awaits_original: false,
            _charge: charge,
        };
        if let Err(rejected) = self.requests.insert(Box::new(open_request)) {
            // The controller can't distinguish two requests with the same id.
            if let Some(reply_to) = rejected.reply_to {
                reply_to.respond(Response::BadRequest);
            }
            return;
        }
        // A second attempt may be read before the controller decides on the first one, so the key is reserved
        // here.
        if let Some(reservation) = lookup.reservation {
            let cached = CachedRequest {
                id: arrival.id.clone(),
                body_digest: reservation.body_digest,
                expires_at: reservation.expires_at,
                evictable: false,
            };
            self.idempotency_cache.borrow_mut().insert(reservation.dedup_key, cached);
        }
        self.events.push(Event::Arrived(arrival));
    }

    /// Handles the cancellation of a request by its caller. It is ignored if the request was answered
    /// already, or if the serial shows that another request has the same id.
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

    /// Retains the request's deduplication key until `expires_at`, so that duplicates are linked to the
    /// request.
    pub(super) fn retain_key(&mut self, now: Micros, id: &RequestId, expires_at: Micros) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let Some(dedup_key) = request.dedup_key() else { return };
        let body_digest = self.idempotency_cache.borrow().digest(&request.body);
        let evictable = self.class_with_keys(dedup_key.class).is_none();
        if self.make_room_for_key(now) {
            let cached = CachedRequest { id: id.clone(), body_digest, expires_at, evictable };
            self.idempotency_cache.borrow_mut().insert(dedup_key, cached);
        }
    }

    /// Releases the request's deduplication key, if the cache entry belongs to this request.
    pub(super) fn release_key(&mut self, id: &str) {
        let Some(dedup_key) = self.requests.get_mut(id).and_then(|request| request.dedup_key()) else {
            return;
        };
        self.idempotency_cache.borrow_mut().release(&dedup_key, id);
    }

    /// Drops keys that expired at least the longest class deadline ago. A duplicate that reached the machine
    /// before the key expired may be read later, but not after its deadline, and must still be linked then.
    pub(super) fn expire_keys(&mut self, now: Micros) {
        let longest_deadline = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        let requests = &self.requests;
        self.idempotency_cache
            .borrow_mut()
            .expire(now.saturating_sub(longest_deadline), |id| requests.contains(id));
    }

    fn make_room_for_key(&mut self, now: Micros) -> bool {
        let requests = &self.requests;
        self.idempotency_cache.borrow_mut().make_room(now, |id| requests.contains(id))
    }
}
