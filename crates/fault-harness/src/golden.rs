//! Golden bytes in test files. Each line is one case: its name and its bytes in hexadecimal.

use std::fmt::Debug;

/// Encodes bytes as hexadecimal text with two lower-case digits per byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes hexadecimal text.
///
/// # Panics
///
/// Panics on an odd length or on a character that is not a hexadecimal digit, as the file is damaged then.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Asserts that each case is encoded to the bytes on its line of the golden text.
///
/// # Panics
///
/// Panics if a case is encoded to other bytes, or if the numbers of lines and cases differ.
pub fn assert_encoded<T>(cases: &[(&str, T)], golden: &str, encode: impl Fn(&T) -> Vec<u8>) {
    let line = |(name, value): &(&str, T)| format!("{name} {}", to_hex(&encode(value)));
    let lines: Vec<String> = cases.iter().map(line).collect();
    assert_eq!(lines.join("\n"), golden.trim_end());
}

/// Asserts that each line of the golden text is decoded to its case.
///
/// # Panics
///
/// Panics if a line is decoded to anything else, or if the numbers of lines and cases differ.
pub fn assert_decoded<T>(cases: &[(&str, T)], golden: &str, decode: impl Fn(&[u8]) -> Option<T>)
where
    T: Debug + PartialEq,
{
    assert_eq!(golden.lines().count(), cases.len());
    for (line, (name, value)) in golden.lines().zip(cases) {
        let (golden_name, encoded) = line.split_once(' ').expect("a name and bytes");
        assert_eq!(golden_name, *name);
        assert_eq!(decode(&from_hex(encoded)).as_ref(), Some(value), "{name}");
    }
}
