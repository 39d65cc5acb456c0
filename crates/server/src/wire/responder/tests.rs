use super::*;
use crate::wire::test_bytes;

fn begin(slot: u16, role: u8, flags: u8) -> Vec<u8> {
    let mut out = Vec::new();
    fastcgi::write_record(&mut out, kind::BEGIN_REQUEST, slot, &[0, role, flags, 0, 0, 0, 0, 0]);
    out
}

fn request(slot: u16, params: &[u8], body: &[u8]) -> Vec<u8> {
    let mut out = begin(slot, 1, 1);
    fastcgi::write_record(&mut out, kind::PARAMS, slot, params);
    fastcgi::write_record(&mut out, kind::PARAMS, slot, &[]);
    if !body.is_empty() {
        fastcgi::write_record(&mut out, kind::STDIN, slot, body);
    }
    fastcgi::write_record(&mut out, kind::STDIN, slot, &[]);
    out
}

fn feed(responder: &mut Responder, bytes: &[u8]) -> Result<Vec<Incoming>, MalformedInput> {
    feed_within(responder, bytes, usize::MAX)
}

fn feed_within(
    responder: &mut Responder,
    mut bytes: &[u8],
    max_buffered_bytes: usize,
) -> Result<Vec<Incoming>, MalformedInput> {
    let mut incoming = Vec::new();
    loop {
        let (used, completed) = responder.handle_bytes(bytes, max_buffered_bytes)?;
        incoming.extend(completed);
        bytes = &bytes[used..];
        if used == 0 {
            return Ok(incoming);
        }
    }
}

/// The kind, request id and content of every record in `bytes`.
fn parse_records(mut bytes: &[u8]) -> Vec<(u8, u16, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some(record) = fastcgi::parse_record(bytes).expect("valid") {
        records.push((record.kind, record.request, bytes[record.content.clone()].to_vec()));
        bytes = &bytes[record.size..];
    }
    records
}

fn complete_request(slot: u16, params: &[u8], body: &[u8]) -> Incoming {
    Incoming::Request { slot, params: params.to_vec(), body: body.to_vec(), dropped: None }
}

#[test]
fn requests_are_read_however_their_streams_are_split_into_records() {
    let mut split = begin(7, 1, 1);
    for byte in b"params" {
        fastcgi::write_record(&mut split, kind::PARAMS, 7, &[*byte]);
    }
    fastcgi::write_record(&mut split, kind::PARAMS, 7, &[]);
    split.extend(request(8, b"other", b""));
    for byte in [0u8, 1, 255] {
        fastcgi::write_record(&mut split, kind::STDIN, 7, &[byte]);
    }
    fastcgi::write_record(&mut split, kind::STDIN, 7, &[]);
    let mut responder = Responder::default();
    let incoming = feed(&mut responder, &split).expect("valid");
    assert_eq!(
        incoming,
        vec![complete_request(8, b"other", b""), complete_request(7, b"params", &[0, 1, 255])]
    );
    assert_eq!(
        (responder.open_requests(), responder.complete_requests(), responder.buffered_bytes()),
        (2, 2, 0)
    );
}

#[test]
fn response_is_written_once_as_a_stream_and_an_end_request() {
    let mut responder = Responder::default();
    feed(&mut responder, &request(300, b"p", b"b")).expect("valid");
    responder.respond(300, b"Status: 200\r\n\r\n");
    responder.respond(300, b"again");
    let end = vec![0; 8];
    let expected = vec![
        (kind::STDOUT, 300, b"Status: 200\r\n\r\n".to_vec()),
        (kind::STDOUT, 300, vec![]),
        (kind::END_REQUEST, 300, end),
    ];
    assert_eq!(parse_records(&responder.output), expected);
    assert!(!responder.is_close_requested());
}

#[test]
fn connection_closes_after_a_response_without_keep_conn() {
    let mut responder = Responder::default();
    let mut bytes = begin(1, 1, 0);
    fastcgi::write_record(&mut bytes, kind::STDIN, 1, &[]);
    feed(&mut responder, &bytes).expect("valid");
    assert!(!responder.is_close_requested());
    responder.respond(1, b"x");
    assert!(responder.is_close_requested());
}

#[test]
fn requests_beyond_the_limit_are_not_opened_and_can_be_rejected() {
    let mut responder = Responder::default();
    for slot in 1..=32 {
        assert_eq!(feed(&mut responder, &begin(slot, 1, 1)), Ok(vec![]));
    }
    assert_eq!(feed(&mut responder, &begin(33, 1, 1)), Ok(vec![Incoming::TooManyOpen(33)]));
    responder.reject(33, ProtocolStatus::Overloaded);
    assert_eq!(parse_records(&responder.output), vec![(kind::END_REQUEST, 33, vec![0, 0, 0, 0, 2, 0, 0, 0])]);
    assert_eq!(responder.open_requests(), MAX_OPEN_REQUESTS);
    // Further records of the rejected request are ignored.
    let mut further = Vec::new();
    fastcgi::write_record(&mut further, kind::STDIN, 33, &[]);
    assert_eq!(feed(&mut responder, &further), Ok(vec![]));
}

#[test]
fn other_roles_are_rejected_and_unknown_record_types_are_answered() {
    let mut responder = Responder::default();
    let mut bytes = begin(5, 2, 1);
    fastcgi::write_record(&mut bytes, 77, 0, b"what");
    fastcgi::write_record(&mut bytes, 77, 5, b"what");
    assert_eq!(feed(&mut responder, &bytes), Ok(vec![]));
    let expected = vec![
        (kind::END_REQUEST, 5, vec![0, 0, 0, 0, 3, 0, 0, 0]),
        (kind::UNKNOWN_TYPE, 0, vec![77, 0, 0, 0, 0, 0, 0, 0]),
    ];
    assert_eq!(parse_records(&responder.output), expected);
}

#[test]
fn get_values_is_answered() {
    let mut queried = Vec::new();
    for name in ["FCGI_MAX_CONNS", "FCGI_MAX_REQS", "FCGI_MPXS_CONNS", "FCGI_ELSE"] {
        fastcgi::write_pair(&mut queried, name.as_bytes(), b"");
    }
    let mut bytes = Vec::new();
    fastcgi::write_record(&mut bytes, kind::GET_VALUES, 0, &queried);
    let mut responder = Responder::new(10);
    feed(&mut responder, &bytes).expect("valid");
    let mut values = Vec::new();
    for (name, value) in [("FCGI_MAX_CONNS", "10"), ("FCGI_MAX_REQS", "320"), ("FCGI_MPXS_CONNS", "1")] {
        fastcgi::write_pair(&mut values, name.as_bytes(), value.as_bytes());
    }
    assert_eq!(parse_records(&responder.output), vec![(kind::GET_VALUES_RESULT, 0, values)]);
}

#[test]
fn aborted_request_keeps_its_number_until_it_is_released() {
    let mut responder = Responder::default();
    let mut abort = Vec::new();
    fastcgi::write_record(&mut abort, kind::ABORT_REQUEST, 9, &[]);
    feed(&mut responder, &request(9, b"p", b"")).expect("valid");
    assert_eq!(feed(&mut responder, &abort), Ok(vec![Incoming::Abort(9)]));
    assert_eq!(responder.open_requests(), 1);
    responder.end_aborted(9);
    assert_eq!(parse_records(&responder.output), vec![(kind::END_REQUEST, 9, vec![0, 0, 0, 1, 0, 0, 0, 0])]);
    assert_eq!(feed(&mut responder, &abort), Ok(vec![]));
    assert_eq!(feed(&mut responder, &request(9, b"q", b"")), Ok(vec![complete_request(9, b"q", b"")]));
    // An incomplete request was never handed out, so its abort is not reported.
    feed(&mut responder, &begin(10, 1, 1)).expect("valid");
    fastcgi::write_record(&mut abort, kind::ABORT_REQUEST, 10, &[]);
    assert_eq!(feed(&mut responder, &abort), Ok(vec![Incoming::Abort(9)]));
    assert_eq!(responder.open_requests(), 1);
}

#[test]
fn request_that_is_too_long_is_reported_at_once_and_its_data_discarded() {
    let mut responder = Responder::default();
    let bytes = request(1, b"p", &[0; MAX_BODY_BYTES + 1]);
    // The record that ends the body is held back: it and all further records of this request are ignored.
    let (too_long, end) = bytes.split_at(bytes.len() - fastcgi::HEADER_BYTES);
    let dropped = Some(DroppedContent::TooLong);
    let expected = Incoming::Request { slot: 1, params: vec![], body: vec![], dropped };
    assert_eq!(feed(&mut responder, too_long).expect("valid"), vec![expected]);
    assert_eq!(feed(&mut responder, &[end, end].concat()).expect("valid"), vec![]);
    responder.respond(1, b"no");
    assert!(responder.is_close_requested());
    let mut bytes = begin(2, 1, 1);
    for _ in 0..100 {
        fastcgi::write_record(&mut bytes, kind::PARAMS, 2, &[0; 60_000]);
    }
    feed(&mut responder, &bytes).expect("valid");
    assert!(responder.buffered_bytes() <= MAX_PARAMS_BYTES);
}

#[test]
fn duplicate_or_short_begin_request_is_malformed() {
    let mut responder = Responder::default();
    assert!(feed(&mut responder, &[begin(1, 1, 1), begin(1, 1, 1)].concat()).is_err());
    let mut short = Vec::new();
    fastcgi::write_record(&mut short, kind::BEGIN_REQUEST, 4, &[0, 1]);
    assert!(feed(&mut Responder::default(), &short).is_err());
}

#[test]
fn damaged_input_stays_within_limits() {
    let valid = [request(1, b"params", b"body"), request(2, b"params", b"body")].concat();
    for bytes in test_bytes::damaged_copies(&valid) {
        let mut responder = Responder::default();
        let _ = feed(&mut responder, &bytes);
        assert!(
            responder.open_requests() <= MAX_OPEN_REQUESTS
                && responder.buffered_bytes() <= MAX_OPEN_REQUESTS * (MAX_PARAMS_BYTES + MAX_BODY_BYTES)
        );
        responder.drop_partial();
        assert_eq!(responder.open_requests(), responder.complete_requests());
    }
}

/// Guards against a connection that can't be read any further because there is no memory for one request.
#[test]
fn request_without_memory_is_complete_at_its_end_and_the_next_one_is_read() {
    let mut responder = Responder::default();
    let dropped = request(1, &[1; 500], &[2; 1000]);
    let kept = request(2, b"p", b"b");
    let incoming = feed_within(&mut responder, &[dropped, kept].concat(), 700).expect("valid");
    let dropped = Some(DroppedContent::OutOfMemory);
    assert_eq!(
        incoming,
        vec![
            Incoming::Request { slot: 1, params: vec![], body: vec![], dropped },
            complete_request(2, b"p", b"b")
        ]
    );
    // A request that exceeds its limits is still recognized as such.
    let too_long = request(3, b"", &[0; MAX_BODY_BYTES + 1]);
    let dropped = Some(DroppedContent::TooLong);
    assert_eq!(
        feed_within(&mut responder, &too_long, 0).expect("valid"),
        vec![Incoming::Request { slot: 3, params: vec![], body: vec![], dropped }]
    );
}

/// Guards against memory beyond the limit: no more than it is allocated, however the content is split.
#[test]
fn memory_stays_within_the_limit_at_every_byte() {
    for max_buffered_bytes in [0, 1, 100, 1000, 3000, 5000] {
        let mut responder = Responder::default();
        for slot in 1..=4 {
            feed(&mut responder, &begin(slot, 1, 1)).expect("valid");
        }
        let mut bytes = Vec::new();
        for slot in (1..=4).cycle().take(40) {
            fastcgi::write_record(&mut bytes, kind::PARAMS, slot, &[7; 333]);
        }
        let mut unconsumed = Vec::new();
        for byte in bytes {
            unconsumed.push(byte);
            let (used, _) = responder.handle_bytes(&unconsumed, max_buffered_bytes).expect("valid");
            unconsumed.drain(..used);
            assert!(responder.buffered_bytes() <= max_buffered_bytes);
        }
    }
}

#[test]
fn any_split_of_the_input_gives_the_same_requests() {
    let bytes = [request(1, &[1; 300], &[2; 500]), request(2, b"", b"body"), begin(3, 1, 1)].concat();
    let whole = feed(&mut Responder::default(), &bytes).expect("valid");
    for part_bytes in [1, 2, 7, 8, 9, 100, 511] {
        let mut responder = Responder::default();
        let (mut incoming, mut unconsumed) = (Vec::new(), Vec::new());
        for part in bytes.chunks(part_bytes) {
            unconsumed.extend_from_slice(part);
            loop {
                let (used, completed) = responder.handle_bytes(&unconsumed, usize::MAX).expect("valid");
                incoming.extend(completed);
                unconsumed.drain(..used);
                if used == 0 {
                    break;
                }
            }
            assert!(unconsumed.len() < MAX_UNCONSUMED_BYTES);
        }
        assert_eq!(incoming, whole, "{part_bytes}");
    }
}

#[test]
fn control_record_that_is_too_long_is_malformed() {
    let mut bytes = Vec::new();
    fastcgi::write_record(&mut bytes, kind::GET_VALUES, 0, &[0; MAX_CONTROL_BYTES + 1]);
    let too_long = MalformedInput::ControlRecordTooLong;
    assert_eq!(feed(&mut Responder::default(), &bytes[..HEADER_BYTES]), Err(too_long));
}

#[test]
fn request_is_complete_only_with_the_padding_of_its_last_record() {
    let mut bytes = request(1, b"p", b"b");
    let last_record = bytes.len() - HEADER_BYTES;
    bytes[last_record + 6] = 3;
    let mut responder = Responder::default();
    let (head, end) = bytes.split_at(last_record);
    assert_eq!(feed(&mut responder, head), Ok(vec![]));
    let end = [end, &[0; 3]].concat();
    for length in 0..end.len() {
        assert_eq!(feed(&mut responder, &end[..length]), Ok(vec![]), "{length}");
    }
    assert_eq!(feed(&mut responder, &end), Ok(vec![complete_request(1, b"p", b"b")]));
}
