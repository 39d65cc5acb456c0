//! Reads KDL nodes. Every value is read by its name and type; a value that is not read is reported as a
//! mistake.

use std::ops::RangeInclusive;

use kdl::{KdlDocument, KdlEntry, KdlIdentifier, KdlNode, KdlValue};
use umberloom::interface::Micros;

use crate::error::{Mistake, Position};

/// The maximum value of a property that is a time in milliseconds.
const MAX_MILLIS: u64 = 60_000;

/// Reads the nodes of one file, and collects the mistakes in it.
pub struct Reader<'a> {
    text: &'a str,
    /// The byte offset and the reason of each mistake.
    mistakes: Vec<(usize, String)>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of this text. No mistakes are recorded yet.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, mistakes: Vec::new() }
    }

    /// Records a mistake at this byte offset of the text.
    pub fn report(&mut self, offset: usize, reason: impl Into<String>) {
        self.mistakes.push((offset, reason.into()));
    }

    /// Records a mistake at the start of this node.
    pub fn report_node(&mut self, node: &KdlNode, reason: impl Into<String>) {
        self.report(node.span().offset(), reason);
    }

    /// Records a mistake at this argument or property.
    fn report_entry(&mut self, entry: &KdlEntry, reason: impl Into<String>) {
        self.report(entry.span().offset(), reason);
    }

    /// The line and column of this byte offset.
    pub fn position(&self, offset: usize) -> Position {
        Position::of_offset(self.text, offset)
    }

    /// Returns all mistakes without duplicates, in the order of the file. `document` is the parsed text, or
    /// `None` after a syntax error.
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

    /// Reports each node whose name is not one of these.
    pub fn allow_only(&mut self, document: &KdlDocument, names: &[&str]) {
        for node in document.nodes() {
            let name = node.name().value();
            if !names.contains(&name) {
                self.report_node(node, format!("found {name:?}, expected {}", alternatives(names)));
            }
        }
    }

    /// Returns the node of this name, if there is one; reports further nodes of the same name.
    pub fn single<'d>(&mut self, document: Option<&'d KdlDocument>, name: &str) -> Option<&'d KdlNode> {
        let mut nodes = document?.nodes().iter().filter(|n| n.name().value() == name);
        let first = nodes.next();
        for duplicate in nodes {
            self.report_node(duplicate, format!("found a second {name:?}, expected one at most"));
        }
        first
    }

    /// Reports a node that has children.
    pub fn expect_no_children(&mut self, node: &KdlNode) {
        if node.children().is_some_and(|children| !children.nodes().is_empty()) {
            let name = node.name().value();
            self.report_node(node, format!("found nodes within {name:?}, expected none"));
        }
    }

    /// Returns the arguments of a node; reports arguments that are not strings and strings beyond the first
    /// `max`.
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

    /// Returns the string argument of a node, which must have exactly one. `expected` describes it in the
    /// error.
    pub fn string(&mut self, node: &KdlNode, expected: &str) -> Option<String> {
        let string = self.strings(node, 1).pop();
        if string.is_none() {
            let name = node.name().value();
            self.report_node(node, format!("found {name:?} without {expected}, expected it as a text"));
        }
        string
    }

    /// Returns the string argument of a node, which must have nothing else: neither properties nor children.
    pub fn only_string(&mut self, node: &KdlNode, expected: &str) -> Option<String> {
        let string = self.string(node, expected);
        self.expect_no_children(node);
        self.expect_no_properties(node);
        string
    }

    /// Reports all properties of a node. Its arguments were read already.
    pub fn expect_no_properties(&mut self, node: &KdlNode) {
        self.properties(node).with_arguments().finish();
    }

    /// Returns a reader of the properties of a node.
    pub fn properties<'r, 'd>(&'r mut self, node: &'d KdlNode) -> Properties<'r, 'a, 'd> {
        Properties { reader: self, node, read_names: Vec::new(), arguments_read: false }
    }
}

/// Reads the properties of one node. [`Properties::finish`] reports those that were not read.
pub struct Properties<'r, 'a, 'd> {
    reader: &'r mut Reader<'a>,
    node: &'d KdlNode,
    /// The names of the properties that were read, whether or not they are present.
    read_names: Vec<&'static str>,
    /// Whether the arguments of the node were read already, so that they are not reported.
    arguments_read: bool,
}

impl<'d> Properties<'_, '_, 'd> {
    /// States that the arguments of the node were read already.
    pub fn with_arguments(mut self) -> Self {
        self.arguments_read = true;
        self
    }

    /// Returns the property of this name, if it is present; reports further ones of the same name.
    fn entry(&mut self, name: &'static str) -> Option<&'d KdlEntry> {
        self.read_names.push(name);
        let has_name = |e: &&KdlEntry| e.name().is_some_and(|n| n.value() == name);
        let mut entries = self.node.entries().iter().filter(has_name);
        let first = entries.next();
        for duplicate in entries {
            self.reader.report_entry(duplicate, format!("found a second {name}, expected one at most"));
        }
        first
    }

    /// Reads a finite number. Returns `default` if the property is absent or invalid.
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

    /// Reads an integer in this range. Returns `default` if the property is absent or invalid.
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

    /// Reads a time in milliseconds of at most [`MAX_MILLIS`]. The result and `default` are in microseconds.
    pub fn millis(&mut self, name: &'static str, default: Micros) -> Micros {
        self.integer(name, default / 1_000, 0..=MAX_MILLIS) * 1_000
    }

    /// Reads a string. Returns `None` if the property is absent or invalid.
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

    /// Reads a number that must be present. Returns 1 if it is absent or invalid.
    pub fn required_number(&mut self, name: &'static str) -> f64 {
        if self.node.entries().iter().all(|e| e.name().is_none_or(|n| n.value() != name)) {
            let node_name = self.node.name().value();
            let reason = format!("found {node_name:?} without {name}, expected {name}=NUMBER");
            self.reader.report_node(self.node, reason);
        }
        self.number(name, 1.0)
    }

    /// Reports all properties that were not read, and all arguments unless [`Properties::with_arguments`] was
    /// called.
    pub fn finish(self) {
        for entry in self.node.entries() {
            let Some(name) = entry.name().map(KdlIdentifier::value) else {
                if !self.arguments_read {
                    let reason = format!("found {}, expected NAME=VALUE", format_value(entry.value()));
                    self.reader.report_entry(entry, reason);
                }
                continue;
            };
            if !self.read_names.contains(&name) {
                let expected = if self.read_names.is_empty() {
                    "none".to_owned()
                } else {
                    alternatives(&self.read_names)
                };
                self.reader.report_entry(entry, format!("found {name}, expected {expected}"));
            }
        }
    }
}

/// Returns the names of the nodes that contain a byte offset, outermost first, and of the property that
/// starts there, joined by dots.
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

/// Formats names as a list of alternatives for an error message.
pub fn alternatives(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|n| format!("{n:?}")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, others)) => format!("one of {} or {last}", others.join(", ")),
        None => "nothing".to_owned(),
    }
}

/// Formats a value as a KDL file contains it.
pub fn format_value(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("{text:?}"),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        KdlValue::Bool(value) => format!("#{value}"),
        KdlValue::Null => "#null".to_owned(),
    }
}
