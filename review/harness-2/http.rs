//! Blocking HTTP/1.1 messages.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or response with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the first line, counted from 0.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }
}

/// Connection with bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Why a message couldn't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The peer ended the connection before the first byte of the message.
    Ended,
    /// The connection ended or failed within the message.
    Cut,
    /// The message wasn't complete in time.
    Late,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a message whose body has a length.
    pub fn read(&mut self, wait: Duration) -> Result<Message, ReadError> {
        let until = Instant::now() + wait;
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let mut message = Message {
                    first: lines.next().unwrap_or("").to_owned(),
                    ..Message::default()
                };
                for line in lines {
                    if let Some((name, value)) = line.split_once(':') {
                        message
                            .headers
                            .push((name.to_owned(), value.trim().to_owned()));
                    }
                }
                let length = message
                    .header("content-length")
                    .and_then(|value| value.parse().ok())
                    .unwrap_or(0);
                while self.buffer.len() < end + 4 + length {
                    self.fill(until)?;
                }
                message.body = self.buffer[end + 4..end + 4 + length].to_vec();
                self.buffer.drain(..end + 4 + length);
                return Ok(message);
            }
            self.fill(until)?;
        }
    }

    fn fill(&mut self, until: Instant) -> Result<(), ReadError> {
        let ended = if self.buffer.is_empty() {
            ReadError::Ended
        } else {
            ReadError::Cut
        };
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadError::Late);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut bytes = [0; 16 * 1024];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(ended),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(ReadError::Late)
            }
            Err(_) => Err(ended),
        }
    }

    /// Whether the peer has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut bytes = [0; 1];
        let peeked = self.stream.peek(&mut bytes);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Writes a message with the length of its body.
    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut head = format!("{first}\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
