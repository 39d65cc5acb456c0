//! The forward request (reference, "Forward Request").

use crate::codes::{self, attribute};
use crate::data::{self, Reader};
use crate::{DecodeError, EncodeError};

/// The packet code of a forward request.
pub const FORWARD: u8 = 2;
/// Limit on the number of headers of a request, and on the number of its attributes.
pub const MAX_FIELDS: usize = 256;

/// A forward request with the fields of the reference.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, whether it was sent by its code or by its name.
    pub method: String,
    /// The protocol of the client's request, such as `HTTP/1.1`.
    pub protocol: String,
    /// The path, without the query.
    pub uri: String,
    /// The address of the client.
    pub remote_addr: String,
    /// The host name of the client.
    pub remote_host: String,
    /// The server name that the client requested.
    pub server_name: String,
    /// The port that the client connected to.
    pub server_port: u16,
    /// Whether the client connected over TLS.
    pub is_ssl: bool,
    /// The headers in the order sent, their names in lower case.
    pub headers: Vec<(String, String)>,
    /// The query string, if there is one.
    pub query: Option<String>,
    /// The secret sent with the request, if there is one.
    pub secret: Option<Vec<u8>>,
    /// The other attributes, as names and values. An attribute with a code is stored
    /// under its name in the reference.
    pub attributes: Vec<(String, String)>,
}

/// Codes and names of the attributes with a string value that are stored in [`Request::attributes`].
const STRING_ATTRIBUTES: [(u8, &str); 8] = [
    (0x01, "context"),
    (0x02, "servlet_path"),
    (attribute::REMOTE_USER, "remote_user"),
    (attribute::AUTH_TYPE, "auth_type"),
    (attribute::ROUTE, "route"),
    (attribute::SSL_CERT, "ssl_cert"),
    (attribute::SSL_CIPHER, "ssl_cipher"),
    (attribute::SSL_SESSION, "ssl_session"),
];

/// The name of the attribute [`attribute::SSL_KEY_SIZE`].
const SSL_KEY_SIZE_NAME: &str = "ssl_key_size";

impl Request {
    /// Returns an HTTP/1.1 request without headers.
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

    /// The value of the first header with this name, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// The Content-Length in bytes; `None` if there is none. Values that differ are an error.
    pub fn content_length(&self) -> Result<Option<u64>, DecodeError> {
        let invalid = DecodeError("Content-Length is not a number");
        let mut found = None;
        for (_, value) in self.headers.iter().filter(|(name, _)| name == "content-length") {
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(invalid);
            }
            let length: u64 = value.parse().map_err(|_| invalid)?;
            if found.is_some_and(|previous| previous != length) {
                return Err(DecodeError("Content-Length headers differ"));
            }
            found = Some(length);
        }
        Ok(found)
    }

    /// Whether a body of unknown length follows.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some()
    }

    /// Reads the content of a packet after the packet code.
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
            return Err(DecodeError("too many request headers"));
        }
        for _ in 0..count {
            let header = (header_name(reader)?, reader.text()?);
            request.headers.push(header);
        }
        let mut attribute_count = 0;
        while request.read_attribute(reader)? {
            attribute_count += 1;
            if attribute_count > MAX_FIELDS {
                return Err(DecodeError("too many attributes"));
            }
        }
        if !reader.remaining().is_empty() {
            return Err(DecodeError("unexpected bytes after the end of a request"));
        }
        match (code, request.method.is_empty()) {
            (codes::STORED_METHOD, true) => Err(DecodeError("missing attribute stored_method")),
            (_, true) => Err(DecodeError("unknown method code")),
            _ => Ok(request),
        }
    }

    /// Reads the next attribute. Returns `false` at the end of the list.
    fn read_attribute(&mut self, reader: &mut Reader) -> Result<bool, DecodeError> {
        match reader.byte()? {
            attribute::DONE => return Ok(false),
            attribute::QUERY_STRING => self.query = Some(reader.text()?),
            attribute::SECRET => self.secret = Some(reader.string()?.unwrap_or_default().to_vec()),
            attribute::STORED_METHOD => {
                let method = reader.text()?;
                // A request with two methods that differ is rejected: implementations could disagree on which
                // one applies.
                if self.method.is_empty() {
                    self.method = method;
                } else if self.method != method {
                    return Err(DecodeError("method and attribute stored_method differ"));
                }
            }
            attribute::SSL_KEY_SIZE => {
                let size = reader.integer()?.to_string();
                self.attributes.push((SSL_KEY_SIZE_NAME.to_owned(), size));
            }
            attribute::NAMED => {
                let attribute = (reader.text()?, reader.text()?);
                self.attributes.push(attribute);
            }
            code => {
                // An attribute with an unknown code can't be skipped, since its encoding is not known.
                let known = STRING_ATTRIBUTES.iter().find(|(known_code, _)| *known_code == code);
                let (_, name) = known.ok_or(DecodeError("unknown attribute code"))?;
                self.attributes.push(((*name).to_owned(), reader.text()?));
            }
        }
        Ok(true)
    }

    /// Writes the content of a packet, including the packet code.
    pub fn write(&self, out: &mut Vec<u8>) -> Result<(), EncodeError> {
        out.push(FORWARD);
        let code = codes::method_code(&self.method);
        out.push(code.unwrap_or(codes::STORED_METHOD));
        let texts = [&self.protocol, &self.uri, &self.remote_addr, &self.remote_host, &self.server_name];
        texts.into_iter().try_for_each(|text| data::write_string(out, text))?;
        data::write_integer(out, self.server_port);
        out.push(u8::from(self.is_ssl));
        // The reader counts the query, the secret and the stored method as attributes too.
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
    if let Some(size) = value.parse().ok().filter(|_| name == SSL_KEY_SIZE_NAME) {
        out.push(attribute::SSL_KEY_SIZE);
        data::write_integer(out, size);
        return Ok(());
    }
    match STRING_ATTRIBUTES.iter().find(|(_, known)| *known == name) {
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
        return codes::request_header(length)
            .map(String::from)
            .ok_or(DecodeError("unknown request header code"));
    }
    let name = data::text(reader.string_with_length(length)?.unwrap_or_default())?;
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(DecodeError("invalid header name"));
    }
    Ok(name.to_ascii_lowercase())
}

/// Whether a byte may be part of a header name (RFC 9110, section 5.6.2).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
