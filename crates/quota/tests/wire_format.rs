//! The bytes of each kind of message about leases, as written by commit 604394b: servers of that version and of this one
//! share one quota while a new version is rolled out.

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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digit = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two digits");
    (0..hex.len()).step_by(2).map(digit).collect()
}

#[test]
fn messages_are_written_byte_for_byte_as_before() {
    let write = |message: &Message| postcard::to_allocvec(message).expect("serializable");
    let lines = messages().map(|(name, message)| format!("{name} {}", hex(&write(&message))));
    assert_eq!(lines.join("\n"), GOLDEN.trim_end());
}

#[test]
fn messages_of_the_earlier_version_are_read() {
    let golden: Vec<&str> = GOLDEN.lines().collect();
    assert_eq!(golden.len(), messages().len());
    for (line, (name, message)) in golden.into_iter().zip(messages()) {
        let (golden_name, written) = line.split_once(' ').expect("a name and bytes");
        assert_eq!(golden_name, name);
        assert_eq!(postcard::from_bytes::<Message>(&bytes(written)).as_ref(), Ok(&message), "{name}");
    }
}
