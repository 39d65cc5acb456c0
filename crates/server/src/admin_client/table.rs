//! Formats tables as text.

use std::fmt::Write as _;

/// A table whose columns are aligned to the left.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table that starts with these headings.
    pub fn with_headings<const N: usize>(headings: [&str; N]) -> Table {
        Table { rows: vec![headings.map(str::to_owned).to_vec()] }
    }

    /// Adds rows at the end.
    pub fn extend(&mut self, rows: impl IntoIterator<Item = Vec<String>>) {
        self.rows.extend(rows);
    }

    /// The text of the table; each row ends with a line break.
    pub fn render(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                // Writing to a string never fails.
                let _ = write!(line, "{cell:<width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    /// Width of the widest cell of a column, in characters.
    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Formats a time span: in milliseconds up to ten seconds, then rounded down to seconds; `-` if there is
/// none.
pub fn age(ms: Option<u64>) -> String {
    match ms {
        None => "-".to_owned(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1_000),
    }
}

#[cfg(test)]
mod tests;
