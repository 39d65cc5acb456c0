//! Reads the operator's file, which holds the settings of an installation that the platform's configuration
//! does not have.
//!
//! The file is a [KDL 2](https://kdl.dev) document. [`parse`] reads all of it and reports all mistakes at
//! once, each with line, column, what was found and what was expected. `docs/operating/dependencies.md` lists
//! every field with its unit and range.
//!
//! - `dependencies` reads the nodes `kept`, `dependency` and `plan`;
//! - [`fleet`] reads the node `fleet`, and [`record`] its child node `record` for the replicated store;
//! - `reader` reads values of nodes and collects mistakes, whose types are in [`error`].
//!
//! ```
//! let text = r#"
//!     dependency "billing" {
//!         endpoints "127.0.0.1:9001" "127.0.0.1:9002"
//!         path "/billing"
//!     }
//!     plan "book-room" {
//!         stage { needs "billing"; }
//!     }
//! "#;
//! let operator = umberloom_operator_config::parse("operator.kdl", text, None).expect("no mistakes");
//! assert_eq!(operator.services[0].path, "/billing");
//!
//! let error = umberloom_operator_config::parse("operator.kdl", "plan 7\n", None).expect_err("a number");
//! assert!(error.to_string().contains("operator.kdl:1:6: found 7, expected a text"));
//! ```

mod dependencies;
pub mod error;
pub mod fleet;
mod reader;
pub mod record;

use std::net::SocketAddr;
use std::path::Path;

use kdl::{KdlDocument, KdlError};
use umberloom_dependencies::config::Config;

pub use error::{ConfigError, Mistake, Position};
pub use fleet::Fleet;
pub use record::Record;

use reader::Reader;

/// The maximum size of the file, in bytes.
const MAX_FILE_LENGTH: u64 = 1 << 20;

/// The content of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Dependencies and plans, as the configuration of the package that decides about calls. An endpoint is
    /// an address or [`PLATFORM`].
    pub dependencies: Config,
    /// How each dependency is reached, in the order of the dependencies.
    pub services: Vec<Service>,
    /// The fleet that this server belongs to, if one is configured.
    pub fleet: Option<Fleet>,
}

/// The endpoint that represents the records service of the platform's configuration.
pub const PLATFORM: &str = "platform";

/// How a dependency is reached. Servers compare digests of the debug form of this type, so the names and the
/// order of its fields, and of those of [`Ajp`], must not change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The name of the dependency.
    pub name: String,
    /// The path that calls are sent to.
    pub path: String,
    /// The addresses of its endpoints; empty for the platform's records service.
    pub endpoints: Vec<SocketAddr>,
    /// Settings of AJP; `None` if the dependency is called over HTTP.
    pub ajp: Option<Ajp>,
}

/// Settings for calls to a dependency over AJP 1.3.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ajp {
    /// The secret that the dependency requires.
    pub secret: Option<String>,
    /// The maximum size of a packet, in bytes.
    pub packet: usize,
}

impl Service {
    /// Whether this is the platform's records service.
    pub fn is_platform(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// Values of the platform's configuration that the file is checked against, as far as they are known.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerContext<'a> {
    /// The names of the classes that plans may be for.
    pub class_names: Option<&'a [String]>,
    /// This server's name.
    pub server_name: Option<&'a str>,
}

/// Reads the file at `path`, and checks it against the known values of the platform's configuration.
pub fn load(path: &Path, context: ServerContext) -> Result<Operator, ConfigError> {
    let file = path.display().to_string();
    let file_error = |reason: String| {
        let mistake = Mistake { position: Position::START, reason, key: String::new() };
        ConfigError { file: file.clone(), mistakes: vec![mistake] }
    };
    let unreadable = |e: std::io::Error| file_error(format!("can't be read: {e}"));
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE_LENGTH {
        return Err(file_error(format!("found {length} bytes, expected {MAX_FILE_LENGTH} at most")));
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    parse_in_context(&file, &text, context)
}

/// Reads the text of a file; `file` is its name in errors.
pub fn parse(file: &str, text: &str, class_names: Option<&[String]>) -> Result<Operator, ConfigError> {
    parse_in_context(file, text, ServerContext { class_names, server_name: None })
}

/// Reads the text of a file, and checks it against the known values of the platform's configuration.
pub fn parse_in_context(file: &str, text: &str, context: ServerContext) -> Result<Operator, ConfigError> {
    let error = |mistakes| ConfigError { file: file.to_owned(), mistakes };
    let mut reader = Reader::new(text);
    let document = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(syntax_errors) => {
            report_syntax_errors(&mut reader, &syntax_errors);
            return Err(error(reader.into_mistakes(None)));
        }
    };
    reader.allow_only(&document, &["kept", "dependency", "plan", "fleet"]);
    let dependencies::Dependencies { config, services } =
        dependencies::read(&mut reader, &document, context.class_names);
    let fleet = fleet::read(&mut reader, &document, context.server_name, &config);
    let mistakes = reader.into_mistakes(Some(&document));
    if mistakes.is_empty() {
        Ok(Operator { dependencies: config, services, fleet })
    } else {
        Err(error(mistakes))
    }
}

fn report_syntax_errors(reader: &mut Reader, errors: &KdlError) {
    for diagnostic in &errors.diagnostics {
        let message = diagnostic.message.as_deref().unwrap_or("found invalid KDL");
        let help = diagnostic.help.as_ref().map_or_else(String::new, |help| format!(" ({help})"));
        reader.report(diagnostic.span.offset(), format!("{message}{help}"));
    }
}

#[cfg(test)]
mod tests;
