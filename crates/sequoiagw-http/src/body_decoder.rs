//! Bodies, put together from what a connection brings.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

use crate::BodyLength;
use crate::HttpParseError;

/// Longest line of a chunk's size or of a trailer, in bytes.
const CHUNK_LINE_LIMIT: usize = 1024;

/// Where a decoder stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DecoderState {
    /// So many bytes are left, of the body or of a chunk.
    Bytes(u64),
    /// A chunk's size line comes next.
    ChunkSize,
    /// The line end after a chunk comes next.
    ChunkEnd,
    /// Trailers come next, up to an empty line.
    Trailer,
    /// Everything up to the end of the connection.
    UntilClose,
    /// The body is whole.
    Whole,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    chunked: bool,
    body: BytesMut,
    limit: u64,
}

impl BodyDecoder {
    /// Starts a body of at most `limit` bytes.
    pub fn new(length: BodyLength, limit: u64) -> Self {
        let state = match length {
            BodyLength::Sized(0) => DecoderState::Whole,
            BodyLength::Sized(bytes) => DecoderState::Bytes(bytes),
            BodyLength::Chunked => DecoderState::ChunkSize,
            BodyLength::UntilClose => DecoderState::UntilClose,
        };
        Self {
            state,
            chunked: length == BodyLength::Chunked,
            body: BytesMut::new(),
            limit,
        }
    }

    /// Takes what belongs to the body off the buffer; tells whether the body is whole.
    ///
    /// Errors: the body is over its limit, or its chunks aren't valid.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        loop {
            let moved = match self.state {
                DecoderState::Whole => return Ok(true),
                DecoderState::Bytes(left) => self.take_bytes(left, buffer)?,
                DecoderState::UntilClose => self.take_rest(buffer)?,
                DecoderState::ChunkSize => self.take_size(buffer)?,
                DecoderState::ChunkEnd => self.take_chunk_end(buffer)?,
                DecoderState::Trailer => self.take_trailer(buffer)?,
            };
            if !moved {
                return Ok(false);
            }
        }
    }

    /// Whether the body is whole now that the connection has ended in order.
    pub fn is_complete_at_eof(&self) -> bool {
        matches!(self.state, DecoderState::UntilClose | DecoderState::Whole)
    }

    /// The body.
    pub fn into_body(self) -> Bytes {
        self.body.freeze()
    }

    fn take_bytes(&mut self, left: u64, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        if left + self.body.len() as u64 > self.limit {
            return Err(HttpParseError::BodyTooLarge);
        }
        let taken = left.min(buffer.len() as u64);
        self.body
            .extend_from_slice(&buffer.split_to(taken as usize));
        let left = left - taken;
        if left > 0 {
            self.state = DecoderState::Bytes(left);
            return Ok(false);
        }
        self.state = if self.chunked {
            DecoderState::ChunkEnd
        } else {
            DecoderState::Whole
        };
        Ok(true)
    }

    fn take_rest(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        if (buffer.len() + self.body.len()) as u64 > self.limit {
            return Err(HttpParseError::BodyTooLarge);
        }
        self.body.extend_from_slice(&buffer.split());
        Ok(false)
    }

    fn take_size(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        let digits = line.split(';').next().unwrap_or_default().trim();
        let valid = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
        let size = u64::from_str_radix(digits, 16).ok().filter(|_| valid);
        self.state = match size.ok_or(HttpParseError::Malformed)? {
            0 => DecoderState::Trailer,
            size if size > self.limit => return Err(HttpParseError::BodyTooLarge),
            size => DecoderState::Bytes(size),
        };
        Ok(true)
    }

    fn take_chunk_end(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
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

    fn take_trailer(&mut self, buffer: &mut BytesMut) -> Result<bool, HttpParseError> {
        let Some(line) = take_line(buffer)? else {
            return Ok(false);
        };
        if line.is_empty() {
            self.state = DecoderState::Whole;
        }
        Ok(true)
    }
}

fn take_line(buffer: &mut BytesMut) -> Result<Option<String>, HttpParseError> {
    let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else {
        if buffer.len() > CHUNK_LINE_LIMIT {
            return Err(HttpParseError::Malformed);
        }
        return Ok(None);
    };
    let line = buffer.split_to(end);
    buffer.advance(2);
    let line = std::str::from_utf8(&line).map_err(|_| HttpParseError::Malformed)?;
    Ok(Some(line.to_owned()))
}
