//! Server side of a connection: pipelined requests run concurrently, and their replies are sent
//! in order.

use std::future::ready;
use std::future::Future;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::future::Either;
use futures_util::stream::FuturesOrdered;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use tracing::warn;

use crate::caller_probe::CallerProbe;
use crate::close_gracefully;
use crate::message_head::USUAL_HEAD_BYTES;
use crate::parse_request;
use crate::reply_output::ReplyOutput;
use crate::set_socket_options;
use crate::BodyDecoder;
use crate::BufferBudget;
use crate::HttpParseError;
use crate::HttpReply;
use crate::HttpRequest;
use crate::RequestHead;
use crate::ServerPhase;

/// Largest number of requests of one connection that run at once.
const MAX_PIPELINED_REQUESTS: usize = 16;
/// While requests run, nothing more is read once this many unparsed bytes are buffered.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time after which a caller may send a body again for which there was no room.
const NO_ROOM_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a connection to an unresponsive peer is closed.
const PEER_TIMEOUT: Duration = Duration::from_secs(10);

/// Size and time limits of a server's connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time from the first byte of a request until its body is complete. It isn't enforced
    /// while earlier requests run, and restarts with each reply.
    pub request_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

/// A request whose head has been read and whose body is incomplete.
struct PartialRequest {
    head: RequestHead,
    decoder: BodyDecoder,
    /// Whether the caller still waits for `100 Continue`.
    awaits_continue: bool,
}

/// State of a connection besides its socket.
struct ConnectionState {
    buffer: BytesMut,
    partial: Option<PartialRequest>,
    /// For each running request, oldest first, whether its reply has a body (not to HEAD).
    sends_body: std::collections::VecDeque<bool>,
    /// Room for the bodies of requests.
    budget: BufferBudget,
    /// Whether further requests are accepted.
    accepts_requests: bool,
    /// Whether the caller takes interim responses.
    takes_interim: bool,
    /// Set once the caller's input has ended, which its requests outlast.
    probe: Option<CallerProbe>,
    /// Time from which the idle or request timeout counts: the first byte of the request that is
    /// being read, or the last request or reply.
    timeout_start: Instant,
}

/// Serves a connection until either side closes it. Bodies use a part of `budget`; a request without
/// room for its body is refused before the body is read. If the caller closes it, the futures of its
/// running requests are dropped; a caller that ends only its sending side gets their replies.
pub async fn serve_connection<Limits, Handler, Running>(
    mut stream: TcpStream,
    limits: Limits,
    budget: BufferBudget,
    mut phase: watch::Receiver<ServerPhase>,
    handler: Handler,
) where
    Limits: Fn() -> ServerLimits,
    Handler: Fn(HttpRequest) -> Running,
    Running: Future<Output = HttpReply>,
{
    if set_socket_options(&stream, PEER_TIMEOUT).is_err() {
        return;
    }
    let mut running = FuturesOrdered::new();
    let mut state = ConnectionState::new(budget);
    let mut output = ReplyOutput::default();
    loop {
        let current_limits = limits();
        let leaving = *phase.borrow() != ServerPhase::Open;
        // While the server leaves, no request is accepted behind a running one: the reply to the
        // running one closes the connection, and the caller may treat later requests as unread.
        state.accepts_requests &= !leaving || running.is_empty();
        let max_running = if leaving { 1 } else { MAX_PIPELINED_REQUESTS };
        while state.accepts_requests && running.len() < max_running {
            match state.next_request(&current_limits, &mut output) {
                Ok(Some(request)) => {
                    state.sends_body.push_back(request.head.method != "HEAD");
                    state.accepts_requests = request.head.keep_alive;
                    state.takes_interim = request.head.takes_interim;
                    state.timeout_start = Instant::now();
                    running.push_back(Either::Left(handler(request)));
                }
                Ok(None) => {
                    state.accepts_requests = state.probe.is_none();
                    break;
                }
                // Like any other reply, the refusal is sent behind those to earlier requests. It closes the
                // connection.
                Err(error) => running.push_back(Either::Right(ready(state.refuse(error)))),
            }
        }
        if !state.accepts_requests {
            // Further input is read only to notice its end.
            state.buffer.clear();
        }
        if output.write_to(&mut stream).await.is_err() {
            return;
        }
        let current = *phase.borrow_and_update();
        let idle = running.is_empty() && state.partial.is_none() && state.buffer.is_empty();
        if running.is_empty()
            && (!state.accepts_requests || (idle && current == ServerPhase::Closing))
        {
            close_gracefully(&mut stream).await;
            return;
        }
        let limit = if idle {
            current_limits.idle_timeout
        } else {
            current_limits.request_timeout
        };
        let has_room = running.is_empty() || state.buffer.len() < MAX_READ_AHEAD_BYTES;
        let can_read = state.probe.is_none() && has_room;
        let expected_bytes = state
            .partial
            .as_ref()
            .map_or(0, |partial| partial.decoder.expected_bytes());
        state.buffer.reserve(expected_bytes);
        tokio::select! {
            biased;
            Some(reply) = running.next(), if !running.is_empty() => {
                let leaving = current != ServerPhase::Open && running.is_empty();
                let last = running.is_empty() && !state.accepts_requests;
                state.accepts_requests &= !leaving;
                state.add_reply(reply, leaving || last, &mut output);
                state.timeout_start = Instant::now();
            }
            read = stream.read_buf(&mut state.buffer), if can_read => match read {
                Ok(0) if !running.is_empty() && state.takes_interim => {
                    state.probe = Some(CallerProbe::start());
                }
                Ok(0) | Err(_) => return,
                Ok(_) => if idle {
                    state.timeout_start = Instant::now();
                },
            },
            () = tokio::time::sleep_until(state.timeout_start + limit), if running.is_empty() => {
                if !idle {
                    output.push(HttpReply::empty(408), true, true);
                    // The connection ends in either case.
                    let _ = output.write_to(&mut stream).await;
                }
                close_gracefully(&mut stream).await;
                return;
            }
            Some(()) = next_probe(state.probe.as_mut()) => output.push_continue(),
            changed = phase.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

impl ConnectionState {
    fn new(budget: BufferBudget) -> Self {
        Self {
            buffer: BytesMut::with_capacity(USUAL_HEAD_BYTES),
            partial: None,
            sends_body: std::collections::VecDeque::new(),
            budget,
            accepts_requests: true,
            takes_interim: false,
            probe: None,
            timeout_start: Instant::now(),
        }
    }

    /// Removes the next complete request from the buffer. Writes `100 Continue` to the output once
    /// no earlier reply is outstanding, if the caller expects it and the body isn't refused or complete.
    fn next_request(
        &mut self,
        limits: &ServerLimits,
        output: &mut ReplyOutput,
    ) -> Result<Option<HttpRequest>, HttpParseError> {
        if self.partial.is_none() {
            let Some(head) = parse_request(&mut self.buffer, limits.max_header_bytes)? else {
                return Ok(None);
            };
            let decoder = BodyDecoder::new(head.body, limits.max_body_bytes, &self.budget);
            self.partial = Some(PartialRequest {
                awaits_continue: head.wants_continue && head.takes_interim,
                head,
                decoder,
            });
        }
        let Some(partial) = &mut self.partial else {
            return Ok(None);
        };
        if !partial.decoder.decode(&mut self.buffer)? {
            if partial.awaits_continue && self.sends_body.is_empty() {
                partial.awaits_continue = false;
                output.push_continue();
            }
            return Ok(None);
        }
        Ok(self.partial.take().map(|partial| HttpRequest {
            head: partial.head,
            body: partial.decoder.into_body(),
        }))
    }

    /// Refuses the request that is being read. No further request is accepted.
    fn refuse(&mut self, error: HttpParseError) -> HttpReply {
        if error == HttpParseError::NoRoom {
            self.log_refused_body();
        }
        self.partial = None;
        self.sends_body.push_back(true);
        self.accepts_requests = false;
        parse_error_reply(error)
    }

    /// Logs that there was no room for the body of the request that is being read.
    fn log_refused_body(&self) {
        let head = self.partial.as_ref().map(|partial| &partial.head);
        // The query is left out, because a caller may have put a key into it by mistake.
        let path = head.and_then(|head| head.path.split('?').next());
        warn!(
            event = "body_refused",
            path,
            body = head.map(|head| tracing::field::debug(head.body)),
            used_bytes = self.budget.used()
        );
    }

    /// Adds the reply to the oldest running request.
    fn add_reply(&mut self, reply: HttpReply, close: bool, output: &mut ReplyOutput) {
        let with_body = self.sends_body.pop_front().unwrap_or(true);
        output.push(reply, close, with_body);
    }
}

/// Waits until the next probe of the caller is due, `None` if it isn't probed.
async fn next_probe(probe: Option<&mut CallerProbe>) -> Option<()> {
    probe?.due().await;
    Some(())
}

/// Reply to a request that can't be parsed, or for whose body there is no room.
fn parse_error_reply(error: HttpParseError) -> HttpReply {
    let status = match error {
        HttpParseError::Malformed | HttpParseError::InvalidStatus(_) => 400,
        HttpParseError::HeadTooLarge => 431,
        HttpParseError::BodyTooLarge => 413,
        HttpParseError::NoRoom => 503,
    };
    let mut reply = HttpReply::empty(status);
    if error == HttpParseError::NoRoom {
        let delay = NO_ROOM_RETRY_DELAY.as_secs_f64();
        reply.push_header("Retry-After", &format!("{delay:.3}"));
    }
    reply
}
