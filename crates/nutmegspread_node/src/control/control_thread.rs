//! Thread that runs the control actor, the order journal and the tasks that follow the platform.

use super::control_actor::{ControlActor, ControlContext};
use super::control_handle::{ControlEndpoints, ControlHandle};
use super::control_request::ControlEvent;
use super::platform_follower::follow_objects;
use super::unreadable_log::UnreadableLog;
use super::watch_roles::{WatchRoles, object_kind};
use crate::order::{JournalActor, JournalContext};
use crate::traffic::{TrafficState, WarmthReport};
use crate::{NodeError, NodeSettings, ProcessClock};
use kameo::actor::{ActorRef, Spawn};
use nutmegspread_model::Incarnation;
use nutmegspread_policy::control::{ControlInput, ObjectChange, WatchedKind};
use nutmegspread_wire::platform::{PlatformClient, PlatformSettings};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

/// Parts of the process that the control thread uses.
pub struct ControlDependencies {
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Traffic state, to which views are published.
    pub traffic: Arc<TrafficState>,
    /// Runtime that runs the streams to peers.
    pub traffic_runtime: Handle,
    /// Receives the warmth of owned targets.
    pub warmth_reports: mpsc::UnboundedReceiver<WarmthReport>,
    /// Address of the callers' listener.
    pub caller_address: SocketAddr,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
}

/// Starts the control thread and connects the handle to it.
///
/// # Errors
/// If the thread, its runtime or the platform client cannot be started.
pub fn start_control(
    settings: &NodeSettings,
    dependencies: ControlDependencies,
    handle: &ControlHandle,
) -> Result<(), NodeError> {
    let platform = PlatformClient::new(PlatformSettings {
        address: settings.platform.address.clone(),
        call_timeout: settings.platform.call_timeout,
        watch_silence: settings.platform.watch_silence,
    })
    .map_err(|error| NodeError::Platform(error.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let settings = settings.clone();
    let handle = handle.clone();
    let (ready, started) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || {
            runtime.block_on(async move {
                let stopped = run_control(&settings, dependencies, &handle, &platform);
                // Cannot fail: `start_control` keeps the receiver until this message arrives.
                let _ = ready.send(());
                let _ = stopped.await;
            });
        })?;
    started.recv().map_err(std::io::Error::other)?;
    Ok(())
}

/// Starts the actors and the tasks that send inputs to the control actor.
///
/// The returned receiver ends when the control actor has stopped.
fn run_control(
    settings: &NodeSettings,
    dependencies: ControlDependencies,
    handle: &ControlHandle,
    platform: &PlatformClient,
) -> oneshot::Receiver<()> {
    let (stopping, stopped) = oneshot::channel();
    let journal = JournalActor::start(JournalContext {
        clock: dependencies.clock,
        incarnation: dependencies.incarnation,
        traffic: Arc::clone(&dependencies.traffic),
        traffic_runtime: dependencies.traffic_runtime.clone(),
        platform: platform.clone(),
    });
    let traffic = Arc::clone(&dependencies.traffic);
    let warmth_reports = dependencies.warmth_reports;
    let watch_roles = WatchRoles::default();
    let context = ControlContext {
        settings: settings.clone(),
        clock: dependencies.clock,
        incarnation: dependencies.incarnation,
        traffic: dependencies.traffic,
        traffic_runtime: dependencies.traffic_runtime,
        platform: platform.clone(),
        caller_address: dependencies.caller_address,
        peer_address: dependencies.peer_address,
        watch_roles: watch_roles.clone(),
        stopping: Some(stopping),
    };
    let actor = ControlActor::spawn(ControlActor::new(context));
    handle.connect(ControlEndpoints {
        actor: actor.clone(),
        platform: platform.clone(),
        journal,
    });
    let roles = &watch_roles;
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Configuration,
        ControlInput::Configuration,
    );
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Maps,
        ControlInput::Maps,
    );
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Verdicts,
        ControlInput::Verdicts,
    );
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Nodes,
        ControlInput::Nodes,
    );
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Vms,
        ControlInput::Vms,
    );
    follow(
        &actor,
        platform,
        roles,
        &traffic,
        WatchedKind::Roster,
        ControlInput::Roster,
    );
    // Fails only if the mailbox is closed or full; the actor has just been started.
    let _ = actor.tell(ControlEvent(ControlInput::Start)).try_send();
    tokio::spawn(forward_warmth_reports(actor, warmth_reports));
    stopped
}

/// Starts a task that follows one kind of platform object and sends its changes to the control
/// actor.
fn follow<T>(
    actor: &ActorRef<ControlActor>,
    platform: &PlatformClient,
    roles: &WatchRoles,
    traffic: &Arc<TrafficState>,
    kind: WatchedKind,
    input: fn(ObjectChange<T>) -> ControlInput,
) where
    T: DeserializeOwned + Send + Sync + 'static,
{
    let actor = actor.clone();
    let platform = platform.clone();
    let role = roles.role(kind);
    let report = move |change| {
        let actor = actor.clone();
        async move { actor.tell(ControlEvent(input(change))).await.is_ok() }
    };
    let kind = object_kind(kind);
    let unreadable = UnreadableLog::new(kind, Arc::clone(traffic));
    tokio::spawn(follow_objects(platform, kind, role, unreadable, report));
}

async fn forward_warmth_reports(
    actor: ActorRef<ControlActor>,
    mut reports: mpsc::UnboundedReceiver<WarmthReport>,
) {
    while let Some(report) = reports.recv().await {
        let WarmthReport { target, mark } = report;
        let input = ControlInput::Warmth { target, mark };
        if actor.tell(ControlEvent(input)).await.is_err() {
            return;
        }
    }
}
