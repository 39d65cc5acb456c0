//! The line of a JSON text on which a field stands, so that an error about the field can name it.

/// One segment of a path: a key of an object, or an index of a list.
#[derive(Debug, PartialEq)]
enum PathSegment<'a> {
    Key(&'a str),
    Index(usize),
}

/// Splits a path as errors name it: `classes[1].write`, `family_info.key_kb`.
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

/// An object or list that is open at the scanner's position.
enum Frame<'a> {
    Object { key: Option<&'a str>, expects_key: bool },
    List { index: usize },
}

/// Walks through a JSON text and keeps the path to its position.
struct Scanner<'a> {
    text: &'a str,
    position: usize,
    line: usize,
    frames: Vec<Frame<'a>>,
}

/// The line, from 1, of the first field whose path ends with `path`; `None` where there is none, or `path` is not a
/// path.
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

/// The first text between backticks in an error message, where messages name the field that they are about.
pub fn quoted_field(message: &str) -> Option<&str> {
    message.split('`').nth(1)
}

impl<'a> Scanner<'a> {
    /// Moves to the closing quote of the string that begins here, and returns its text with escapes as they are.
    fn read_string(&mut self) -> Option<&'a str> {
        let bytes = self.text.as_bytes();
        let start = self.position + 1;
        self.position = start;
        while self.position < bytes.len() && bytes[self.position] != b'"' {
            self.position += if bytes[self.position] == b'\\' { 2 } else { 1 };
        }
        self.text.get(start..self.position.min(bytes.len()))
    }

    /// Whether the string is a key, which is then the last segment of the path.
    fn enter_key(&mut self, string: &'a str) -> bool {
        let Some(Frame::Object { key, expects_key: true }) = self.frames.last_mut() else { return false };
        *key = Some(string);
        true
    }

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
