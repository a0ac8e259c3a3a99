//! Client connection that carries one exchange at a time.

use std::io::ErrorKind as IoErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use sequoiagw_protocol::HeaderField;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::http_message::put_small_body;
use crate::message_head::USUAL_HEAD_BYTES;
use crate::parse_response;
use crate::set_socket_options;
use crate::BodyDecoder;
use crate::BufferBudget;
use crate::EncodedRequest;
use crate::HttpParseError;
use crate::HttpResponse;
use crate::ResponseHead;

/// Largest response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Responses read in one exchange before it fails; those to earlier requests are skipped.
const MAX_RESPONSES: u32 = 4;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ExchangeError {
    /// The connection closed before the first byte of a response, failed before its head was
    /// complete, or timed out; the request may have run.
    #[error("the connection ended before a response")]
    Broken,
    /// The response ended early, or isn't the one to the request.
    #[error("the response ended early")]
    Truncated,
    /// The response isn't one in the protocol, or is larger than what can be read.
    #[error("the response can't be read: {0}")]
    Unreadable(#[from] HttpParseError),
}

impl ExchangeError {
    /// Name of the reason in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Broken => "broken",
            Self::Truncated => "truncated",
            Self::Unreadable(reason) => reason.name(),
        }
    }
}

/// Client connection to an HTTP server.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    last_used: Instant,
    /// Idle time after which the server closes the connection, if it stated one.
    server_idle_timeout: Option<Duration>,
    /// Longest time until the first byte of a response arrives.
    response_timeout: Option<Duration>,
    /// Longest time between two parts of a response.
    progress_timeout: Option<Duration>,
    /// Room for the bodies of responses.
    budget: BufferBudget,
}

impl HttpConnection {
    /// Connects within `connect_timeout`. A peer that is unresponsive for `peer_timeout` ends the
    /// connection later.
    ///
    /// Errors: the server refuses the connection, the time is over, or a socket option can't be
    /// set. No request byte has been sent then.
    pub async fn connect(
        address: SocketAddr,
        connect_timeout: Duration,
        peer_timeout: Duration,
    ) -> std::io::Result<Self> {
        let stream = timeout(connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(IoErrorKind::TimedOut))??;
        set_socket_options(&stream, peer_timeout)?;
        Ok(Self {
            stream,
            buffer: BytesMut::with_capacity(USUAL_HEAD_BYTES),
            reusable: true,
            last_used: Instant::now(),
            server_idle_timeout: None,
            response_timeout: None,
            progress_timeout: None,
            budget: BufferBudget::unlimited(),
        })
    }

    /// Whether another request may be sent: the last exchange succeeded and left no unread bytes,
    /// nothing has arrived since, and the connection has been idle for less than `max_idle` and
    /// for less than 60 % of the idle time that the server allows.
    pub fn is_reusable(&self, max_idle: Duration) -> bool {
        let idle = self.last_used.elapsed();
        let server_limit = self.server_idle_timeout.map(|limit| limit.mul_f64(0.6));
        if !self.reusable || idle >= server_limit.map_or(max_idle, |limit| limit.min(max_idle)) {
            return false;
        }
        let mut probe = [0; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == IoErrorKind::WouldBlock)
    }

    /// Sets the longest time until the first byte of a response arrives. Without it, an exchange
    /// waits until the connection ends.
    pub fn set_response_timeout(&mut self, timeout: Duration) {
        self.response_timeout = Some(timeout);
    }

    /// Sets the longest time between two parts of a response. Without it, a response that has begun may
    /// pause until the connection ends.
    pub fn set_progress_timeout(&mut self, timeout: Duration) {
        self.progress_timeout = Some(timeout);
    }

    /// Sets what the bodies of responses may use of the process's memory. Without it, only their own
    /// limit counts.
    pub fn set_buffer_budget(&mut self, budget: BufferBudget) {
        self.budget = budget;
    }

    /// Sends a request and reads its response. Responses that `is_expected` rejects belong to
    /// earlier requests and are skipped.
    ///
    /// Errors: see [`ExchangeError`]; the connection isn't reusable afterwards.
    pub async fn exchange<Filter>(
        &mut self,
        method: &str,
        request: &EncodedRequest,
        body_limit: u64,
        is_expected: Filter,
    ) -> Result<HttpResponse, ExchangeError>
    where
        Filter: Fn(&ResponseHead) -> bool,
    {
        self.reusable = false;
        let (mut reader, mut writer) = self.stream.split();
        let respond_by = self
            .response_timeout
            .map(|timeout| Instant::now() + timeout);
        let mut progress_by = None;
        let mut written = false;
        let mut write = std::pin::pin!(write_request(&mut writer, request));
        for _ in 0..MAX_RESPONSES {
            let mut response_reader = ResponseReader::new(method, body_limit, &self.budget);
            let response = loop {
                if let Some(response) = response_reader.read_from(&mut self.buffer)? {
                    break response;
                }
                self.buffer.reserve(response_reader.expected_bytes());
                let has_begun = response_reader.head.is_some() || !self.buffer.is_empty();
                let wait_end = if has_begun { progress_by } else { respond_by };
                tokio::select! {
                    biased;
                    result = write.as_mut(), if !written => match result {
                        Ok(()) => written = true,
                        Err(_) => return Err(response_reader.connection_error()),
                    },
                    read = reader.read_buf(&mut self.buffer) => match read {
                        Ok(0) => match response_reader.finish_at_eof() {
                            Some(response) => break response,
                            None if self.buffer.is_empty() => return Err(response_reader.connection_error()),
                            None => return Err(ExchangeError::Truncated),
                        },
                        Ok(_) => {
                            let timeout = self.progress_timeout;
                            progress_by = timeout.map(|timeout| Instant::now() + timeout);
                        }
                        Err(_) => return Err(response_reader.connection_error()),
                    },
                    () = sleep_until(wait_end) => {
                        return Err(response_reader.connection_error());
                    }
                }
            };
            if is_expected(&response.head) {
                self.last_used = Instant::now();
                self.reusable = written && response.head.keep_alive && self.buffer.is_empty();
                self.server_idle_timeout =
                    keep_alive_timeout(&response.head).or(self.server_idle_timeout);
                return Ok(response);
            }
            if !response.head.keep_alive {
                break;
            }
        }
        Err(ExchangeError::Truncated)
    }
}

async fn write_request(
    writer: &mut WriteHalf<'_>,
    request: &EncodedRequest,
) -> std::io::Result<()> {
    writer.write_all(&request.start).await?;
    writer.write_all(&request.body).await
}

/// Sleeps until a deadline, or forever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

/// Incremental reader of one response.
struct ResponseReader<'a> {
    method: &'a str,
    body_limit: u64,
    budget: &'a BufferBudget,
    interim_responses: usize,
    head: Option<ResponseHead>,
    decoder: Option<BodyDecoder>,
}

impl<'a> ResponseReader<'a> {
    fn new(method: &'a str, body_limit: u64, budget: &'a BufferBudget) -> Self {
        Self {
            method,
            body_limit,
            budget,
            interim_responses: 0,
            head: None,
            decoder: None,
        }
    }

    /// Reads from the buffer; returns the response once it is complete.
    fn read_from(&mut self, buffer: &mut BytesMut) -> Result<Option<HttpResponse>, ExchangeError> {
        if self.head.is_none() {
            let head = parse_response(
                buffer,
                self.method,
                MAX_HEAD_BYTES,
                &mut self.interim_responses,
            )?;
            let Some(head) = head else {
                return Ok(None);
            };
            self.decoder = Some(BodyDecoder::new(head.body, self.body_limit, self.budget));
            self.head = Some(head);
        }
        let Some(decoder) = &mut self.decoder else {
            return Ok(None);
        };
        let complete = decoder.decode(buffer)?;
        Ok(complete.then(|| self.take_response()).flatten())
    }

    /// Bytes of the body that the next read should have room for.
    fn expected_bytes(&self) -> usize {
        self.decoder.as_ref().map_or(0, BodyDecoder::expected_bytes)
    }

    /// Called when the peer has closed the connection; returns the response if it is complete.
    fn finish_at_eof(&mut self) -> Option<HttpResponse> {
        let complete = self.decoder.as_ref()?.is_complete_at_eof();
        complete.then(|| self.take_response()).flatten()
    }

    fn take_response(&mut self) -> Option<HttpResponse> {
        let head = self.head.take()?;
        let body = self.decoder.take()?.into_body();
        Some(HttpResponse { head, body })
    }

    /// Error for a connection that fails at this point of the response.
    fn connection_error(&self) -> ExchangeError {
        if self.head.is_some() {
            ExchangeError::Truncated
        } else {
            ExchangeError::Broken
        }
    }
}

/// Idle time that the server states as `Keep-Alive: timeout=N`, in seconds.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let value = crate::find_header(&head.headers, "keep-alive")?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

impl HttpConnection {
    /// Encodes a request. A `Content-Length` header is added, except for GET, HEAD and DELETE
    /// requests without a body.
    pub fn encode_request(
        method: &str,
        path: &str,
        headers: &[HeaderField],
        body: &Bytes,
    ) -> EncodedRequest {
        let mut request = BytesMut::with_capacity(512);
        for part in [method, " ", path, " HTTP/1.1\r\n"] {
            request.put_slice(part.as_bytes());
        }
        for field in headers {
            for part in [field.name.as_str(), ": ", &field.value, "\r\n"] {
                request.put_slice(part.as_bytes());
            }
        }
        let omits_length = matches!(method, "GET" | "HEAD" | "DELETE") && body.is_empty();
        if !omits_length {
            let length = format!("Content-Length: {}\r\n", body.len());
            request.put_slice(length.as_bytes());
        }
        request.put_slice(b"\r\n");
        let body = put_small_body(&mut request, body);
        EncodedRequest {
            start: request,
            body,
        }
    }
}
