//! Codes for what is sent often (reference, "Request Packet Structure" and "Response Packet Structure").

/// Methods, from code 1 on.
const METHODS: [&str; 27] = [
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE-CONTROL",
    "MKACTIVITY",
];

/// The code of a method that stands in the attribute `stored_method`.
pub const STORED_METHOD: u8 = 0xff;

/// Headers of requests, from code 0xA001 on.
const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

/// Headers of answers, from code 0xA001 on.
const RESPONSE_HEADERS: [&str; 11] = [
    "content-type",
    "content-language",
    "content-length",
    "date",
    "last-modified",
    "location",
    "set-cookie",
    "set-cookie2",
    "servlet-engine",
    "status",
    "www-authenticate",
];

/// What a header's code begins with; no name is as long as that.
pub const CODED_HEADER_PREFIX: u16 = 0xa000;

/// The method with this code.
pub fn method(code: u8) -> Option<&'static str> {
    METHODS.get(usize::from(code).checked_sub(1)?).copied()
}

/// The code of a method.
pub fn method_code(method: &str) -> Option<u8> {
    METHODS.iter().position(|m| *m == method).map(|place| place as u8 + 1)
}

fn header(names: &'static [&'static str], code: u16) -> Option<&'static str> {
    names.get(usize::from(code & 0xff).checked_sub(1)?).copied()
}

fn header_code(names: &[&str], name: &str) -> Option<u16> {
    names
        .iter()
        .position(|n| n.eq_ignore_ascii_case(name))
        .map(|place| CODED_HEADER_PREFIX + place as u16 + 1)
}

/// The name of a request's header with this code.
pub fn request_header(code: u16) -> Option<&'static str> {
    header(&REQUEST_HEADERS, code)
}

/// The code of a request's header.
pub fn request_header_code(name: &str) -> Option<u16> {
    header_code(&REQUEST_HEADERS, name)
}

/// The name of an answer's header with this code.
pub fn response_header(code: u16) -> Option<&'static str> {
    header(&RESPONSE_HEADERS, code)
}

/// The code of an answer's header.
pub fn response_header_code(name: &str) -> Option<u16> {
    header_code(&RESPONSE_HEADERS, name)
}

/// Codes of attributes.
pub mod attribute {
    /// The user who was authenticated.
    pub const REMOTE_USER: u8 = 0x03;
    /// How.
    pub const AUTH_TYPE: u8 = 0x04;
    /// The query.
    pub const QUERY_STRING: u8 = 0x05;
    /// The route of a session.
    pub const ROUTE: u8 = 0x06;
    /// The client's certificate.
    pub const SSL_CERT: u8 = 0x07;
    /// The cipher.
    pub const SSL_CIPHER: u8 = 0x08;
    /// The session.
    pub const SSL_SESSION: u8 = 0x09;
    /// Any other, by its name.
    pub const NAMED: u8 = 0x0a;
    /// The size of the key, an integer.
    pub const SSL_KEY_SIZE: u8 = 0x0b;
    /// The secret that both ends know.
    pub const SECRET: u8 = 0x0c;
    /// A method without a code.
    pub const STORED_METHOD: u8 = 0x0d;
    /// No more follow.
    pub const DONE: u8 = 0xff;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn codes_are_those_of_the_reference() {
        assert_eq!((method(1), method(4), method(27)), (Some("OPTIONS"), Some("POST"), Some("MKACTIVITY")));
        assert_eq!((method(0), method(28), method(0xff)), (None, None, None));
        assert_eq!((method_code("GET"), method_code("get")), (Some(2), None));
        assert_eq!(
            (request_header(0xa008), request_header(0xa00e)),
            (Some("content-length"), Some("user-agent"))
        );
        assert_eq!((request_header(0xa000), request_header(0xa00f)), (None, None));
        assert_eq!((response_header(0xa00b), response_header(0xa00c)), (Some("www-authenticate"), None));
        assert_eq!(request_header_code("Host"), Some(0xa00b));
        assert_eq!(response_header_code("Set-Cookie"), Some(0xa007));
    }
}
