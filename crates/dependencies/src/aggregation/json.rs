//! JSON format of an aggregated response.

use std::rc::Rc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use umberloom::interface::Micros;

use super::{AggregateResponse, MissingReason, NamedPart, Part};

/// Version of the JSON format.
pub const FORMAT_VERSION: u32 = 1;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;

/// Reason why bytes could not be decoded as an aggregated response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct DecodeError(pub String);

#[derive(Serialize, Deserialize)]
struct ResponseJson<'a> {
    version: u32,
    #[serde(borrow)]
    parts: Vec<PartJson<'a>>,
}

#[derive(Serialize, Deserialize)]
struct PartJson<'a> {
    name: &'a str,
    state: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<MissingReason>,
}

impl AggregateResponse {
    /// Encodes the response as JSON.
    pub fn encode(&self) -> Vec<u8> {
        let parts = self.parts.iter().map(PartJson::from).collect();
        // Serialization cannot fail: the document has only strings and numbers.
        serde_json::to_vec(&ResponseJson { version: FORMAT_VERSION, parts }).unwrap_or_default()
    }

    /// Decodes a response from the JSON of [`AggregateResponse::encode`].
    ///
    /// # Errors
    /// The bytes are not JSON of this version, or the fields of a part do not match its state.
    pub fn decode(bytes: &[u8]) -> Result<AggregateResponse, DecodeError> {
        let json: ResponseJson =
            serde_json::from_slice(bytes).map_err(|error| DecodeError(error.to_string()))?;
        if json.version != FORMAT_VERSION {
            return Err(DecodeError(format!("version {}, expected {FORMAT_VERSION}", json.version)));
        }
        let parts = json.parts.into_iter().map(NamedPart::try_from).collect::<Result<_, _>>()?;
        Ok(AggregateResponse { parts })
    }
}

impl<'a> From<&'a NamedPart> for PartJson<'a> {
    fn from(named: &'a NamedPart) -> PartJson<'a> {
        let empty = PartJson { name: &named.name, state: "", body: None, age_ms: None, why: None };
        match &named.part {
            Part::Fresh(body) => PartJson { state: "fresh", body: Some(STANDARD.encode(body)), ..empty },
            Part::Cached { body, age } => PartJson {
                state: "kept",
                body: Some(STANDARD.encode(body)),
                age_ms: Some(age.div_ceil(MILLISECOND)),
                ..empty
            },
            Part::Constant(body) => {
                PartJson { state: "constant", body: Some(STANDARD.encode(body)), ..empty }
            }
            Part::Missing(reason) => PartJson { state: "left-out", why: Some(*reason), ..empty },
        }
    }
}

impl TryFrom<PartJson<'_>> for NamedPart {
    type Error = DecodeError;

    fn try_from(json: PartJson) -> Result<NamedPart, DecodeError> {
        let body: Option<Rc<[u8]>> = match json.body {
            Some(text) => {
                let bytes = STANDARD.decode(text).map_err(|error| DecodeError(error.to_string()))?;
                Some(bytes.into())
            }
            None => None,
        };
        let part = match (json.state, body, json.age_ms, json.why) {
            ("fresh", Some(body), None, None) => Part::Fresh(body),
            ("kept", Some(body), Some(age_ms), None) => {
                Part::Cached { body, age: age_ms.saturating_mul(MILLISECOND) }
            }
            ("constant", Some(body), None, None) => Part::Constant(body),
            ("left-out", None, None, Some(reason)) => Part::Missing(reason),
            _ => return Err(DecodeError("a part whose fields do not fit its state".to_owned())),
        };
        Ok(NamedPart { name: json.name.into(), part })
    }
}
