use super::*;
use crate::lifecycle::config::Config;

/// Index of the class with idempotency keys in the example configuration.
const KEYED_CLASS: usize = 1;
/// When the key of [`known_attempts`] expires.
const EXPIRES_AT: Micros = 100;

/// The key `k` of an earlier attempt with this body and result.
fn known_attempts(body: &[u8], result: Option<&[u8]>) -> KnownAttempts {
    let config = include_bytes!("../../../../../deploy/example-keyed.json");
    let settings = Config::parse(config).expect("the example configuration is valid").settings;
    let mut cache = IdempotencyCache::default();
    let dedup_key = DedupKey::of_idempotency_key(KEYED_CLASS, None, "k");
    let body_digest = cache.digest(body);
    let request = CachedRequest { id: "a".into(), body_digest, expires_at: EXPIRES_AT, evictable: false };
    assert!(cache.insert(dedup_key.clone(), request));
    if let Some(result) = result {
        cache.store_result(&dedup_key, "a", result);
    }
    KnownAttempts::new(&settings, Rc::new(RefCell::new(cache)))
}

fn attempt(class: usize, key: &'static str, arrived_at: Micros) -> UnadmittedAttempt<'static> {
    UnadmittedAttempt { class, tenant: 0, idempotency_key: Some(key), body: b"body", arrived_at }
}

#[test]
fn only_an_attempt_with_a_known_key_must_not_be_rejected() {
    let known = known_attempts(b"body", Some(b"result"));
    let served = Some(Response::Served(b"result".to_vec()));
    assert_eq!(known.response_to(&attempt(KEYED_CLASS, "k", EXPIRES_AT - 1)), served);
    assert_eq!(known.response_to(&attempt(KEYED_CLASS, "k", EXPIRES_AT)), None, "the key has expired");
    assert_eq!(known.response_to(&attempt(KEYED_CLASS, "other", 0)), None);
    assert_eq!(known.response_to(&attempt(0, "k", 0)), None, "a read may run elsewhere");
    let without_key = UnadmittedAttempt { idempotency_key: None, ..attempt(KEYED_CLASS, "k", 0) };
    assert_eq!(known.response_to(&without_key), None);
}

#[test]
fn an_attempt_fails_while_its_original_has_no_result() {
    let known = known_attempts(b"body", None);
    for arrived_at in [0, EXPIRES_AT] {
        assert_eq!(known.response_to(&attempt(KEYED_CLASS, "k", arrived_at)), Some(Response::Failed));
    }
}

#[test]
fn another_body_under_a_known_key_is_a_bad_request() {
    let known = known_attempts(b"another body", Some(b"result"));
    assert_eq!(known.response_to(&attempt(KEYED_CLASS, "k", 0)), Some(Response::BadRequest));
}

#[test]
fn unidentified_requests_may_be_rejected_while_no_key_is_known() {
    let known = known_attempts(b"body", None);
    assert!(!known.may_reject_unidentified());
    known.cache.borrow_mut().expire(EXPIRES_AT, |_| false);
    assert!(known.may_reject_unidentified());
}
