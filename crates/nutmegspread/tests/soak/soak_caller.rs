//! Callers that keep connections open and note what they see.

use crate::soak_world::{ADDRESS_PORT, CALLER_PORT};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use nutmegspread_platform::{RESOLVE_PATH, headers};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Longest wait of a caller for an answer.
const DEADLINE: Duration = Duration::from_millis(1500);
/// Pause between the requests of one caller.
const PAUSE: Duration = Duration::from_millis(15);

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    pub id: String,
    pub route: &'static str,
    pub node: IpAddr,
    pub sent: Instant,
    pub ended: Instant,
    pub seen: CallerSight,
}

/// What a caller saw.
#[derive(Clone, Debug)]
pub enum CallerSight {
    /// A whole answer.
    Answer {
        status: u16,
        stamps: Vec<String>,
        missing: usize,
        body: Bytes,
    },
    /// The connection ended first.
    Closed(String),
    /// No connection came about; nothing was sent.
    NotSent,
    /// The caller left at its deadline.
    TimedOut,
}

pub type CallerRecords = Arc<Mutex<Vec<CallerRecord>>>;

/// Sends requests until `stop` is set.
pub async fn call(
    seed: u64,
    number: usize,
    nodes: Vec<IpAddr>,
    records: CallerRecords,
    stop: watch::Receiver<bool>,
) {
    let mut random = Pcg64::seed_from_u64(seed ^ ((number as u64) << 32));
    let mut open: Option<(IpAddr, SendRequest<Full<Bytes>>)> = None;
    let mut count = 0;
    while !*stop.borrow() {
        tokio::time::sleep(PAUSE.mul_f64(random.random_range(0.3..1.7))).await;
        let route = ["gather", "gather", "fetch", "order"][random.random_range(0..4)];
        count += 1;
        let id = format!("s{seed}r{number}x{count}");
        let (node, mut sender) = match open.take() {
            Some((node, sender)) if !sender.is_closed() => (node, sender),
            _ => {
                let node = choose(&nodes, &mut random).await;
                match connect(SocketAddr::new(node, CALLER_PORT)).await {
                    Some(sender) => (node, sender),
                    None => {
                        let now = Instant::now();
                        note(&records, (id, route, node, now, now), CallerSight::NotSent);
                        continue;
                    }
                }
            }
        };
        let sent = Instant::now();
        let leaves_early = random.random_range(0..40) == 0;
        let patience = if leaves_early {
            Duration::from_millis(8)
        } else {
            DEADLINE
        };
        let seen = tokio::time::timeout(patience, exchange(&mut sender, route, &id)).await;
        let (seen, keeps) = match seen {
            Ok(Ok((seen, keeps))) => (seen, keeps),
            Ok(Err(error)) => (CallerSight::Closed(error.to_string()), false),
            Err(_) => (CallerSight::TimedOut, false),
        };
        note(&records, (id, route, node, sent, Instant::now()), seen);
        if keeps {
            open = Some((node, sender));
        }
    }
}

/// Asks a listener of a node for a path; the status, or 0 where no answer came.
pub async fn ask_path(node: IpAddr, port: u16, path: &str) -> u16 {
    let Some(mut sender) = connect(SocketAddr::new(node, port)).await else {
        return 0;
    };
    let request = Request::builder()
        .uri(path)
        .body(Full::new(Bytes::new()))
        .expect("a request of known parts");
    let answer = sender.send_request(request).await;
    answer.map_or(0, |answer| answer.status().as_u16())
}

/// Sends one request on a connection of its own; the status, or 0 where none came.
pub async fn call_once(node: IpAddr, route: &str, id: &str) -> u16 {
    match sight_once(node, route, id).await {
        Some(CallerSight::Answer { status, .. }) => status,
        _ => 0,
    }
}

/// Sends one gather; the parts in its answer and those that are missing.
pub async fn parts_once(node: IpAddr, id: &str) -> usize {
    match sight_once(node, "gather", id).await {
        Some(CallerSight::Answer {
            stamps, missing, ..
        }) => stamps.len() + missing,
        _ => 0,
    }
}

async fn sight_once(node: IpAddr, route: &str, id: &str) -> Option<CallerSight> {
    let mut sender = connect(SocketAddr::new(node, CALLER_PORT)).await?;
    let seen = tokio::time::timeout(DEADLINE, exchange(&mut sender, route, id)).await;
    seen.ok()?.ok().map(|(seen, _)| seen)
}

fn note(
    records: &CallerRecords,
    (id, route, node, sent, ended): (String, &'static str, IpAddr, Instant, Instant),
    seen: CallerSight,
) {
    let record = CallerRecord {
        id,
        route,
        node,
        sent,
        ended,
        seen,
    };
    records
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(record);
}

/// A node that the nodes name, or any where none answers.
async fn choose(nodes: &[IpAddr], random: &mut Pcg64) -> IpAddr {
    for _ in 0..3 {
        let asked = nodes[random.random_range(0..nodes.len())];
        let answer = tokio::time::timeout(Duration::from_millis(300), ask(asked)).await;
        if let Ok(Some(named)) = answer
            && !named.is_empty()
        {
            return named[random.random_range(0..named.len())].ip();
        }
    }
    nodes[random.random_range(0..nodes.len())]
}

async fn ask(node: IpAddr) -> Option<Vec<SocketAddr>> {
    let mut sender = connect(SocketAddr::new(node, ADDRESS_PORT)).await?;
    let path = format!("{RESOLVE_PATH}?name=soak.example&zone=domain-a");
    let request = Request::builder()
        .uri(path)
        .body(Full::new(Bytes::new()))
        .ok()?;
    let answer = sender.send_request(request).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
    let named = body
        .as_object()?
        .values()
        .find_map(|value| value.as_array())?;
    named
        .iter()
        .map(|address| address.as_str()?.parse().ok())
        .collect()
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let connected =
        tokio::time::timeout(Duration::from_millis(500), TcpStream::connect(address)).await;
    let (sender, connection) = handshake(TokioIo::new(connected.ok()?.ok()?)).await.ok()?;
    tokio::spawn(async move {
        // The sender sees the same error.
        let _ = connection.await;
    });
    Some(sender)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    route: &str,
    id: &str,
) -> Result<(CallerSight, bool), hyper::Error> {
    let is_order = route == "order";
    let request = Request::builder()
        .method(if is_order { Method::POST } else { Method::GET })
        .uri(format!("/{route}/x?id={id}"))
        .header("host", "soak.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::DEADLINE_MS, DEADLINE.as_millis().to_string())
        .body(Full::new(Bytes::from_static(if is_order {
            b"one urn"
        } else {
            b""
        })))
        .expect("a request of known parts");
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let status = answer.status().as_u16();
    let text = |answer: &Response<_>, name: &str| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let stamps = text(&answer, headers::PART_STAMPS)
        .or_else(|| text(&answer, headers::STAMP))
        .map(|stamps| {
            stamps
                .split(',')
                .map(|stamp| stamp.trim().to_owned())
                .collect()
        })
        .unwrap_or_default();
    let missing = text(&answer, headers::MISSING_PARTS)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let keeps = text(&answer, "connection").is_none_or(|value| value != "close");
    let body = answer.into_body().collect().await?.to_bytes();
    Ok((
        CallerSight::Answer {
            status,
            stamps,
            missing,
            body,
        },
        keeps,
    ))
}
