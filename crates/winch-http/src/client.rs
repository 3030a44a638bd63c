//! The client's side of a connection.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::Method;
use snafu::Snafu;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    Fault,
    body::{Decoder, Framing, Step},
    head::{self, Reply},
};

/// Longest head of a reply, in bytes.
const MAX_HEAD: usize = 32 * 1024;
const READ_BYTES: usize = 4 * 1024;
/// How long an idle connection is kept when the server states no limit.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
/// Part of the server's stated idle limit that is left unused.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// No connection was made; nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke or ended; what was sent may have been processed.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// What the system said.
        source: io::Error,
    },
    /// The reply is not acceptable HTTP.
    #[snafu(display("unacceptable reply: {source}"), context(false))]
    Unacceptable {
        /// What is wrong with it.
        source: Fault,
    },
}

fn broken(kind: io::ErrorKind) -> Error {
    Error::Broken { source: kind.into() }
}

/// One connection to a server; it carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    input: BytesMut,
    decoder: Decoder,
    reusable: bool,
    expires: Instant,
    idle: Duration,
    exchanges: u32,
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`Error::Connect`], also after `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let io = connected.map_err(|source| Error::Connect { source })?;
        io.set_nodelay(true).map_err(|source| Error::Connect { source })?;
        Ok(Self {
            io,
            input: BytesMut::new(),
            decoder: Decoder::new(Framing::Length(0)),
            reusable: true,
            expires: Instant::now(),
            idle: DEFAULT_IDLE,
            exchanges: 0,
        })
    }

    /// Number of requests that were sent on this connection.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// Whether the last exchange ended so that another may follow.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.decoder.is_done() && self.input.is_empty()
    }

    /// Starts the time for which the connection may stay idle.
    pub fn start_idle(&mut self) {
        self.expires = Instant::now() + self.idle;
    }

    /// Whether an idle connection may still be used: neither expired nor closed,
    /// and without unexpected bytes.
    pub fn is_usable(&mut self) -> bool {
        let mut byte = [0];
        let quiet = matches!(self.io.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        quiet && Instant::now() < self.expires
    }

    /// Sends a request and reads the head of a reply for which `accepts` holds.
    ///
    /// Replies that are not accepted are read to their end and dropped.
    ///
    /// # Errors
    /// Any [`Error`] but [`Error::Connect`].
    pub async fn exchange(
        &mut self,
        method: &Method,
        request: &[u8],
        accepts: impl Fn(&Reply) -> bool,
    ) -> Result<Reply, Error> {
        self.exchanges += 1;
        self.reusable = false;
        let (mut reader, mut writer) = self.io.split();
        let mut write = std::pin::pin!(writer.write_all(request));
        let mut written = false;
        loop {
            while !self.decoder.is_done() {
                if matches!(self.decoder.step(&mut self.input)?, Step::More) {
                    break;
                }
            }
            if self.decoder.is_done()
                && let Some(reply) = head::take_reply(&mut self.input, MAX_HEAD)?
            {
                if reply.status.is_informational() {
                    continue;
                }
                self.decoder = Decoder::new(Framing::of_reply(method, &reply)?);
                if accepts(&reply) {
                    // A server that replies early still expects the rest of the body.
                    self.reusable = written && reply.keeps_alive();
                    self.idle = reply.idle_limit_s().map_or(DEFAULT_IDLE, |limit| {
                        Duration::from_secs(limit).saturating_sub(IDLE_MARGIN)
                    });
                    return Ok(reply);
                }
                continue;
            }
            self.input.reserve(READ_BYTES);
            tokio::select! {
                // A write error alone says nothing: a reply may have come before it.
                _ = &mut write, if !written => written = true,
                read = reader.read_buf(&mut self.input) => match read {
                    Ok(0) => return Err(broken(io::ErrorKind::UnexpectedEof)),
                    Ok(_) => {}
                    Err(source) => return Err(Error::Broken { source }),
                },
            }
        }
    }

    /// The next part of the reply's body; `None` at its end.
    ///
    /// Cancelling the future loses nothing.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection ends before the body does.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.decoder.step(&mut self.input)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::Done => return Ok(None),
                Step::More => {}
            }
            self.input.reserve(READ_BYTES);
            match self.io.read_buf(&mut self.input).await {
                Ok(0) if self.decoder.ends_with_connection() => {
                    self.decoder = Decoder::new(Framing::Length(0));
                    self.reusable = false;
                }
                Ok(0) => return Err(broken(io::ErrorKind::UnexpectedEof)),
                Ok(_) => {}
                Err(source) => return Err(Error::Broken { source }),
            }
        }
    }

    /// The rest of the reply's body.
    ///
    /// # Errors
    /// As [`chunk`](Self::chunk), and [`Fault::BodyTooLarge`] beyond `limit` bytes.
    pub async fn body(&mut self, limit: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(data) = self.chunk().await? {
            if body.len() + data.len() > limit {
                return Err(Fault::BodyTooLarge.into());
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }
}
