//! Searcher that behaves as the users' pages say, and can be made faulty.

use crate::world::{Clock, Dice, Record, World, mix};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Fault of a searcher while the disruption is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// A share of the answers is sent once more, at the point where the next answer is expected.
    ExtraLate(f64),
    /// A share of the requests runs and is answered with this status, as a failure.
    FailsWith(u16, f64),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub slots: usize,
    pub queue: usize,
    pub work_ms: (f64, f64),
    pub fault: Fault,
    /// Number of requests that arrived and were not rejected because of the expected instance.
    pub arrived: Arc<AtomicUsize>,
}

impl Plan {
    /// A sound searcher of version `v1`.
    pub fn sound(id: &str, service: &str, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            version: "v1".to_owned(),
            zone: zone.to_owned(),
            slots: 6,
            queue: 24,
            work_ms: (20.0, 60.0),
            fault: Fault::None,
            arrived: Arc::default(),
        }
    }
}

pub struct Searcher {
    plan: Plan,
    slots: Semaphore,
    waiting: AtomicUsize,
    dice: Dice,
    clock: Arc<Clock>,
    record: Arc<Record>,
}

impl Searcher {
    /// Starts a searcher and registers it; returns its address.
    pub async fn start(world: &World, plan: Plan) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let entry = serde_json::json!({ "service": plan.service, "addr": address.to_string(),
            "zone": plan.zone, "version": plan.version, "slots": plan.slots, "state": "ready",
            "warmupLeftMs": 0, "seq": 1, "born": 1_790_000_000_000_u64 });
        let entry = entry.to_string();
        world.store.put("servers", &plan.id, entry.as_bytes());
        let seed = plan
            .id
            .bytes()
            .fold(std::process::id() as u64 * 7919, |sum, byte| {
                sum.wrapping_mul(131).wrapping_add(u64::from(byte))
            });
        let searcher = Arc::new(Self {
            slots: Semaphore::new(plan.slots),
            waiting: AtomicUsize::new(0),
            dice: Dice::new(seed),
            clock: Arc::clone(&world.clock),
            record: Arc::clone(&world.record),
            plan,
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let searcher = Arc::clone(&searcher);
                tokio::spawn(async move {
                    let _ = searcher.serve(stream).await;
                });
            }
        });
        Ok(address)
    }

    /// Serves the requests on one connection, one at a time.
    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut buffer = Vec::new();
        let mut extra: Option<(String, Vec<u8>)> = None;
        loop {
            let request = read_request(&mut stream, &mut buffer).await?;
            let id = request
                .header("nutmegspread-request-id")
                .unwrap_or("none")
                .to_owned();
            if let Some((answered, extra)) = extra.take() {
                let same = if answered == id {
                    "the same request"
                } else {
                    &id
                };
                self.record.note(
                    &self.clock,
                    format!(
                        "{} answers {answered} once more as {same} arrives",
                        self.plan.id
                    ),
                );
                stream.write_all(&extra).await.ok()?;
            }
            let answer = tokio::select! {
                answer = self.answer(&request) => answer,
                // The connection was closed, or the caller sent bytes ahead: work is dropped.
                () = until_closed(&stream) => return None,
            };
            stream.write_all(&answer).await.ok()?;
            if self.clock.is_trouble()
                && let Fault::ExtraLate(share) = self.plan.fault
                && self.dice.roll() < share
            {
                extra = Some((id, answer));
            }
        }
    }

    async fn answer(&self, request: &Request) -> Vec<u8> {
        let Plan { id: own, .. } = &self.plan;
        if request.path == "/health" {
            return answer(200, &[("Nutmegspread-Instance-Id", own)], b"");
        }
        let Some(id) = request.header("nutmegspread-request-id") else {
            return answer(400, &[("Nutmegspread-Not-Executed", "1")], b"");
        };
        self.record
            .note(&self.clock, format!("arrived {id} at {own}"));
        let rejection = |status| {
            self.record
                .note(&self.clock, format!("rejected {id} at {own} with {status}"));
            let headers = [
                ("Nutmegspread-Request-Id", id),
                ("Nutmegspread-Not-Executed", "1"),
            ];
            answer(status, &headers, b"")
        };
        let expected = request.header("nutmegspread-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            return rejection(421);
        }
        self.plan.arrived.fetch_add(1, Ordering::Relaxed);
        let deadline_ms: f64 = request
            .header("nutmegspread-deadline-ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(30_000.0);
        let deadline = tokio::time::Instant::now() + Duration::from_secs_f64(deadline_ms / 1000.0);
        let slot = match self.slots.try_acquire() {
            Ok(slot) => slot,
            Err(_) => {
                if self.waiting.load(Ordering::Relaxed) >= self.plan.queue {
                    return rejection(503);
                }
                let _place = Place::take(&self.waiting);
                match tokio::time::timeout_at(deadline, self.slots.acquire()).await {
                    Ok(Ok(slot)) => slot,
                    _ => return rejection(503),
                }
            }
        };
        self.record.run(&self.clock, id, own);
        let (least, most) = self.plan.work_ms;
        let work = least + (most - least) * self.dice.roll();
        let work = tokio::time::sleep(Duration::from_secs_f64(work / 1000.0));
        let is_late = tokio::time::timeout_at(deadline, work).await.is_err();
        drop(slot);
        let stamp = format!("{}/{own}/{id}", self.plan.service);
        let headers = [
            ("Nutmegspread-Request-Id", id),
            ("Nutmegspread-Server-Stamp", stamp.as_str()),
        ];
        if is_late {
            return answer(504, &headers, b"");
        }
        if self.clock.is_trouble()
            && let Fault::FailsWith(status, share) = self.plan.fault
            && self.dice.roll() < share
        {
            self.record
                .note(&self.clock, format!("failed {id} at {own} with {status}"));
            return answer(status, &headers, b"failed after it had begun");
        }
        answer(200, &headers, &records(&self.plan.service, id))
    }
}

/// The body of an answer: records of 16 bytes, in no order.
fn records(service: &str, id: &str) -> Vec<u8> {
    let seed = service.bytes().chain(id.bytes()).fold(0, |sum: u64, byte| {
        sum.wrapping_mul(131).wrapping_add(u64::from(byte))
    });
    (0..24)
        .flat_map(|number| mix(seed ^ (number << 48)).to_be_bytes())
        .collect()
}

/// A place in the queue of a searcher.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn take(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns once the peer has closed the connection.
async fn until_closed(stream: &TcpStream) {
    let mut byte = [0];
    while !matches!(stream.peek(&mut byte).await, Ok(0) | Err(_)) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A request as a searcher reads it.
pub struct Request {
    pub path: String,
    head: String,
}

impl Request {
    /// Value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let path = head.split(' ').nth(1)?.to_owned();
            let request = Request { path, head };
            let length: usize = request
                .header("content-length")
                .map_or(Some(0), |text| text.parse().ok())?;
            while buffer.len() < end + 4 + length {
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return None;
                }
            }
            buffer.drain(..end + 4 + length);
            return Some(request);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}
