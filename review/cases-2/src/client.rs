//! Stand-in of a sound client: it asks the directory where to connect, keeps its connection for many
//! requests, and retries once, on a new connection, after a refusal or without an answer.

use crate::http::{Connection, Message};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Addresses of the nodes, as the directory last named them. Clients keep them for longer if they
/// cannot obtain new ones.
#[derive(Default)]
pub struct Directory {
    known: Mutex<Vec<SocketAddr>>,
}

impl Directory {
    /// Asks one node after the other for addresses, and keeps those of the first answer.
    pub fn refresh(&self, directories: &[SocketAddr]) {
        for address in directories {
            if let Some(addresses) = resolve(*address)
                && !addresses.is_empty()
            {
                *self.known.lock().expect("the known addresses") = addresses;
                return;
            }
        }
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.known.lock().expect("the known addresses").clone()
    }
}

/// Asks a node for the addresses of nodes; `None` without an answer that has any within a second.
pub fn resolve(directory: SocketAddr) -> Option<Vec<SocketAddr>> {
    let mut connection = Connection::open(directory).ok()?;
    let limit = Some(Duration::from_secs(1));
    connection.stream.set_read_timeout(limit).ok()?;
    let call = "GET /-/resolve?name=desk.example&region=r&zone=zone-1 HTTP/1.1\r\n\
                Host: directory\r\nConnection: close\r\n\r\n";
    connection.write(call.as_bytes()).ok()?;
    let answer = connection.read().ok()??;
    if answer.status() != 200 {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split_once('[')?.1.split_once(']')?.0.to_owned();
    let words = list.split(',').map(|word| word.trim().trim_matches('"'));
    Some(words.filter_map(|word| word.parse().ok()).collect())
}

/// A kept connection to a node.
pub struct KeptConnection {
    pub node: SocketAddr,
    pub opened: Instant,
    pub connection: Connection,
}

impl KeptConnection {
    pub fn open(node: SocketAddr) -> Option<Self> {
        Some(Self {
            node,
            opened: Instant::now(),
            connection: Connection::open(node).ok()?,
        })
    }

    /// Sends a request and waits for its answer until the deadline; `None` if none arrived.
    pub fn ask(&mut self, request: &str, deadline: Duration) -> Option<Message> {
        let stream = &self.connection.stream;
        stream.set_read_timeout(Some(deadline)).ok()?;
        stream.set_write_timeout(Some(deadline)).ok()?;
        self.connection.write(request.as_bytes()).ok()?;
        self.connection.read().ok()?
    }
}
