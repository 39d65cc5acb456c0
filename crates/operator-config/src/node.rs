//! Reading nodes: every value is taken by its name and type, and what nobody takes is a mistake.

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use umberloom::interface::Micros;

use crate::fault::{place, Fault};

/// Collects the mistakes of one file.
pub struct Reader<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    /// For this text.
    pub fn new(text: &'a str) -> Reader<'a> {
        Reader { text, faults: Vec::new() }
    }

    /// Notes a mistake at this byte.
    pub fn fault(&mut self, offset: usize, what: impl Into<String>) {
        let (line, column) = place(self.text, offset);
        self.faults.push(Fault { line, column, what: what.into() });
    }

    /// Line and column of this byte.
    pub fn place(&self, offset: usize) -> (usize, usize) {
        place(self.text, offset)
    }

    /// All of them in the order of the file.
    pub fn finish(mut self) -> Vec<Fault> {
        self.faults.sort();
        self.faults.dedup();
        self.faults
    }

    /// Notes each node whose name is none of these.
    pub fn only(&mut self, document: &KdlDocument, names: &[&str]) {
        for node in document.nodes() {
            let name = node.name().value();
            if !names.contains(&name) {
                self.fault(node.span().offset(), format!("found {name:?}, expected {}", list(names)));
            }
        }
    }

    /// The one node of this name, if it is there; notes a second one.
    pub fn one<'d>(&mut self, document: Option<&'d KdlDocument>, name: &str) -> Option<&'d KdlNode> {
        let mut nodes = document?.nodes().iter().filter(|n| n.name().value() == name);
        let first = nodes.next();
        for more in nodes {
            self.fault(more.span().offset(), format!("found a second {name:?}, expected one at most"));
        }
        first
    }

    /// Notes children where there are to be none.
    pub fn leaf(&mut self, node: &KdlNode) {
        if node.children().is_some_and(|c| !c.nodes().is_empty()) {
            self.fault(
                node.span().offset(),
                format!("found nodes within {:?}, expected none", node.name().value()),
            );
        }
    }

    /// The arguments of a node, which must be texts, as many as `most`.
    pub fn texts(&mut self, node: &KdlNode, most: usize) -> Vec<String> {
        let mut found = Vec::new();
        for entry in node.entries().iter().filter(|e| e.name().is_none()) {
            match entry.value() {
                KdlValue::String(text) if found.len() < most => found.push(text.clone()),
                KdlValue::String(text) => {
                    self.fault(
                        entry.span().offset(),
                        format!("found {text:?}, expected {most} texts at most"),
                    );
                }
                other => self.fault(entry.span().offset(), format!("found {}, expected a text", show(other))),
            }
        }
        found
    }

    /// The one text that a node carries.
    pub fn text(&mut self, node: &KdlNode, what: &str) -> Option<String> {
        let found = self.texts(node, 1).pop();
        if found.is_none() {
            let name = node.name().value();
            self.fault(node.span().offset(), format!("found {name:?} without {what}, expected it as a text"));
        }
        found
    }

    /// Starts taking the properties of a node.
    pub fn properties<'r, 'd>(&'r mut self, node: &'d KdlNode) -> Properties<'r, 'a, 'd> {
        Properties { reader: self, node, known: Vec::new(), arguments: false }
    }
}

/// The properties of one node. What was not asked for by the end is a mistake.
pub struct Properties<'r, 'a, 'd> {
    reader: &'r mut Reader<'a>,
    node: &'d KdlNode,
    known: Vec<&'static str>,
    /// It has arguments, which others take.
    arguments: bool,
}

impl<'d> Properties<'_, '_, 'd> {
    /// The node has arguments besides, which were taken already.
    pub fn with_arguments(mut self) -> Self {
        self.arguments = true;
        self
    }

    fn entry(&mut self, name: &'static str) -> Option<&'d KdlEntry> {
        self.known.push(name);
        let named = |e: &&KdlEntry| e.name().is_some_and(|n| n.value() == name);
        let mut all = self.node.entries().iter().filter(named);
        let first = all.next();
        for more in all {
            self.reader.fault(more.span().offset(), format!("found a second {name}, expected one at most"));
        }
        first
    }

    /// A number, as it is unless set.
    pub fn number(&mut self, name: &'static str, unless_set: f64) -> f64 {
        let Some(entry) = self.entry(name) else { return unless_set };
        match entry.value() {
            KdlValue::Integer(value) => *value as f64,
            KdlValue::Float(value) if value.is_finite() => *value,
            other => {
                let what = format!("found {name}={}, expected a number", show(other));
                self.reader.fault(entry.span().offset(), what);
                unless_set
            }
        }
    }

    /// A whole number from `least` to `most`, as it is unless set.
    pub fn whole(&mut self, name: &'static str, unless_set: u64, (least, most): (u64, u64)) -> u64 {
        let Some(entry) = self.entry(name) else { return unless_set };
        let value = match entry.value() {
            KdlValue::Integer(value) => u64::try_from(*value).ok(),
            _ => None,
        };
        value.filter(|v| (least..=most).contains(v)).unwrap_or_else(|| {
            let found = show(entry.value());
            let what = format!("found {name}={found}, expected a whole number from {least} to {most}");
            self.reader.fault(entry.span().offset(), what);
            unless_set
        })
    }

    /// A time in milliseconds, up to a minute; given back in microseconds.
    pub fn millis(&mut self, name: &'static str, unless_set: Micros) -> Micros {
        self.whole(name, unless_set / 1_000, (0, 60_000)) * 1_000
    }

    /// A text, if it is there.
    pub fn text(&mut self, name: &'static str) -> Option<String> {
        let entry = self.entry(name)?;
        match entry.value() {
            KdlValue::String(text) => Some(text.clone()),
            other => {
                let what = format!("found {name}={}, expected a text", show(other));
                self.reader.fault(entry.span().offset(), what);
                None
            }
        }
    }

    /// A number that must be there.
    pub fn required(&mut self, name: &'static str) -> f64 {
        if self.node.entries().iter().all(|e| e.name().is_none_or(|n| n.value() != name)) {
            let what = format!("found {:?} without {name}, expected {name}=NUMBER", self.node.name().value());
            self.reader.fault(self.node.span().offset(), what);
        }
        self.number(name, 1.0)
    }

    /// Notes all properties that were not asked for.
    pub fn done(self) {
        for entry in self.node.entries() {
            let Some(name) = entry.name().map(|n| n.value()) else {
                if !self.arguments {
                    let what = format!("found {}, expected NAME=VALUE", show(entry.value()));
                    self.reader.fault(entry.span().offset(), what);
                }
                continue;
            };
            if !self.known.contains(&name) {
                let expected = if self.known.is_empty() { "none".to_owned() } else { list(&self.known) };
                self.reader.fault(entry.span().offset(), format!("found {name}, expected {expected}"));
            }
        }
    }
}

/// Names in a sentence.
pub fn list(names: &[&str]) -> String {
    let quoted: Vec<String> = names.iter().map(|n| format!("{n:?}")).collect();
    match quoted.split_last() {
        Some((last, [])) => last.clone(),
        Some((last, rest)) => format!("one of {} or {last}", rest.join(", ")),
        None => "nothing".to_owned(),
    }
}

/// A value as it stands in a file.
pub fn show(value: &KdlValue) -> String {
    match value {
        KdlValue::String(text) => format!("{text:?}"),
        KdlValue::Integer(number) => number.to_string(),
        KdlValue::Float(number) => number.to_string(),
        KdlValue::Bool(value) => format!("#{value}"),
        KdlValue::Null => "#null".to_owned(),
    }
}
