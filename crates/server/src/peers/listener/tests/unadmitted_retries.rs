//! Retries with an idempotency key that a connection can't pass to admission. A rejection would have their
//! callers run the request again at another server, so they get the known result, or fail.

use umberloom::interface::Micros;

use super::*;
use crate::memory::idempotency_cache::{CachedRequest, DedupKey};

/// Index of the class with idempotency keys.
const KEYED_CLASS: usize = 1;
/// How long keys are retained.
const WINDOW: Micros = 10_000_000;
/// The protocol status of a rejection.
const OVERLOADED: u8 = 2;

impl TestServer {
    /// Adds the entry of a request with this key, whose body is empty, and its result if it has ended.
    fn remember(&self, key: &str, result: Option<&[u8]>) {
        let mut cache = self.idempotency_cache.borrow_mut();
        let dedup_key = DedupKey::of_idempotency_key(KEYED_CLASS, None, key);
        let expires_at = self.context.clock.now() + WINDOW;
        let body_digest = cache.digest(b"");
        let request = CachedRequest { id: "first".into(), body_digest, expires_at, evictable: false };
        assert!(cache.insert(dedup_key.clone(), request));
        if let Some(result) = result {
            cache.store_result(&dedup_key, "first", result);
        }
    }

    /// Remembers a request that has ended, `ended`, and one that is running, `running`.
    fn remember_requests(&self) {
        self.remember("ended", Some(b"known result"));
        self.remember("running", None);
    }
}

/// The FastCGI records of a request of a class with idempotency keys, with a header of this many bytes
/// besides.
fn keyed_request(server: &TestServer, slot: u16, key: &str, note_bytes: usize) -> Vec<u8> {
    let received_at = (server.context.clock.unix() / 1_000).to_string();
    let mut params = Vec::new();
    for (name, value) in [
        ("SCRIPT_NAME", "/svc/capture"),
        ("REQUEST_METHOD", "POST"),
        ("HTTP_REQUEST_ID", "retry"),
        ("HTTP_RECEIVED_AT", &received_at),
        ("HTTP_BUDGET_MS", "4000"),
        ("HTTP_SENT_BY", "4"),
        ("HTTP_FOOTPRINT_KB", "24.5"),
        ("HTTP_PRIORITY_RANK", "0.75"),
        ("HTTP_ONCE_KEY", key),
    ] {
        fastcgi::write_pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    if note_bytes > 0 {
        fastcgi::write_pair(&mut params, b"HTTP_X_NOTE", &vec![b'x'; note_bytes]);
    }
    let mut bytes = Vec::new();
    fastcgi::write_record(&mut bytes, fastcgi::kind::BEGIN_REQUEST, slot, &[0, 1, 1, 0, 0, 0, 0, 0]);
    fastcgi::write_record(&mut bytes, fastcgi::kind::PARAMS, slot, &params);
    fastcgi::write_record(&mut bytes, fastcgi::kind::PARAMS, slot, &[]);
    fastcgi::write_record(&mut bytes, fastcgi::kind::STDIN, slot, &[]);
    bytes
}

/// The protocol status and the CGI response of each of `count` answers, in the order of their slots.
async fn read_answers(client: &mut Client, count: usize) -> Vec<(u8, String)> {
    let mut answers: BTreeMap<u16, (Option<u8>, String)> = BTreeMap::new();
    let mut bytes = Vec::new();
    while answers.values().filter(|(status, _)| status.is_some()).count() < count {
        let mut chunk = [0; 512];
        let received = within_timeout(client.read(&mut chunk)).await.expect("an answer to each request");
        assert_ne!(received, 0, "the connection ended after {answers:?}");
        bytes.extend_from_slice(&chunk[..received]);
        while let Some(record) = fastcgi::parse_record(&bytes).expect("valid") {
            let content = &bytes[record.content.clone()];
            let answer = answers.entry(record.request).or_default();
            match record.kind {
                fastcgi::kind::END_REQUEST => answer.0 = Some(content[4]),
                _ => answer.1 += &String::from_utf8_lossy(content),
            }
            bytes.drain(..record.size);
        }
    }
    answers.into_values().map(|(status, response)| (status.expect("an end"), response)).collect()
}

/// Asserts what became of three requests in this order: a retry of one that has ended, a retry of one that is
/// running, and a first attempt.
fn assert_only_the_first_attempt_is_rejected(answers: &[(u8, String)]) {
    let [ended, running, new] = answers else { panic!("{answers:?}") };
    assert!(ended.0 == 0 && ended.1.starts_with("Status: 200 "), "{ended:?}");
    assert!(ended.1.ends_with("known result"), "{ended:?}");
    assert!(running.0 == 0 && running.1.starts_with("Status: 500 "), "{running:?}");
    assert_eq!(*new, (OVERLOADED, String::new()));
}

fn requests_with_all_keys(server: &TestServer) -> Vec<u8> {
    let keys = (1..).zip(["ended", "running", "new"]);
    keys.flat_map(|(slot, key)| keyed_request(server, slot, key, 0)).collect()
}

/// Guards against rejecting a retry whose first attempt has run because the server is about to stop.
#[test]
fn known_retry_read_while_closing_is_not_rejected() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        server.remember_requests();
        let (mut client, activity, mailbox) = server.single_connection().await;
        write_now(&client, &requests_with_all_keys(&server));
        activity.closing.set(true);
        mailbox.try_send(ConnectionCommand::Close).expect("room");
        assert_only_the_first_attempt_is_rejected(&read_answers(&mut client, 3).await);
        assert!(server.messages.is_empty());
    });
}

/// Guards against rejecting a retry whose first attempt has run because it comes on a connection beyond the
/// table's capacity.
#[test]
fn known_retry_on_a_connection_in_overflow_is_not_rejected() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        server.remember_requests();
        let _busy = [server.busy_client().await, server.busy_client().await];
        let mut client = server.connect().await;
        write_now(&client, &requests_with_all_keys(&server));
        assert_only_the_first_attempt_is_rejected(&read_answers(&mut client, 3).await);
    });
}

/// Guards against rejecting a retry whose first attempt has run because there is no place for its connection.
#[test]
fn known_retry_on_a_connection_without_any_place_is_not_rejected() {
    with_listener(ConnectionTable::new(3, &[1]), 60_000_000, |server| async move {
        server.remember_requests();
        let _busy = [server.busy_client().await, server.busy_client().await];
        let _in_overflow = server.connect().await;
        let client = std::net::TcpStream::connect(server.address).expect("connected");
        let mut client = Async::new(client).expect("registered");
        write_now(&client, &requests_with_all_keys(&server));
        assert_only_the_first_attempt_is_rejected(&read_answers(&mut client, 3).await);
    });
}

/// Guards against rejecting a retry whose first attempt has run because no memory is left for its body.
#[test]
fn known_retry_without_memory_is_not_rejected() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        server.remember_requests();
        let mut client = server.connect().await;
        let _all = server.context.budget.charge(server.context.budget.available()).expect("all memory");
        write_now(&client, &requests_with_all_keys(&server));
        assert_only_the_first_attempt_is_rejected(&read_answers(&mut client, 3).await);
    });
}

/// Guards against rejecting what may be a retry: there was no memory for its parameters, so its key is
/// unknown.
#[test]
fn request_without_memory_for_its_key_fails_while_keyed_requests_are_known() {
    with_listener(ConnectionTable::new(600, &[1]), 60_000_000, |server| async move {
        let mut client = server.connect().await;
        let _all = server.context.budget.charge(server.context.budget.available()).expect("all memory");
        // More than is set aside for each connection.
        let too_large = |slot| keyed_request(&server, slot, "new", 12_000);
        for chunk in too_large(1).chunks(1_000) {
            client.write_all(chunk).await.expect("written");
        }
        assert_eq!(read_answers(&mut client, 1).await, [(OVERLOADED, String::new())]);
        server.remember("ended", Some(b"known result"));
        for chunk in too_large(1).chunks(1_000) {
            client.write_all(chunk).await.expect("written");
        }
        let answers = read_answers(&mut client, 1).await;
        assert!(answers[0].0 == 0 && answers[0].1.starts_with("Status: 500 "), "{answers:?}");
    });
}

/// Guards against rejecting what may be a retry: its caller has stopped waiting for the requests that are
/// open on the connection, and the request beyond the limit is answered before its key is read.
#[test]
fn request_beyond_the_limit_of_a_connection_fails_while_keyed_requests_are_known() {
    with_listener(ConnectionTable::new(9, &[1]), 60_000_000, |server| async move {
        for (first, expected_status) in [(None, None), (Some("ended"), Some("Status: 500 "))] {
            first.into_iter().for_each(|key| server.remember(key, Some(b"known result")));
            let mut client = server.connect().await;
            let limit = MAX_OPEN_REQUESTS as u16;
            for slot in 1..=limit {
                write_now(&client, &keyed_request(&server, slot, &format!("open-{slot}"), 0));
                // Admission keeps the request open.
                let message = within_timeout(server.messages.recv()).await.expect("a message");
                server.unanswered.borrow_mut().push(message);
            }
            write_now(&client, &keyed_request(&server, limit + 1, "ended", 0));
            let answers = read_answers(&mut client, 1).await;
            match expected_status {
                None => assert_eq!(answers, [(OVERLOADED, String::new())]),
                Some(status) => {
                    assert!(answers[0].0 == 0 && answers[0].1.starts_with(status), "{answers:?}");
                }
            }
        }
    });
}
