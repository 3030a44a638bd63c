//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The value of a query parameter, decoded; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map_or(String::new(), |(_, value)| decode(value))
    }
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let escaped = escaped.and_then(|digits| std::str::from_utf8(digits).ok());
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 64 * 1024];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            length => {
                self.input.extend_from_slice(&bytes[..length]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> io::Result<Message> {
        let end = loop {
            if let Some(at) = self.input.windows(4).position(|four| four == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
        Ok(Message { first, headers: headers.collect(), body: Vec::new() })
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < length {
            self.fill()?;
        }
        Ok(self.input.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.input[..at]).into_owned();
                self.input.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads one chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.split(';').next().unwrap_or_default().trim(), 16);
        let size = size.map_err(io::Error::other)?;
        if size == 0 {
            while !self.line()?.is_empty() {}
            return Ok(None);
        }
        let data = self.take(size)?;
        self.take(2)?;
        Ok(Some(data))
    }

    /// Reads the body of a message whose head was read.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let is_chunked = |coding: &str| coding.eq_ignore_ascii_case("chunked");
        if message.header("transfer-encoding").is_some_and(is_chunked) {
            while let Some(data) = self.chunk()? {
                message.body.extend_from_slice(&data);
            }
            return Ok(());
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(())
    }

    /// Reads a complete message.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}
