//! Errors of the platform's configuration.

use std::fmt;

use thiserror::Error;
use umberloom_settings::SettingsError;

/// A position in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Location {
    /// The file's name.
    pub file: String,
    /// Line number, from 1; `None` if it is not known.
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

/// An error in the platform's configuration, with its location.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {file}: {source}")]
    Unreadable { file: String, source: std::io::Error },
    /// The content of the file is invalid.
    #[error("configuration {location}: {source}")]
    Invalid { location: Location, source: InvalidConfig },
}

/// The reason why the content of a configuration is invalid.
#[derive(Debug, Error)]
pub enum InvalidConfig {
    /// The content is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The content is JSON, but not an object.
    #[error("expected an object")]
    NotAnObject,
    /// A field is not an address with a port.
    #[error("field `{field}`: expected an address and a port")]
    Address { field: &'static str },
    /// The seed is not a hexadecimal number.
    #[error("field `seed`: expected hex digits")]
    Seed,
    /// A field is missing or has the wrong type; the message names it.
    #[error(transparent)]
    Field(#[from] SettingsError),
    /// Settings of the admission controller contradict each other.
    #[error("{0}")]
    Settings(String),
    /// A rule of this server is violated.
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
