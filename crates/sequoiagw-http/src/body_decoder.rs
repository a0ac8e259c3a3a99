//! Incremental decoder of message bodies.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::message_head::has_bare_line_feed;
use crate::message_head::MAX_HEADERS;
use crate::BodyLength;
use crate::BufferBudget;
use crate::BufferReservation;
use crate::HttpParseError;

/// Largest unfinished chunk size line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Largest number of bytes of a body that one read asks for.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Largest trailer, in bytes.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// What a decoder expects next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    /// This number of remaining bytes of the body or of the current chunk.
    Bytes(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// Trailer fields up to an empty line.
    Trailer,
    /// Data up to the end of the connection.
    UntilClose,
    /// Nothing: the body is complete.
    Complete,
}

/// Decoder of the body of one message.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    chunked: bool,
    body: BytesMut,
    reservation: BufferReservation,
    limit: u64,
}

impl BodyDecoder {
    /// Builds a decoder for a body of at most `limit` bytes, which uses a part of `budget`.
    pub fn new(length: BodyLength, limit: u64, budget: &BufferBudget) -> Self {
        let state = match length {
            BodyLength::Sized(0) => DecoderState::Complete,
            BodyLength::Sized(bytes) => DecoderState::Bytes(bytes),
            BodyLength::Chunked => DecoderState::ChunkSize,
            BodyLength::UntilClose => DecoderState::UntilClose,
        };
        Self {
            state,
            chunked: length == BodyLength::Chunked,
            body: BytesMut::new(),
            reservation: budget.reservation(),
            limit,
        }
    }

    /// Moves the bytes of the body out of the buffer and returns whether the body is complete.
    /// Bytes after the body stay in the buffer; trailers are discarded.
    ///
    /// Errors: the body is larger than its limit, there is no room for it, or its chunks or trailers
    /// aren't valid.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        loop {
            let progressed = match self.state {
                DecoderState::Complete => return Ok(true),
                DecoderState::Bytes(remaining) => self.read_sized(remaining, buffer)?,
                DecoderState::UntilClose => self.read_until_close(buffer)?,
                DecoderState::ChunkSize => self.read_chunk_size(buffer)?,
                DecoderState::ChunkEnd => self.read_chunk_end(buffer)?,
                DecoderState::Trailer => self.read_trailer(buffer)?,
            };
            if !progressed {
                return Ok(false);
            }
        }
    }

    /// Bytes of the body that the next read should have room for, 0 if it isn't known that any come.
    pub fn expected_bytes(&self) -> usize {
        match self.state {
            DecoderState::Bytes(remaining) => remaining.min(MAX_READ_BYTES as u64) as usize,
            DecoderState::UntilClose => MAX_READ_BYTES,
            DecoderState::ChunkSize
            | DecoderState::ChunkEnd
            | DecoderState::Trailer
            | DecoderState::Complete => 0,
        }
    }

    /// Whether the body is complete if the peer closes the connection now.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(
            self.state,
            DecoderState::UntilClose | DecoderState::Complete
        )
    }

    /// Returns the decoded body, to which its part of the budget is attached.
    pub fn into_body(self) -> Bytes {
        self.reservation.attach(self.body.freeze())
    }

    /// Reserves room for the whole body, as far as its length is known.
    fn reserve(&mut self, body_bytes: u64) -> Result<(), HttpParseError> {
        if body_bytes > self.limit {
            return Err(HttpParseError::BodyTooLarge);
        }
        let has_room = self.reservation.try_grow(body_bytes);
        has_room.then_some(()).ok_or(HttpParseError::NoRoom)
    }

    /// Reads data of a known length. Like the other `read_*` methods, returns whether decoding can
    /// go on without more input.
    fn read_sized(
        &mut self,
        remaining: u64,
        buffer: &mut BytesMut,
    ) -> Result<bool, HttpParseError> {
        self.reserve(remaining.saturating_add(self.body.len() as u64))?;
        let taken = remaining.min(buffer.len() as u64);
        self.body
            .extend_from_slice(&buffer.split_to(taken as usize));
        let remaining = remaining - taken;
        if remaining > 0 {
            self.state = DecoderState::Bytes(remaining);
            return Ok(false);
        }
        self.state = if self.chunked {
            DecoderState::ChunkEnd
        } else {
            DecoderState::Complete
        };
        Ok(true)
    }

    fn read_until_close(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        self.reserve((buffer.len() + self.body.len()) as u64)?;
        self.body.extend_from_slice(&buffer.split());
        Ok(false)
    }

    fn read_chunk_size(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        self.state = match chunk_size(&line).ok_or(HttpParseError::Malformed)? {
            0 => DecoderState::Trailer,
            size if size > self.limit => return Err(HttpParseError::BodyTooLarge),
            size => DecoderState::Bytes(size),
        };
        Ok(true)
    }

    fn read_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        if buffer.len() < 2 {
            return Ok(false);
        }
        if !buffer.starts_with(b"\r\n") {
            return Err(HttpParseError::Malformed);
        }
        buffer.advance(2);
        self.state = DecoderState::ChunkSize;
        Ok(true)
    }

    fn read_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let length = match httparse::parse_headers(buffer, &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => length,
            Ok(httparse::Status::Partial) if buffer.len() <= MAX_TRAILER_BYTES => return Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => return Err(HttpParseError::Malformed),
        };
        if has_bare_line_feed(&buffer[..length]) {
            return Err(HttpParseError::Malformed);
        }
        buffer.advance(length);
        self.state = DecoderState::Complete;
        Ok(true)
    }
}

/// Removes a line and its line break from the buffer; `None` until the line is complete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<BytesMut>, HttpParseError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        if buffer.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HttpParseError::Malformed);
        }
        return Ok(None);
    };
    let line = buffer.split_to(end);
    buffer.advance(2);
    Ok(Some(line))
}

/// Size of a chunk in bytes, from its line (RFC 9112, section 7.1). Extensions are ignored, but must be
/// text: a line break in them is none to this decoder and may be one to others.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digit_count = line
        .iter()
        .take_while(|byte| byte.is_ascii_hexdigit())
        .count();
    let (digits, rest) = line.split_at(digit_count);
    let starts_extension = matches!(rest.trim_ascii_start().first(), None | Some(b';'));
    if !starts_extension || !rest.iter().all(|&byte| is_text_byte(byte)) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// Whether a byte may stand in an extension: no control byte but the tab.
fn is_text_byte(byte: u8) -> bool {
    byte == b'\t' || !byte.is_ascii_control()
}
