//! A caller's connection: requests run side by side and are answered in order.

use std::future::Future;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::stream::FuturesOrdered;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::parse_request;
use crate::set_socket_options;
use crate::BodyDecoder;
use crate::HttpParseError;
use crate::HttpReply;
use crate::HttpRequest;
use crate::RequestHead;
use crate::ServerPhase;

/// Requests of one connection that run side by side.
const PIPELINE_DEPTH: usize = 16;
/// Unparsed bytes beyond which nothing more is read while requests run.
const READ_AHEAD: usize = 64 * 1024;
/// Time after which an unanswered peer's connection ends.
const PEER_SILENCE: Duration = Duration::from_secs(10);

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Largest head, in bytes.
    pub max_head_bytes: usize,
    /// Largest body, in bytes.
    pub max_body_bytes: u64,
    /// Time in which a request has to arrive once it has begun.
    pub request_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

/// A request that is being read.
struct PartialRequest {
    head: RequestHead,
    decoder: BodyDecoder,
}

/// What a connection holds besides its socket.
struct ConnectionState {
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    /// Methods of the running requests, oldest first.
    methods: std::collections::VecDeque<bool>,
    /// Whether further requests are read.
    reading: bool,
    /// When the first byte of the request that is being read came, or the last answer went.
    since: Instant,
}

/// Serves a connection until either end closes it. Requests that run when the caller goes
/// are dropped with their futures.
pub async fn serve_connection<Limits, Handler, Running>(
    mut stream: TcpStream,
    limits: Limits,
    mut phase: watch::Receiver<ServerPhase>,
    handler: Handler,
) where
    Limits: Fn() -> ServerLimits,
    Handler: Fn(HttpRequest) -> Running,
    Running: Future<Output = HttpReply>,
{
    if set_socket_options(&stream, PEER_SILENCE).is_err() {
        return;
    }
    let mut running = FuturesOrdered::new();
    let mut state = ConnectionState {
        buffer: BytesMut::new(),
        partial: None,
        methods: std::collections::VecDeque::new(),
        reading: true,
        since: Instant::now(),
    };
    let mut output = BytesMut::new();
    loop {
        let bounds = limits();
        let mut refusal = None;
        let leaving = *phase.borrow() != ServerPhase::Open;
        // A leaver reads nothing behind a request that runs: its answer closes the
        // connection, and what is sent behind it counts as not read.
        state.reading &= !leaving || running.is_empty();
        let depth = if leaving { 1 } else { PIPELINE_DEPTH };
        while state.reading && running.len() < depth {
            match state.next_request(&bounds, &mut output) {
                Ok(Some(request)) => {
                    state.methods.push_back(request.head.method != "HEAD");
                    state.reading = request.head.keep_alive;
                    state.since = Instant::now();
                    running.push_back(handler(request));
                }
                Ok(None) => break,
                Err(error) => {
                    state.reading = false;
                    refusal = Some(error);
                }
            }
        }
        if let Some(error) = refusal {
            // Earlier requests are answered first, then this one, and that is the last.
            while let Some(reply) = running.next().await {
                state.put_reply(&reply, false, &mut output);
            }
            HttpReply::empty(refusal_status(error)).write_to(&mut output, true, true);
        }
        if !output.is_empty() {
            if stream.write_all(&output).await.is_err() {
                return;
            }
            output.clear();
        }
        let current = *phase.borrow_and_update();
        let idle = running.is_empty() && state.partial.is_none() && state.buffer.is_empty();
        if running.is_empty() && (!state.reading || (idle && current == ServerPhase::Closing)) {
            let _ = stream.shutdown().await;
            return;
        }
        let limit = if idle {
            bounds.idle_timeout
        } else {
            bounds.request_timeout
        };
        let can_read = running.is_empty() || state.buffer.len() < READ_AHEAD;
        tokio::select! {
            biased;
            Some(reply) = running.next(), if !running.is_empty() => {
                let leaving = current != ServerPhase::Open && running.is_empty();
                let last = running.is_empty() && !state.reading;
                state.reading &= !leaving;
                state.put_reply(&reply, leaving || last, &mut output);
                state.since = Instant::now();
            }
            read = stream.read_buf(&mut state.buffer), if can_read => match read {
                Ok(0) | Err(_) => return,
                Ok(_) => if idle {
                    state.since = Instant::now();
                },
            },
            () = tokio::time::sleep_until(state.since + limit), if running.is_empty() => {
                if !idle {
                    HttpReply::empty(408).write_to(&mut output, true, true);
                    let _ = stream.write_all(&output).await;
                }
                let _ = stream.shutdown().await;
                return;
            }
            changed = phase.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

impl ConnectionState {
    /// Takes the next whole request off the buffer.
    fn next_request(
        &mut self,
        limits: &ServerLimits,
        output: &mut BytesMut,
    ) -> Result<Option<HttpRequest>, HttpParseError> {
        if self.partial.is_none() {
            let Some(head) = parse_request(&mut self.buffer, limits.max_head_bytes)? else {
                return Ok(None);
            };
            if head.wants_continue && self.methods.is_empty() {
                output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            let decoder = BodyDecoder::new(head.body, limits.max_body_bytes);
            self.partial = Some(PartialRequest { head, decoder });
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        if !partial.decoder.decode(&mut self.buffer)? {
            return Ok(None);
        }
        Ok(self.partial.take().map(|partial| HttpRequest {
            head: partial.head,
            body: partial.decoder.into_body(),
        }))
    }

    fn put_reply(&mut self, reply: &HttpReply, close: bool, output: &mut BytesMut) {
        let with_body = self.methods.pop_front().unwrap_or(true);
        reply.write_to(output, close, with_body);
    }
}

fn refusal_status(error: HttpParseError) -> u16 {
    match error {
        HttpParseError::Malformed => 400,
        HttpParseError::HeadTooLarge => 431,
        HttpParseError::BodyTooLarge => 413,
    }
}
