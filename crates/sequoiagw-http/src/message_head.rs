//! Heads of requests and answers.

use bytes::Buf;
use bytes::BytesMut;
use sequoiagw_protocol::HeaderField;
use thiserror::Error;

/// Headers that one message may have.
const HEADER_LIMIT: usize = 96;

/// Headers that concern one connection only.
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

/// Why bytes aren't a message.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum HttpParseError {
    /// The bytes aren't HTTP/1.1.
    #[error("the bytes aren't an HTTP/1.1 message")]
    Malformed,
    /// The head is larger than allowed.
    #[error("the head is larger than the limit")]
    HeadTooLarge,
    /// The body is larger than allowed.
    #[error("the body is larger than the limit")]
    BodyTooLarge,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyLength {
    /// So many bytes.
    Sized(u64),
    /// In chunks.
    Chunked,
    /// Up to the end of the connection.
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
    /// Whether the sender wants to keep the connection.
    pub keep_alive: bool,
    /// Whether the sender waits for a go-ahead before it sends the body.
    pub wants_continue: bool,
}

impl RequestHead {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Head of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// All headers in their order.
    pub headers: Vec<HeaderField>,
    /// Length of the body.
    pub body: BodyLength,
    /// Whether the server keeps the connection.
    pub keep_alive: bool,
}

/// Value of a header, whatever the case of its name.
pub fn find_header<'a>(headers: &'a [HeaderField], name: &str) -> Option<&'a str> {
    let field = headers
        .iter()
        .find(|field| field.name.eq_ignore_ascii_case(name))?;
    Some(&field.value)
}

/// Whether a header concerns one connection only and isn't passed on.
pub fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS
        .iter()
        .any(|header| header.eq_ignore_ascii_case(name))
}

/// Takes the head of a request off the buffer; `None` until it is whole.
///
/// Errors: the bytes aren't a request, or the head is over `limit` bytes.
pub fn parse_request(
    buffer: &mut BytesMut,
    limit: usize,
) -> Result<Option<RequestHead>, HttpParseError> {
    let mut fields = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut parsed = httparse::Request::new(&mut fields);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) if length <= limit => length,
        Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
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
        headers,
    };
    buffer.advance(length);
    Ok(Some(head))
}

/// Takes the head of an answer to a request with `method` off the buffer; interim answers
/// are passed over. `None` until it is whole.
///
/// Errors: the bytes aren't an answer, or the head is over `limit` bytes.
pub fn parse_response(
    buffer: &mut BytesMut,
    method: &str,
    limit: usize,
) -> Result<Option<ResponseHead>, HttpParseError> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() <= limit => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(HttpParseError::HeadTooLarge),
            Err(_) => return Err(HttpParseError::Malformed),
        };
        let status = parsed.code.unwrap_or_default();
        let headers = read_headers(parsed.headers)?;
        let version = parsed.version;
        if (100..200).contains(&status) {
            buffer.advance(length);
            continue;
        }
        let bodyless = method == "HEAD" || matches!(status, 204 | 304);
        let body = if bodyless {
            BodyLength::Sized(0)
        } else {
            stated_length(&headers)?.unwrap_or(BodyLength::UntilClose)
        };
        let keep_alive = keeps_alive(version, &headers) && body != BodyLength::UntilClose;
        buffer.advance(length);
        return Ok(Some(ResponseHead {
            status,
            headers,
            body,
            keep_alive,
        }));
    }
}

fn read_headers(fields: &[httparse::Header<'_>]) -> Result<Vec<HeaderField>, HttpParseError> {
    let read = |field: &httparse::Header<'_>| {
        let value = std::str::from_utf8(field.value).map_err(|_| HttpParseError::Malformed)?;
        Ok(HeaderField {
            name: field.name.to_owned(),
            value: value.to_owned(),
        })
    };
    fields.iter().map(read).collect()
}

/// Length that the headers state. Two statements that could be read differently by two
/// readers are refused, so that no request can hide in another one's body.
fn stated_length(headers: &[HeaderField]) -> Result<Option<BodyLength>, HttpParseError> {
    let mut length = None;
    for field in headers {
        let stated = if field.name.eq_ignore_ascii_case("content-length") {
            let digits = !field.value.is_empty() && field.value.bytes().all(|b| b.is_ascii_digit());
            let bytes = field.value.parse().ok().filter(|_| digits);
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
        length = Some(stated);
    }
    Ok(length)
}

fn keeps_alive(version: Option<u8>, headers: &[HeaderField]) -> bool {
    let says = |word: &str| {
        headers
            .iter()
            .filter(|field| field.name.eq_ignore_ascii_case("connection"))
            .flat_map(|field| field.value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(word))
    };
    if version == Some(0) {
        return says("keep-alive");
    }
    !says("close")
}
