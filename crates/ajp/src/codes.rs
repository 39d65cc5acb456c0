//! Codes of methods, common headers and attributes (reference, "Request Packet Structure" and "Response
//! Packet Structure").

/// Methods in the order of their codes, which start at 1.
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

/// The method code of requests whose method is in the attribute `stored_method`.
pub const STORED_METHOD: u8 = 0xff;

/// Request headers in the order of their codes, which start at 0xA001.
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

/// Response headers in the order of their codes, which start at 0xA001.
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

/// The bits that every header code has in its upper byte. A code is sent in place of the length of a header's
/// name; they differ because that length is always less than this.
pub const CODED_HEADER_PREFIX: u16 = 0xa000;

/// Returns the method with this code.
pub fn method(code: u8) -> Option<&'static str> {
    METHODS.get(usize::from(code).checked_sub(1)?).copied()
}

/// Returns the code of a method, which is case-sensitive.
pub fn method_code(method: &str) -> Option<u8> {
    METHODS.iter().position(|m| *m == method).map(|index| index as u8 + 1)
}

fn header(names: &'static [&'static str], code: u16) -> Option<&'static str> {
    names.get(usize::from(code & 0xff).checked_sub(1)?).copied()
}

fn header_code(names: &[&str], name: &str) -> Option<u16> {
    names
        .iter()
        .position(|n| n.eq_ignore_ascii_case(name))
        .map(|index| CODED_HEADER_PREFIX + index as u16 + 1)
}

/// Returns the name of the request header with this code.
pub fn request_header(code: u16) -> Option<&'static str> {
    header(&REQUEST_HEADERS, code)
}

/// Returns the code of a request header. Case is ignored.
pub fn request_header_code(name: &str) -> Option<u16> {
    header_code(&REQUEST_HEADERS, name)
}

/// Returns the name of the response header with this code.
pub fn response_header(code: u16) -> Option<&'static str> {
    header(&RESPONSE_HEADERS, code)
}

/// Returns the code of a response header. Case is ignored.
pub fn response_header_code(name: &str) -> Option<u16> {
    header_code(&RESPONSE_HEADERS, name)
}

/// Codes of request attributes.
pub mod attribute {
    /// The authenticated user.
    pub const REMOTE_USER: u8 = 0x03;
    /// The authentication scheme.
    pub const AUTH_TYPE: u8 = 0x04;
    /// The query string.
    pub const QUERY_STRING: u8 = 0x05;
    /// The session route, for sticky load balancing.
    pub const ROUTE: u8 = 0x06;
    /// The client's TLS certificate.
    pub const SSL_CERT: u8 = 0x07;
    /// The TLS cipher.
    pub const SSL_CIPHER: u8 = 0x08;
    /// The TLS session id.
    pub const SSL_SESSION: u8 = 0x09;
    /// An attribute without a code of its own, sent with its name.
    pub const NAMED: u8 = 0x0a;
    /// The TLS key size, as an integer.
    pub const SSL_KEY_SIZE: u8 = 0x0b;
    /// The secret that both sides are configured with.
    pub const SECRET: u8 = 0x0c;
    /// The method of a request whose method has no code.
    pub const STORED_METHOD: u8 = 0x0d;
    /// Ends the list of attributes.
    pub const DONE: u8 = 0xff;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn codes_match_the_reference() {
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
