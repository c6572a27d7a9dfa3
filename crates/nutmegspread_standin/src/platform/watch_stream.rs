//! Feeds one open watch.

use super::object_store::{StoreError, StoreEvent};
use super::shared_state::SharedState;
use super::watch_body::WatchBody;
use axum::body::Bytes;
use nutmegspread_model::ResourceVersion;
use serde_json::{Value, json};
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Chunks that wait for a slow watcher.
const WATCH_QUEUE_CHUNKS: usize = 64;

/// One watch and where it stands.
pub(super) struct WatchStream {
    state: Arc<SharedState>,
    kind: String,
    position: ResourceVersion,
    chunks: mpsc::Sender<io::Result<Bytes>>,
}

/// What a watch does next.
enum WatchStep {
    /// Send these lines, perhaps none.
    Send(Vec<Value>),
    /// Hang up after this line.
    End(Option<Value>),
}

impl WatchStream {
    /// Starts feeding a watch and returns the body to answer with.
    pub fn open(state: Arc<SharedState>, kind: String, position: ResourceVersion) -> WatchBody {
        let (chunks, receiver) = mpsc::channel(WATCH_QUEUE_CHUNKS);
        let stream = Self {
            state,
            kind,
            position,
            chunks,
        };
        tokio::spawn(stream.run());
        WatchBody::new(receiver)
    }

    async fn run(mut self) {
        self.state.lock().counts.watches_waiting += 1;
        self.feed().await;
        self.state.lock().counts.watches_waiting -= 1;
    }

    async fn feed(&mut self) {
        let mut changes = self.state.subscribe();
        let mut bookmarks = tokio::time::interval(self.state.bookmark_interval);
        let chunks = self.chunks.clone();
        loop {
            let due = tokio::select! {
                _ = bookmarks.tick() => true,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    false
                }
                () = chunks.closed() => return,
            };
            match self.plan(due) {
                WatchStep::Send(lines) => {
                    for line in lines {
                        if self.send(&line).await.is_err() {
                            return;
                        }
                    }
                }
                WatchStep::End(line) => {
                    if let Some(line) = line {
                        // The watcher may be gone already; the watch ends either way.
                        let _ = self.send(&line).await;
                    }
                    return;
                }
            }
        }
    }

    fn plan(&mut self, bookmark_due: bool) -> WatchStep {
        let state = self.state.lock();
        if state.faults.down {
            return WatchStep::End(None);
        }
        if state.faults.silent_watches || state.faults.hang {
            return WatchStep::Send(Vec::new());
        }
        let events = match state.store.events_after(&self.kind, self.position) {
            Ok(events) => events,
            Err(error) => return WatchStep::End(Some(error_line(error))),
        };
        self.position = state.store.version();
        let mut lines: Vec<Value> = events.iter().map(event_line).collect();
        if bookmark_due {
            lines.push(bookmark_line(self.position));
        }
        WatchStep::Send(lines)
    }

    async fn send(&self, line: &Value) -> Result<(), mpsc::error::SendError<io::Result<Bytes>>> {
        self.chunks.send(Ok(Bytes::from(format!("{line}\n")))).await
    }
}

fn event_line(event: &StoreEvent) -> Value {
    json!({ "type": event.event, "object": event.object })
}

fn bookmark_line(position: ResourceVersion) -> Value {
    json!({ "type": "BOOKMARK", "object": { "metadata": { "resourceVersion": position } } })
}

fn error_line(error: StoreError) -> Value {
    let code = if error == StoreError::Gone { 410 } else { 500 };
    json!({ "type": "ERROR", "object": { "code": code, "message": format!("{error:?}") } })
}
