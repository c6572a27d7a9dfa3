//! The actor that owns all control state.

use super::configuration_warnings::log_configuration_warnings;
use super::control_request::{
    AddressReply, ControlEvent, DocumentReply, GetAddresses, GetConfiguration, GetDump,
    GetOverview, GetStatus, JsonReply, OverviewReply,
};
use super::effect_runner::EffectRunner;
use super::watch_roles::WatchRoles;
use crate::traffic::TrafficState;
use crate::{NodeSettings, ProcessClock};
use kameo::Actor;
use kameo::message::{Context, Message};
use nutmegspread_model::Incarnation;
use nutmegspread_policy::control::{ControlSettings, ControlState};
use nutmegspread_policy::fleet::FleetSettings;
use nutmegspread_wire::platform::PlatformClient;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

/// Settings, clocks and connections that the control actor needs.
pub struct ControlContext {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Number of this process start.
    pub incarnation: Incarnation,
    /// Traffic state, to which views are published.
    pub traffic: Arc<TrafficState>,
    /// Runtime that runs the streams to peers.
    pub traffic_runtime: Handle,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Address of the callers' listener.
    pub caller_address: SocketAddr,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// Roles of the tasks that follow the platform's objects: whether they watch, and when they
    /// read.
    pub watch_roles: WatchRoles,
    /// Sender that the actor drops when it stops; its receiver then ends.
    pub stopping: Option<oneshot::Sender<()>>,
}

/// Owns the control state and processes one message at a time.
#[derive(Actor)]
pub struct ControlActor {
    clock: ProcessClock,
    traffic: Arc<TrafficState>,
    state: ControlState,
    effects: EffectRunner,
    /// Never used. Dropping it informs the control thread that the actor has stopped.
    _stopping: Option<oneshot::Sender<()>>,
}

impl ControlActor {
    /// Creates the actor with an initial control state.
    pub fn new(mut context: ControlContext) -> Self {
        let stopping = context.stopping.take();
        let state = ControlState::new(control_settings(&context), context.clock.now());
        let clock = context.clock;
        let traffic = Arc::clone(&context.traffic);
        let effects = EffectRunner::new(context);
        Self {
            clock,
            traffic,
            state,
            effects,
            _stopping: stopping,
        }
    }
}

fn control_settings(context: &ControlContext) -> ControlSettings {
    let settings = &context.settings;
    let fleet = FleetSettings {
        node: settings.node.clone(),
        domain: settings.domain.clone(),
        caller_address: context.caller_address.to_string(),
        peer_address: context.peer_address.to_string(),
        incarnation: context.incarnation,
        keep_addresses_for: settings.address_keep,
        ..FleetSettings::default()
    };
    ControlSettings { fleet }
}

impl Message<ControlEvent> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, event: ControlEvent, context: &mut Context<Self, ()>) {
        let now = self.clock.now();
        let revision = self.state.document().revision;
        let output = self.state.step(now, self.clock.wall(), event.0);
        if self.state.document().revision != revision {
            log_configuration_warnings(self.state.document());
        }
        let actor = context.actor_ref();
        for effect in output.effects {
            self.effects.run(effect, actor);
        }
        if let Some(view) = output.view {
            self.traffic.publish(view);
        }
        self.effects.wake_at(output.wake_at, actor);
    }
}

impl Message<GetAddresses> for ControlActor {
    type Reply = AddressReply;

    async fn handle(
        &mut self,
        request: GetAddresses,
        _: &mut Context<Self, AddressReply>,
    ) -> AddressReply {
        let answer = self
            .state
            .answer_addresses(request.domain.as_deref(), &mut rand::rng());
        AddressReply { answer }
    }
}

impl Message<GetStatus> for ControlActor {
    type Reply = JsonReply;

    async fn handle(&mut self, _: GetStatus, _: &mut Context<Self, JsonReply>) -> JsonReply {
        let report = self.state.status();
        JsonReply {
            value: json!(report),
        }
    }
}

impl Message<GetDump> for ControlActor {
    type Reply = JsonReply;

    async fn handle(&mut self, _: GetDump, _: &mut Context<Self, JsonReply>) -> JsonReply {
        let value = json!({
            "status": self.state.status(),
            "control": format!("{:?}", self.state),
            "traffic": self.traffic.dump(),
        });
        JsonReply { value }
    }
}

impl Message<GetConfiguration> for ControlActor {
    type Reply = DocumentReply;

    async fn handle(
        &mut self,
        _: GetConfiguration,
        _: &mut Context<Self, DocumentReply>,
    ) -> DocumentReply {
        DocumentReply {
            document: self.state.document().clone(),
        }
    }
}

impl Message<GetOverview> for ControlActor {
    type Reply = OverviewReply;

    async fn handle(
        &mut self,
        _: GetOverview,
        _: &mut Context<Self, OverviewReply>,
    ) -> OverviewReply {
        OverviewReply {
            document: self.state.document().clone(),
            report: self.state.status(),
        }
    }
}
