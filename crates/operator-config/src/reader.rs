//! Reads KDL nodes. Every value is taken by its name and type; what nobody takes is a mistake.

use std::ops::RangeInclusive;

use kdl::{KdlDocument, KdlEntry, KdlIdentifier, KdlNode, KdlValue};
use umberloom::interface::Micros;

use crate::error::{Mistake, Position};

/// The longest time that a property in milliseconds may state.
const MAX_MILLIS: u64 = 60_000;

/// Reads one file, and collects the mistakes in it.
pub struct Reader<'a> {
    text: &'a str,
    /// The byte that each mistake is about, and what is wrong there.
    mistakes: Vec<(usize, String)>,
}

impl<'a> Reader<'a> {
    /// Starts to read this text.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, mistakes: Vec::new() }
    }

    /// Notes a mistake at this byte of the text.
    pub fn report(&mut self, offset: usize, reason: impl Into<String>) {
        self.mistakes.push((offset, reason.into()));
    }

    /// Notes a mistake in this node.
    pub fn report_node(&mut self, node: &KdlNode, reason: impl Into<String>) {
        self.report(node.span().offset(), reason);
    }

    fn report_entry(&mut self, entry: &KdlEntry, reason: impl Into<String>) {
        self.report(entry.span().offset(), reason);
    }

    /// Line and column of this byte.
    pub fn position(&self, offset: usize) -> Position {
        Position::of_offset(self.text, offset)
    }

    /// All mistakes, each once, in the order of the file. `document` is what the text was parsed to, if it was.
    pub fn into_mistakes(self, document: Option<&KdlDocument>) -> Vec<Mistake> {
        let text = self.text;
        let mistake = |(offset, reason): (usize, String)| {
            let position = Position::of_offset(text, offset);
            let key = document.map_or_else(String::new, |document| key_at(document, offset));
            Mistake { position, reason, key }
        };
        let mut mistakes: Vec<Mistake> = self.mistakes.into_iter().map(mistake).collect();
        mistakes.sort();
        mistakes.dedup();
        mistakes
    }

    /// Notes each node whose name is none of these.
    pub fn allow_only(&mut self, document: &KdlDocument, names: &[&str]) {
        for node in document.nodes() {
            let name = node.name().value();
            if !names.contains(&name) {
                self.report_node(node, format!("found {name:?}, expected {}", alternatives(names)));
            }
        }
    }

    /// The one node of this name, if it is there; notes further ones.
    pub fn single<'d>(&mut self, document: Option<&'d KdlDocument>, name: &str) -> Option<&'d KdlNode> {
        let mut nodes = document?.nodes().iter().filter(|n| n.name().value() == name);
        let first = nodes.next();
        for duplicate in nodes {
            self.report_node(duplicate, format!("found a second {name:?}, expected one at most"));
        }
        first
    }

    /// Notes children where there are to be none.
    pub fn expect_no_children(&mut self, node: &KdlNode) {
        if node.children().is_some_and(|children| !children.nodes().is_empty()) {
            let name = node.name().value();
            self.report_node(node, format!("found nodes within {name:?}, expected none"));
        }
    }

    /// The arguments of a node, which must be strings, `max` at most.
    pub fn strings(&mut self, node: &KdlNode, max: usize) -> Vec<String> {
        let mut strings = Vec::new();
        for entry in node.entries().iter().filter(|e| e.name().is_none()) {
            match entry.value() {
                KdlValue::String(text) if strings.len() < max => strings.push(text.clone()),
                KdlValue::String(text) => {
                    self.report_entry(entry, format!("found {text:?}, expected {max} texts at most"));
                }
                other => self.report_entry(entry, format!("found {}, expected a text", format_value(other))),
            }
        }
        strings
    }

    /// The one string that a node must have as its argument; `expected` says what it is.
    pub fn string(&mut self, node: &KdlNode, expected: &str) -> Option<String> {
        let string = self.strings(node, 1).pop();
        if string.is_none() {
            let name = node.name().value();
            self.report_node(node, format!("found {name:?} without {expected}, expected it as a text"));
        }
        string
    }

    /// The one string that a node must have, besides which it has nothing.
    pub fn only_string(&mut self, node: &KdlNode, expected: &str) -> Option<String> {
        let string = self.string(node, expected);
        self.expect_no_children(node);
        self.expect_no_properties(node);
        string
    }

    /// Notes all properties of a node whose arguments were taken.
    pub fn expect_no_properties(&mut self, node: &KdlNode) {
        self.properties(node).with_arguments().finish();
    }

    /// Starts to take the properties of a node.
    pub fn properties<'r, 'd>(&'r mut self, node: &'d KdlNode) -> Properties<'r, 'a, 'd> {
        Properties { reader: self, node, taken_names: Vec::new(), has_arguments: false }
    }
}

/// The properties of one node. What was not taken by [`Properties::finish`] is a mistake.
pub struct Properties<'r, 'a, 'd> {
    reader: &'r mut Reader<'a>,
    node: &'d KdlNode,
    taken_names: Vec<&'static str>,
    has_arguments: bool,
}

impl<'d> Properties<'_, '_, 'd> {
    /// The node has arguments too, which were taken already.
    pub fn with_arguments(mut self) -> Self {
        self.has_arguments = true;
        self
    }

    fn entry(&mut self, name: &'static str) -> Option<&'d KdlEntry> {
        self.taken_names.push(name);
        let has_name = |e: &&KdlEntry| e.name().is_some_and(|n| n.value() == name);
        let mut entries = self.node.entries().iter().filter(has_name);
        let first = entries.next();
        for duplicate in entries {
            self.reader.report_entry(duplicate, format!("found a second {name}, expected one at most"));
        }
        first
    }

    /// A number.
    pub fn number(&mut self, name: &'static str, default: f64) -> f64 {
        let Some(entry) = self.entry(name) else { return default };
        match entry.value() {
            KdlValue::Integer(value) => *value as f64,
            KdlValue::Float(value) if value.is_finite() => *value,
            other => {
                let reason = format!("found {name}={}, expected a number", format_value(other));
                self.reader.report_entry(entry, reason);
                default
            }
        }
    }

    /// A whole number in this range.
    pub fn integer(&mut self, name: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(entry) = self.entry(name) else { return default };
        let value = match entry.value() {
            KdlValue::Integer(value) => u64::try_from(*value).ok(),
            _ => None,
        };
        value.filter(|value| range.contains(value)).unwrap_or_else(|| {
            let (found, min, max) = (format_value(entry.value()), range.start(), range.end());
            let reason = format!("found {name}={found}, expected a whole number from {min} to {max}");
            self.reader.report_entry(entry, reason);
            default
        })
    }

    /// A time in milliseconds, up to a minute. Given in microseconds, as `default` is.
    pub fn millis(&mut self, name: &'static str, default: Micros) -> Micros {
        self.integer(name, default / 1_000, 0..=MAX_MILLIS) * 1_000
    }

    /// A string, if it is there.
    pub fn string(&mut self, name: &'static str) -> Option<String> {
        let entry = self.entry(name)?;
        match entry.value() {
            KdlValue::String(text) => Some(text.clone()),
            other => {
                let reason = format!("found {name}={}, expected a text", format_value(other));
                self.reader.report_entry(entry, reason);
                None
            }
        }
    }

    /// A number that must be there.
    pub fn required_number(&mut self, name: &'static str) -> f64 {
        if self.node.entries().iter().all(|e| e.name().is_none_or(|n| n.value() != name)) {
            let node_name = self.node.name().value();
            let reason = format!("found {node_name:?} without {name}, expected {name}=NUMBER");
            self.reader.report_node(self.node, reason);
        }
        self.number(name, 1.0)
    }

    /// Notes all properties that were not taken.
    pub fn finish(self) {
        for entry in self.node.entries() {
            let Some(name) = entry.name().map(KdlIdentifier::value) else {
                if !self.has_arguments {
                    let reason = format!("found {}, expected NAME=VALUE", format_value(entry.value()));
                    self.reader.report_entry(entry, reason);
                }
                continue;
            };
            if !self.taken_names.contains(&name) {
                let expected = if self.taken_names.is_empty() {
                    "none".to_owned()
                } else {
                    alternatives(&self.taken_names)
                };
                self.reader.report_entry(entry, format!("found {name}, expected {expected}"));
            }
        }
    }
}

/// The names of the nodes around a byte, outermost first, and of the property there, with dots between them.
fn key_at(document: &KdlDocument, offset: usize) -> String {
    let mut names = Vec::new();
    let mut level = Some(document);
    while let Some(document) = level {
        let contains_offset = |node: &&KdlNode| {
            let start = node.span().offset();
            (start..start + node.span().len()).contains(&offset)
        };
        let Some(node) = document.nodes().iter().find(contains_offset) else { break };
        names.push(node.name().value());
        let property = node.entries().iter().find(|entry| entry.span().offset() == offset);
        names.extend(property.and_then(KdlEntry::name).map(KdlIdentifier::value));
        level = node.children();
    }
    names.join(".")
}

/// The names among which a sentence offers a choice.
pub fn alternatives(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|n| format!("{n:?}")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, others)) => format!("one of {} or {last}", others.join(", ")),
        None => "nothing".to_owned(),
    }
}

/// A value as it stands in a file.
pub fn format_value(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("{text:?}"),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        KdlValue::Bool(value) => format!("#{value}"),
        KdlValue::Null => "#null".to_owned(),
    }
}
