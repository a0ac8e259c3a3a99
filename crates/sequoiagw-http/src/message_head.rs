//! Parsers of request and response heads.

use bytes::Buf;
use bytes::BytesMut;
use sequoiagw_protocol::FinalStatus;
use sequoiagw_protocol::HeaderField;
use sequoiagw_protocol::StatusError;
use thiserror::Error;

/// Size of a head that fits most messages, in bytes; connections start with buffers of it.
pub(crate) const USUAL_HEAD_BYTES: usize = 1024;
/// Largest number of headers of a response or of trailers, and of a request that is read without allocating
/// room for more.
pub(crate) const MAX_HEADERS: usize = 96;
/// Size of the shortest header with the end of its line, in bytes: a name, a colon and a line feed.
const MIN_HEADER_BYTES: usize = 3;
/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: usize = 32;
/// Minor version of HTTP/1.0, which has no chunks and closes each connection unless told otherwise.
const HTTP_1_0_MINOR_VERSION: u8 = 0;
/// Status of a switch to the protocol that a request asked for with `Upgrade`.
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;

/// Beginning of the names of headers that describe the body.
const CONTENT_PREFIX: &str = "content-";
/// Headers that concern a single connection.
const CONNECTION_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a message can't be parsed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HttpParseError {
    /// The bytes aren't a valid HTTP/1.1 message.
    #[error("the bytes aren't an HTTP/1.1 message")]
    Malformed,
    /// The status of a response is neither that of an interim response nor that of a final one.
    #[error(transparent)]
    InvalidStatus(#[from] StatusError),
    /// The head is over its limit in bytes, or that of a response has too many headers.
    #[error("the head is larger than the limit")]
    HeadTooLarge,
    /// The body is over its limit in bytes.
    #[error("the body is larger than the limit")]
    BodyTooLarge,
    /// The process has no room for the body now.
    #[error("there is no room for the body")]
    NoRoom,
}

impl HttpParseError {
    /// Name of the reason in counters.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::InvalidStatus(_) => "invalid_status",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::NoRoom => "no_room",
        }
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// It has this number of bytes.
    Sized(u64),
    /// It is sent in chunks; an empty chunk and the trailers end it.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// All headers in their order.
    pub headers: Vec<HeaderField>,
    /// Length of the body.
    pub body: BodyLength,
    /// Whether the client keeps the connection open for further requests.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub wants_continue: bool,
    /// Whether the client takes interim responses, which came with HTTP/1.1.
    pub takes_interim: bool,
}

impl RequestHead {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: FinalStatus,
    /// Headers in their order.
    pub headers: Vec<HeaderField>,
    /// Number of headers that are left out, since their values aren't UTF-8.
    pub omitted_headers: usize,
    /// Length of the body.
    pub body: BodyLength,
    /// Whether the server keeps the connection open for further requests.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Returns the value of the first header with this name, ignoring case.
pub fn find_header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    Some(&field.value)
}

/// Whether a header concerns a single connection and therefore isn't forwarded.
pub fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}

/// Removes a request head from the buffer; `None` until it is complete. It may have any number of headers.
///
/// Errors: the bytes aren't a valid request head, or it is over `max_bytes`.
pub fn parse_request(
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, HttpParseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let parsed = match read_request_head(buffer, &mut fields, max_bytes) {
        Err(HttpParseError::HeadTooLarge) => {
            let most = buffer.len().min(max_bytes) / MIN_HEADER_BYTES;
            let mut fields = vec![httparse::EMPTY_HEADER; most];
            read_request_head(buffer, &mut fields, max_bytes)?
        }
        parsed => parsed?,
    };
    Ok(parsed.map(|(head, length)| {
        buffer.advance(length);
        head
    }))
}

/// Reads a request head with room for its headers in `fields`; returns it with its length in bytes, `None`
/// until it is complete.
///
/// Errors: as for [`parse_request`], and [`HttpParseError::HeadTooLarge`] if there is no room for its headers.
fn read_request_head<'buffer>(
    buffer: &'buffer [u8],
    fields: &mut [httparse::Header<'buffer>],
    max_bytes: usize,
) -> Result<Option<(RequestHead, usize)>, HttpParseError> {
    let mut parsed = httparse::Request::new(fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= max_bytes => length,
        Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(HttpParseError::HeadTooLarge),
        Err(_) => return Err(HttpParseError::Malformed),
    };
    let headers = read_headers(parsed.headers)?;
    let head = RequestHead {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        body: stated_length(&headers)?.unwrap_or(BodyLength::Sized(0)),
        keep_alive: keeps_alive(parsed.version, &headers),
        wants_continue: find_header(&headers, "expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue")),
        takes_interim: parsed.version != Some(HTTP_1_0_MINOR_VERSION),
        headers,
    };
    Ok(Some((head, length)))
}

/// Removes the head of a response to a request with `method` from the buffer; `None` until it is
/// complete. Interim responses (status 100 to 199) are skipped and added to `interim_responses`, but
/// for 101: no request of this client asks for another protocol, and what follows that status isn't HTTP.
///
/// Errors: the bytes aren't a valid response head or have too many headers, their status isn't that of a
/// response, an incomplete head is over `max_bytes`, or there are too many interim responses.
pub fn parse_response(
    buffer: &mut BytesMut,
    method: &str,
    max_bytes: usize,
    interim_responses: &mut usize,
) -> Result<Option<ResponseHead>, HttpParseError> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() <= max_bytes => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(HttpParseError::HeadTooLarge),
            Err(_) => return Err(HttpParseError::Malformed),
        };
        if has_bare_line_feed(&buffer[..length]) {
            return Err(HttpParseError::Malformed);
        }
        let status = parsed.code.unwrap_or_default();
        let headers = read_response_headers(parsed.headers)?;
        let omitted_headers = parsed.headers.len() - headers.len();
        let version = parsed.version;
        if is_interim(status) {
            *interim_responses += 1;
            if *interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpParseError::Malformed);
            }
            buffer.advance(length);
            continue;
        }
        let status = FinalStatus::try_from(status)?;
        let has_no_body = method == "HEAD" || matches!(status.get(), 204 | 304);
        let body = if has_no_body {
            BodyLength::Sized(0)
        } else {
            response_length(version, &headers)?
        };
        let keep_alive = keeps_alive(version, &headers) && body != BodyLength::UntilClose;
        buffer.advance(length);
        return Ok(Some(ResponseHead {
            status,
            headers,
            omitted_headers,
            body,
            keep_alive,
        }));
    }
}

/// Whether a line ends without a carriage return. `httparse` takes a line feed at the start of a field's
/// name for the end of the head, and the fields behind it for the body.
pub(crate) fn has_bare_line_feed(head: &[u8]) -> bool {
    let starts_with_it = head.first() == Some(&b'\n');
    starts_with_it
        || head
            .windows(2)
            .any(|pair| pair[1] == b'\n' && pair[0] != b'\r')
}

/// Whether a response with this status precedes the final one.
fn is_interim(status: u16) -> bool {
    (100..200).contains(&status) && status != STATUS_SWITCHING_PROTOCOLS
}

fn read_headers(fields: &[httparse::Header<'_>]) -> Result<Vec<HeaderField>, HttpParseError> {
    fields.iter().map(read_header).collect()
}

/// Headers of a response. HTTP allows values that aren't UTF-8. Such headers are left out, but for those
/// without which the message can't be read.
fn read_response_headers(
    fields: &[httparse::Header<'_>],
) -> Result<Vec<HeaderField>, HttpParseError> {
    fields
        .iter()
        .filter(|field| describes_message(field.name) || std::str::from_utf8(field.value).is_ok())
        .map(read_header)
        .collect()
}

fn read_header(field: &httparse::Header<'_>) -> Result<HeaderField, HttpParseError> {
    let value = std::str::from_utf8(field.value).map_err(|_| HttpParseError::Malformed)?;
    Ok(HeaderField {
        name: field.name.to_owned(),
        value: value.to_owned(),
    })
}

/// Whether a header says how to read its message, such as `Content-Encoding` or `Connection`.
fn describes_message(name: &str) -> bool {
    let prefix = name.get(..CONTENT_PREFIX.len()).unwrap_or_default();
    is_connection_header(name) || prefix.eq_ignore_ascii_case(CONTENT_PREFIX)
}

/// Body length that the headers state. Duplicate or conflicting lengths are rejected: two parsers
/// could read them differently, which would allow request smuggling.
fn stated_length(headers: &[HeaderField]) -> Result<Option<BodyLength>, HttpParseError> {
    let mut length = None;
    for field in headers {
        let field_length = if field.name.eq_ignore_ascii_case("content-length") {
            let only_digits =
                !field.value.is_empty() && field.value.bytes().all(|b| b.is_ascii_digit());
            let bytes = field.value.parse().ok().filter(|_| only_digits);
            BodyLength::Sized(bytes.ok_or(HttpParseError::Malformed)?)
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            if !field.value.eq_ignore_ascii_case("chunked") {
                return Err(HttpParseError::Malformed);
            }
            BodyLength::Chunked
        } else {
            continue;
        };
        if length.is_some() {
            return Err(HttpParseError::Malformed);
        }
        length = Some(field_length);
    }
    Ok(length)
}

/// Body length of a response that may have a body, by its HTTP minor version and headers.
fn response_length(
    version: Option<u8>,
    headers: &[HeaderField],
) -> Result<BodyLength, HttpParseError> {
    let length = stated_length(headers)?.unwrap_or(BodyLength::UntilClose);
    if version == Some(HTTP_1_0_MINOR_VERSION) && length == BodyLength::Chunked {
        return Err(HttpParseError::Malformed);
    }
    Ok(length)
}

/// Whether the connection stays open after this message, by its HTTP minor version and headers.
fn keeps_alive(version: Option<u8>, headers: &[HeaderField]) -> bool {
    let has_option = |option: &str| {
        headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case("connection"))
            .flat_map(|field| field.value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(option))
    };
    if version == Some(HTTP_1_0_MINOR_VERSION) {
        return has_option("keep-alive");
    }
    !has_option("close")
}
