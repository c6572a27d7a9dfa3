//! Clients: they ask for addresses, send requests and follow the rules for retries.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

/// Sends a request on a new connection and reads the answer. Returns `None` if there is no complete
/// answer within `limit`.
pub async fn call(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Answer> {
    tokio::time::timeout(limit, exchange(address, request))
        .await
        .ok()
        .flatten()
}

/// Sends a GET request and reads the answer.
pub async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    call(address, request.as_bytes(), Duration::from_secs(1)).await
}

async fn exchange(address: SocketAddr, request: &[u8]) -> Option<Answer> {
    let connect = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(address));
    let mut stream = connect.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).await.ok()?;
    let mut buffer = Vec::new();
    read_answer(&mut stream, &mut buffer).await
}

/// Reads the next answer, which has to state its length.
pub async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Answer> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let mut answer = Answer {
                status,
                head,
                body: Vec::new(),
            };
            let length: usize = answer
                .header("content-length")
                .map_or(Some(0), |text| text.parse().ok())?;
            while buffer.len() < end + 4 + length {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            answer.body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            return Some(answer);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Asks a node which nodes to use.
pub async fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let path = format!(
        "/-/resolve?name={}&region=za-gauteng&zone=gp-midrand",
        crate::world::HOST
    );
    let answer = get(directory, &path).await?;
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = body["addrs"].as_array()?.iter();
    addresses
        .map(|address| address.as_str()?.parse().ok())
        .collect()
}
