//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head and body of a request or a reply.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Word `index` of the first line: method and target, or version and status.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// How the body of a reply ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Complete,
    /// The channel ended before the body.
    Broken,
}

/// One connection with its unread input.
pub struct Channel {
    pub io: TcpStream,
    input: Vec<u8>,
}

impl Channel {
    pub fn new(io: TcpStream) -> Self {
        let _ = io.set_nodelay(true);
        Self { io, input: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut block = [0; 16 * 1024];
        let count = self.io.read(&mut block)?;
        self.input.extend_from_slice(&block[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the channel ends first.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.input.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(k, v)| (k.to_owned(), v.trim().to_owned())).collect();
                return Ok(Some(Message { first, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.input.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.input.drain(..length).collect()))
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.input.windows(2).position(|two| two == b"\r\n") {
                let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
                self.input.drain(..end + 2);
                return Ok(Some(text));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body after `message`, and passes each part to `part` as it arrives.
    pub fn body(&mut self, message: &Message, mut part: impl FnMut(&[u8])) -> io::Result<End> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(size) = self.line()? else { return Ok(End::Broken) };
                let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
                    return Ok(End::Broken);
                };
                let Some(data) = self.exact(size + 2)? else { return Ok(End::Broken) };
                if size == 0 {
                    return Ok(End::Complete);
                }
                part(&data[..size]);
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        match self.exact(length.unwrap_or(0))? {
            Some(data) => part(&data),
            None => return Ok(End::Broken),
        }
        Ok(End::Complete)
    }

    /// Reads a whole message; `None` if the channel ends first.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        let mut body = Vec::new();
        let end = self.body(&message, |data| body.extend_from_slice(data))?;
        message.body = body;
        Ok((end == End::Complete).then_some(message))
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.io.write_all(text.as_bytes())
    }

    /// Sends a reply with a length.
    pub fn reply(&mut self, status: u16, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        self.send(&format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        ))
    }
}

/// Sends one request on a new connection and reads the whole reply.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &str) -> io::Result<Message> {
    let mut channel = Channel::open(address, Duration::from_secs(1))?;
    channel.io.set_read_timeout(Some(Duration::from_secs(3)))?;
    let length = body.len();
    channel.send(&format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {length}\r\n\r\n{body}"
    ))?;
    channel.message()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
