//! The platform's store, as the users' pages describe it: objects by kind and name, lists in pages
//! of about 500 objects or 1 MB, and watches. What is stored as `spec` is returned byte by byte.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Largest number of objects on a page of a list.
const PAGE_OBJECTS: usize = 500;
/// Largest size of a page, and of an object (`valueBytes`).
pub const PAGE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Vec<u8>,
    status: Vec<u8>,
}

#[derive(Default)]
struct Data {
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, encoded object, and whether it was removed.
    events: Vec<(u64, String, Vec<u8>, bool)>,
}

struct State {
    data: Mutex<Data>,
    revision: watch::Sender<u64>,
}

/// A running store.
pub struct Store {
    address: SocketAddr,
    state: Arc<State>,
}

impl Store {
    /// Starts a store on a free port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            data: Mutex::default(),
            revision: watch::channel(1).0,
        });
        let served = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&served);
                tokio::spawn(async move {
                    let _ = serve(&state, stream).await;
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Creates an object or replaces its `spec`, as the operator or a searcher does.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        self.state
            .put(kind, name, |object| object.spec = spec.to_vec());
    }

    /// What the system wrote as the `status` of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let data = self.state.data.lock().unwrap();
        let object = data.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(String::from_utf8_lossy(&object.status).into_owned())
    }
}

impl State {
    fn put(&self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> Vec<u8> {
        let mut data = self.data.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let revision = *self.revision.borrow() + 1;
        let known = data.objects.get(&key).cloned();
        let mut object = known.clone().unwrap_or(Object {
            revision,
            created: revision,
            spec: b"null".to_vec(),
            status: b"null".to_vec(),
        });
        change(&mut object);
        let is_same =
            known.is_some_and(|known| known.spec == object.spec && known.status == object.status);
        if !is_same {
            object.revision = revision;
            data.events
                .push((revision, kind.to_owned(), encode(name, &object), false));
            data.objects.insert(key, object.clone());
            self.revision.send_replace(revision);
        }
        encode(name, &object)
    }

    fn remove(&self, kind: &str, name: &str) -> bool {
        let mut data = self.data.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = data.objects.remove(&key) else {
            return false;
        };
        let revision = *self.revision.borrow() + 1;
        data.events
            .push((revision, kind.to_owned(), encode(name, &object), true));
        self.revision.send_replace(revision);
        true
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let data = self.data.lock().unwrap();
        let mut body = b"{\"items\":[".to_vec();
        let mut count = 0;
        let mut more = false;
        let of_kind = data.objects.iter().filter(|((found, _), _)| found == kind);
        for ((_, name), object) in of_kind.filter(|((_, name), _)| name.as_str() > after) {
            let encoded = encode(name, object);
            if count == PAGE_OBJECTS || (count > 0 && body.len() + encoded.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            if count > 0 {
                body.push(b',');
            }
            body.extend_from_slice(&encoded);
            count += 1;
        }
        let at = *self.revision.borrow();
        body.extend_from_slice(format!("],\"more\":{more},\"at\":{at}}}").as_bytes());
        body
    }

    async fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let mut revisions = self.revision.subscribe();
        let end = tokio::time::Instant::now() + wait;
        loop {
            {
                let data = self.data.lock().unwrap();
                let found: Vec<_> = data
                    .events
                    .iter()
                    .filter(|(revision, found, ..)| *revision > since && found == kind)
                    .collect();
                if !found.is_empty() || tokio::time::Instant::now() >= end {
                    let mut body = b"{\"events\":[".to_vec();
                    for (number, (_, _, object, is_removed)) in found.into_iter().enumerate() {
                        if number > 0 {
                            body.push(b',');
                        }
                        body.extend_from_slice(b"{\"object\":");
                        body.extend_from_slice(object);
                        body.extend_from_slice(format!(",\"deleted\":{is_removed}}}").as_bytes());
                    }
                    let at = *self.revision.borrow();
                    body.extend_from_slice(format!("],\"at\":{at}}}").as_bytes());
                    return body;
                }
            }
            let _ = tokio::time::timeout_at(end, revisions.changed()).await;
        }
    }

    /// Answers one call; returns the status and the body.
    async fn answer(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(found, _)| *found == name)
                .map(|(_, value)| decode(value))
        };
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, Vec::new());
        };
        let parts: Vec<String> = path.split('/').map(decode).collect();
        match (method, parts.as_slice()) {
            ("GET", [kind]) => match field("watch").and_then(|since| since.parse().ok()) {
                Some(since) => {
                    let wait = field("waitMs")
                        .and_then(|wait| wait.parse().ok())
                        .unwrap_or(0);
                    (
                        200,
                        self.watch(kind, since, Duration::from_millis(wait)).await,
                    )
                }
                None => (200, self.list(kind, &field("after").unwrap_or_default())),
            },
            ("GET", [kind, name]) => {
                let data = self.data.lock().unwrap();
                let found = data.objects.get(&(kind.clone(), name.clone()));
                found.map_or((404, Vec::new()), |object| (200, encode(name, object)))
            }
            ("DELETE", [kind, name]) => {
                (if self.remove(kind, name) { 200 } else { 404 }, Vec::new())
            }
            ("POST" | "PUT", parts) => self.write(method, parts, body),
            _ => (404, Vec::new()),
        }
    }

    fn write(&self, method: &str, parts: &[String], body: &[u8]) -> (u16, Vec<u8>) {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return (400, Vec::new());
        };
        let named = body["meta"]["name"].as_str().map(str::to_owned);
        let (kind, name) = match (method, parts, named) {
            ("POST", [kind], Some(name)) => (kind, name),
            ("PUT", [kind, name], _) => (kind, name.clone()),
            ("PUT", [kind, name, status], _) if status == "status" => (kind, name.clone()),
            _ => return (400, Vec::new()),
        };
        let known = {
            let data = self.data.lock().unwrap();
            data.objects.get(&(kind.clone(), name.clone())).cloned()
        };
        match (method, known) {
            ("POST", Some(known)) => return (409, encode(&name, &known)),
            ("PUT", None) => return (404, Vec::new()),
            ("PUT", Some(known)) => {
                let expected = body["meta"]["rev"].as_u64();
                if expected.is_some_and(|expected| expected != known.revision) {
                    return (409, encode(&name, &known));
                }
            }
            _ => {}
        }
        let object = self.put(kind, &name, |object| {
            if parts.len() == 3 {
                object.status = body["status"].to_string().into_bytes();
            } else {
                object.spec = body["spec"].to_string().into_bytes();
            }
        });
        (200, object)
    }
}

fn encode(name: &str, object: &Object) -> Vec<u8> {
    let Object {
        revision, created, ..
    } = object;
    let name = Value::from(name);
    let mut bytes = format!(
        "{{\"meta\":{{\"name\":{name},\"rev\":{revision},\"created\":{created},\"finalizers\":[],\
         \"pendingDelete\":false}},\"spec\":"
    )
    .into_bytes();
    bytes.extend_from_slice(&object.spec);
    bytes.extend_from_slice(b",\"status\":");
    bytes.extend_from_slice(&object.status);
    bytes.push(b'}');
    bytes
}

/// Decodes the escapes of a part of a path or query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%' && tail.len() >= 2)
            .then(|| std::str::from_utf8(&tail[..2]).ok())
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match escaped {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn serve(state: &State, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        let mut words = head.split(' ');
        let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
        let length: usize = head
            .lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map_or(Some(0), |(_, value)| value.trim().parse().ok())?;
        while buffer.len() < end + 4 + length {
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
        let body = buffer[end + 4..end + 4 + length].to_vec();
        buffer.drain(..end + 4 + length);
        let (status, body) = state.answer(&method, &target, &body).await;
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&body).await.ok()?;
    }
}
