//! Mistakes in the operator's file, with their positions.

use std::fmt;

use thiserror::Error;

/// A position in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl Position {
    /// The start of a text.
    pub const START: Position = Position { line: 1, column: 1 };

    /// The position of the character that contains the byte at `offset`. An offset beyond the end of `text`
    /// gives the position of the end.
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

/// One mistake. Mistakes are ordered by their positions.
#[derive(Clone, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
#[error("{position}: {reason}")]
pub struct Mistake {
    /// The position of the mistake.
    pub position: Position,
    /// What was found and what was expected.
    pub reason: String,
    /// The path of the node or property that the mistake concerns, such as `dependency.retry.most`; empty if
    /// it concerns the file as a whole.
    pub key: String,
}

/// The error for an operator's file that can't be used: all mistakes in it, in the order of the file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub struct ConfigError {
    /// The name of the file.
    pub file: String,
    /// The mistakes; never empty.
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
