//! HTTP/1.1 messages over blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Largest head that is read, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Part of a body that is sent at once, in bytes.
const SENT_PIECE_BYTES: usize = 64 * 1024;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn has_header(&self, name: &str) -> bool {
        self.headers
            .iter()
            .any(|(known, _)| known.eq_ignore_ascii_case(name))
    }

    /// Path of a request, with its query.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.path().parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    /// Time after which nothing more of a request is sent.
    pub send_until: Option<Instant>,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            send_until: None,
            rest: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    /// Reads a whole message, until `deadline` at the latest. `None` at the end of the connection, or
    /// if it breaks off or the time is over.
    pub fn read(&mut self, deadline: Option<Instant>) -> Option<Message> {
        let head_end = loop {
            let found = self.rest.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if self.rest.len() > MAX_HEAD_BYTES {
                return None;
            }
            self.read_some(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.rest[..head_end]).into_owned();
        self.rest.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next()?.to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while self.rest.len() < length {
            self.read_some(deadline)?;
        }
        message.body = self.rest.drain(..length).collect();
        Some(message)
    }

    fn read_some(&mut self, deadline: Option<Instant>) -> Option<()> {
        let wait = match deadline {
            Some(deadline) => Some(deadline.checked_duration_since(Instant::now())?),
            None => None,
        };
        if wait.is_some_and(|wait| wait.is_zero()) {
            return None;
        }
        self.stream.set_read_timeout(wait).ok()?;
        let mut buffer = [0; 64 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => None,
            Ok(count) => {
                self.rest.extend_from_slice(&buffer[..count]);
                Some(())
            }
        }
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut out = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || !matches!(method, "GET" | "DELETE") {
            out.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        out.push_str("\r\n");
        self.stream.write_all(out.as_bytes())?;
        for piece in body.chunks(SENT_PIECE_BYTES) {
            if self.send_until.is_some_and(|end| Instant::now() >= end) {
                return Err(std::io::ErrorKind::TimedOut.into());
            }
            self.stream.write_all(piece)?;
        }
        Ok(())
    }

    /// Sends a response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut out = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
        for (name, value) in headers {
            out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        out.extend_from_slice(body);
        self.stream.write_all(&out)
    }
}
