//! Checks the encoding of each kind of message against the bytes written by commit 604394b. Servers of that
//! version and of this one must form one fleet while a new version is rolled out.

use umberloom_fault_harness::golden::{assert_decoded, assert_encoded};
use umberloom_membership::wire::{
    Body, BuildInfo, Header, Key, Message, SenderStatus, ViewRow, MAX_MESSAGE_LEN,
};
use umberloom_membership::PartitionStatus;

const GOLDEN: &str = include_str!("golden/messages.txt");

fn messages() -> Vec<(&'static str, Message)> {
    let header = Header {
        sender: "server-a".into(),
        boot_id: 1_700_000_000_000_001,
        receiver_boot_id: 77,
        sequence: 300,
        sent_twice: true,
    };
    let sender_status = SenderStatus {
        heard_receiver_ms: 1_234,
        view_digest: 0x0123_4567_89ab_cdef,
        partition_status: PartitionStatus::Majority,
        load_percent: 42,
        health_score: 3,
        leaving: true,
    };
    let build_info = BuildInfo {
        zone: "east".to_owned(),
        program: "0.2.0".to_owned(),
        config: u64::MAX - 1,
        operator: 9,
        shares: 1 << 40,
    };
    let rows = vec![
        ViewRow { name: "server-a".into(), boot_id: 5, present: true },
        ViewRow { name: "server-b".into(), boot_id: 0, present: false },
    ];
    let bodies = [
        ("hello", Body::Hello { nonce: 5 }),
        ("welcome", Body::Welcome { echoed_nonce: 6, nonce: 7, build_info: build_info.clone() }),
        ("ready", Body::Ready { echoed_nonce: 8, build_info: build_info.clone() }),
        ("superseded", Body::Superseded { by_boot_id: 9, heard_ago_ms: 250 }),
        ("gossip", Body::Gossip(vec![1, 2, 3, 255])),
        ("beat", Body::Heartbeat(None)),
        ("beat-about", Body::Heartbeat(Some(build_info))),
        ("matter", Body::Channel { channel: 2, payload: vec![9, 8] }),
        ("ask-view", Body::ViewRequest),
        ("view", Body::View(rows)),
    ];
    let message = |body| Message { header: header.clone(), sender_status: Some(sender_status), body };
    let mut all: Vec<(&str, Message)> =
        bodies.into_iter().map(|(name, body)| (name, message(body))).collect();
    let statuses = [
        PartitionStatus::Unsure,
        PartitionStatus::Alone,
        PartitionStatus::Minority,
        PartitionStatus::Majority,
        PartitionStatus::Whole,
    ];
    for (name, status) in ["unsure", "alone", "minority", "majority", "whole"].into_iter().zip(statuses) {
        let sender_status =
            Some(SenderStatus { partition_status: status, heard_receiver_ms: u32::MAX, ..sender_status });
        all.push((name, Message { header: header.clone(), sender_status, body: Body::ViewRequest }));
    }
    all.push(("no-note", Message { header, sender_status: None, body: Body::Hello { nonce: 1 } }));
    all
}

#[test]
fn messages_are_encoded_to_the_golden_bytes() {
    let key = Key::new("harbour", "a secret of twenty bytes");
    assert_encoded(&messages(), GOLDEN, |message| key.seal(message));
}

#[test]
fn golden_bytes_are_decoded_to_the_messages() {
    let key = Key::new("harbour", "a secret of twenty bytes");
    assert_decoded(&messages(), GOLDEN, |sealed| key.open::<Message>(sealed, MAX_MESSAGE_LEN).ok());
}
