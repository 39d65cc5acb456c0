//! Mistakes in the operator's file, with their places.

use std::fmt;

use thiserror::Error;

/// A place in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
}

impl Position {
    /// The start of a text.
    pub const START: Position = Position { line: 1, column: 1 };

    /// The place of a byte of `text`; that of its end for a byte behind it.
    pub fn of_offset(text: &str, offset: usize) -> Position {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let column = before[line_start..].chars().count() + 1;
        Position { line, column }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// One mistake. Mistakes are ordered by their places.
#[derive(Clone, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
#[error("{position}: {reason}")]
pub struct Mistake {
    /// Where it is.
    pub position: Position,
    /// What was found and what was expected.
    pub reason: String,
    /// The node or property that it is about, with the nodes around it, such as `dependency.retry.most`; empty if it is
    /// about the file as a whole.
    pub key: String,
}

/// Why the operator's file can't be used: all mistakes in it, in their order in the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct ConfigError {
    /// Name of the file.
    pub file: String,
    /// The mistakes; never none.
    pub mistakes: Vec<Mistake>,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (number, mistake) in self.mistakes.iter().enumerate() {
            let line_break = if number == 0 { "" } else { "\n" };
            write!(f, "{line_break}{}:{mistake}", self.file)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
