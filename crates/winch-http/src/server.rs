//! The server's side of a connection.

use std::{future::pending, io};

use bytes::{Bytes, BytesMut};
use snafu::{ResultExt, Snafu};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::{
    Fault,
    body::{Decoder, Framing, Step},
    head::{self, Request},
};

/// Bytes of later requests that are read ahead while one is served.
const READ_AHEAD: usize = 64 * 1024;
const READ_BYTES: usize = 4 * 1024;

/// Why no request could be read.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection broke or ended within a request.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: io::Error,
    },
    /// The bytes are not acceptable.
    #[snafu(display("{source}"), context(false))]
    Unacceptable {
        /// What is wrong with them.
        source: Fault,
    },
}

/// Reads requests from one connection.
#[derive(Debug)]
pub struct Reader<R> {
    io: R,
    input: BytesMut,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// A reader of a new connection.
    pub fn new(io: R) -> Self {
        Self { io, input: BytesMut::new() }
    }

    /// Waits for the first byte of the next request; `false` if the peer has closed.
    ///
    /// # Errors
    /// What the system said when the connection broke.
    pub async fn wait(&mut self) -> Result<bool, Error> {
        Ok(!self.input.is_empty() || self.fill().await? > 0)
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// If the connection breaks, or the head is malformed or longer than `limit` bytes.
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
    /// If the connection breaks, or the body is malformed or longer than `limit` bytes.
    pub async fn body(&mut self, framing: Framing, limit: usize) -> Result<Bytes, Error> {
        if matches!(framing, Framing::Length(length) if length > limit as u64) {
            return Err(Fault::BodyTooLarge.into());
        }
        let mut decoder = Decoder::new(framing);
        let mut body = BytesMut::new();
        loop {
            match decoder.step(&mut self.input)? {
                Step::Done => return Ok(body.freeze()),
                Step::More => self.fill_some().await?,
                Step::Data(data) if body.len() + data.len() > limit => {
                    return Err(Fault::BodyTooLarge.into());
                }
                Step::Data(data) => body.extend_from_slice(&data),
            }
        }
    }

    /// Ends when the peer closes or breaks the connection.
    pub async fn closed(&mut self) {
        while self.input.len() < READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        pending().await
    }

    /// Reads and drops what still arrives, until the peer closes.
    ///
    /// Closing a connection with unread bytes resets it, which may destroy the
    /// reply on its way.
    pub async fn drain(&mut self) {
        self.input.clear();
        while matches!(self.fill().await, Ok(length) if length > 0) {
            self.input.clear();
        }
    }

    async fn fill(&mut self) -> Result<usize, Error> {
        self.input.reserve(READ_BYTES);
        self.io.read_buf(&mut self.input).await.context(BrokenSnafu)
    }

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
    /// A writer of a new connection.
    pub fn new(io: W) -> Self {
        Self { io, output: BytesMut::new() }
    }

    /// The buffer of the next [`flush`](Self::flush).
    pub fn buffer(&mut self) -> &mut BytesMut {
        &mut self.output
    }

    /// Adds one chunk of a chunked body.
    pub fn put_chunk(&mut self, data: &[u8]) {
        self.output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        self.output.extend_from_slice(data);
        self.output.extend_from_slice(b"\r\n");
    }

    /// Adds the end of a chunked body.
    pub fn put_last_chunk(&mut self) {
        self.output.extend_from_slice(b"0\r\n\r\n");
    }

    /// Sends the buffer.
    ///
    /// # Errors
    /// What the system said when the connection broke.
    pub async fn flush(&mut self) -> io::Result<()> {
        let output = self.output.split();
        self.io.write_all(&output).await
    }

    /// Closes the sending direction.
    ///
    /// # Errors
    /// What the system said when the connection broke.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.io.shutdown().await
    }
}
