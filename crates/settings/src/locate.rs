//! Finds the line of a field in a JSON text, so that an error about the field can name it.

/// A segment of a path: a key of an object, or an index of a list.
#[derive(Debug, PartialEq)]
enum PathSegment<'a> {
    Key(&'a str),
    Index(usize),
}

/// Splits a path in the form that error messages use: `classes[1].write`, `family_info.key_kb`.
fn parse_path(path: &str) -> Option<Vec<PathSegment<'_>>> {
    let mut segments = Vec::new();
    for segment in path.split('.') {
        let (key, indexes) = segment.split_once('[').unwrap_or((segment, ""));
        if !key.is_empty() {
            segments.push(PathSegment::Key(key));
        }
        for index in indexes.split('[').filter(|index| !index.is_empty()) {
            segments.push(PathSegment::Index(index.strip_suffix(']')?.parse().ok()?));
        }
    }
    (!segments.is_empty()).then_some(segments)
}

/// An object or list that contains the scanner's position.
enum Frame<'a> {
    Object { key: Option<&'a str>, expects_key: bool },
    List { index: usize },
}

/// Scans a JSON text and tracks the path to the current position.
struct Scanner<'a> {
    text: &'a str,
    position: usize,
    line: usize,
    frames: Vec<Frame<'a>>,
}

/// Returns the line, counted from 1, of the first field whose path ends with `path`. Returns `None` if there
/// is no such field or `path` is malformed.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let wanted = parse_path(path)?;
    let mut scanner = Scanner { text, position: 0, line: 1, frames: Vec::new() };
    while let Some(&byte) = text.as_bytes().get(scanner.position) {
        if byte == b'"' {
            let string = scanner.read_string()?;
            if scanner.enter_key(string) && scanner.path().ends_with(&wanted) {
                return Some(scanner.line);
            }
        } else {
            scanner.read_punctuation(byte);
        }
        scanner.position += 1;
    }
    None
}

/// Returns the first text between backticks in an error message. Messages name the field they concern there.
pub fn quoted_field(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}

impl<'a> Scanner<'a> {
    /// Moves to the closing quote of the string that starts at the current position, and returns its text
    /// without decoding escapes.
    fn read_string(&mut self) -> Option<&'a str> {
        let bytes = self.text.as_bytes();
        let start = self.position + 1;
        self.position = start;
        while self.position < bytes.len() && bytes[self.position] != b'"' {
            self.position += if bytes[self.position] == b'\\' { 2 } else { 1 };
        }
        self.text.get(start..self.position.min(bytes.len()))
    }

    /// Makes the string the last segment of the path if it is a key; returns whether it is one.
    fn enter_key(&mut self, string: &'a str) -> bool {
        let Some(Frame::Object { key, expects_key: true }) = self.frames.last_mut() else { return false };
        *key = Some(string);
        true
    }

    /// Updates the line and the path for a byte outside strings.
    fn read_punctuation(&mut self, byte: u8) {
        match byte {
            b'\n' => self.line += 1,
            b'{' => self.frames.push(Frame::Object { key: None, expects_key: true }),
            b'[' => self.frames.push(Frame::List { index: 0 }),
            b'}' | b']' => drop(self.frames.pop()),
            b':' => {
                if let Some(Frame::Object { expects_key, .. }) = self.frames.last_mut() {
                    *expects_key = false;
                }
            }
            b',' => match self.frames.last_mut() {
                Some(Frame::Object { expects_key, .. }) => *expects_key = true,
                Some(Frame::List { index }) => *index += 1,
                None => {}
            },
            _ => {}
        }
    }

    /// Returns the path to the current position.
    fn path(&self) -> Vec<PathSegment<'a>> {
        let segment = |frame: &Frame<'a>| match frame {
            Frame::Object { key, .. } => key.map(PathSegment::Key),
            Frame::List { index } => Some(PathSegment::Index(*index)),
        };
        self.frames.iter().filter_map(segment).collect()
    }
}

#[cfg(test)]
mod tests;
