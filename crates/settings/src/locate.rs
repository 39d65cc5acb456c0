//! Where in a JSON text a field stands, so that a complaint about it can name its line.

/// One step of a path: a key, or a place in a list.
#[derive(Debug, PartialEq)]
enum Step<'a> {
    Key(&'a str),
    Place(usize),
}

/// The steps of a path as complaints name it: `classes[1].write`, `family_info.key_kb`.
fn steps(path: &str) -> Option<Vec<Step<'_>>> {
    let mut all = Vec::new();
    for part in path.split('.') {
        let (key, places) = part.split_once('[').map_or((part, ""), |(key, rest)| (key, rest));
        if !key.is_empty() {
            all.push(Step::Key(key));
        }
        for place in places.split('[').filter(|p| !p.is_empty()) {
            all.push(Step::Place(place.strip_suffix(']')?.parse().ok()?));
        }
    }
    (!all.is_empty()).then_some(all)
}

enum Frame<'a> {
    Object { key: Option<&'a str>, expects_key: bool },
    List { place: usize },
}

/// The line, from 1, of the first field whose path ends with `path`; `None` where there is none, or the path
/// is not one.
pub fn line_of(text: &str, path: &str) -> Option<usize> {
    let wanted = steps(path)?;
    let bytes = text.as_bytes();
    let (mut stack, mut line, mut at) = (Vec::<Frame>::new(), 1, 0);
    while at < bytes.len() {
        match bytes[at] {
            b'\n' => line += 1,
            b'"' => {
                let start = at + 1;
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                let word = text.get(start..at.min(bytes.len()))?;
                if let Some(Frame::Object { key, expects_key: true }) = stack.last_mut() {
                    *key = Some(word);
                    let here: Vec<Step> = stack
                        .iter()
                        .filter_map(|frame| match frame {
                            Frame::Object { key, .. } => key.map(Step::Key),
                            Frame::List { place } => Some(Step::Place(*place)),
                        })
                        .collect();
                    if here.ends_with(&wanted) {
                        return Some(line);
                    }
                }
            }
            b'{' => stack.push(Frame::Object { key: None, expects_key: true }),
            b'[' => stack.push(Frame::List { place: 0 }),
            b'}' | b']' => drop(stack.pop()),
            b':' => {
                if let Some(Frame::Object { expects_key, .. }) = stack.last_mut() {
                    *expects_key = false;
                }
            }
            b',' => match stack.last_mut() {
                Some(Frame::Object { expects_key, .. }) => *expects_key = true,
                Some(Frame::List { place }) => *place += 1,
                None => {}
            },
            _ => {}
        }
        at += 1;
    }
    None
}

/// The first name between backticks in a complaint, where complaints name the field they are about.
pub fn named(why: &str) -> Option<&str> {
    why.split('`').nth(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = r#"{
  "name": "n1",
  "settings": {
    "classes": [
      { "name": "a", "effect": "read_like" },
      { "name": "b\"", "write": true,
        "effect": "read_like" }
    ],
    "family_info": { "key_kb": 0 }
  }
}"#;

    #[test]
    fn a_field_is_found_by_the_end_of_its_path() {
        assert_eq!(line_of(TEXT, "classes[1].write"), Some(6));
        assert_eq!(line_of(TEXT, "classes[1].effect"), Some(7));
        assert_eq!(line_of(TEXT, "classes[0].effect"), Some(5));
        assert_eq!(line_of(TEXT, "family_info.key_kb"), Some(9));
        assert_eq!(line_of(TEXT, "name"), Some(2));
    }

    #[test]
    fn what_is_not_there_has_no_line() {
        assert_eq!(line_of(TEXT, "classes[2].write"), None);
        assert_eq!(line_of(TEXT, "classes[x].write"), None);
        assert_eq!(line_of(TEXT, ""), None);
        assert_eq!(line_of("{\"a\": \"unended", "a"), Some(1));
    }

    #[test]
    fn the_named_field_is_the_first_between_backticks() {
        assert_eq!(named("field `classes[1].write`: a write needs `effect`"), Some("classes[1].write"));
        assert_eq!(named("no field"), None);
    }
}
