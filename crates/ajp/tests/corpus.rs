//! Packets that were once worth a thought, read as a callee would; each file says what is to come of it. Of each, every
//! beginning is awaited or an error, and no change of a single byte does worse than an error.

use std::path::Path;

use umberloom_ajp::server::ServerConnection;

fn bytes(text: &str) -> Vec<u8> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let words = lines.flat_map(str::split_whitespace);
    words.map(|word| u8::from_str_radix(word, 16).expect("hex")).collect()
}

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
fn every_file_comes_to_what_it_says() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut seen = 0;
    for entry in std::fs::read_dir(folder).expect("a corpus") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("text");
        let expected = text.lines().next().expect("a line").trim_start_matches("# ");
        let bytes = bytes(&text);
        assert_eq!(outcome(&bytes), expected, "{}", path.display());
        for end in 0..bytes.len() {
            assert_ne!(outcome(&bytes[..end]), "event", "{} up to {end}", path.display());
        }
        for at in 0..bytes.len() {
            for change in [0x01, 0x80, 0xff] {
                let mut changed = bytes.clone();
                changed[at] ^= change;
                let _ = outcome(&changed);
            }
        }
        seen += 1;
    }
    assert!(seen >= 28, "{seen} files");
}
