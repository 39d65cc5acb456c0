//! What connections may ask of the idempotency cache: how to answer a request that they have read and can't
//! pass to admission.
//!
//! Such a request is rejected, so that its caller may have it run at another server. An attempt of a request
//! that may have run here under the same idempotency key is not: it is answered from the cache, or fails.

use std::cell::RefCell;
use std::rc::Rc;

use umberloom::interface::{Idempotency, Micros, Settings};

use super::idempotency_cache::{CachedRequest, DedupKey, IdempotencyCache};
use crate::messages::caller::Response;

/// An attempt that can't be passed to admission.
#[derive(Clone, Copy, Debug)]
pub struct UnadmittedAttempt<'a> {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings, 0 if the settings have no tenants.
    pub tenant: usize,
    /// Its idempotency key, if it has one.
    pub idempotency_key: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
    /// When it reached the machine.
    pub arrived_at: Micros,
}

/// The idempotency cache as connections see it. Clones share the same cache, which only admission changes.
#[derive(Clone, Debug)]
pub struct KnownAttempts {
    cache: Rc<RefCell<IdempotencyCache>>,
    /// Whether requests may take effect more than once, by the index of their class.
    idempotency: Rc<[Idempotency]>,
    has_tenants: bool,
}

impl KnownAttempts {
    /// Access to `cache`, for requests of the classes and tenants in these settings.
    pub fn new(settings: &Settings, cache: Rc<RefCell<IdempotencyCache>>) -> KnownAttempts {
        let idempotency = settings.classes.iter().map(|class| class.idempotency).collect();
        KnownAttempts { cache, idempotency, has_tenants: !settings.tenants.is_empty() }
    }

    /// The response to an attempt of which another one may have run; `None` if the attempt may be rejected.
    pub fn response_to(&self, attempt: &UnadmittedAttempt) -> Option<Response> {
        let idempotency = *self.idempotency.get(attempt.class)?;
        let cache = self.cache.borrow();
        let dedup_key = self.dedup_key(attempt, idempotency);
        let known = dedup_key.and_then(|key| Some((cache.get(&key)?, cache.stored_result(&key))));
        let known = known.filter(|(original, result)| is_in_window(original, *result, attempt.arrived_at));
        if idempotency.may_reject(known.is_some()) {
            return None;
        }
        let (original, result) = known?;
        if original.body_digest != cache.digest(attempt.body) {
            return Some(Response::BadRequest);
        }
        // The attempt can't wait for a result that is not there yet.
        Some(result.map_or(Response::Failed, |result| Response::Served(result.to_vec())))
    }

    /// Whether a request whose parameters were not kept may be rejected: not if it may be another attempt of
    /// one that may have run.
    pub fn may_reject_unidentified(&self) -> bool {
        let cache = self.cache.borrow();
        let may_reject = |(class, idempotency): (usize, &Idempotency)| {
            idempotency.may_reject(*idempotency == Idempotency::WithKey && cache.has_entry_of_class(class))
        };
        self.idempotency.iter().enumerate().all(may_reject)
    }

    fn dedup_key(&self, attempt: &UnadmittedAttempt, idempotency: Idempotency) -> Option<DedupKey> {
        let key = attempt.idempotency_key.filter(|_| idempotency == Idempotency::WithKey)?;
        let tenant = self.has_tenants.then_some(attempt.tenant);
        Some(DedupKey::of_idempotency_key(attempt.class, tenant, key))
    }
}

/// Whether an attempt that arrived at this time is a duplicate of the original. A request without a result
/// may be in flight, and then it has duplicates even after its key has expired.
fn is_in_window(original: &CachedRequest, result: Option<&[u8]>, arrived_at: Micros) -> bool {
    original.expires_at > arrived_at || result.is_none()
}

#[cfg(test)]
mod tests;
