//! Decodes a corpus of valid and malformed packets as a server would. The first line of each file is the
//! expected outcome. Every proper prefix of a packet must be incomplete or an error, and changing a single
//! byte must not cause a panic.

use std::path::Path;

use umberloom_ajp::server::ServerConnection;

/// Parses the hexadecimal bytes of a corpus file.
fn parse_hex(text: &str) -> Vec<u8> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let words = lines.flat_map(str::split_whitespace);
    words.map(|word| u8::from_str_radix(word, 16).expect("hex")).collect()
}

/// The outcome of decoding, as the corpus files name it.
fn outcome(bytes: &[u8]) -> &'static str {
    match ServerConnection::new(8192).decode(bytes) {
        Ok((0, None)) => "awaited",
        Ok((used, Some(_))) => {
            assert!(used <= bytes.len());
            "event"
        }
        Ok(other) => panic!("{other:?}"),
        Err(_) => "error",
    }
}

#[test]
fn every_corpus_file_has_the_expected_outcome() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut file_count = 0;
    for entry in std::fs::read_dir(folder).expect("a corpus") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("text");
        let expected = text.lines().next().expect("a line").trim_start_matches("# ");
        let bytes = parse_hex(&text);
        assert_eq!(outcome(&bytes), expected, "{}", path.display());
        for length in 0..bytes.len() {
            assert_ne!(outcome(&bytes[..length]), "event", "{} up to {length}", path.display());
        }
        for position in 0..bytes.len() {
            for flipped_bits in [0x01, 0x80, 0xff] {
                let mut changed = bytes.clone();
                changed[position] ^= flipped_bits;
                let _ = outcome(&changed);
            }
        }
        file_count += 1;
    }
    assert!(file_count >= 28, "{file_count} files");
}
