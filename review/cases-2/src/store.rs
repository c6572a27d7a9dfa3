//! Stand-in of the platform's metadata store: objects by kind and name, lists, watches and writes, as
//! the pages describe them. It can be down, and then closes every connection.

use crate::http::{Connection, Message, answer};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    revision: u64,
    /// Text of each object, by kind and name.
    objects: BTreeMap<(String, String), String>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
    is_down: bool,
    connections: Vec<TcpStream>,
}

/// Stand-in of the platform's metadata store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let store = Self {
            address: listener.local_addr().expect("the address of the store"),
            shared: Arc::new((
                Mutex::new(State {
                    revision: 10,
                    ..State::default()
                }),
                Condvar::new(),
            )),
        };
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator and the searchers do; returns the revision.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut state = self.shared.0.lock().expect("the state of the store");
        Self::write(&mut state, kind, name, spec);
        self.shared.1.notify_all();
        state.revision
    }

    /// Takes the store down, or makes it available again.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.shared.0.lock().expect("the state of the store");
        state.is_down = is_down;
        if is_down {
            for connection in state.connections.drain(..) {
                close(&connection);
            }
        }
        self.shared.1.notify_all();
    }

    /// Whether there is an object of this kind and name.
    pub fn has(&self, kind: &str, name: &str) -> bool {
        let state = self.shared.0.lock().expect("the state of the store");
        let key = (kind.to_owned(), name.to_owned());
        state.objects.contains_key(&key)
    }

    /// Number of objects of a kind.
    pub fn count(&self, kind: &str) -> usize {
        let state = self.shared.0.lock().expect("the state of the store");
        state
            .objects
            .keys()
            .filter(|(known, _)| known == kind)
            .count()
    }

    fn write(state: &mut State, kind: &str, name: &str, spec: &str) {
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"rev\":{revision},\"created\":{revision},\
             \"finalizers\":[],\"pendingDelete\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let event = format!("{{\"object\":{object},\"deleted\":false}}");
        state.history.push((revision, kind.to_owned(), event));
        state
            .objects
            .insert((kind.to_owned(), name.to_owned()), object);
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut state = self.shared.0.lock().expect("the state of the store");
            if state.is_down {
                close(&stream);
                return;
            }
            if let Ok(clone) = stream.try_clone() {
                state.connections.push(clone);
            }
        }
        let mut connection = Connection::new(stream);
        while let Ok(Some(call)) = connection.read() {
            let Some((status, body)) = self.handle(&call) else {
                return;
            };
            let headers = [("Content-Type", "application/json")];
            if connection
                .write(&answer(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Answers a call; `None` if the store went down meanwhile.
    fn handle(&self, call: &Message) -> Option<(u16, String)> {
        let mut words = call.first_line.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/-/objects/").unwrap_or_default();
        let parts: Vec<&str> = path.split('/').collect();
        let kind = parts[0].to_owned();
        let mut state = self.shared.0.lock().expect("the state of the store");
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(known, _)| *known == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        if method == "GET"
            && let Some(since) = field("watch")
        {
            let end = Instant::now() + Duration::from_millis(field("waitMs").unwrap_or(0));
            loop {
                if state.is_down {
                    return None;
                }
                let events: Vec<&str> = state
                    .history
                    .iter()
                    .filter(|(revision, known, _)| *revision > since && *known == kind)
                    .map(|(_, _, event)| event.as_str())
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    let (events, at) = (events.join(","), state.revision);
                    return Some((200, format!("{{\"events\":[{events}],\"at\":{at}}}")));
                }
                state = self.shared.1.wait_timeout(state, left).ok()?.0;
            }
        }
        if method == "GET" && parts.len() == 1 {
            let objects = state.objects.iter();
            let items: Vec<&str> = objects
                .filter(|((known, _), _)| *known == kind)
                .map(|(_, object)| object.as_str())
                .collect();
            let (items, at) = (items.join(","), state.revision);
            let body = format!("{{\"items\":[{items}],\"more\":false,\"at\":{at}}}");
            return Some((200, body));
        }
        // The nodes write only their addresses, each under its own name.
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let spec = body
            .split_once("\"spec\":")
            .map(|(_, spec)| spec.trim_end_matches('}').to_owned());
        let name = match parts.get(1) {
            Some(name) => Some((*name).to_owned()),
            None => body
                .split_once("\"name\":\"")
                .and_then(|(_, name)| name.split('"').next().map(str::to_owned)),
        };
        let (Some(name), Some(spec)) = (name, spec) else {
            return Some((404, "{}".to_owned()));
        };
        let key = (kind.clone(), name.clone());
        match method {
            "POST" if state.objects.contains_key(&key) => Some((409, state.objects[&key].clone())),
            // A write that changes nothing raises no revision and makes no event.
            "PUT"
                if state.objects.get(&key).is_some_and(|object| {
                    object.contains(&format!("\"spec\":{spec},\"status\""))
                }) =>
            {
                Some((200, state.objects[&key].clone()))
            }
            "POST" | "PUT" => {
                Self::write(&mut state, &kind, &name, &spec);
                self.shared.1.notify_all();
                Some((200, state.objects[&key].clone()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }
}

fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}
