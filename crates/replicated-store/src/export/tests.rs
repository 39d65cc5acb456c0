use super::*;
use crate::entry::Entry;
use crate::state::Member;

/// An export with four versions of the document "x" since its snapshot.
fn export_of_four_entries() -> Export {
    let mut state = State::bootstrap(StoreId(7), 1, Member { name: "a".into(), zone: String::new() });
    let snapshot = state.to_bytes();
    let entry = |index: u64| ExportedEntry {
        index,
        kind: CONTENT_KIND,
        bytes: Entry::document("x", vec![index as u8], None)[0].to_envelope(index.into(), "a", 0).to_bytes(),
    };
    let entries: Vec<ExportedEntry> = (2..6).map(entry).collect();
    entries.iter().for_each(|entry| entry.apply_to(&mut state));
    Export { exported_by: "a".into(), applied: 5, rolling_digest: state.rolling_digest, snapshot, entries }
}

#[test]
fn an_export_is_verified_without_a_server_and_any_change_is_detected() {
    let export = export_of_four_entries();
    let file = export.to_bytes();

    let decoded = Export::from_bytes(&file).expect("readable");
    let verified = decoded.verify().expect("a valid export");

    assert_eq!((verified.store_id, verified.snapshot_index, verified.last_index), (StoreId(7), 1, 5));
    assert_eq!(verified.documents, [("x".to_owned(), 4, 1)]);
    for byte in (0..file.len()).step_by(3) {
        let mut changed = file.clone();
        changed[byte] ^= 4;
        assert!(Export::from_bytes(&changed).is_err(), "byte {byte}");
    }
    let mut without_an_entry = export.clone();
    without_an_entry.entries.remove(1);
    assert!(without_an_entry.verify().is_err());
    let mut without_the_last_entry = export;
    without_the_last_entry.entries.pop();
    assert!(without_the_last_entry.verify().is_err_and(|error| error.to_string().contains("digest")));
}
