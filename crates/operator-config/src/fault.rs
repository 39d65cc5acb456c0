//! What is wrong with a file, and where.

use std::fmt;

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// What was found and what was expected.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.what)
    }
}

/// All mistakes of a file, in its order; never none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults {
    /// Name of the file.
    pub file: String,
    /// The mistakes.
    pub all: Vec<Fault>,
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (number, fault) in self.all.iter().enumerate() {
            let line = if number == 0 { "" } else { "\n" };
            write!(f, "{line}{}:{fault}", self.file)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Line and column of a byte of the text.
pub fn place(text: &str, offset: usize) -> (usize, usize) {
    let mut end = offset.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    let before = &text[..end];
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    (line, before[start..].chars().count() + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_count_characters_from_one() {
        let text = "a\nbü c\n";
        assert_eq!(place(text, 0), (1, 1));
        assert_eq!(place(text, 2), (2, 1));
        assert_eq!(place(text, 6), (2, 4));
        assert_eq!(place(text, 4), (2, 2), "in the middle of a character");
        assert_eq!(place(text, 99), (3, 1));
    }
}
