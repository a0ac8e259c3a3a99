//! A connection to a server, for one exchange at a time.

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
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::parse_response;
use crate::set_socket_options;
use crate::BodyDecoder;
use crate::HttpResponse;
use crate::ResponseHead;

/// Largest head of an answer, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;
/// Answers of earlier exchanges that are passed over before the connection is given up.
const STRAY_LIMIT: u32 = 4;

/// Why an exchange brought no answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ExchangeError {
    /// The connection ended or broke before an answer began; the request may have run.
    #[error("the connection ended before an answer")]
    Broken,
    /// The answer broke off or isn't valid.
    #[error("the answer broke off or isn't valid")]
    Truncated,
}

/// A connection to a server.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: BytesMut,
    reusable: bool,
    last_used: Instant,
    /// Idle time after which the server closes the connection, if it said so.
    server_idle: Option<Duration>,
    /// Time in which the first byte of an answer has to come.
    answer_time: Option<Duration>,
}

impl HttpConnection {
    /// Connects within `limit`; a peer silent for `silence` ends the connection later.
    ///
    /// Errors: the server refuses, or the time is over. Nothing was sent then.
    pub async fn connect(
        address: SocketAddr,
        limit: Duration,
        silence: Duration,
    ) -> std::io::Result<Self> {
        let stream = timeout(limit, TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(IoErrorKind::TimedOut))??;
        set_socket_options(&stream, silence)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            reusable: true,
            last_used: Instant::now(),
            server_idle: None,
            answer_time: None,
        })
    }

    /// Whether another request may be sent: the last answer left the connection clean,
    /// nothing has arrived since, and it has been idle for less than `most` and well
    /// less than the server allows.
    pub fn is_reusable(&self, most: Duration) -> bool {
        let idle = self.last_used.elapsed();
        let server_idle = self.server_idle.map(|limit| limit.mul_f64(0.6));
        if !self.reusable || idle >= server_idle.map_or(most, |limit| limit.min(most)) {
            return false;
        }
        let mut probe = [0; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == IoErrorKind::WouldBlock)
    }

    /// Sets the time in which the first byte of the next answer has to come.
    pub fn set_response_timeout(&mut self, time: Duration) {
        self.answer_time = Some(time);
    }

    /// Sends a request and reads its answer. Answers that `is_own` turns down belong to
    /// earlier exchanges and are passed over.
    ///
    /// Errors: see [`ExchangeError`]; the connection isn't reusable afterwards.
    pub async fn exchange<Filter>(
        &mut self,
        method: &str,
        request: &[u8],
        body_limit: u64,
        is_own: Filter,
    ) -> Result<HttpResponse, ExchangeError>
    where
        Filter: Fn(&ResponseHead) -> bool,
    {
        self.reusable = false;
        let (mut reader, mut writer) = self.stream.split();
        let silent_at = self.answer_time.map(|time| Instant::now() + time);
        let mut written = false;
        let mut write = std::pin::pin!(writer.write_all(request));
        for _ in 0..STRAY_LIMIT {
            let mut answer = AnswerReader::new(method, body_limit);
            let response = loop {
                if let Some(response) = answer.advance(&mut self.buffer)? {
                    break response;
                }
                tokio::select! {
                    biased;
                    result = write.as_mut(), if !written => match result {
                        Ok(()) => written = true,
                        Err(_) => return Err(answer.broken()),
                    },
                    read = reader.read_buf(&mut self.buffer) => match read {
                        Ok(0) => match answer.end() {
                            Some(response) => break response,
                            None if self.buffer.is_empty() => return Err(answer.broken()),
                            None => return Err(ExchangeError::Truncated),
                        },
                        Ok(_) => {}
                        Err(_) => return Err(answer.broken()),
                    },
                    () = silence(silent_at), if answer.head.is_none() && self.buffer.is_empty() => {
                        return Err(ExchangeError::Broken);
                    }
                }
            };
            if is_own(&response.head) {
                self.last_used = Instant::now();
                self.reusable = written && response.head.keep_alive && self.buffer.is_empty();
                self.server_idle = keep_alive_time(&response.head).or(self.server_idle);
                return Ok(response);
            }
            if !response.head.keep_alive {
                break;
            }
        }
        Err(ExchangeError::Truncated)
    }
}

async fn silence(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until).await,
        None => std::future::pending().await,
    }
}

/// Reads one answer.
struct AnswerReader<'a> {
    method: &'a str,
    body_limit: u64,
    head: Option<ResponseHead>,
    decoder: Option<BodyDecoder>,
}

impl<'a> AnswerReader<'a> {
    fn new(method: &'a str, body_limit: u64) -> Self {
        Self {
            method,
            body_limit,
            head: None,
            decoder: None,
        }
    }

    fn advance(&mut self, buffer: &mut BytesMut) -> Result<Option<HttpResponse>, ExchangeError> {
        if self.head.is_none() {
            let head = parse_response(buffer, self.method, HEAD_LIMIT)
                .map_err(|_| ExchangeError::Truncated)?;
            let Some(head) = head else {
                return Ok(None);
            };
            self.decoder = Some(BodyDecoder::new(head.body, self.body_limit));
            self.head = Some(head);
        }
        let Some(decoder) = &mut self.decoder else {
            return Ok(None);
        };
        let whole = decoder
            .decode(buffer)
            .map_err(|_| ExchangeError::Truncated)?;
        Ok(whole.then(|| self.take()).flatten())
    }

    /// The connection ended in order: the answer, if it is whole now.
    fn end(&mut self) -> Option<HttpResponse> {
        let whole = self.decoder.as_ref()?.is_complete_at_eof();
        whole.then(|| self.take()).flatten()
    }

    fn take(&mut self) -> Option<HttpResponse> {
        let head = self.head.take()?;
        let body = self.decoder.take()?.into_body();
        Some(HttpResponse { head, body })
    }

    fn broken(&self) -> ExchangeError {
        if self.head.is_some() {
            ExchangeError::Truncated
        } else {
            ExchangeError::Broken
        }
    }
}

/// Idle time that the server states, `Keep-Alive: timeout=N` in seconds.
fn keep_alive_time(head: &ResponseHead) -> Option<Duration> {
    let value = crate::find_header(&head.headers, "keep-alive")?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

impl HttpConnection {
    /// Puts a request together; the length of the body is added.
    pub fn write_request(
        method: &str,
        path: &str,
        headers: &[HeaderField],
        body: &Bytes,
    ) -> BytesMut {
        let mut request = BytesMut::with_capacity(512 + body.len());
        for part in [method, " ", path, " HTTP/1.1\r\n"] {
            request.put_slice(part.as_bytes());
        }
        for field in headers {
            for part in [field.name.as_str(), ": ", &field.value, "\r\n"] {
                request.put_slice(part.as_bytes());
            }
        }
        let bodyless = matches!(method, "GET" | "HEAD" | "DELETE") && body.is_empty();
        if !bodyless {
            let length = format!("Content-Length: {}\r\n", body.len());
            request.put_slice(length.as_bytes());
        }
        request.put_slice(b"\r\n");
        request.put_slice(body);
        request
    }
}
