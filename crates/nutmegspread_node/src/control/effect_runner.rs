//! Runs the effects that the control state requests.

use super::control_actor::{ControlActor, ControlContext};
use super::control_request::ControlEvent;
use super::platform_writer::{propose_roster, store_record};
use super::rollout_caller::call_for_rollout;
use super::watch_roles::WatchRoles;
use crate::ProcessClock;
use crate::traffic::TrafficState;
use kameo::actor::ActorRef;
use nutmegspread_model::{MonotonicTime, NodeId};
use nutmegspread_policy::control::{ControlEffect, ControlInput, ObjectChange, PeerMessage};
use nutmegspread_wire::peer::{PeerEnvelope, encode_message};
use nutmegspread_wire::platform::{ObjectKind, PlatformClient};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;

/// Time limit for the delivery of a control message to a peer.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts the tasks that run effects, and manages the timer that wakes the control actor.
pub struct EffectRunner {
    node: NodeId,
    clock: ProcessClock,
    traffic: Arc<TrafficState>,
    traffic_runtime: Handle,
    platform: PlatformClient,
    watch_roles: WatchRoles,
    timer: Option<(MonotonicTime, AbortHandle)>,
}

impl EffectRunner {
    /// Creates a runner whose timer is not set.
    pub fn new(context: ControlContext) -> Self {
        Self {
            node: context.settings.node,
            clock: context.clock,
            traffic: context.traffic,
            traffic_runtime: context.traffic_runtime,
            platform: context.platform,
            watch_roles: context.watch_roles,
            timer: None,
        }
    }

    /// Runs one effect, in a task if it takes time.
    ///
    /// The control actor gets the result of the effect, if there is one, as an input, or from a
    /// watch of the platform.
    pub fn run(&self, effect: ControlEffect, actor: &ActorRef<ControlActor>) {
        match effect {
            ControlEffect::Send { address, message } => {
                let Some(envelope) = self.encode_envelope(&message) else {
                    return;
                };
                let traffic = Arc::clone(&self.traffic);
                self.traffic_runtime
                    .spawn(send_envelope(traffic, address, envelope));
            }
            ControlEffect::ReplaceStream { address } => {
                let traffic = Arc::clone(&self.traffic);
                self.traffic_runtime
                    .spawn(async move { traffic.peers().disconnect(&address).await });
            }
            ControlEffect::Watch(watching) => self.watch_roles.set_watching(watching),
            ControlEffect::ReadKind(kind) => self.watch_roles.request_read(kind),
            ControlEffect::ReadConfiguration => {
                tokio::spawn(read_configuration(self.platform.clone(), actor.clone()));
            }
            ControlEffect::StoreRecord(record) => {
                tokio::spawn(store_record(self.platform.clone(), record));
            }
            ControlEffect::ProposeRoster(roster) => {
                tokio::spawn(propose_roster(self.platform.clone(), roster));
            }
            ControlEffect::Rollout { rollout, action } => {
                let actor = actor.clone();
                let call =
                    call_for_rollout(self.platform.clone(), self.clock, rollout.clone(), action);
                tokio::spawn(async move {
                    let input = call.await;
                    let input = ControlInput::Rollout { rollout, input };
                    // Fails only if the actor has stopped, because the process is stopping.
                    let _ = actor.tell(ControlEvent(input)).await;
                });
            }
            ControlEffect::RecordWarmth { target, mark } => {
                if let Some(runner) = self.traffic.owned().find(&target) {
                    runner.record_warmth(mark);
                }
            }
        }
    }

    fn encode_envelope(&self, message: &PeerMessage) -> Option<PeerEnvelope> {
        match encode_message(message) {
            Ok(body) => Some(PeerEnvelope {
                from: self.node.clone(),
                body,
            }),
            Err(error) => {
                log::error!("a control message is not sent, because encoding failed: {error}");
                None
            }
        }
    }

    /// Sets the timer, replacing an earlier setting: the actor receives [`ControlInput::Tick`] at
    /// this time. `None` clears the timer.
    pub fn wake_at(&mut self, time: Option<MonotonicTime>, actor: &ActorRef<ControlActor>) {
        if let Some((current_time, task)) = &self.timer {
            if Some(*current_time) == time && !task.is_finished() {
                return;
            }
            task.abort();
        }
        self.timer = time.map(|time| {
            let actor = actor.clone();
            let instant = self.clock.instant_at(time);
            let task = tokio::spawn(async move {
                tokio::time::sleep_until(instant).await;
                // Fails only if the actor has stopped, because the process is stopping.
                let _ = actor.tell(ControlEvent(ControlInput::Tick)).await;
            });
            (time, task.abort_handle())
        });
    }
}

/// Reads the configuration and sends it to the actor; a failed read is sent as
/// [`ObjectChange::Lost`].
async fn read_configuration(platform: PlatformClient, actor: ActorRef<ControlActor>) {
    let list = platform.list(ObjectKind::Configuration).await;
    let change = list.map_or(ObjectChange::Lost, |list| ObjectChange::Listed(list.items));
    // Fails only if the actor has stopped, because the process is stopping.
    let _ = actor
        .tell(ControlEvent(ControlInput::Configuration(change)))
        .await;
}

/// Sends a control message to a peer, without retries: the next heartbeat replaces a lost message.
async fn send_envelope(traffic: Arc<TrafficState>, address: String, envelope: PeerEnvelope) {
    let Ok(lease) = traffic.peers().stream(&address).await else {
        return;
    };
    if lease
        .client
        .deliver(envelope, DELIVERY_TIMEOUT)
        .await
        .is_err()
    {
        traffic.peers().discard(&lease).await;
    }
}
