//! Client of the platform's store.

use crate::EdgeError;
use crate::control::http_connection::HttpConnection;
use bytes::Bytes;
use hyper::Method;
use nutmegspread_platform::{
    ObjectKind, ObjectPage, StoreObject, WatchAnswer, decode_objects, decode_watch, list_path,
    object_path, status_path, watch_path,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an answer; a slow store takes a few hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Client of the platform's store that uses one connection.
#[derive(Debug)]
pub struct StoreClient {
    connection: HttpConnection,
}

impl StoreClient {
    /// Creates a client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connection: HttpConnection::new(address),
        }
    }

    /// Reads all objects of a kind, and the revision from which a watch has to continue. A `stale`
    /// list may be seconds old, and costs the store a tenth of a current one.
    ///
    /// # Errors
    /// When the store cannot be reached, rejects the request, or its answer cannot be decoded.
    pub async fn list(
        &mut self,
        kind: ObjectKind,
        stale: bool,
    ) -> Result<(Vec<StoreObject>, u64), EdgeError> {
        let mut objects: Vec<StoreObject> = Vec::new();
        let mut least_revision = u64::MAX;
        loop {
            let after = objects.last().map(|object| object.name.clone());
            let path = list_path(kind, after.as_deref(), stale);
            let body = self
                .connection
                .call(Method::GET, &path, Bytes::new(), ANSWER_TIMEOUT)
                .await?;
            let page: ObjectPage = decode_objects(&body)?;
            objects.extend(page.objects);
            // Objects may change between pages. A watch from the smallest revision of all pages
            // reports these changes again.
            least_revision = least_revision.min(page.revision);
            if !page.has_more {
                return Ok((objects, least_revision));
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after `revision`.
    ///
    /// # Errors
    /// As for `list`, and `HistoryGone` if the store no longer has all changes after `revision`, so
    /// that a new list is needed.
    pub async fn watch(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchAnswer, EdgeError> {
        let path = watch_path(kind, revision, wait);
        let timeout = wait + ANSWER_TIMEOUT;
        let body = self
            .connection
            .call(Method::GET, &path, Bytes::new(), timeout)
            .await?;
        Ok(decode_watch(&body)?)
    }

    /// Creates an object, or replaces the one that exists under its name.
    ///
    /// # Errors
    /// When the store cannot be reached or rejects the request.
    pub async fn put(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: String,
    ) -> Result<(), EdgeError> {
        let body = Bytes::from(body);
        let path = list_path(kind, None, false);
        match self
            .connection
            .call(Method::POST, &path, body.clone(), ANSWER_TIMEOUT)
            .await
        {
            Err(EdgeError::StoreStatus { status: 409, .. }) => {
                let path = object_path(kind, name);
                self.connection
                    .call(Method::PUT, &path, body, ANSWER_TIMEOUT)
                    .await
                    .map(drop)
            }
            other => other.map(drop),
        }
    }

    /// Writes the status of an object; `body` names the revision of the object that it is based on.
    ///
    /// # Errors
    /// When the store cannot be reached or rejects the request; with status 409 if the object has
    /// changed since that revision.
    pub async fn put_status(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: String,
    ) -> Result<(), EdgeError> {
        let path = status_path(kind, name);
        self.connection
            .call(Method::PUT, &path, Bytes::from(body), ANSWER_TIMEOUT)
            .await
            .map(drop)
    }
}
