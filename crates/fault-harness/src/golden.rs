//! Golden bytes in test files: one case a line, a name and its bytes in hexadecimal.

use std::fmt::Debug;

/// Two lower-case digits for each byte.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The bytes of a hexadecimal text.
///
/// # Panics
///
/// On an odd length or a character that is no digit: the file is damaged.
pub fn from_hex(text: &str) -> Vec<u8> {
    let digits = |start: usize| u8::from_str_radix(&text[start..start + 2], 16).expect("two digits");
    (0..text.len()).step_by(2).map(digits).collect()
}

/// Asserts that each case is encoded as its line of the golden text says.
///
/// # Panics
///
/// If one is not.
pub fn assert_encoded<T>(cases: &[(&str, T)], golden: &str, encode: impl Fn(&T) -> Vec<u8>) {
    let line = |(name, value): &(&str, T)| format!("{name} {}", to_hex(&encode(value)));
    let lines: Vec<String> = cases.iter().map(line).collect();
    assert_eq!(lines.join("\n"), golden.trim_end());
}

/// Asserts that each line of the golden text is decoded to its case.
///
/// # Panics
///
/// If one is not, or if there are more or fewer lines than cases.
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
