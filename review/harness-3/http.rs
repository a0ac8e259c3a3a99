//! Minimal HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Value of a parameter in the query of a request, percent-decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.path().split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
        percent_decode(value.unwrap_or(""))
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, timeout).ok().map(Self::new)
    }

    /// Reads a message; `None` if the connection ends or `deadline` passes before it is complete.
    pub fn read(&mut self, deadline: Option<Instant>) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill(deadline)?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        message.body = self.buffer.drain(..length).collect();
        Some(message)
    }

    fn fill(&mut self, deadline: Option<Instant>) -> Option<()> {
        let timeout = match deadline {
            Some(deadline) => {
                let left = deadline.checked_duration_since(Instant::now())?;
                Some(left.max(Duration::from_millis(1)))
            }
            None => None,
        };
        self.stream.set_read_timeout(timeout).ok()?;
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes).ok()?;
        if count == 0 {
            return None;
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }

    pub fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).ok()
    }
}

/// Encodes a request; `Content-Length` is added.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    encode(&format!("{method} {path} HTTP/1.1"), headers, body)
}

/// Encodes a response; `Content-Length` is added.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    encode(&format!("HTTP/1.1 {status} Status"), headers, body)
}

fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and returns the response.
pub fn call(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Message> {
    let deadline = Instant::now() + timeout;
    let mut connection = Connection::open(address, timeout)?;
    connection.write(bytes)?;
    connection.read(Some(deadline))
}
