//! The little of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            bytes: Vec::new(),
        }
    }

    /// Opens a connection within a second, as the clients of the platform do.
    pub fn open(address: SocketAddr) -> Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads a message; `Ok(None)` if the connection ended before its first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let head_end = loop {
            let end = self.bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end;
            }
            if !self.fill()? {
                return if self.bytes.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::from(ErrorKind::UnexpectedEof))
                };
            }
        };
        let head: Vec<u8> = self.bytes.drain(..head_end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.to_ascii_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        let length = message.header("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.bytes.len() < length {
            if !self.fill()? {
                return Err(Error::from(ErrorKind::UnexpectedEof));
            }
        }
        message.body = self.bytes.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> Result<bool> {
        let mut buffer = [0; 16 * 1024];
        let read = self.stream.read(&mut buffer)?;
        self.bytes.extend_from_slice(&buffer[..read]);
        Ok(read > 0)
    }
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
