//! Clients as the users' pages describe them: they ask the directory where to connect, keep connections,
//! and repeat a request only where they may.

use crate::http::{Connection, Message};
use crate::json;
use crate::record::Record;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Longest wait for a connection, and for an answer of the directory.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Longest time for which an answer of the directory is kept.
const LONGEST_KEEP: Duration = Duration::from_secs(5);
/// Idle time after which a client does not use a connection again: four fifths of the limit.
const IDLE_TIME: Duration = Duration::from_secs(12);
/// Number of client attempts of one request.
const ATTEMPTS: usize = 2;

/// Number of requests with an id so far.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub path: &'static str,
    pub is_safe: bool,
    pub deadline: Duration,
}

/// How a client attempt ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    Answer(Message),
    /// The connection ended, or no answer came in time.
    None,
}

/// One client.
#[derive(Debug)]
pub struct Client {
    directories: Vec<SocketAddr>,
    zone: usize,
    record: Arc<Record>,
    fronts: Vec<SocketAddr>,
    kept_until: Option<Instant>,
    idle: Option<(SocketAddr, Connection, Instant)>,
    random: u64,
}

impl Client {
    pub fn new(directories: Vec<SocketAddr>, number: usize, record: &Arc<Record>) -> Self {
        Self {
            directories,
            zone: number,
            record: Arc::clone(record),
            fronts: Vec::new(),
            kept_until: None,
            idle: None,
            random: (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        }
    }

    /// Sends requests at this interval until `stop` is set.
    pub fn run(&mut self, kind: RequestKind, interval: Duration, stop: &AtomicBool) {
        let mut next = Instant::now() + interval.mul_f64(self.draw() as f64 / u32::MAX as f64);
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            self.request(kind);
            next = (next + interval).max(Instant::now());
        }
    }

    /// Sends one request, and sends it again where a client may. Returns the last outcome.
    pub fn request(&mut self, kind: RequestKind) -> Outcome {
        let end = Instant::now() + kind.deadline;
        let mut outcome = Outcome::None;
        for attempt in 0..ATTEMPTS {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            outcome = self.attempt(kind, left, attempt > 0);
            let mut wait = Duration::ZERO;
            let may_repeat = match &outcome {
                Outcome::Answer(answer) => {
                    let seconds = answer.header("retry-after");
                    let seconds = seconds.and_then(|text| text.parse::<f64>().ok());
                    wait = Duration::from_secs_f64(seconds.unwrap_or(0.0));
                    match answer.status() {
                        200..300 | 400 | 401 | 404 | 413 | 431 => false,
                        408 | 421 | 429 | 503 => true,
                        _ => kind.is_safe,
                    }
                }
                Outcome::None => kind.is_safe,
            };
            if !may_repeat {
                break;
            }
            let left = end.saturating_duration_since(Instant::now());
            std::thread::sleep(wait.min(left / 3));
        }
        outcome
    }

    /// Makes one client attempt, with an id of its own.
    fn attempt(&mut self, kind: RequestKind, left: Duration, is_repeat: bool) -> Outcome {
        let (id, text) = request_text(kind, left, "");
        let (front, mut connection) = match self.connection(is_repeat) {
            Ok(connection) => connection,
            Err(error) => {
                self.record.add(&format!("unsent id={id} {error}"));
                return Outcome::None;
            }
        };
        self.record
            .add_sent(&id, &format!("sent id={id} {} to {front}", kind.path));
        let answer = exchange(&mut connection, &text, left);
        match answer {
            Ok(answer) => {
                self.record
                    .add(&format!("answered id={id} {}", answer.status()));
                if answer.header("connection") != Some("close") {
                    self.idle = Some((front, connection, Instant::now()));
                }
                Outcome::Answer(answer)
            }
            Err(error) => {
                self.record.add(&format!("unanswered id={id} {error}"));
                Outcome::None
            }
        }
    }

    /// Returns the kept connection, or a new one to a random front.
    fn connection(&mut self, is_new: bool) -> Result<(SocketAddr, Connection)> {
        self.resolve()?;
        if let Some((front, connection, used)) = self.idle.take()
            && !is_new
            && used.elapsed() < IDLE_TIME
            && self.fronts.contains(&front)
        {
            return Ok((front, connection));
        }
        let choice = self.draw() as usize % self.fronts.len();
        let front = self.fronts[choice];
        let stream = TcpStream::connect_timeout(&front, CONNECT_TIME)?;
        Ok((front, Connection::new(stream)))
    }

    /// Asks up to three directories where to connect, if the last answer is too old.
    fn resolve(&mut self) -> Result<()> {
        if self.kept_until.is_some_and(|until| Instant::now() < until) {
            return Ok(());
        }
        let count = self.directories.len();
        for step in 0..3.min(count) {
            let directory = self.directories[(self.zone + step) % count];
            let path = "/-/resolve?name=shops.example&region=region-a&zone=zone-a";
            let Ok(answer) = fetch(directory, path) else {
                continue;
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let fronts = json::field(&body, "addrs")
                .map(json::texts)
                .unwrap_or_default();
            let fronts: Vec<SocketAddr> =
                fronts.iter().filter_map(|text| text.parse().ok()).collect();
            let time = json::field(&body, "ttl_s").and_then(|text| text.parse::<f64>().ok());
            if let (200, false, Some(time)) = (answer.status(), fronts.is_empty(), time) {
                let keep = Duration::from_secs_f64(time).min(LONGEST_KEEP);
                self.kept_until = Some(Instant::now() + keep);
                self.fronts = fronts;
                return Ok(());
            }
        }
        if self.fronts.is_empty() {
            return Err(Error::other("no directory answered"));
        }
        Ok(())
    }

    /// Next random number (xorshift, G. Marsaglia, 2003).
    fn draw(&mut self) -> u32 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 32) as u32
    }
}

/// Sends a request and reads its answer within a time.
fn exchange(connection: &mut Connection, text: &str, time: Duration) -> Result<Message> {
    connection.stream.set_read_timeout(Some(time))?;
    connection.write(text.as_bytes())?;
    connection
        .read()?
        .ok_or_else(|| ErrorKind::UnexpectedEof.into())
}

/// Sends one request of a kind to a node, on a connection of its own. Returns its id and the answer.
pub fn probe(front: SocketAddr, kind: RequestKind, record: &Record) -> Result<(String, Message)> {
    let stream = TcpStream::connect_timeout(&front, CONNECT_TIME)?;
    let mut connection = Connection::new(stream);
    let (id, text) = request_text(kind, kind.deadline, "Connection: close\r\n");
    record.add(&format!("sent id={id} {} to {front}", kind.path));
    let answer = exchange(&mut connection, &text, kind.deadline)?;
    record.add(&format!("answered id={id} {}", answer.status()));
    Ok((id, answer))
}

/// Encodes a request with an id of its own, which is returned with it.
fn request_text(kind: RequestKind, left: Duration, headers: &str) -> (String, String) {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:016x}", number | 0x5a00 << 32);
    let (method, body) = if kind.is_safe {
        ("GET", "")
    } else {
        ("POST", "one order")
    };
    let length = match body.len() {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    let text = format!(
        "{method} {path}{id} HTTP/1.1\r\nHost: shops.example\r\nNutmegspread-Request-Id: {id}\r\n\
         Nutmegspread-Deadline-Ms: {}\r\n{headers}{length}\r\n{body}",
        left.as_millis(),
        path = kind.path
    );
    (id, text)
}

/// Gets a path from a listener on a connection of its own.
pub fn fetch(address: SocketAddr, path: &str) -> Result<Message> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIME)?;
    let mut connection = Connection::new(stream);
    let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    exchange(&mut connection, &text, CONNECT_TIME)
}
