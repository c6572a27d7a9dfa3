//! Stand-in of a sound searcher. It runs every request that names it, and notes each run.

use crate::http::{Connection, answer};
use crate::record::Record;
use crate::store::Store;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A request that arrived at a searcher and was run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    /// Id of the client attempt.
    pub request: String,
}

/// Stand-in of a sound searcher.
pub struct Searcher {
    pub id: String,
    work: Duration,
    runs: Mutex<Vec<Run>>,
    record: Arc<Record>,
}

impl Searcher {
    /// Starts a searcher of a service, which works for a while on each request and is cold at first, and
    /// registers it in the store.
    pub fn start(
        store: &Store,
        record: &Arc<Record>,
        (id, service, zone): (&str, &str, &str),
        (work, cold): (Duration, Duration),
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a searcher");
        let address = listener.local_addr().expect("the address of a searcher");
        let searcher = Arc::new(Self {
            id: id.to_owned(),
            work,
            runs: Mutex::default(),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&searcher);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let searcher = Arc::clone(&server);
                std::thread::spawn(move || searcher.serve(stream));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("a time of day after 1970").as_millis();
        store.put(
            "servers",
            id,
            &format!(
                "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmupLeftMs\":{},\"seq\":1,\
                 \"born\":{born}}}",
                cold.as_millis(),
            ),
        );
        searcher
    }

    /// Everything that the searcher has run so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("the runs").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let id = request.header("nutmegspread-request-id").unwrap_or("");
            let expected = request.header("nutmegspread-expect-instance");
            let reply = if expected.is_some_and(|expected| expected != self.id) {
                let headers = [
                    ("Nutmegspread-Request-Id", id),
                    ("Nutmegspread-Not-Executed", "1"),
                ];
                answer(421, &headers, b"")
            } else {
                let run = {
                    let mut runs = self.runs.lock().expect("the runs");
                    runs.push(Run {
                        at: Instant::now(),
                        request: id.to_owned(),
                    });
                    runs.len()
                };
                self.record.line(&format!("run {id} at {}", self.id));
                std::thread::sleep(self.work);
                let stamp = format!("{}.{run}.{id}", self.id);
                let headers = [
                    ("Nutmegspread-Request-Id", id),
                    ("Nutmegspread-Server-Stamp", stamp.as_str()),
                ];
                answer(200, &headers, format!("record of {id}").as_bytes())
            };
            if connection.write(&reply).is_err() {
                return;
            }
        }
    }
}
