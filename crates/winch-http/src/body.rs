//! Framing and decoding of message bodies.

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode, header};

use crate::{
    Fault,
    head::{self, is_field},
};

/// Longest chunk-size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1_024;

/// Largest total size of the trailers after a chunked body.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Returns whether a reply with `status` to a request with `method` has a body. If not, its head
/// may state a length all the same, and no byte follows.
pub fn permits_body(method: &Method, status: StatusCode) -> bool {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    method != Method::HEAD && !has_no_body && !status.is_informational()
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends after the last chunk.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request's body.
    ///
    /// # Errors
    /// [`Fault::Ambiguous`] if the headers state two lengths or an HTTP/1.0 request is
    /// chunked, [`Fault::Malformed`] if a length or transfer coding is not supported.
    pub fn of_request(request: &head::Request) -> Result<Self, Fault> {
        match stated_framing(&request.headers)? {
            Some(Self::Chunked) if request.minor == 0 => Err(Fault::Ambiguous),
            framing => Ok(framing.unwrap_or(Self::Length(0))),
        }
    }

    /// Returns the framing of the body of a reply to a request with `method`.
    ///
    /// # Errors
    /// [`Fault::Ambiguous`] if the headers state two lengths, [`Fault::Malformed`] if a
    /// length or transfer coding is not supported.
    pub fn of_reply(method: &Method, reply: &head::Reply) -> Result<Self, Fault> {
        if !permits_body(method, reply.status) {
            return Ok(Self::Length(0));
        }
        Ok(stated_framing(&reply.headers)?.unwrap_or(Self::UntilClose))
    }
}

/// Returns the framing that the headers state, if any.
fn stated_framing(headers: &HeaderMap) -> Result<Option<Framing>, Fault> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(Fault::Ambiguous);
    }
    match (length, coding) {
        (Some(_), Some(_)) => Err(Fault::Ambiguous),
        (None, None) => Ok(None),
        (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (None, Some(_)) => Err(Fault::Malformed),
        (Some(length), None) => {
            let digits = length.as_bytes();
            let is_decimal = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let number =
                length.to_str().ok().filter(|_| is_decimal).and_then(|text| text.parse().ok());
            number.map(|number| Some(Framing::Length(number))).ok_or(Fault::Malformed)
        }
    }
}

/// What a decoder expects next, with the number of bytes still missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// Trailers, of which this many bytes were read.
    Trailer(usize),
    UntilClose,
    Done,
}

/// Result of [`Decoder::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A part of the body.
    Data(Bytes),
    /// More input is needed.
    More,
    /// The body is complete.
    Done,
}

/// Decodes one body from the bytes of a connection.
#[derive(Clone, Debug)]
pub struct Decoder(State);

impl Decoder {
    /// Makes a decoder for one body.
    pub fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Returns whether the body is complete if the connection is closed now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, State::UntilClose | State::Done)
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.0 == State::Done
    }

    /// Removes the next part of the body from `input`. Trailers are discarded, and bytes after
    /// the body are left.
    ///
    /// # Errors
    /// [`Fault::Malformed`] if the chunked encoding is invalid or a line of it is too long.
    pub fn step(&mut self, input: &mut BytesMut) -> Result<Step, Fault> {
        loop {
            match self.0 {
                State::Done => return Ok(Step::Done),
                _ if input.is_empty() => return Ok(Step::More),
                State::UntilClose => return Ok(Step::Data(input.split().freeze())),
                State::Length(left) => {
                    let (data, left) = split(input, left);
                    self.0 = if left == 0 { State::Done } else { State::Length(left) };
                    return Ok(Step::Data(data));
                }
                State::ChunkData(left) => {
                    let (data, left) = split(input, left);
                    self.0 = if left == 0 { State::ChunkEnd } else { State::ChunkData(left) };
                    return Ok(Step::Data(data));
                }
                State::ChunkSize => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((length, size))) => {
                        let line = input.split_to(length);
                        if has_control_byte(line.trim_ascii_end()) {
                            return Err(Fault::Malformed);
                        }
                        self.0 = if size == 0 { State::Trailer(0) } else { State::ChunkData(size) };
                    }
                    Ok(httparse::Status::Partial) if input.len() < MAX_LINE_BYTES => {
                        return Ok(Step::More);
                    }
                    _ => return Err(Fault::Malformed),
                },
                State::ChunkEnd if input.len() < 2 => return Ok(Step::More),
                State::ChunkEnd if input.starts_with(b"\r\n") => {
                    input.advance(2);
                    self.0 = State::ChunkSize;
                }
                State::ChunkEnd => return Err(Fault::Malformed),
                State::Trailer(read) if read > MAX_TRAILER_BYTES => return Err(Fault::Malformed),
                State::Trailer(read) => match input.windows(2).position(|pair| pair == b"\r\n") {
                    Some(0) => {
                        input.advance(2);
                        self.0 = State::Done;
                    }
                    Some(length) if length < MAX_LINE_BYTES && is_field(&input[..length]) => {
                        input.advance(length + 2);
                        self.0 = State::Trailer(read + length + 2);
                    }
                    None if input.len() < MAX_LINE_BYTES => return Ok(Step::More),
                    _ => return Err(Fault::Malformed),
                },
            }
        }
    }
}

/// Whether a line has a byte that no visible text or white space has.
fn has_control_byte(line: &[u8]) -> bool {
    line.iter().any(|byte| byte.is_ascii_control() && *byte != b'\t')
}

/// Removes up to `left` bytes from `input`; returns them and the number still missing.
fn split(input: &mut BytesMut, left: u64) -> (Bytes, u64) {
    let length = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    (input.split_to(length).freeze(), left - length as u64)
}
