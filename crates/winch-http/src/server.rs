//! The server side of a connection.

use std::{future::pending, io};

use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    time::Instant,
};

use crate::{
    Fault,
    body::{Decoder, Framing, Step},
    head::{self, Request},
};

/// Number of buffered bytes of later requests from which no more are read while one request
/// is served.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Least free space in the input buffer before a read, in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Why a request could not be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection broke, or was closed within a request.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The bytes are not an acceptable request.
    #[snafu(display("{source}"), context(false))]
    Unacceptable {
        /// The reason.
        source: Fault,
    },
}

/// Reads requests from one connection.
#[derive(Debug)]
pub struct Reader<R> {
    io: R,
    input: BytesMut,
    /// When the first of the buffered bytes arrived, or the last one if none is buffered.
    arrived_at: Instant,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Makes a reader of a new connection.
    pub fn new(io: R) -> Self {
        Self { io, input: BytesMut::new(), arrived_at: Instant::now() }
    }

    /// When the first byte of the request that is read next arrived; that of the connection itself
    /// if none has arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }

    /// Waits for the first byte of the next request; returns `false` if the peer closes the
    /// connection first.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection breaks.
    pub async fn wait(&mut self) -> Result<bool, Error> {
        Ok(!self.input.is_empty() || self.fill().await? > 0)
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection ends before the head, [`Error::Unacceptable`] if
    /// the head is malformed or longer than `limit` bytes.
    pub async fn head(&mut self, limit: usize) -> Result<Request, Error> {
        loop {
            if let Some(request) = head::take_request(&mut self.input, limit)? {
                return Ok(request);
            }
            self.fill_some().await?;
        }
    }

    /// Reads the body of a request.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection ends before the body, [`Error::Unacceptable`] if
    /// the body is malformed or longer than `limit` bytes.
    pub async fn body(&mut self, framing: Framing, limit: usize) -> Result<Bytes, Error> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(Fault::BodyTooLarge.into());
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        while let Some(data) = self.chunk(&mut decoder).await? {
            if body.len() + data.len() > limit {
                return Err(Fault::BodyTooLarge.into());
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    /// Reads the next part of the body that `decoder` decodes; `None` at its end.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection ends before the body, [`Error::Unacceptable`] if the body
    /// is malformed.
    pub async fn chunk(&mut self, decoder: &mut Decoder) -> Result<Option<Bytes>, Error> {
        loop {
            match decoder.step(&mut self.input)? {
                Step::Done => return Ok(None),
                Step::More => self.fill_some().await?,
                Step::Data(data) => return Ok(Some(data)),
            }
        }
    }

    /// Waits until the peer closes the connection or it breaks.
    ///
    /// Bytes that arrive are buffered as later requests. If the buffer is full, the close
    /// is no longer noticed.
    pub async fn closed(&mut self) {
        while self.input.len() < READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        pending().await
    }

    /// Reads and discards all input until the peer closes the connection.
    ///
    /// Closing a connection with unread bytes resets it, and the peer may then lose a
    /// reply that it has not read yet.
    pub async fn drain(&mut self) {
        self.input.clear();
        while matches!(self.fill().await, Ok(length) if length > 0) {
            self.input.clear();
        }
    }

    /// Reads more input and returns the number of bytes; zero if the peer has closed the
    /// connection.
    async fn fill(&mut self) -> Result<usize, Error> {
        self.input.reserve(READ_BYTES);
        let was_empty = self.input.is_empty();
        let length = self.io.read_buf(&mut self.input).await.context(BrokenSnafu)?;
        if was_empty {
            self.arrived_at = Instant::now();
        }
        Ok(length)
    }

    /// Reads more input; fails if the peer has closed the connection.
    async fn fill_some(&mut self) -> Result<(), Error> {
        match self.fill().await? {
            0 => Err(io::Error::from(io::ErrorKind::UnexpectedEof)).context(BrokenSnafu),
            _ => Ok(()),
        }
    }
}

/// Writes replies to one connection.
#[derive(Debug)]
pub struct Writer<W> {
    io: W,
    output: BytesMut,
}

impl<W: AsyncWrite + Unpin> Writer<W> {
    /// Makes a writer of a new connection.
    pub fn new(io: W) -> Self {
        Self { io, output: BytesMut::new() }
    }

    /// Returns the buffer that the next [`flush`](Self::flush) sends.
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Appends one chunk of a chunked body to the buffer.
    pub fn put_chunk(&mut self, data: &[u8]) {
        self.output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        self.output.extend_from_slice(data);
        self.output.extend_from_slice(b"\r\n");
    }

    /// Appends the end of a chunked body to the buffer.
    pub fn put_last_chunk(&mut self) {
        self.output.extend_from_slice(b"0\r\n\r\n");
    }

    /// Sends and empties the buffer.
    ///
    /// # Errors
    /// The error of the operating system if the connection breaks.
    pub async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.io.write_all(&output).await
    }

    /// Closes the sending direction of the connection.
    ///
    /// # Errors
    /// The error of the operating system if the connection breaks.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }
}
