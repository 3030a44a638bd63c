//! Consumers: they send one request on a new channel and read its whole answer.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::http::{Connection, Message};

/// A request of a consumer.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub target: String,
    pub id: String,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

impl Request {
    fn encode(&self) -> Vec<u8> {
        let Self { method, target, id, deadline, body } = self;
        let head = format!(
            "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {}\r\nCredential: {KEY}\r\nContent-Length: {}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }

    /// Sends the request to the daemon at `front`, and reads the answer.
    ///
    /// # Errors
    /// If there is no complete answer until the deadline.
    pub fn send(&self, front: SocketAddr) -> io::Result<Message> {
        let mut connection = self.open(front)?;
        connection.write(&self.encode())?;
        connection.read()
    }

    /// Sends the request to the daemon at `front`, and leaves if there is no answer after `patience`.
    ///
    /// # Errors
    /// If there is no complete answer until then.
    pub fn send_and_leave(&self, front: SocketAddr, patience: Duration) -> io::Result<Message> {
        let mut connection = self.open(front)?;
        connection.stream.set_read_timeout(Some(patience))?;
        connection.write(&self.encode())?;
        connection.read()
    }

    /// As [`Self::send()`], on a channel that is kept for further requests.
    ///
    /// # Errors
    /// As [`Self::send()`].
    pub fn send_on(&self, connection: &mut Connection) -> io::Result<Message> {
        connection.write(&self.encode())?;
        connection.read()
    }

    /// As [`Self::send()`], over a link of this bandwidth.
    ///
    /// # Errors
    /// As [`Self::send()`].
    pub fn send_over(&self, front: SocketAddr, mbit_s: f64) -> io::Result<Message> {
        const PIECE_BYTES: usize = 32 * 1024;
        let mut connection = self.open(front)?;
        let (started_at, mut sent) = (Instant::now(), 0);
        for piece in self.encode().chunks(PIECE_BYTES) {
            connection.write(piece)?;
            sent += piece.len();
            let due = Duration::from_secs_f64(sent as f64 * 8.0 / (mbit_s * 1e6));
            thread::sleep(due.saturating_sub(started_at.elapsed()));
        }
        connection.read()
    }

    fn open(&self, front: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(self.deadline))?;
        stream.set_write_timeout(Some(self.deadline))?;
        Ok(Connection::new(stream))
    }
}

/// The answer as the record names it.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => {
            let signed = if answer.header("replica-signature").is_some() { ", signed" } else { "" };
            format!("{}{signed}", answer.status())
        }
        Err(error) => format!("no answer ({error})"),
    }
}
