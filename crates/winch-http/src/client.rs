//! The client side of a connection.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, StatusCode};
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
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Largest number of replies that are skipped before the one to a request.
const MAX_SKIPPED_REPLIES: u32 = 16;
/// Largest total size of the bodies of replies that are skipped before the one to a request.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;
/// Least free space in the input buffer before a read, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// How long an idle connection may be reused if the server states no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Longest time for which an idle connection may be reused, whatever the server states.
const MAX_IDLE_LIMIT: Duration = Duration::from_secs(3_600);
/// How long before the server's stated idle limit a connection is no longer reused, so
/// that a request does not meet the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Why an exchange failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection broke or was closed; the request may have been processed.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The reply is not acceptable HTTP/1.1.
    #[snafu(display("unacceptable reply: {source}"), context(false))]
    Unacceptable {
        /// The reason.
        source: Fault,
    },
}

impl Error {
    /// The error of a connection that was not open in time.
    pub fn timed_out() -> Self {
        Self::Connect { source: io::ErrorKind::TimedOut.into() }
    }
}

fn broken(kind: io::ErrorKind) -> Error {
    Error::Broken { source: kind.into() }
}

/// Tells the reply to a request from other replies that arrive on its connection, such as a
/// late second reply to an earlier request.
pub trait Matcher {
    /// Whether `reply` answers the request; `is_first` states whether no other request was sent
    /// on the connection before it.
    fn matches(&self, reply: &Reply, is_first: bool) -> bool;
}

/// Matches every reply: for servers that reply to each request once and in order.
///
/// Not for replicas, which may send a reply twice.
#[derive(Clone, Copy, Debug)]
pub struct InOrder;

impl Matcher for InOrder {
    fn matches(&self, _: &Reply, _: bool) -> bool {
        true
    }
}

/// One connection to a server; it carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    io: TcpStream,
    input: BytesMut,
    decoder: Decoder,
    /// Whether a request was sent whose reply is not complete.
    is_pending: bool,
    /// Whether the connection is reset if it is dropped meanwhile.
    resets_pending: bool,
    reusable: bool,
    /// Whether a write has failed. The operating system reports a reset once, so that a read after it
    /// may find an orderly end: from then on, the end of the connection ends no body.
    write_failed: bool,
    /// When input was last read.
    read_at: Instant,
    /// A time after which the last input has arrived, for the start of the idle time.
    arrived_after: Instant,
    idle_until: Instant,
    idle_limit: Duration,
    exchanges: u32,
}

impl Connection {
    /// Connects to `address`.
    ///
    /// # Errors
    /// [`Error::Connect`], also if the connection is not open within `limit`.
    pub async fn open(address: SocketAddr, limit: Duration) -> Result<Self, Error> {
        let connected = timeout(limit, Self::connect(address)).await;
        connected.unwrap_or_else(|_| Err(Error::timed_out()))
    }

    /// Connects to `address`, for as long as the operating system tries.
    ///
    /// # Errors
    /// [`Error::Connect`].
    pub async fn connect(address: SocketAddr) -> Result<Self, Error> {
        let connected = TcpStream::connect(address).await;
        let io = connected.map_err(|source| Error::Connect { source })?;
        io.set_nodelay(true).map_err(|source| Error::Connect { source })?;
        Ok(Self::new(io))
    }

    /// Makes a connection of an open stream, on which nothing but a request is expected next.
    pub fn new(io: TcpStream) -> Self {
        let now = Instant::now();
        Self {
            io,
            input: BytesMut::new(),
            decoder: Decoder::new(Framing::Length(0)),
            is_pending: false,
            resets_pending: false,
            reusable: true,
            write_failed: false,
            read_at: now,
            arrived_after: now,
            idle_until: now,
            idle_limit: DEFAULT_IDLE_LIMIT,
            exchanges: 0,
        }
    }

    /// From now on, the connection is reset, not closed, if it is dropped before a reply is complete,
    /// or if the process is killed.
    ///
    /// What a partition holds up of a request that is given up is lost then; after a close it would
    /// arrive at the end of the partition.
    pub fn reset_pending(&mut self) {
        if !self.resets_pending {
            self.resets_pending = true;
            // Set beforehand: nothing is dropped when the process is killed. An error means that
            // the connection has already been reset.
            let _ = self.io.set_zero_linger();
        }
    }

    /// Returns the number of requests sent on this connection, including failed ones.
    pub fn exchanges(&self) -> u32 {
        self.exchanges
    }

    /// Returns whether the last exchange ended in a state that permits another one.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.decoder.is_done() && self.input.is_empty()
    }

    /// Starts the idle time of the connection, after which [`is_usable`](Self::is_usable)
    /// returns `false`.
    ///
    /// The time counts from the arrival of the end of the reply, which may have been read much
    /// later.
    pub fn start_idle(&mut self) {
        self.idle_until = self.arrived_after + self.idle_limit;
    }

    /// Returns whether an idle connection can be used: it has not expired, the server has
    /// not closed it, and no unexpected bytes have arrived.
    pub fn is_usable(&mut self) -> bool {
        let mut byte = [0];
        let no_input = matches!(self.io.try_read(&mut byte),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        no_input && Instant::now() < self.idle_until
    }

    /// Sends `request`, the encoded head and body of a request with `method`, and reads the
    /// head of the reply that `matcher` finds to answer it.
    ///
    /// Informational replies are skipped, and other replies are read to their end and
    /// discarded, as long as they are few and short.
    ///
    /// # Errors
    /// Any [`Error`] except [`Error::Connect`].
    pub async fn exchange(
        &mut self,
        method: &Method,
        request: &[u8],
        matcher: &impl Matcher,
    ) -> Result<Reply, Error> {
        let is_first = self.exchanges == 0;
        self.exchanges += 1;
        self.is_pending = true;
        self.reusable = false;
        let (mut reader, mut writer) = self.io.split();
        let mut write = std::pin::pin!(writer.write_all(request));
        let mut written = false;
        let (mut skipped_replies, mut skipped_bytes) = (0, 0);
        loop {
            while !self.decoder.is_done() {
                match self.decoder.step(&mut self.input)? {
                    Step::More => break,
                    Step::Data(data) => skipped_bytes += data.len(),
                    Step::Done => {}
                }
                if skipped_bytes > MAX_SKIPPED_BYTES {
                    return Err(Fault::BodyTooLarge.into());
                }
            }
            if self.decoder.is_done()
                && let Some(reply) = head::take_reply(&mut self.input, MAX_HEAD_BYTES)?
            {
                skipped_replies += 1;
                if skipped_replies > MAX_SKIPPED_REPLIES {
                    return Err(Fault::TooManyReplies.into());
                }
                if reply.status == StatusCode::SWITCHING_PROTOCOLS {
                    // No request asks for it, and what follows is no reply.
                    return Err(Fault::Malformed.into());
                }
                if reply.status.is_informational() {
                    continue;
                }
                self.decoder = Decoder::new(Framing::of_reply(method, &reply)?);
                if matcher.matches(&reply, is_first) {
                    // After an early reply the server still expects the rest of the request.
                    self.reusable = written && !self.write_failed && reply.keeps_alive();
                    self.is_pending = !self.decoder.is_done();
                    self.idle_limit = reply.idle_limit_s().map_or(DEFAULT_IDLE_LIMIT, |limit| {
                        Duration::from_secs(limit).saturating_sub(IDLE_MARGIN).min(MAX_IDLE_LIMIT)
                    });
                    return Ok(reply);
                }
                continue;
            }
            self.input.reserve(READ_BYTES);
            tokio::select! {
                // A write error does not end the exchange: a reply may have been received before it.
                result = &mut write, if !written => {
                    written = true;
                    self.write_failed |= result.is_err();
                }
                read = reader.read_buf(&mut self.input) => match read {
                    Ok(0) => return Err(broken(io::ErrorKind::UnexpectedEof)),
                    Ok(_) => {
                        self.read_at = Instant::now();
                        self.arrived_after = self.read_at;
                    }
                    Err(source) => return Err(Error::Broken { source }),
                },
            }
        }
    }

    /// Reads the next part of the reply's body; `None` at its end.
    ///
    /// The method is cancel safe: no bytes are lost if the future is dropped.
    ///
    /// # Errors
    /// [`Error::Broken`] if the connection ends before the body, [`Error::Unacceptable`] if
    /// the body is malformed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        loop {
            match self.decoder.step(&mut self.input)? {
                Step::Data(data) => return Ok(Some(data)),
                Step::Done => {
                    self.is_pending = false;
                    return Ok(None);
                }
                Step::More => {}
            }
            match self.fill().await {
                Ok(0) if self.decoder.ends_with_connection() && !self.write_failed => {
                    self.decoder = Decoder::new(Framing::Length(0));
                    self.reusable = false;
                }
                Ok(0) => return Err(broken(io::ErrorKind::UnexpectedEof)),
                Ok(_) => {}
                Err(source) => return Err(Error::Broken { source }),
            }
        }
    }

    /// Reads more input and returns the number of bytes; zero if the server has closed the
    /// connection.
    async fn fill(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        let read = match self.io.try_read_buf(&mut self.input) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let read = self.io.read_buf(&mut self.input).await;
                self.arrived_after = Instant::now();
                read
            }
            read => {
                // It may have arrived at any time since the last read.
                self.arrived_after = self.read_at;
                read
            }
        };
        self.read_at = Instant::now();
        read
    }

    /// Reads the rest of the reply's body.
    ///
    /// # Errors
    /// As [`chunk`](Self::chunk), and [`Fault::BodyTooLarge`] if it has more than `limit`
    /// bytes.
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

impl Drop for Connection {
    fn drop(&mut self) {
        if self.resets_pending && !self.is_pending {
            // An error means that the connection has already been reset.
            #[expect(deprecated, reason = "without a time to linger, no close blocks")]
            let _ = self.io.set_linger(None);
        }
    }
}
