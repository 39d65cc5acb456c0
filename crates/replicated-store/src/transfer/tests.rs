use super::*;

fn chunk_of(snapshot: &[u8], index: u32) -> SnapshotChunk {
    let digest = Manifest::of(snapshot).digest;
    SnapshotChunk { digest, index, bytes: chunk(snapshot, index).expect("within the snapshot").to_vec() }
}

#[test]
fn requests_are_rate_limited_and_skip_chunks_that_were_received() {
    let bytes: Vec<u8> = (0..CHUNK_BYTES * 20 + 77).map(|n| (n % 253) as u8).collect();
    let manifest = Manifest::of(&bytes);
    let sources = [MemberName::from("a"), MemberName::from("b")];
    let resumable = vec![chunk_of(&bytes, 3)];
    let rate = 10 * CHUNK_BYTES as u64;
    let mut transfer = SnapshotTransfer::new(0, manifest, rate, resumable).expect("a length");
    let mut now = 0;
    let mut requests = 0;

    let snapshot = loop {
        now += 10_000;
        for (_, index) in transfer.next_requests(now, &sources) {
            requests += 1;
            assert_ne!(index, 3);
            // Every fifth chunk is lost.
            if requests % 5 != 0 {
                transfer.handle_chunk(chunk_of(&bytes, index));
            }
        }
        if let Some(snapshot) = transfer.take_snapshot() {
            break snapshot;
        }
        assert!(now < 20_000_000, "{:?}", transfer.progress());
    };

    assert!(snapshot == bytes);
    // 20 chunks at 10 per second, less the half second of unused rate that may accumulate.
    assert!(now >= 1_200_000, "{now}");
    let chunk_of_another_snapshot =
        SnapshotChunk { digest: Digest::default(), index: 1, bytes: vec![0; CHUNK_BYTES] };
    assert!(!transfer.handle_chunk(chunk_of_another_snapshot));
}

#[test]
fn chunks_that_do_not_match_the_digest_are_requested_again() {
    let bytes = vec![7; CHUNK_BYTES + 5];
    let manifest = Manifest::of(&bytes);
    let chunk = |index, bytes| SnapshotChunk { digest: manifest.digest, index, bytes };
    let mut transfer = SnapshotTransfer::new(0, manifest, 1 << 30, vec![]).expect("a length");

    assert!(transfer.handle_chunk(chunk(0, vec![8; CHUNK_BYTES])));
    assert!(transfer.handle_chunk(chunk(1, vec![7; 5])));

    assert_eq!((transfer.take_snapshot(), transfer.progress()), (None, (0, 2)));
    assert!(!transfer.handle_chunk(chunk(1, vec![7; 6])));
    let too_large = Manifest { length: MAX_SNAPSHOT_BYTES + 1, ..manifest };
    assert!(SnapshotTransfer::new(0, too_large, 1, vec![]).is_none());
}
