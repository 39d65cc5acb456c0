//! The forward request (reference, "Forward Request").

use crate::codes::{self, attribute};
use crate::data::{self, Reader};
use crate::{DecodeError, EncodeError};

/// Code of a forward request.
pub const FORWARD: u8 = 2;
/// Headers that one request may have, and attributes likewise.
pub const MAX_FIELDS: usize = 256;

/// A request, with what the reference lets stand in it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Method, coded or stored.
    pub method: String,
    /// Such as `HTTP/1.1`.
    pub protocol: String,
    /// Path, without the query.
    pub uri: String,
    /// Address of the client.
    pub remote_addr: String,
    /// Its name.
    pub remote_host: String,
    /// The name that it asked for.
    pub server_name: String,
    /// The port.
    pub server_port: u16,
    /// The client came over TLS.
    pub is_ssl: bool,
    /// Headers, names in lower case, in their order.
    pub headers: Vec<(String, String)>,
    /// The query, if there is one.
    pub query: Option<String>,
    /// The secret that came along.
    pub secret: Option<Vec<u8>>,
    /// Attributes by name; those that have a code of their own go by the reference's name.
    pub attributes: Vec<(String, String)>,
}

/// Names of attributes that have a code and a string for a value, and are kept as they come.
const KEPT: [(u8, &str); 8] = [
    (0x01, "context"),
    (0x02, "servlet_path"),
    (attribute::REMOTE_USER, "remote_user"),
    (attribute::AUTH_TYPE, "auth_type"),
    (attribute::ROUTE, "route"),
    (attribute::SSL_CERT, "ssl_cert"),
    (attribute::SSL_CIPHER, "ssl_cipher"),
    (attribute::SSL_SESSION, "ssl_session"),
];

const KEY_SIZE: &str = "ssl_key_size";

impl Request {
    /// A request over HTTP/1.1 without headers.
    pub fn new(method: &str, uri: &str) -> Request {
        Request {
            method: method.to_owned(),
            protocol: "HTTP/1.1".to_owned(),
            uri: uri.to_owned(),
            remote_addr: "127.0.0.1".to_owned(),
            server_name: "localhost".to_owned(),
            server_port: 80,
            ..Request::default()
        }
    }

    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The stated length of its body; `None` where none is stated. Two lengths that differ are an error.
    pub fn content_length(&self) -> Result<Option<u64>, DecodeError> {
        let bad = DecodeError("a content length that is no number");
        let mut found = None;
        for (_, value) in self.headers.iter().filter(|(n, _)| n == "content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(bad);
            }
            let length: u64 = value.parse().map_err(|_| bad)?;
            if found.is_some_and(|before| before != length) {
                return Err(DecodeError("two content lengths that differ"));
            }
            found = Some(length);
        }
        Ok(found)
    }

    /// Whether a body follows whose length is not stated.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }

    /// Reads the content of a packet behind its code.
    pub fn read(reader: &mut Reader) -> Result<Request, DecodeError> {
        let code = reader.byte()?;
        let mut request = Request {
            method: codes::method(code).unwrap_or_default().to_owned(),
            protocol: reader.text()?,
            uri: reader.text()?,
            remote_addr: reader.text()?,
            remote_host: reader.text()?,
            server_name: reader.text()?,
            server_port: reader.integer()?,
            is_ssl: reader.boolean()?,
            ..Request::default()
        };
        let count = usize::from(reader.integer()?);
        if count > MAX_FIELDS {
            return Err(DecodeError("too many headers"));
        }
        for _ in 0..count {
            let header = (header_name(reader)?, reader.text()?);
            request.headers.push(header);
        }
        let mut seen = 0;
        while request.read_attribute(reader)? {
            seen += 1;
            if seen > MAX_FIELDS {
                return Err(DecodeError("too many attributes"));
            }
        }
        if !reader.remaining().is_empty() {
            return Err(DecodeError("bytes behind the end of a request"));
        }
        match (code, request.method.is_empty()) {
            (codes::STORED_METHOD, true) => Err(DecodeError("a stored method that is not there")),
            (_, true) => Err(DecodeError("no known method")),
            _ => Ok(request),
        }
    }

    /// `false` at the end of them.
    fn read_attribute(&mut self, reader: &mut Reader) -> Result<bool, DecodeError> {
        match reader.byte()? {
            attribute::DONE => return Ok(false),
            attribute::QUERY_STRING => self.query = Some(reader.text()?),
            attribute::SECRET => self.secret = Some(reader.string()?.unwrap_or_default().to_vec()),
            attribute::STORED_METHOD => {
                let method = reader.text()?;
                // A method with a code keeps it: two that differ would be read differently by different ends.
                if self.method.is_empty() {
                    self.method = method;
                } else if self.method != method {
                    return Err(DecodeError("two methods that differ"));
                }
            }
            attribute::SSL_KEY_SIZE => {
                let size = reader.integer()?.to_string();
                self.attributes.push((KEY_SIZE.to_owned(), size));
            }
            attribute::NAMED => {
                let attribute = (reader.text()?, reader.text()?);
                self.attributes.push(attribute);
            }
            code => {
                // Of a code that is not known the form is not known either.
                let known = KEPT.iter().find(|(c, _)| *c == code);
                let (_, name) = known.ok_or(DecodeError("no known attribute"))?;
                self.attributes.push(((*name).to_owned(), reader.text()?));
            }
        }
        Ok(true)
    }

    /// Writes the content of a packet, its code first.
    pub fn write(&self, out: &mut Vec<u8>) -> Result<(), EncodeError> {
        out.push(FORWARD);
        let code = codes::method_code(&self.method);
        out.push(code.unwrap_or(codes::STORED_METHOD));
        let texts = [&self.protocol, &self.uri, &self.remote_addr, &self.remote_host, &self.server_name];
        texts.into_iter().try_for_each(|text| data::write_string(out, text))?;
        data::write_integer(out, self.server_port);
        out.push(u8::from(self.is_ssl));
        if self.headers.len() > MAX_FIELDS || self.attributes.len() > MAX_FIELDS - 4 {
            return Err(EncodeError::TooLong);
        }
        data::write_integer(out, self.headers.len() as u16);
        for (name, value) in &self.headers {
            match codes::request_header_code(name) {
                Some(code) => data::write_integer(out, code),
                None => data::write_string(out, name)?,
            }
            data::write_string(out, value)?;
        }
        if let Some(query) = &self.query {
            out.push(attribute::QUERY_STRING);
            data::write_string(out, query)?;
        }
        if let Some(secret) = &self.secret {
            out.push(attribute::SECRET);
            data::write_integer(out, u16::try_from(secret.len()).map_err(|_| EncodeError::TooLong)?);
            out.extend_from_slice(secret);
            out.push(0);
        }
        if code.is_none() {
            out.push(attribute::STORED_METHOD);
            data::write_string(out, &self.method)?;
        }
        for (name, value) in &self.attributes {
            write_attribute(out, name, value)?;
        }
        out.push(attribute::DONE);
        Ok(())
    }
}

fn write_attribute(out: &mut Vec<u8>, name: &str, value: &str) -> Result<(), EncodeError> {
    if let Some(size) = value.parse().ok().filter(|_| name == KEY_SIZE) {
        out.push(attribute::SSL_KEY_SIZE);
        data::write_integer(out, size);
        return Ok(());
    }
    match KEPT.iter().find(|(_, kept)| *kept == name) {
        Some((code, _)) => out.push(*code),
        None => {
            out.push(attribute::NAMED);
            data::write_string(out, name)?;
        }
    }
    data::write_string(out, value)
}

fn header_name(reader: &mut Reader) -> Result<String, DecodeError> {
    let length = reader.integer()?;
    if length & 0xff00 == codes::CODED_HEADER_PREFIX {
        return codes::request_header(length).map(String::from).ok_or(DecodeError("no known header code"));
    }
    let name = data::text(reader.string_with_length(length)?.unwrap_or_default())?;
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(DecodeError("a header without a name"));
    }
    Ok(name.to_ascii_lowercase())
}

/// Bytes of names, as HTTP has them (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
