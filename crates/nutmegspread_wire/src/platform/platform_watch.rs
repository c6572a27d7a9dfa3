//! Watch of the objects of one kind: an unending HTTP response with one JSON event on each line.

use super::platform_client::send_read;
use super::{PlatformError, WatchEvent};
use nutmegspread_model::{PlatformObject, ResourceVersion};
use reqwest::{Client, Response};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::marker::PhantomData;
use std::time::Duration;

/// Largest size of one line of a watch, in bytes.
const WATCH_LINE_BYTES: usize = 2 * 1024 * 1024;
/// Code of an `ERROR` event that means that the watch's position is too old.
const GONE_CODE: u16 = 410;

/// Watch of the objects of one kind.
///
/// After an error, [`Self::next`] opens a new connection and continues at the last position.
#[derive(Debug)]
pub struct PlatformWatch<T> {
    http: Client,
    collection_url: String,
    position: ResourceVersion,
    silence_limit: Duration,
    response: Option<Response>,
    /// Received bytes that are not parsed yet.
    buffer: Vec<u8>,
    /// Number of bytes at the start of `buffer` that contain no line end.
    scanned_bytes: usize,
    events: PhantomData<fn() -> T>,
}

/// JSON form of an event.
#[derive(Deserialize)]
struct EventLine {
    #[serde(rename = "type")]
    event: String,
    object: serde_json::Value,
}

/// Body of an `ERROR` event.
#[derive(Deserialize)]
struct ErrorStatus {
    code: u16,
    #[serde(default)]
    message: String,
}

/// Body of a `BOOKMARK` event.
#[derive(Deserialize)]
struct BookmarkObject {
    metadata: BookmarkMetadata,
}

/// Metadata of a `BOOKMARK` event.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct BookmarkMetadata {
    resource_version: ResourceVersion,
}

impl<T: DeserializeOwned> PlatformWatch<T> {
    pub(super) fn new(
        http: Client,
        collection_url: String,
        position: ResourceVersion,
        silence_limit: Duration,
    ) -> Self {
        Self {
            http,
            collection_url,
            position,
            silence_limit,
            response: None,
            buffer: Vec::new(),
            scanned_bytes: 0,
            events: PhantomData,
        }
    }

    /// Version up to which every event was returned by [`Self::next`].
    pub fn position(&self) -> ResourceVersion {
        self.position
    }

    /// Waits for the next event. Dropping the returned future loses no event.
    ///
    /// # Errors
    /// [`PlatformError::WatchSilent`] if neither an event nor a bookmark was received within the
    /// time limit; [`PlatformError::Gone`] if the position is too old;
    /// [`PlatformError::WatchEnded`] if the platform closed the connection; any error of a read.
    pub async fn next(&mut self) -> Result<WatchEvent<T>, PlatformError> {
        let bound = self.silence_limit;
        let result = match tokio::time::timeout(bound, self.read_event()).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::WatchSilent { bound }),
        };
        if result.is_err() {
            self.disconnect();
        }
        result
    }

    /// Closes the connection.
    pub fn close(mut self) {
        self.disconnect();
    }

    fn disconnect(&mut self) {
        self.response = None;
        self.buffer.clear();
        self.scanned_bytes = 0;
    }

    async fn read_event(&mut self) -> Result<WatchEvent<T>, PlatformError> {
        if self.response.is_none() {
            self.response = Some(self.connect().await?);
        }
        loop {
            if let Some(line) = self.take_line()? {
                return self.parse_line(&line);
            }
            self.receive().await?;
        }
    }

    async fn connect(&self) -> Result<Response, PlatformError> {
        let url = format!(
            "{}?watch=true&resourceVersion={}",
            self.collection_url, self.position
        );
        send_read(self.http.get(url)).await
    }

    /// Receives the next bytes of the response.
    async fn receive(&mut self) -> Result<(), PlatformError> {
        let Some(response) = &mut self.response else {
            return Err(PlatformError::WatchEnded);
        };
        match response.chunk().await {
            Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk),
            Ok(None) => return Err(PlatformError::WatchEnded),
            Err(error) => {
                return Err(PlatformError::NoAnswer {
                    message: error.to_string(),
                });
            }
        }
        Ok(())
    }

    /// Removes the first line from the buffer; returns `None` if the buffer has no complete line.
    fn take_line(&mut self) -> Result<Option<Vec<u8>>, PlatformError> {
        let line_end = self.buffer[self.scanned_bytes..]
            .iter()
            .position(|byte| *byte == b'\n');
        if let Some(offset) = line_end {
            let rest = self.buffer.split_off(self.scanned_bytes + offset + 1);
            self.scanned_bytes = 0;
            return Ok(Some(std::mem::replace(&mut self.buffer, rest)));
        }
        self.scanned_bytes = self.buffer.len();
        if self.scanned_bytes > WATCH_LINE_BYTES {
            let message = format!("a line of the watch is longer than {WATCH_LINE_BYTES} bytes");
            return Err(PlatformError::Malformed { message });
        }
        Ok(None)
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<WatchEvent<T>, PlatformError> {
        let line: EventLine = serde_json::from_slice(line).map_err(malformed)?;
        match line.event.as_str() {
            "ADDED" => self.object_event(line.object, WatchEvent::Added),
            "MODIFIED" => self.object_event(line.object, WatchEvent::Modified),
            "DELETED" => self.object_event(line.object, WatchEvent::Deleted),
            "BOOKMARK" => self.bookmark_event(line.object),
            "ERROR" => Err(error_event(line.object)),
            other => Err(PlatformError::Malformed {
                message: format!("unknown watch event {other:?}"),
            }),
        }
    }

    fn object_event(
        &mut self,
        object: serde_json::Value,
        event: fn(PlatformObject<T>) -> WatchEvent<T>,
    ) -> Result<WatchEvent<T>, PlatformError> {
        let object: PlatformObject<T> = serde_json::from_value(object).map_err(malformed)?;
        self.advance_position(object.metadata.resource_version.unwrap_or_default());
        Ok(event(object))
    }

    fn bookmark_event(
        &mut self,
        object: serde_json::Value,
    ) -> Result<WatchEvent<T>, PlatformError> {
        let bookmark: BookmarkObject = serde_json::from_value(object).map_err(malformed)?;
        self.advance_position(bookmark.metadata.resource_version);
        Ok(WatchEvent::Bookmark(self.position))
    }

    /// Advances the position to `version`, unless `version` is older.
    fn advance_position(&mut self, version: ResourceVersion) {
        self.position = self.position.max(version);
    }
}

fn error_event(object: serde_json::Value) -> PlatformError {
    match serde_json::from_value::<ErrorStatus>(object) {
        Ok(status) if status.code == GONE_CODE => PlatformError::Gone,
        Ok(status) => PlatformError::Rejected {
            status: status.code,
            message: status.message,
        },
        Err(error) => malformed(error),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn malformed(error: serde_json::Error) -> PlatformError {
    PlatformError::Malformed {
        message: error.to_string(),
    }
}
