use super::*;

fn bootstrapped() -> State {
    State::bootstrap(StoreId(1), 1, Member { name: "a".into(), zone: "z".into() })
}

fn apply(state: &mut State, id: u128, entry: &Entry) -> Outcome {
    let bytes = entry.to_envelope(id, "a", 0).to_bytes();
    state.apply(state.applied + 1, &bytes).expect("an entry").1
}

/// Applies the entries that write a document. Returns the outcome of the last one.
fn write(state: &mut State, id: u128, name: &str, bytes: Vec<u8>, expected_version: Option<u64>) -> Outcome {
    let entries = Entry::document(name, bytes, expected_version);
    let outcomes = (0..).zip(&entries).map(|(n, entry)| apply(state, id * 1_000 + n, entry));
    outcomes.last().expect("entries")
}

#[test]
fn documents_have_versions_for_compare_and_set() {
    let mut state = bootstrapped();

    assert_eq!(write(&mut state, 1, "x", b"one".to_vec(), Some(0)), Outcome::Applied(1));
    assert_eq!(write(&mut state, 2, "x", b"two".to_vec(), Some(0)), Outcome::Conflict(1));
    assert_eq!(write(&mut state, 3, "x", b"two".to_vec(), Some(1)), Outcome::Applied(2));
    // The same entry again has its first outcome and changes nothing.
    assert_eq!(write(&mut state, 3, "x", b"two".to_vec(), Some(1)), Outcome::Applied(2));
    let removal = Entry::Document(DocumentUpdate {
        name: "x".into(),
        expected_version: None,
        content: Content::Removed,
    });
    assert_eq!((apply(&mut state, 9, &removal), state.get("x")), (Outcome::Applied(3), None));
    // Versions continue after a removal, so that a client that read version 2 does not mistake the new
    // document for it.
    assert_eq!(write(&mut state, 10, "x", b"again".to_vec(), Some(0)), Outcome::Applied(4));
}

#[test]
fn a_large_document_is_written_in_parts_and_a_missing_part_is_detected() {
    let mut state = bootstrapped();
    let large: Vec<u8> = (0..200_000u32).map(|n| (n % 251) as u8).collect();

    assert_eq!(write(&mut state, 1, "big", large.clone(), None), Outcome::Applied(1));
    assert_eq!(state.get("big").and_then(|document| document.bytes.clone()), Some(large.clone()));

    let mut entries = Entry::document("big", [large, vec![1]].concat(), None);
    entries.remove(2);
    let last = entries.iter().zip(50..).map(|(entry, id)| apply(&mut state, id, entry)).last();
    assert!(matches!(last, Some(Outcome::Rejected(_))), "{last:?}");
    let too_large = write(&mut state, 3, "big", vec![0; MAX_DOCUMENT_BYTES + 1], None);
    assert!(matches!(too_large, Outcome::Rejected(_)), "{too_large:?}");
}

#[test]
fn an_entry_of_a_newer_program_is_counted_not_applied_and_advances_the_digest() {
    let mut state = bootstrapped();
    let before = state.rolling_digest;
    let newer = Envelope {
        id: 5,
        author: "b".into(),
        written_at_ms: 1,
        kind: 900,
        format_version: 7,
        payload: vec![1, 2],
    };

    assert_eq!(state.apply(2, &newer.to_bytes()), Some((5, Outcome::Unsupported)));

    assert_eq!(
        (state.unsupported_entries, state.rolling_digest == before, state.digest_at(2)),
        (1, false, Some(state.rolling_digest))
    );
    let decoded = State::from_bytes(&state.to_bytes()).expect("readable");
    assert_eq!(
        (decoded.rolling_digest, decoded.unsupported_entries, decoded.outcome(5)),
        (state.rolling_digest, 1, Some(&Outcome::Unsupported))
    );
}
