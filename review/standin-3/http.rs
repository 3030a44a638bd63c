//! HTTP/1.1 over blocking sockets: what the stand-ins need of it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A head with its body, of a request or of a reply.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request, or the status line of a reply.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// The status of a reply.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        let (bytes, mut out, mut i) = (value.as_bytes(), Vec::new(), 0);
        while i < bytes.len() {
            let hex = value.get(i + 1..i + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
            match (bytes[i], hex) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    i += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    i += 1;
                }
            }
        }
        String::from_utf8(out).ok()
    }
}

/// One end of a connection, with its buffered input.
pub struct Channel {
    pub io: TcpStream,
    input: Vec<u8>,
}

impl Channel {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self { io, input: Vec::new() }
    }

    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, limit).map(Self::new)
    }

    /// Reads more input; an error at the end of the connection.
    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        match self.io.read(&mut buffer)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.input.extend_from_slice(&buffer[..length]);
                Ok(())
            }
        }
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = self.input.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    Some((key.trim().to_owned(), value.trim().to_owned()))
                });
                return Ok(Message { first, headers: headers.collect(), body: Vec::new() });
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < length {
            self.fill()?;
        }
        Ok(self.input.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.input.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the next chunk of a chunked body; empty at its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.take(size)?;
        self.line()?;
        Ok(data)
    }

    /// Reads the body that belongs to a head with a length or chunks.
    pub fn body(&mut self, head: &mut Message) -> io::Result<()> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let data = self.chunk()?;
                if data.is_empty() {
                    return Ok(());
                }
                head.body.extend_from_slice(&data);
            }
        }
        let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        head.body = self.take(length)?;
        Ok(())
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut head = self.head()?;
        self.body(&mut head)?;
        Ok(head)
    }

    /// Waits for some milliseconds; `None` if the other end has closed the connection.
    pub fn check_open(&self) -> Option<()> {
        let _ = self.io.set_read_timeout(Some(Duration::from_millis(5)));
        let peeked = self.io.peek(&mut [0]);
        let _ = self.io.set_read_timeout(None);
        match peeked {
            Ok(0) => None,
            Ok(_) => {
                std::thread::sleep(Duration::from_millis(5));
                Some(())
            }
            Err(error) => {
                use io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
                matches!(error.kind(), Interrupted | TimedOut | WouldBlock).then_some(())
            }
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.io.write_all(bytes)
    }

    /// Sends a reply with a length.
    pub fn reply(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut out =
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
                .into_bytes();
        out.extend_from_slice(body);
        self.send(&out)
    }
}
