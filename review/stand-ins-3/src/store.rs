//! Stand-in for the platform's metadata store: objects with revisions, conditional writes and watches.

use crate::http::{Connection, Message, answer};
use crate::json;
use crate::record::Record;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);
/// Largest number of objects of one answer to a list.
const PAGE_OBJECTS: usize = 500;
/// Longest wait of a watch.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct StoredObject {
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

#[derive(Debug)]
struct StoreEvent {
    at: Instant,
    revision: u64,
    kind: String,
    /// The object as JSON.
    object: String,
    is_removed: bool,
}

#[derive(Debug, Default)]
struct StoreData {
    revision: u64,
    objects: BTreeMap<(String, String), StoredObject>,
    events: Vec<StoreEvent>,
    /// Revision of the last change that was dropped.
    dropped: u64,
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    pub address: SocketAddr,
    data: Mutex<StoreData>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    /// Starts a store on a free port of the first loopback address.
    pub fn start(record: &Arc<Record>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            data: Mutex::new(StoreData {
                revision: 100,
                dropped: 100,
                ..StoreData::default()
            }),
            changed: Condvar::new(),
            record: Arc::clone(record),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Creates an object or replaces its contents, as the operator or a searcher does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut data = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let known = data.objects.get(&key).cloned();
        if known.as_ref().is_some_and(|known| known.spec == spec) {
            return;
        }
        let revision = data.revision + 1;
        let object = StoredObject {
            revision,
            created: known.as_ref().map_or(revision, |known| known.created),
            spec: spec.to_owned(),
            status: known.map_or_else(|| "null".to_owned(), |known| known.status),
        };
        self.store(&mut data, key, object);
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut data = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = data.objects.remove(&key) {
            data.revision += 1;
            let event = StoreEvent {
                at: Instant::now(),
                revision: data.revision,
                kind: key.0,
                object: encode(&key.1, &object),
                is_removed: true,
            };
            data.events.push(event);
            self.changed.notify_all();
        }
    }

    /// Status of an object as JSON; `None` if it has none.
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let data = self.lock();
        let object = data.objects.get(&(kind.to_owned(), name.to_owned()))?;
        (object.status != "null").then(|| object.status.clone())
    }

    fn store(&self, data: &mut StoreData, key: (String, String), object: StoredObject) {
        data.revision = object.revision;
        let event = StoreEvent {
            at: Instant::now(),
            revision: object.revision,
            kind: key.0.clone(),
            object: encode(&key.1, &object),
            is_removed: false,
        };
        data.events.push(event);
        data.objects.insert(key, object);
        let old = data
            .events
            .iter()
            .take_while(|event| event.at.elapsed() > HISTORY);
        let old = old.count();
        if let Some(last) = data.events.drain(..old).next_back() {
            data.dropped = last.revision;
        }
        self.changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.read() {
            let (status, body) = self.answer(&call);
            let headers = [("Content-Type", "application/json")];
            if connection
                .write(&answer(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let mut words = call.first_line.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, String::new());
        };
        let parts: Vec<String> = path.split('/').map(decode_percent).collect();
        let body = String::from_utf8_lossy(&call.body).into_owned();
        match (method, &parts[..]) {
            ("GET", [kind]) => self.read_kind(kind, query),
            ("GET", [kind, name]) => {
                let data = self.lock();
                let object = data.objects.get(&(kind.clone(), name.clone()));
                object.map_or((404, String::new()), |object| (200, encode(name, object)))
            }
            ("POST", [kind]) => self.create(kind, &body),
            ("PUT", [kind, name]) => self.write(kind, name, "spec", &body),
            ("PUT", [kind, name, part]) if part == "status" => {
                self.write(kind, name, "status", &body)
            }
            ("DELETE", [kind, name]) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, String::new()),
        }
    }

    fn read_kind(&self, kind: &str, query: &str) -> (u16, String) {
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(known, _)| *known == name);
            found.map(|(_, value)| decode_percent(value))
        };
        if let Some(since) = value("watch").and_then(|text| text.parse().ok()) {
            let wait = value("waitMs")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            return self.watch(kind, since, Duration::from_millis(wait).min(LONGEST_WAIT));
        }
        let after = value("after").unwrap_or_default();
        let data = self.lock();
        let all: Vec<String> = data
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && *name > after)
            .map(|((_, name), object)| encode(name, object))
            .collect();
        let more = all.len() > PAGE_OBJECTS;
        let items = all[..all.len().min(PAGE_OBJECTS)].join(",");
        let at = data.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"more\":{more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            if since < data.dropped {
                return (410, String::new());
            }
            let events: Vec<String> = data
                .events
                .iter()
                .filter(|event| event.revision > since && event.kind == kind)
                .map(|event| {
                    let StoreEvent {
                        object, is_removed, ..
                    } = event;
                    format!("{{\"object\":{object},\"deleted\":{is_removed}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = data.revision;
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let woken = self.changed.wait_timeout(data, left);
            data = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn create(&self, kind: &str, body: &str) -> (u16, String) {
        let meta = json::field(body, "meta").unwrap_or("{}");
        let Some(name) = json::text(meta, "name") else {
            return (404, String::new());
        };
        let mut data = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some(object) = data.objects.get(&key) {
            return (409, encode(name, object));
        }
        let revision = data.revision + 1;
        let object = StoredObject {
            revision,
            created: revision,
            spec: json::field(body, "spec").unwrap_or("null").to_owned(),
            status: "null".to_owned(),
        };
        self.store(&mut data, key, object.clone());
        (200, encode(name, &object))
    }

    /// Replaces the `part` of an object, unless the call names another revision than it has.
    fn write(&self, kind: &str, name: &str, part: &str, body: &str) -> (u16, String) {
        let mut data = self.lock();
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = data.objects.get(&key).cloned() else {
            return (404, String::new());
        };
        let meta = json::field(body, "meta").unwrap_or("{}");
        if json::number(meta, "rev").is_some_and(|revision| revision != object.revision) {
            return (409, encode(name, &object));
        }
        let value = json::field(body, part).unwrap_or("null").to_owned();
        let stored = if part == "status" {
            &mut object.status
        } else {
            &mut object.spec
        };
        if *stored != value {
            *stored = value.clone();
            object.revision = data.revision + 1;
            self.store(&mut data, key, object.clone());
            self.record
                .add(&format!("store {kind}/{name} {part} = {value}"));
        }
        (200, encode(name, &object))
    }

    fn lock(&self) -> MutexGuard<'_, StoreData> {
        self.data.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode(name: &str, object: &StoredObject) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{},\"created\":{},\"finalizers\":[],\
         \"pendingDelete\":false}},\"spec\":{},\"status\":{}}}",
        object.revision, object.created, object.spec, object.status
    )
}

fn decode_percent(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let code: Option<u8> = (byte == b'%').then(|| {
            let digits = [bytes.next().unwrap_or(0), bytes.next().unwrap_or(0)];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            u8::from_str_radix(&digits, 16).unwrap_or(b'?')
        });
        decoded.push(code.unwrap_or(byte));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
