//! Errors of the platform's configuration.

use std::fmt;

use thiserror::Error;
use umberloom_settings::SettingsError;

/// A file, and the line in it if that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file's name.
    pub file: String,
    /// Line, from 1.
    pub line: Option<usize>,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}", self.file),
            None => f.write_str(&self.file),
        }
    }
}

/// Why the configuration can't be used, with the place.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {file}: {source}")]
    Unreadable { file: String, source: std::io::Error },
    /// What it says is invalid.
    #[error("configuration {location}: {source}")]
    Invalid { location: Location, source: InvalidConfig },
}

/// What is invalid in a configuration.
#[derive(Debug, Error)]
pub enum InvalidConfig {
    /// It is no JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// It is JSON, but no object.
    #[error("expected an object")]
    NotAnObject,
    /// An address can't be read.
    #[error("field `{field}`: expected an address and a port")]
    Address { field: &'static str },
    /// The seed is no number in hexadecimal digits.
    #[error("field `seed`: expected hex digits")]
    Seed,
    /// A field is missing or has the wrong type; the text names it.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// Settings of the admission controller contradict each other.
    #[error("{0}")]
    Settings(String),
    /// A rule of this server does not hold.
    #[error("{0}")]
    Rule(&'static str),
}

/// A field has changed that can't change while the server runs.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("`{field}` cannot change while running")]
pub struct ImmutableFieldError {
    /// The field's name.
    pub field: &'static str,
}
