//! Client of the platform's store.

use crate::control::call_answer::CallAnswer;
use crate::control::call_connection::CallConnection;
use crate::control::call_guard::CallGuard;
use crate::control::configuration_intake::conceal_objects;
use crate::control::server_call::ServerCall;
use crate::control::store_list::{StoreChanges, StoreList};
use crate::{EdgeError, SharedState};
use bytes::Bytes;
use hyper::Method;
use nutmegspread_platform::{
    ObjectKind, ObjectPage, WatchAnswer, decode_object, decode_objects, decode_watch, list_path,
    object_path, status_path, watch_path,
};
use nutmegspread_tier::StatedEra;
use std::sync::Arc;
use std::time::Duration;

/// Time for which the first call after a successful one waits for an answer, besides the time that
/// it asks the store to wait.
const FIRST_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest of these times, to which it doubles with each call without an answer; a slow store takes
/// a few hundred milliseconds.
const MAX_TIMEOUT: Duration = Duration::from_millis(2500);
/// Largest number of entries of one answer whose faults are logged.
const MAX_LOGGED_ENTRIES: usize = 8;

/// Client of the platform's store that uses one connection.
#[derive(Debug)]
pub struct StoreClient {
    connection: CallConnection,
    shared: Arc<SharedState>,
    /// Time for which the next call waits for an answer.
    timeout: Duration,
}

impl StoreClient {
    /// Creates a client that sends its calls on `connection` and counts in the metrics of `shared`.
    pub fn new(connection: CallConnection, shared: Arc<SharedState>) -> Self {
        Self {
            connection,
            shared,
            timeout: FIRST_TIMEOUT,
        }
    }

    /// Reads all objects of a kind. A `stale` list may be seconds old, and costs the store a tenth of a
    /// current one. Objects without a readable name are logged and left out. The list ends where a page
    /// leads to no further name, as the store continues a list after a name.
    ///
    /// # Errors
    /// When the store cannot be reached, rejects the request, or its answer cannot be decoded.
    pub async fn list(&mut self, kind: ObjectKind, stale: bool) -> Result<StoreList, EdgeError> {
        let mut list = StoreList {
            objects: Vec::new(),
            era: StatedEra::Missing,
            revision: u64::MAX,
            is_complete: true,
        };
        let mut after: Option<String> = None;
        loop {
            let path = list_path(kind, after.as_deref(), stale);
            let answer = self.call(ServerCall::get(path, Duration::ZERO)).await?;
            let mut page: ObjectPage = decode_objects(&answer.body)?;
            // Objects of two histories make no list.
            if let (StatedEra::Number(before), StatedEra::Number(era)) = (list.era, answer.era)
                && before != era
            {
                return Err(EdgeError::EraChanged { kind: kind.name() });
            }
            list.era = answer.era;
            self.record_unnamed(kind, page.revision, &page.unreadable);
            let contents = page.objects.iter_mut();
            conceal_objects(kind, contents.map(|object| &mut object.contents));
            let last = page.objects.last().map(|object| object.name.clone());
            list.objects.append(&mut page.objects);
            // Objects may change between pages. A watch from the smallest revision of all pages
            // reports these changes again.
            list.revision = list.revision.min(page.revision);
            if !page.has_more {
                return Ok(list);
            }
            if last.as_deref().is_none_or(str::is_empty) || last == after {
                self.shared
                    .metrics
                    .count("store_lists_cut_short", kind.name());
                log::warn!(event = "list_cut_short", kind = kind.name(), revision = page.revision,
                    objects = list.objects.len(), after;
                    "a page of a list names no object to continue after; using what was read");
                list.is_complete = false;
                return Ok(list);
            }
            after = last;
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
    ) -> Result<StoreChanges, EdgeError> {
        let path = watch_path(kind, revision, wait);
        let answer = self.call(ServerCall::get(path, wait)).await?;
        let WatchAnswer {
            mut changes,
            unreadable,
            revision,
        } = decode_watch(&answer.body)?;
        let contents = changes.iter_mut();
        conceal_objects(kind, contents.map(|change| &mut change.object.contents));
        self.record_unnamed(kind, revision, &unreadable);
        Ok(StoreChanges {
            changes,
            era: answer.era,
            revision,
        })
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
        let create = ServerCall::send(Method::POST, path, body.clone());
        match self.call(create).await {
            Err(EdgeError::StoreStatus { status: 409, .. }) => {
                self.replace(object_path(kind, name), body).await
            }
            other => other.map(drop),
        }
    }

    /// Writes an object on the condition that it has the revision which `body` states, or creates it
    /// if `is_new`. Returns its revision.
    ///
    /// # Errors
    /// When the store cannot be reached, rejects the request, or its answer cannot be decoded; with
    /// status 409 if the condition does not hold. Except in that case, the write may have been made.
    pub async fn put_if(
        &mut self,
        kind: ObjectKind,
        name: &str,
        is_new: bool,
        body: String,
    ) -> Result<u64, EdgeError> {
        let (method, path) = if is_new {
            (Method::POST, list_path(kind, None, false))
        } else {
            (Method::PUT, object_path(kind, name))
        };
        let call = ServerCall::send(method, path, Bytes::from(body));
        let answer = self.call(call).await?;
        Ok(decode_object(&answer.body)?.revision)
    }

    /// Writes the status of an object; `body` names the revision of the object that it is based on.
    /// `guard` is checked just before the call is sent.
    ///
    /// # Errors
    /// When the store cannot be reached or rejects the request; with status 409 if the object has
    /// changed since that revision. `NotPermitted` if `guard` does not allow the call.
    pub async fn put_status(
        &mut self,
        kind: ObjectKind,
        name: &str,
        body: String,
        guard: Option<CallGuard>,
    ) -> Result<(), EdgeError> {
        let path = status_path(kind, name);
        let call = ServerCall {
            guard,
            ..ServerCall::send(Method::PUT, path, Bytes::from(body))
        };
        self.call(call).await.map(drop)
    }

    /// Sends a call whose `timeout` is the time that it asks the store to wait.
    async fn call(&mut self, mut call: ServerCall) -> Result<CallAnswer, EdgeError> {
        call.timeout += self.timeout;
        let answer = self.connection.call(call).await;
        self.timeout = match &answer {
            Err(EdgeError::Connection { .. }) => (self.timeout * 2).min(MAX_TIMEOUT),
            _ => FIRST_TIMEOUT,
        };
        answer
    }

    async fn replace(&mut self, path: String, body: Bytes) -> Result<(), EdgeError> {
        self.call(ServerCall::send(Method::PUT, path, body))
            .await
            .map(drop)
    }

    /// Counts the entries of a list or a watch answer that were left out, and logs a few of them.
    fn record_unnamed(&self, kind: ObjectKind, revision: u64, reasons: &[String]) {
        let metrics = &self.shared.metrics;
        metrics.add("store_unreadable", "unnamed", reasons.len() as u64);
        for reason in reasons.iter().take(MAX_LOGGED_ENTRIES) {
            log::warn!(event = "unreadable", object = kind.name(), revision, reason;
                "skipped an object of the store whose name cannot be read");
        }
    }
}
