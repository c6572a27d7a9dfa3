//! Stand-in for a searcher: runs requests in slots, queues a few more, and registers itself in the store.

use crate::http::{Connection, Message, answer};
use crate::record::Record;
use crate::store::Store;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two reports of a searcher to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time after which the store removes the entry of a silent searcher: three heartbeats.
pub const LAPSE_TIME: Duration = Duration::from_millis(3600);
/// How much longer a cold searcher works on a request.
const COLD_FACTOR: f64 = 1.6;

/// What a searcher does with a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// It answers with success.
    Answer,
    /// It answers with a signed failure.
    Fail,
}

/// Decides on a request by its path.
pub type ConductRule = fn(&str) -> Conduct;

/// Settings of a searcher.
#[derive(Clone, Debug)]
pub struct SearcherSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    /// Number of requests that wait for a slot at most.
    pub queue: usize,
    pub connections: usize,
    pub work: Duration,
    pub conduct: ConductRule,
    /// Number of requests in a second at which the searcher crashes while it is cold.
    pub cold_most: Option<usize>,
}

impl Default for SearcherSettings {
    fn default() -> Self {
        Self {
            id: "i-1".to_owned(),
            service: "shop-floor".to_owned(),
            zone: "zone-a".to_owned(),
            version: "v1".to_owned(),
            slots: 3,
            queue: 12,
            connections: 100,
            work: Duration::from_millis(40),
            conduct: |_| Conduct::Answer,
            cold_most: None,
        }
    }
}

/// A request that reached a searcher which it was meant for.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    /// When the client sent it.
    pub sent: Option<Duration>,
    pub is_cold: bool,
}

#[derive(Debug, Default)]
struct SearcherState {
    running: usize,
    waiting: usize,
    bad_answers: Vec<Duration>,
    cold_until: Option<Instant>,
    is_draining: bool,
    /// Number of reports so far, and the fields of the last one but for its number.
    reports: u64,
    reported: String,
    is_closed: bool,
    arrivals: Vec<Arrival>,
    open: Vec<TcpStream>,
}

/// A running searcher.
pub struct Searcher {
    pub settings: SearcherSettings,
    pub address: SocketAddr,
    born_ms: u128,
    state: Mutex<SearcherState>,
    freed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
}

impl Searcher {
    /// Starts a searcher on a free port, and registers it.
    pub fn start(
        settings: SearcherSettings,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        Self::start_cold(settings, Duration::ZERO, store, record)
    }

    /// Starts a searcher that is cold for a time.
    pub fn start_cold(
        settings: SearcherSettings,
        cold_time: Duration,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH);
        let searcher = Arc::new(Self {
            address: listener.local_addr()?,
            settings,
            born_ms: born_ms.map_or(0, |age| age.as_millis()),
            state: Mutex::new(SearcherState {
                cold_until: Some(Instant::now() + cold_time),
                ..SearcherState::default()
            }),
            freed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
        });
        searcher.report();
        let accepting = Arc::clone(&searcher);
        std::thread::spawn(move || accepting.accept(&listener));
        let reporting = Arc::clone(&searcher);
        std::thread::spawn(move || {
            while !reporting.lock().is_closed {
                std::thread::sleep(HEARTBEAT);
                reporting.report();
            }
        });
        Ok(searcher)
    }

    /// Makes the searcher cold for this long, which it reports to the store at once.
    pub fn turn_cold(&self, time: Duration) {
        self.lock().cold_until = Some(Instant::now() + time);
        self.report();
        let id = &self.settings.id;
        self.record.add(&format!(
            "searcher {id} is cold for {} ms",
            time.as_millis()
        ));
    }

    /// Reports that the searcher leaves; it goes on serving.
    pub fn drain(&self) {
        self.lock().is_draining = true;
        self.report();
        self.record
            .add(&format!("searcher {} drains", self.settings.id));
    }

    /// Ends the searcher, and removes its registration if it `is_removed`.
    pub fn close(&self, is_removed: bool) {
        self.end(self.lock());
        if is_removed {
            self.store.remove("servers", &self.settings.id);
        }
    }

    /// Whether the requests of the last second are more than the searcher bears while it is cold.
    fn is_overloaded(&self, state: &SearcherState, now: Duration) -> bool {
        let Some(most) = self.settings.cold_most else {
            return false;
        };
        let from = now.saturating_sub(Duration::from_secs(1));
        let arrivals = state.arrivals.iter().rev();
        let counted = arrivals.filter(|arrival| arrival.is_cold && arrival.at >= from);
        counted.count() >= most
    }

    /// Crashes under a load that a cold searcher does not bear.
    fn crash(self: &Arc<Self>, state: MutexGuard<'_, SearcherState>) {
        let lost = state.running + state.waiting;
        self.end(state);
        self.record.say(&format!(
            "cold searcher {} crashed; {lost} requests that it had accepted are lost",
            self.settings.id
        ));
        let lapsing = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(LAPSE_TIME);
            lapsing.store.remove("servers", &lapsing.settings.id);
        });
    }

    fn end(&self, mut state: MutexGuard<'_, SearcherState>) {
        state.is_closed = true;
        self.freed.notify_all();
        for stream in state.open.drain(..) {
            // The node may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        // Wakes the listener, so that it ends.
        let _ = TcpStream::connect(self.address);
        self.record
            .add(&format!("searcher {} ended", self.settings.id));
    }

    /// Requests that reached the searcher so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Times of the failures with which the searcher answered.
    pub fn bad_answers(&self) -> Vec<Duration> {
        self.lock().bad_answers.clone()
    }

    /// Writes the registration, which changes in the store when more than its number changes.
    fn report(&self) {
        let mut state = self.lock();
        if state.is_closed {
            return;
        }
        let cold = state.cold_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        let settings = &self.settings;
        let word = if state.is_draining {
            "draining"
        } else {
            "ready"
        };
        let fields = format!(
            "\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{word}\",\"warmupLeftMs\":{},\"born\":{}",
            settings.service,
            self.address,
            settings.zone,
            settings.version,
            settings.slots,
            cold.as_millis(),
            self.born_ms
        );
        state.reports += 1;
        if state.reported == fields {
            return;
        }
        let spec = format!("{{{fields},\"seq\":{}}}", state.reports);
        state.reported = fields;
        drop(state);
        self.store.put("servers", &settings.id, &spec);
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let mut state = self.lock();
            if state.is_closed {
                return;
            }
            state.open.retain(|open| open.peer_addr().is_ok());
            if state.open.len() >= self.settings.connections {
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                state.open.push(copy);
            }
            drop(state);
            let searcher = Arc::clone(self);
            std::thread::spawn(move || {
                let copy = stream.try_clone();
                searcher.serve(Connection::new(stream));
                if let Ok(stream) = copy {
                    // Frees the place among the open connections.
                    let _ = stream.shutdown(Shutdown::Both);
                }
            });
        }
    }

    fn serve(self: &Arc<Self>, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read() {
            let Some(reply) = self.reply(&request) else {
                return;
            };
            if connection.write(&reply).is_err() {
                return;
            }
        }
    }

    /// Runs a request, and returns the answer; `None` if the searcher has ended.
    fn reply(self: &Arc<Self>, request: &Message) -> Option<Vec<u8>> {
        let at = self.record.now();
        let settings = &self.settings;
        let name = &settings.id;
        if request
            .header("nutmegspread-expect-instance")
            .is_some_and(|id| id != name)
        {
            return Some(answer(421, &[("Nutmegspread-Instance-Id", name)], b""));
        }
        let Some(id) = request
            .header("nutmegspread-request-id")
            .filter(|id| !id.is_empty())
        else {
            return Some(answer(400, &[("Nutmegspread-Not-Executed", "1")], b""));
        };
        let shed = [
            ("Nutmegspread-Not-Executed", "1"),
            ("Nutmegspread-Request-Id", id),
        ];
        let mut state = self.lock();
        if state.is_closed {
            return None;
        }
        let is_cold = state.cold_until.is_some_and(|until| Instant::now() < until);
        let sent = self.record.sent_at(id);
        state.arrivals.push(Arrival { at, sent, is_cold });
        self.record.add_at(
            at,
            &format!("arrived id={id} searcher={name} cold={is_cold}"),
        );
        if is_cold && self.is_overloaded(&state, at) {
            self.crash(state);
            return None;
        }
        if state.running >= settings.slots && state.waiting >= settings.queue {
            return Some(answer(503, &shed, b""));
        }
        state.waiting += 1;
        while state.running >= settings.slots && !state.is_closed {
            state = self
                .freed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        if state.is_closed {
            return None;
        }
        state.running += 1;
        let path = request.first_line.split(' ').nth(1).unwrap_or("");
        let conduct = (settings.conduct)(path);
        drop(state);
        let version = &settings.version;
        self.record.add(&format!(
            "run id={id} searcher={name} version={version} {conduct:?}"
        ));
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        std::thread::sleep(settings.work.mul_f64(factor));
        let mut state = self.lock();
        state.running -= 1;
        if conduct == Conduct::Fail {
            let now = self.record.now();
            state.bad_answers.push(now);
        }
        drop(state);
        self.freed.notify_one();
        let stamp = format!("{}.{name}.{id}", settings.service);
        let headers = [
            ("Nutmegspread-Request-Id", id),
            ("Nutmegspread-Server-Stamp", stamp.as_str()),
        ];
        Some(match conduct {
            Conduct::Answer => answer(200, &headers, format!("{name} ran {id}").as_bytes()),
            Conduct::Fail => answer(500, &headers, b"failed"),
        })
    }

    fn lock(&self) -> MutexGuard<'_, SearcherState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
