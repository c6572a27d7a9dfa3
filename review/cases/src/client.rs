//! Clients: they ask for addresses, send requests and follow the rules for retries.

use crate::world::{Dice, HOST, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

/// Number of nodes that a client asks for addresses.
const DIRECTORIES: usize = 3;
/// Longest time for which an answer is kept (`ttl_max_s`).
const MAX_KEEP_S: f64 = 5.0;

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

/// Asks a node which nodes to use, and for how long the answer may be kept.
pub async fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/-/resolve?name={HOST}&region=za-gauteng&zone=gp-midrand");
    let answer = get(directory, &path).await?;
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let addresses = body["addrs"].as_array()?.iter();
    let addresses = addresses.map(|address| address.as_str()?.parse().ok());
    let keep = Duration::try_from_secs_f64(body["ttl_s"].as_f64()?.min(MAX_KEEP_S)).ok()?;
    Some((addresses.collect::<Option<_>>()?, keep))
}

/// Clients, each of which asks the directory for itself and takes requests in turn.
pub struct Clients {
    clients: Vec<Client>,
    next: AtomicUsize,
}

struct Client {
    /// Nodes that the client asks, the nearest first.
    directories: Vec<SocketAddr>,
    /// The last answer, and until when it may be kept.
    known: Mutex<(Vec<SocketAddr>, Instant)>,
    dice: Dice,
}

impl Clients {
    /// Creates twice as many clients as there are nodes; each is nearest to one of these.
    pub fn new(world: &World) -> Self {
        let nodes = &world.nodes;
        let client = |number: usize| Client {
            directories: (0..DIRECTORIES.min(nodes.len()))
                .map(|next| nodes[(number + next) % nodes.len()].addresses)
                .collect(),
            known: Mutex::new((Vec::new(), Instant::now())),
            dice: Dice::new((u64::from(std::process::id()) << 20) + ((number as u64) << 40)),
        };
        Self {
            clients: (0..2 * nodes.len()).map(client).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Returns the address that the next client uses for a new connection; `None` if it knows none.
    pub async fn pick(&self) -> Option<SocketAddr> {
        let number = self.next.fetch_add(1, Ordering::Relaxed) % self.clients.len();
        self.clients[number].pick().await
    }
}

impl Client {
    async fn pick(&self) -> Option<SocketAddr> {
        let mut known = self.known.lock().await;
        if Instant::now() >= known.1 {
            // Without a new answer, the client keeps the old one and asks again later.
            known.1 = Instant::now() + Duration::from_secs(1);
            for directory in &self.directories {
                if let Some((addresses, keep)) = resolve(*directory).await {
                    *known = (addresses, Instant::now() + keep);
                    break;
                }
            }
        }
        let index = (self.dice.roll() * known.0.len() as f64) as usize;
        known.0.get(index).copied()
    }
}
