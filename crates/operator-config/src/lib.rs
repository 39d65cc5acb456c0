//! The operator's own file: what this installation wants beyond what the platform's configuration says.
//!
//! It is a KDL 2 document. [`parse`] reads it whole and tells all its mistakes at once, each with line, column, what
//! was found and what was expected. `docs/operating/dependencies.md` names every field with its unit and range.
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
//! let faults = umberloom_operator_config::parse("operator.kdl", "plan 7\n", None).expect_err("a number");
//! assert!(faults.to_string().contains("operator.kdl:1:6: found 7, expected a text"));
//! ```

mod dependencies;
pub mod fault;
pub mod fleet;
mod node;
pub mod record;

use std::net::SocketAddr;
use std::path::Path;

use kdl::KdlDocument;
use umberloom_dependencies::config::Config;

pub use fault::{Fault, Faults};
pub use fleet::Fleet;
pub use record::Record;

/// The longest file that is read.
const LONGEST: u64 = 1 << 20;

/// All that the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    /// Dependencies and plans, as the decisions about them take them. Endpoints are addresses, or [`PLATFORM`].
    pub dependencies: Config,
    /// How each dependency is reached, in the same order.
    pub services: Vec<Service>,
    /// The fleet that this server belongs to, if it knows one.
    pub fleet: Option<Fleet>,
}

/// The endpoint that stands for the records service of the platform's configuration.
pub const PLATFORM: &str = "platform";

/// How a dependency is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// The path that calls are sent to.
    pub path: String,
    /// Its endpoints; none where it is the platform's records service.
    pub endpoints: Vec<SocketAddr>,
    /// How it is spoken to over AJP; none is HTTP.
    pub ajp: Option<Ajp>,
}

/// AJP to a dependency.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ajp {
    /// The secret that it asks for.
    pub secret: Option<String>,
    /// The size of a packet, in bytes.
    pub packet: usize,
}

impl Service {
    /// Whether it is the platform's records service.
    pub fn is_platform(&self) -> bool {
        self.endpoints.is_empty()
    }
}

/// What the platform's configuration says that a file must fit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known<'a> {
    /// The classes that plans may be for.
    pub classes: Option<&'a [String]>,
    /// This server's name.
    pub name: Option<&'a str>,
}

/// Reads the file at `path`, against what is known of the platform's configuration.
pub fn load(path: &Path, known: Known) -> Result<Operator, Faults> {
    let file = path.display().to_string();
    let fail = |what: String| Faults { file: file.clone(), all: vec![Fault { line: 1, column: 1, what }] };
    let size = std::fs::metadata(path).map_err(|e| fail(format!("can't be read: {e}")))?.len();
    if size > LONGEST {
        return Err(fail(format!("found {size} bytes, expected {LONGEST} at most")));
    }
    let text = std::fs::read_to_string(path).map_err(|e| fail(format!("can't be read: {e}")))?;
    parse_known(&file, &text, known)
}

/// Reads a text; `file` is how faults name it.
pub fn parse(file: &str, text: &str, classes: Option<&[String]>) -> Result<Operator, Faults> {
    parse_known(file, text, Known { classes, name: None })
}

/// The same against all that is known.
pub fn parse_known(file: &str, text: &str, known: Known) -> Result<Operator, Faults> {
    let mut reader = node::Reader::new(text);
    let document = match KdlDocument::parse_v2(text) {
        Ok(document) => document,
        Err(error) => {
            for problem in &error.diagnostics {
                let what = problem.message.clone().unwrap_or_else(|| "found what is no KDL".to_owned());
                let help = problem.help.clone().map_or(String::new(), |help| format!(" ({help})"));
                reader.fault(problem.span.offset(), format!("{what}{help}"));
            }
            return Err(Faults { file: file.to_owned(), all: reader.finish() });
        }
    };
    reader.only(&document, &["kept", "dependency", "plan", "fleet"]);
    let mut operator = dependencies::read(&mut reader, &document, known.classes);
    operator.fleet = fleet::read(&mut reader, &document, known.name, &operator.dependencies);
    let all = reader.finish();
    if all.is_empty() {
        Ok(operator)
    } else {
        Err(Faults { file: file.to_owned(), all })
    }
}

#[cfg(test)]
mod tests;
