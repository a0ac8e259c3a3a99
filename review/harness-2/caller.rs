//! Stand-in for a caller (a consumer): sends one request and waits for its answer.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::http::{Connection, ReadError};
use super::record;

/// Time that callers allow for a new connection.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    /// Further headers.
    pub headers: Vec<(&'a str, &'a str)>,
    pub body: &'a [u8],
}

/// What a caller got.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answered {
        status: u16,
        signed: bool,
        body: String,
    },
    /// No connection could be opened.
    NoConnection,
    /// The connection ended without a complete answer.
    Closed,
    /// No complete answer within the time budget and a second.
    Late,
}

impl Outcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Answered { status, .. } => Some(*status),
            _ => None,
        }
    }
}

/// A request's outcome, with the times of its sending and its end.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub outcome: Outcome,
}

/// Sends a request on a new connection.
pub fn call(node: SocketAddr, request: &Request) -> Call {
    let sent_ms = record::now_ms();
    record::line(&format!(
        "caller: {} {} {} to {node}, {} ms",
        request.id,
        request.method,
        request.path,
        request.deadline.as_millis()
    ));
    let outcome = exchange(node, request);
    let ended_ms = record::now_ms();
    record::line(&format!(
        "caller: {} after {} ms: {outcome:?}",
        request.id,
        ended_ms - sent_ms
    ));
    Call {
        id: request.id.to_owned(),
        sent_ms,
        ended_ms,
        outcome,
    }
}

fn exchange(node: SocketAddr, request: &Request) -> Outcome {
    let until = Instant::now() + request.deadline + Duration::from_secs(1);
    let Ok(stream) = TcpStream::connect_timeout(&node, CONNECT_TIME) else {
        return Outcome::NoConnection;
    };
    let mut connection = Connection::new(stream);
    let deadline = request.deadline.as_millis().to_string();
    let mut headers = vec![
        ("Host", request.host),
        ("X-Sequoiagw-Attempt-Id", request.id),
        ("X-Sequoiagw-Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(request.headers.iter().copied());
    let first = format!("{} {} HTTP/1.1", request.method, request.path);
    if connection.write(&first, &headers, request.body).is_err() {
        return Outcome::Closed;
    }
    match connection.read(until.saturating_duration_since(Instant::now())) {
        Ok(answer) => Outcome::Answered {
            status: answer.word(1).parse().unwrap_or(0),
            signed: answer.header("X-Sequoiagw-Server-Signature").is_some(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(ReadError::Late) => Outcome::Late,
        Err(ReadError::Ended | ReadError::Cut) => Outcome::Closed,
    }
}
