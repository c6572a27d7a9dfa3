//! Lists and watches the objects of one kind in the store.

use crate::EdgeError;
use crate::control::control_clock;
use crate::control::control_node::ControlNode;
use crate::control::control_state::ControlState;
use crate::control::store_client::StoreClient;
use crate::control::store_list::StoreList;
use crate::control::store_read::StoreRead;
use nutmegspread_platform::{ObjectChange, ObjectKind, list_path};
use nutmegspread_tier::{StatedEra, StorePosition};
use rand::Rng;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Duration of a watch call that asks for the changes so far; the shortest that the store takes.
const CONFIRM_TIME: Duration = Duration::from_millis(1);
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
/// Latest number that the first era of a store can have.
const FIRST_ERA: u64 = 1;
/// Time between checks whether this node should read the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between these checks while the node has no objects yet and cannot serve.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Delay after changes of targets, so that the next call returns many at once; drains are announced
/// seconds ahead.
const CHANGE_DELAY: Duration = Duration::from_millis(150);

/// Lists and watches the objects of one kind for as long as the process runs, whenever this node has
/// to read the store.
pub async fn follow_store(kind: ObjectKind, node: Rc<ControlNode>) {
    let ControlNode { state, shared, .. } = &*node;
    let mut client = node.store_client();
    let mut retry_delay = FIRST_RETRY_DELAY;
    let mut needs_list = false;
    let mut lost_at: Option<Instant> = None;
    loop {
        let read = state.borrow_mut().store_read(control_clock::now(), kind);
        if read == StoreRead::Skip {
            lost_at = None;
            state
                .borrow_mut()
                .forget_failure(control_clock::now(), kind);
            let is_known = state.borrow().position(kind).is_some();
            tokio::time::sleep(if is_known {
                ROLE_CHECK_INTERVAL
            } else {
                STARTUP_CHECK_INTERVAL
            })
            .await;
            continue;
        }
        let known = state.borrow().position(kind);
        // Changes of a later era do not continue what is known of an earlier one.
        let is_continued = !needs_list && !state.borrow().is_outdated(kind);
        let from = known.filter(|_| is_continued);
        shared.metrics.count("store_calls", kind.name());
        let outcome = match from {
            // A stale list is cheap, and the watch that continues from it reports the changes that
            // it lacks.
            None => list(kind, known.is_none(), &mut client, &node).await,
            Some(from) => tokio::select! {
                biased;
                outcome = watch(kind, from, read, &mut client, &node) => outcome,
                () = wait_for_shorter_read(kind, read, &node) => {
                    log::info!(event = "watch_ended", kind = kind.name(), revision = from.revision,
                        age_ms = millis(state.borrow().age(control_clock::now(), kind));
                        "ended a watch early to ask the store again");
                    continue;
                }
            },
        };
        match outcome {
            Ok(progress) => {
                if let Some(lost_at) = lost_at.take() {
                    node.regained.notify_waiters();
                    log::info!(event = "store_regained", kind = kind.name(),
                        lost_ms = millis(control_clock::now() - lost_at),
                        revision = progress.revision; "the store answers again");
                }
                // The history from what is known on may be gone for good, for example if the store went
                // back without a new era. Another list at once would not help.
                if needs_list && !progress.has_changes {
                    tokio::time::sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                } else if !needs_list {
                    retry_delay = FIRST_RETRY_DELAY;
                }
                needs_list = false;
                if state.borrow_mut().set_store_reachable(kind, true) {
                    node.changed.notify_one();
                }
                if progress.has_changes {
                    node.changed.notify_one();
                    if kind == ObjectKind::Targets {
                        tokio::time::sleep(CHANGE_DELAY).await;
                    }
                }
            }
            Err(EdgeError::HistoryGone { path, era: stated }) => {
                log::info!(event = "history_gone", kind = kind.name(), path;
                    "the store no longer holds the changes to watch; reading a new list");
                let era = from.map_or(0, |from| from.era);
                observe_era(&node, &mut state.borrow_mut(), stated, era);
                // After a restore, the nodes list in turn instead.
                needs_list = !state.borrow().is_outdated(kind);
                let is_news = !needs_list && state.borrow_mut().set_store_reachable(kind, true);
                if is_news {
                    lost_at = None;
                    node.regained.notify_waiters();
                    node.changed.notify_one();
                }
            }
            Err(error @ (EdgeError::PastEra { .. } | EdgeError::EraChanged { .. })) => {
                log::info!(event = "answer_of_past_era", kind = kind.name(), reason:% = error;
                    "discarded an answer of the store");
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
            Err(error) => {
                shared.metrics.count("store_failures", kind.name());
                if lost_at.is_none() {
                    let age = state.borrow().age(control_clock::now(), kind);
                    log::warn!(event = "store_lost", kind = kind.name(), reason:% = error,
                        age_ms = millis(age), revision = from.map(|from| from.revision);
                        "call of the store failed; retrying with backoff");
                    lost_at = Some(control_clock::now());
                }
                if state.borrow_mut().set_store_reachable(kind, false) {
                    node.changed.notify_one();
                }
                let jitter = node.random.borrow_mut().random_range(0.7..1.3);
                tokio::select! {
                    () = tokio::time::sleep(retry_delay.mul_f64(jitter)) => {}
                    // The store has answered a call for another kind of objects.
                    () = node.regained.notified() => {}
                }
                let max_delay = if from.is_none() {
                    STARTUP_MAX_RETRY_DELAY
                } else {
                    MAX_RETRY_DELAY
                };
                retry_delay = (retry_delay * 2).min(max_delay);
            }
        }
    }
}

/// What a list or a watch has reached.
struct ReadProgress {
    /// Revision up to which the kind is known.
    revision: u64,
    /// Whether other nodes should be told at once.
    has_changes: bool,
}

/// Returns once a kind has to be read with a shorter wait than by `read`, which is under way. A call
/// that the store answers within the confirm interval is not given up.
async fn wait_for_shorter_read(kind: ObjectKind, read: StoreRead, node: &ControlNode) {
    let confirm_interval = node.state.borrow().confirm_interval();
    loop {
        tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        let now = control_clock::now();
        if node.state.borrow().is_outdated(kind) {
            return;
        }
        let next = node.state.borrow_mut().store_read(now, kind);
        let is_shorter = match (read, next) {
            (StoreRead::Watch(wait), StoreRead::Watch(next_wait)) => next_wait < wait,
            (StoreRead::Watch(wait), StoreRead::Confirm) => wait > confirm_interval,
            _ => false,
        };
        if is_shorter {
            return;
        }
    }
}

async fn list(
    kind: ObjectKind,
    is_stale: bool,
    client: &mut StoreClient,
    node: &ControlNode,
) -> Result<ReadProgress, EdgeError> {
    let (known, sent) = {
        let state = node.state.borrow();
        (state.position(kind), state.era())
    };
    let list = client.list(kind, is_stale).await?;
    let StoreList {
        objects, revision, ..
    } = list;
    let now = control_clock::now();
    let mut state = node.state.borrow_mut();
    let era = observe_era(node, &mut state, list.era, sent);
    let era = era.ok_or_else(|| past_era(kind, &state))?;
    // A stale list may be of the history that the store has lost, so that it counts as of the era before
    // and a current one follows.
    let era = if is_stale && era > FIRST_ERA {
        era - 1
    } else {
        era
    };
    let position = StorePosition { era, revision };
    log::info!(event = "listed", kind = kind.name(), objects = objects.len(), revision, era,
        is_stale; "read a list of objects from the store");
    if known > Some(position) {
        node.shared.metrics.count("store_lists_behind", kind.name());
        log::warn!(event = "list_behind", kind = kind.name(), revision, known:? = known, era,
            is_stale; "the store listed objects of an earlier revision than this node knew before");
    }
    // A peer may have relayed later objects in the meantime.
    let is_newer = state.position(kind) < Some(position);
    state.record_store_answer(now);
    // An object that an incomplete list lacks may still exist, so that a known one is kept.
    if is_newer && (list.is_complete || state.position(kind).is_none()) {
        state.apply_list(now, kind, &objects, position);
    } else if is_newer {
        let put = |object| ObjectChange {
            object,
            is_removed: false,
        };
        let changes: Vec<ObjectChange> = objects.into_iter().map(put).collect();
        state.apply_changes(now, kind, &changes, position);
    }
    if !is_stale {
        state.confirm_position(now, kind, position);
    }
    Ok(ReadProgress {
        revision,
        has_changes: is_newer,
    })
}

/// Watches a kind `from` the position up to which it is known.
async fn watch(
    kind: ObjectKind,
    from: StorePosition,
    read: StoreRead,
    client: &mut StoreClient,
    node: &ControlNode,
) -> Result<ReadProgress, EdgeError> {
    let history = Duration::from_secs_f64(node.shared.settings.load().history_s);
    let wait = match read {
        StoreRead::Watch(wait) => wait.min(history.mul_f64(HISTORY_SHARE)),
        StoreRead::Confirm | StoreRead::Skip => CONFIRM_TIME,
    };
    let answer = client.watch(kind, from.revision, wait).await?;
    let now = control_clock::now();
    let mut state = node.state.borrow_mut();
    let era = observe_era(node, &mut state, answer.era, from.era);
    let era = era.ok_or_else(|| past_era(kind, &state))?;
    let revision = answer.revision;
    let position = StorePosition { era, revision };
    state.record_store_answer(now);
    if era != from.era {
        // The revision of the call was given out again, so the changes after it are not the ones that
        // this node lacks. It lists the kind next, and tells its peers of the era at once.
        return Ok(ReadProgress {
            revision: from.revision,
            has_changes: true,
        });
    }
    // A peer may have relayed later changes in the meantime.
    let is_newer = state.position(kind) <= Some(position);
    if is_newer {
        state.apply_changes(now, kind, &answer.changes, position);
    }
    state.confirm_position(now, kind, position);
    Ok(ReadProgress {
        revision,
        has_changes: is_newer && !answer.changes.is_empty(),
    })
}

/// Records the era of an answer, see [`ControlState::observe_answer`], and has a later one announced to
/// the other nodes before they ask the store.
fn observe_era(
    node: &ControlNode,
    state: &mut ControlState,
    stated: StatedEra,
    sent: u64,
) -> Option<u64> {
    let before = state.era();
    let era = state.observe_answer(control_clock::now(), stated, sent);
    if before > 0 && state.era() > before {
        node.era_risen.notify_one();
    }
    era
}

fn past_era(kind: ObjectKind, state: &ControlState) -> EdgeError {
    EdgeError::PastEra {
        path: list_path(kind, None, false),
        era: state.era(),
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
