//! Lists and watches the objects of one kind in the store.

use crate::EdgeError;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::store_client::StoreClient;
use nutmegspread_platform::ObjectKind;
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest duration of one watch call; the store allows up to 30 s.
const MAX_WATCH_TIME: Duration = Duration::from_secs(25);
/// Longest duration of a watch call as a share of the time for which the store keeps its history.
/// After a longer one, the store may have dropped the changes after its start revision, which costs
/// a new list.
const HISTORY_SHARE: f64 = 0.8;
/// Delay after the first failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between failed calls, well within the time in which a node has to apply a new
/// configuration.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Longest delay of a node that has no objects yet, because it refuses every request until it has
/// them.
const STARTUP_MAX_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Time between checks whether this node should read the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between these checks while the node has no objects yet and cannot serve.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Delay after changes of targets, so that the next call returns many at once; drains are announced
/// seconds ahead.
const CHANGE_DELAY: Duration = Duration::from_millis(150);

/// Lists and watches the objects of one kind while this node's role is to watch the store, for as
/// long as the process runs.
pub async fn follow_store(kind: ObjectKind, node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut client = node.store_client();
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut needs_list = false;
    let mut lost_at: Option<Instant> = None;
    loop {
        if !state
            .borrow_mut()
            .should_read_store(control_clock::now(), kind)
        {
            lost_at = None;
            let is_known = state.borrow().revision(kind).is_some();
            tokio::time::sleep(if is_known {
                ROLE_CHECK_INTERVAL
            } else {
                STARTUP_CHECK_INTERVAL
            })
            .await;
            continue;
        }
        let known_revision = state.borrow().revision(kind);
        let revision = known_revision.filter(|_| !needs_list);
        let outcome = match revision {
            // A stale list is cheap, and the watch that continues from it reports the changes that
            // it lacks.
            None => list(kind, known_revision.is_none(), &mut client, &node).await,
            Some(revision) => {
                let history = Duration::from_secs_f64(shared.settings.load().history_s);
                let wait = history.mul_f64(HISTORY_SHARE).min(MAX_WATCH_TIME);
                watch(kind, revision, wait, &mut client, &node).await
            }
        };
        shared.metrics.count("store_calls", kind.name());
        match outcome {
            Ok(reached) => {
                if let Some(lost_at) = lost_at.take() {
                    node.regained.notify_waiters();
                    log::info!(event = "store_regained", kind = kind.name(),
                        lost_ms = (control_clock::now() - lost_at).as_millis() as u64, revision = reached;
                        "the store answers again");
                    if kind == ObjectKind::Targets {
                        state.borrow_mut().store_returned(control_clock::now());
                    }
                }
                needs_list = false;
                retry_delay = FIRST_RETRY_DELAY;
                state.borrow_mut().set_store_reachable(true);
                if revision != Some(reached) {
                    node.changed.notify_one();
                    if kind == ObjectKind::Targets {
                        tokio::time::sleep(CHANGE_DELAY).await;
                    }
                }
            }
            Err(EdgeError::HistoryGone { path }) => {
                log::info!(event = "history_gone", kind = kind.name(), path;
                    "the store no longer holds the changes to watch; reading a new list");
                needs_list = true;
            }
            Err(error) => {
                shared.metrics.count("store_failures", kind.name());
                if lost_at.is_none() {
                    let age = state.borrow().age(control_clock::now(), kind);
                    log::warn!(event = "store_lost", kind = kind.name(), reason:% = error,
                        age_ms = age.map(|age| age.as_millis() as u64), revision;
                        "call of the store failed; retrying with backoff");
                    lost_at = Some(control_clock::now());
                }
                state.borrow_mut().set_store_reachable(false);
                if kind == ObjectKind::Targets {
                    state.borrow_mut().store_returned(control_clock::now());
                }
                let jitter = node.random.borrow_mut().random_range(0.7..1.3);
                tokio::select! {
                    () = tokio::time::sleep(retry_delay.mul_f64(jitter)) => {}
                    // The store has answered a call for another kind of objects.
                    () = node.regained.notified() => {}
                }
                let max_delay = if revision.is_none() {
                    STARTUP_MAX_RETRY_DELAY
                } else {
                    MAX_RETRY_DELAY
                };
                retry_delay = (retry_delay * 2).min(max_delay);
            }
        }
    }
}

async fn list(
    kind: ObjectKind,
    is_stale: bool,
    client: &mut StoreClient,
    node: &ControlNode,
) -> Result<u64, EdgeError> {
    let (objects, revision) = client.list(kind, is_stale).await?;
    log::info!(event = "listed", kind = kind.name(), objects = objects.len(), revision, is_stale;
        "read a list of objects from the store");
    let mut state = node.state.borrow_mut();
    state.apply_list(control_clock::now(), kind, &objects, revision);
    if !is_stale {
        state.confirm(control_clock::now(), kind);
    }
    Ok(revision)
}

async fn watch(
    kind: ObjectKind,
    revision: u64,
    wait: Duration,
    client: &mut StoreClient,
    node: &ControlNode,
) -> Result<u64, EdgeError> {
    let answer = client.watch(kind, revision, wait).await?;
    let mut state = node.state.borrow_mut();
    // A peer may have relayed a later revision in the meantime.
    if state
        .revision(kind)
        .is_none_or(|known_revision| known_revision <= answer.revision)
    {
        state.apply_changes(control_clock::now(), kind, &answer.changes, answer.revision);
    }
    state.confirm(control_clock::now(), kind);
    Ok(answer.revision)
}
