//! Compares the encoding of each message type with the bytes written by commit 604394b: servers of that
//! version and of this one share a quota while a new version is rolled out.

use umberloom_fault_harness::golden::{assert_decoded, assert_encoded};
use umberloom_quota::Message;

const GOLDEN: &str = include_str!("golden/messages.txt");

fn messages() -> [(&'static str, Message); 4] {
    [
        ("ask", Message::Request { request_number: 1_000, permits: 3, priority_level: 2 }),
        (
            "grant",
            Message::Grant { request_number: 1_000, lease_number: 70_000, permits: 3, duration: 2_000_000 },
        ),
        ("deny", Message::Deny { request_number: 1_001 }),
        ("return", Message::Return { lease_number: 70_000 }),
    ]
}

#[test]
fn messages_are_written_byte_for_byte_as_before() {
    assert_encoded(&messages(), GOLDEN, |message| postcard::to_allocvec(message).expect("serializable"));
}

#[test]
fn messages_of_the_earlier_version_are_read() {
    assert_decoded(&messages(), GOLDEN, |bytes| postcard::from_bytes::<Message>(bytes).ok());
}
