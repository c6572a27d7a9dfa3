//! Sends events and bookmarks on one watch.

use super::channel_body::ChannelBody;
use super::object_store::{StoreError, StoreEvent};
use super::shared_state::SharedState;
use axum::body::Bytes;
use nutmegspread_model::ResourceVersion;
use serde_json::{Value, json};
use std::io;
use std::sync::Arc;
use tokio::sync::mpsc;

/// Largest number of chunks, of one line each, that are queued for a slow watcher.
const WATCH_QUEUE_CHUNKS: usize = 64;

/// One open watch.
pub(super) struct WatchStream {
    state: Arc<SharedState>,
    kind: String,
    /// Version up to which all changes have been sent.
    sent_version: ResourceVersion,
    chunks: mpsc::Sender<io::Result<Bytes>>,
}

/// Next action of a watch.
enum WatchStep {
    /// Send these lines, which may be none.
    Send(Vec<Value>),
    /// Send this line, if there is one, and end the watch.
    End(Option<Value>),
}

impl WatchStream {
    /// Starts a task that sends the changes of a kind after `version`; returns the response body.
    pub fn open(state: Arc<SharedState>, kind: String, version: ResourceVersion) -> ChannelBody {
        let (chunks, receiver) = mpsc::channel(WATCH_QUEUE_CHUNKS);
        let stream = Self {
            state,
            kind,
            sent_version: version,
            chunks,
        };
        tokio::spawn(stream.run());
        ChannelBody::new(receiver)
    }

    async fn run(mut self) {
        self.state.lock().counts.watches_waiting += 1;
        self.send_changes().await;
        self.state.lock().counts.watches_waiting -= 1;
    }

    async fn send_changes(&mut self) {
        let mut changes = self.state.subscribe();
        let mut bookmarks = tokio::time::interval(self.state.bookmark_interval);
        let chunks = self.chunks.clone();
        loop {
            let bookmark_due = tokio::select! {
                _ = bookmarks.tick() => true,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    false
                }
                () = chunks.closed() => return,
            };
            match self.next_step(bookmark_due) {
                WatchStep::Send(lines) => {
                    for line in lines {
                        if self.send(&line).await.is_err() {
                            return;
                        }
                    }
                }
                WatchStep::End(line) => {
                    if let Some(line) = line {
                        // Sending fails if the watcher has disconnected; the watch ends anyway.
                        let _ = self.send(&line).await;
                    }
                    return;
                }
            }
        }
    }

    fn next_step(&mut self, bookmark_due: bool) -> WatchStep {
        let state = self.state.lock();
        if state.faults.down {
            return WatchStep::End(None);
        }
        if state.faults.silent_watches || state.faults.hang {
            return WatchStep::Send(Vec::new());
        }
        let events = match state.store.events_after(&self.kind, self.sent_version) {
            Ok(events) => events,
            Err(error) => return WatchStep::End(Some(error_line(error))),
        };
        self.sent_version = state.store.version();
        let mut lines: Vec<Value> = events.iter().map(event_line).collect();
        if bookmark_due {
            lines.push(bookmark_line(self.sent_version));
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

fn bookmark_line(version: ResourceVersion) -> Value {
    json!({ "type": "BOOKMARK", "object": { "metadata": { "resourceVersion": version } } })
}

fn error_line(error: StoreError) -> Value {
    let code = if error == StoreError::Gone { 410 } else { 500 };
    json!({ "type": "ERROR", "object": { "code": code, "message": format!("{error:?}") } })
}
