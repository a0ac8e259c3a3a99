//! Stand-in for consumers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::record::Record;

/// Time that a consumer allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a consumer still waits after its time budget, to see how an attempt ends.
const PATIENCE: Duration = Duration::from_millis(500);

/// A consumer's attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    /// Time budget.
    pub budget: Duration,
    pub body: Vec<u8>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer, with whether it bears a target's signature.
    Answered {
        status: u16,
        signed: bool,
        body: Vec<u8>,
    },
    /// No connection could be opened.
    NotConnected,
    /// The connection ended without a whole answer, or no answer came in time.
    Cut,
}

impl Outcome {
    pub fn status(&self) -> u16 {
        match self {
            Outcome::Answered { status, .. } => *status,
            _ => 0,
        }
    }
}

pub const HOST: &str = "fleece.example";

/// Sends an attempt on a new connection and waits for its end.
pub fn send(node: SocketAddr, attempt: &Attempt, record: &Record) -> Outcome {
    let Ok(mut connection) = Connection::open(node, CONNECT_TIMEOUT) else {
        record.line(&format!("consumer {} gets no connection", attempt.id));
        return Outcome::NotConnected;
    };
    send_on(&mut connection, attempt, record)
}

/// Sends an attempt on a connection and waits for its end.
pub fn send_on(connection: &mut Connection, attempt: &Attempt, record: &Record) -> Outcome {
    let budget = attempt.budget.as_millis().to_string();
    let headers = [
        ("Host", HOST),
        ("X-Sequoiagw-Attempt-Id", attempt.id.as_str()),
        ("X-Sequoiagw-Deadline-Ms", budget.as_str()),
    ];
    let deadline = Instant::now() + attempt.budget + PATIENCE;
    connection.send_until = Some(Instant::now() + attempt.budget);
    record.line(&format!(
        "consumer sends {} {} {}",
        attempt.id, attempt.method, attempt.path
    ));
    if connection
        .send(attempt.method, &attempt.path, &headers, &attempt.body)
        .is_err()
    {
        record.line(&format!("consumer {} can't send", attempt.id));
        return Outcome::Cut;
    }
    let Some(answer) = connection.read(Some(deadline)) else {
        record.line(&format!("consumer {} gets no whole answer", attempt.id));
        return Outcome::Cut;
    };
    let outcome = Outcome::Answered {
        status: answer.status(),
        signed: answer.has_header("X-Sequoiagw-Server-Signature"),
        body: answer.body,
    };
    let (status, signed) = (
        outcome.status(),
        matches!(outcome, Outcome::Answered { signed: true, .. }),
    );
    record.line(&format!(
        "consumer {} gets {status}, signed {signed}",
        attempt.id
    ));
    outcome
}
