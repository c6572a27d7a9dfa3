//! Follows the objects of one kind in the store.

use crate::control::control_state::ControlState;
use crate::control::store_client::StoreClient;
use crate::{EdgeError, SharedState};
use nutmegspread_platform::ObjectKind;
use rand::Rng;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Longest time for which a watch waits; the store allows up to 30 s.
const LONGEST_WATCH: Duration = Duration::from_secs(25);
/// Part of the store's history for which a watch waits; one that waits longer is told that its
/// start is forgotten, which costs a list.
const HISTORY_SHARE: f64 = 0.8;
/// Pause after the first failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between failed calls; well within the time to take a configuration.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The same for a node that knows nothing yet and refuses every request.
const START_PAUSE: Duration = Duration::from_millis(250);
/// Time between looks whether this node should ask the store itself.
const DUTY_TIME: Duration = Duration::from_millis(150);
/// The same while the node knows nothing yet and cannot serve.
const START_TIME: Duration = Duration::from_millis(15);
/// Pause after changes of targets, so that one call brings many; drains leave seconds.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Follows the objects of one kind while it is this node's duty.
pub async fn follow(
    kind: ObjectKind,
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    changed: Rc<Notify>,
    regained: Rc<Notify>,
) {
    let mut client = StoreClient::new(shared.settings.load().store);
    let mut pause = FIRST_PAUSE;
    let mut needs_list = false;
    let mut lost_at: Option<Instant> = None;
    loop {
        if !state.borrow_mut().is_asking(Instant::now(), kind) {
            lost_at = None;
            let is_known = state.borrow().revision(kind).is_some();
            tokio::time::sleep(if is_known { DUTY_TIME } else { START_TIME }).await;
            continue;
        }
        let held = state.borrow().revision(kind);
        let revision = held.filter(|_| !needs_list);
        let outcome = match revision {
            // A stale list is cheap, and what it lacks comes by the watches that go on from it.
            None => list(kind, held.is_none(), &mut client, &state).await,
            Some(revision) => {
                let history = Duration::from_secs_f64(shared.settings.load().history_s);
                let wait = history.mul_f64(HISTORY_SHARE).min(LONGEST_WATCH);
                watch(kind, revision, wait, &mut client, &state).await
            }
        };
        shared.metrics.count("store_calls", kind.name());
        match outcome {
            Ok(reached) => {
                if let Some(lost_at) = lost_at.take() {
                    regained.notify_waiters();
                    log::info!(event = "store_regained", kind = kind.name(),
                        lost_ms = lost_at.elapsed().as_millis() as u64, revision = reached;
                        "the store answers again");
                    if kind == ObjectKind::Targets {
                        state.borrow_mut().store_returned(Instant::now());
                    }
                }
                needs_list = false;
                pause = FIRST_PAUSE;
                state.borrow_mut().note_store(true);
                if revision != Some(reached) {
                    changed.notify_one();
                    if kind == ObjectKind::Targets {
                        tokio::time::sleep(CHANGE_PAUSE).await;
                    }
                }
            }
            Err(EdgeError::HistoryGone { path }) => {
                log::info!(event = "history_gone", kind = kind.name(), path; "reading anew");
                needs_list = true;
            }
            Err(error) => {
                shared.metrics.count("store_failures", kind.name());
                if lost_at.is_none() {
                    log::warn!(event = "store_lost", kind = kind.name(), reason:% = error;
                        "the store does not answer");
                    lost_at = Some(Instant::now());
                }
                state.borrow_mut().note_store(false);
                if kind == ObjectKind::Targets {
                    state.borrow_mut().store_returned(Instant::now());
                }
                let jitter = rand::rng().random_range(0.7..1.3);
                tokio::select! {
                    () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
                    // The store answered the call for another kind.
                    () = regained.notified() => {}
                }
                let longest = if revision.is_none() {
                    START_PAUSE
                } else {
                    LONGEST_PAUSE
                };
                pause = (pause * 2).min(longest);
            }
        }
    }
}

async fn list(
    kind: ObjectKind,
    is_stale: bool,
    client: &mut StoreClient,
    state: &Rc<RefCell<ControlState>>,
) -> Result<u64, EdgeError> {
    let (objects, revision) = client.list(kind, is_stale).await?;
    log::info!(event = "listed", kind = kind.name(), objects = objects.len(), revision, is_stale;
        "objects read");
    state
        .borrow_mut()
        .take_list(Instant::now(), kind, &objects, revision);
    Ok(revision)
}

async fn watch(
    kind: ObjectKind,
    revision: u64,
    wait: Duration,
    client: &mut StoreClient,
    state: &Rc<RefCell<ControlState>>,
) -> Result<u64, EdgeError> {
    let answer = client.watch(kind, revision, wait).await?;
    let mut state = state.borrow_mut();
    // Another node may have told more in the meantime.
    if state
        .revision(kind)
        .is_none_or(|held| held <= answer.revision)
    {
        state.take_changes(Instant::now(), kind, &answer.changes, answer.revision);
    }
    Ok(answer.revision)
}
