use super::*;

#[test]
fn incomplete_record_is_not_parsed() {
    let mut bytes = Vec::new();
    write_record(&mut bytes, kind::STDIN, 300, b"abc");
    assert_eq!(bytes.len() % 8, 0);
    for length in 0..bytes.len() {
        assert_eq!(parse_record(&bytes[..length]), Ok(None), "{length}");
    }
    let record = parse_record(&bytes).expect("valid").expect("complete");
    assert_eq!((record.kind, record.request, record.size), (kind::STDIN, 300, bytes.len()));
    assert_eq!(&bytes[record.content], b"abc");
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
    let (mut position, mut total) = (0, 0);
    while position < bytes.len() {
        let record = parse_record(&bytes[position..]).expect("valid").expect("complete");
        total += record.content.len();
        position += record.size;
    }
    assert_eq!(total, 100_000);
}

#[test]
fn pairs_round_trip_with_short_and_long_lengths() {
    let long = vec![b'v'; 70_000];
    let mut bytes = Vec::new();
    write_pair(&mut bytes, b"SHORT", b"");
    write_pair(&mut bytes, &[b'n'; 200], &long);
    let pairs = parse_pairs(&bytes).expect("valid");
    assert_eq!(pairs, vec![(&b"SHORT"[..], &b""[..]), (&[b'n'; 200][..], &long[..])]);
}

#[test]
fn truncated_or_wrong_lengths_are_malformed() {
    let mut bytes = Vec::new();
    write_pair(&mut bytes, b"NAME", b"value");
    for length in 1..bytes.len() {
        assert!(parse_pairs(&bytes[..length]).is_err(), "{length}");
    }
    assert!(parse_pairs(&[0xff; 8]).is_err());
    assert!(parse_pairs(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1]).is_err());
}
