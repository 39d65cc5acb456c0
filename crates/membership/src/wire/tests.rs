use super::*;
use proptest::prelude::*;

fn message(body: Body) -> Message {
    let header =
        Header { sender: "a".into(), boot_id: 7, receiver_boot_id: 8, sequence: 9, sent_twice: false };
    Message { header, sender_status: None, body }
}

#[test]
fn foreign_damaged_and_newer_messages_have_distinct_reject_reasons() {
    let (key, other) = (Key::new("f", "s"), Key::new("g", "s"));
    let sealed = key.seal(&message(Body::Hello { nonce: 5 }));
    assert_eq!(key.open(&sealed, MAX_MESSAGE_LEN), Ok(message(Body::Hello { nonce: 5 })));
    assert_eq!(other.open::<Message>(&sealed, MAX_MESSAGE_LEN), Err(RejectReason::Foreign));
    assert_eq!(Key::new("f", "t").open::<Message>(&sealed, MAX_MESSAGE_LEN), Err(RejectReason::Damaged));
    assert_eq!(key.open::<Message>(&sealed, 10), Err(RejectReason::TooLong));
    let newer = [&[FORMAT_VERSION + 1], &sealed[1..]].concat();
    assert_eq!(key.open::<Message>(&newer, MAX_MESSAGE_LEN), Err(RejectReason::Form));
}

proptest! {
    /// A message with any bit changed is rejected, and so are random bytes; neither causes a panic.
    #[test]
    fn no_changed_byte_is_accepted(index in 0usize..60, bit in 0u8..8, random_bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let key = Key::new("f", "s");
        let mut sealed = key.seal(&message(Body::Channel { channel: 1, payload: vec![3; 40] }));
        let index = index % sealed.len();
        sealed[index] ^= 1 << bit;
        prop_assert!(key.open::<Message>(&sealed, MAX_MESSAGE_LEN).is_err());
        prop_assert!(key.open::<Message>(&random_bytes, MAX_MESSAGE_LEN).is_err());
    }
}
