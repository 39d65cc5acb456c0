use super::*;

#[test]
fn incomplete_record_is_not_parsed() {
    let mut bytes = Vec::new();
    write_record(&mut bytes, kind::STDIN, 300, b"abc");
    assert_eq!(bytes.len() % 8, 0);
    for cut in 0..bytes.len() {
        assert_eq!(parse_record(&bytes[..cut]), Ok(None), "{cut}");
    }
    let read = parse_record(&bytes).expect("sound").expect("whole");
    assert_eq!((read.kind, read.request, read.size), (kind::STDIN, 300, bytes.len()));
    assert_eq!(&bytes[read.content], b"abc");
}

#[test]
fn other_protocol_version_is_malformed() {
    assert!(parse_record(&[2]).is_err());
    assert!(parse_record(b"GET / HTTP/1.1\r\n").is_err());
}

#[test]
fn long_content_is_split_into_records() {
    let mut bytes = Vec::new();
    write_record(&mut bytes, kind::STDOUT, 1, &[7; 100_000]);
    let (mut at, mut total) = (0, 0);
    while at < bytes.len() {
        let read = parse_record(&bytes[at..]).expect("sound").expect("whole");
        total += read.content.len();
        at += read.size;
    }
    assert_eq!(total, 100_000);
}

#[test]
fn pairs_have_short_and_long_lengths() {
    let long = vec![b'v'; 70_000];
    let mut bytes = Vec::new();
    write_pair(&mut bytes, b"SHORT", b"");
    write_pair(&mut bytes, &[b'n'; 200], &long);
    let read = parse_pairs(&bytes).expect("sound");
    assert_eq!(read, vec![(&b"SHORT"[..], &b""[..]), (&[b'n'; 200][..], &long[..])]);
}

#[test]
fn truncated_or_wrong_lengths_are_malformed() {
    let mut bytes = Vec::new();
    write_pair(&mut bytes, b"NAME", b"value");
    for cut in 1..bytes.len() {
        assert!(parse_pairs(&bytes[..cut]).is_err(), "{cut}");
    }
    assert!(parse_pairs(&[0xff; 8]).is_err());
    assert!(parse_pairs(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1]).is_err());
}
