//! Handle with which other parts of the process call the control thread.

use super::apply_configuration::{ApplyFailure, apply_configuration};
use super::control_actor::ControlActor;
use super::control_request::{
    ControlEvent, GetAddresses, GetConfiguration, GetDump, GetOverview, GetStatus, OverviewReply,
};
use crate::order::{JournalHandle, SubmittedOrder};
use kameo::actor::ActorRef;
use nutmegspread_model::{AddressAnswer, ConfigurationDocument, Revision};
use nutmegspread_policy::control::ControlInput;
use nutmegspread_policy::order::OrderVerdict;
use nutmegspread_wire::peer::{PeerEnvelope, decode_message};
use nutmegspread_wire::platform::PlatformClient;
use rand::Rng;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};

/// Handle to the control actor and the order journal; all clones refer to the same ones.
#[derive(Clone, Default)]
pub struct ControlHandle {
    endpoints: Arc<OnceLock<ControlEndpoints>>,
    leaving: Arc<AtomicBool>,
}

/// Actors and client that the handle uses once the control thread has started.
pub(super) struct ControlEndpoints {
    pub actor: ActorRef<ControlActor>,
    pub platform: PlatformClient,
    pub journal: JournalHandle,
}

impl ControlHandle {
    pub(super) fn connect(&self, endpoints: ControlEndpoints) {
        // Cannot fail: the control thread calls this once, after it has started the actor.
        let _ = self.endpoints.set(endpoints);
    }

    fn actor(&self) -> Option<&ActorRef<ControlActor>> {
        self.endpoints.get().map(|endpoints| &endpoints.actor)
    }

    /// Sends an input to the control actor, waiting for room in its mailbox; returns whether the
    /// actor is running.
    pub async fn send_input(&self, input: ControlInput) -> bool {
        match self.actor() {
            Some(actor) => actor.tell(ControlEvent(input)).await.is_ok(),
            None => false,
        }
    }

    /// Sends an input to the control actor without waiting; returns whether the mailbox had room.
    pub fn try_send_input(&self, input: ControlInput) -> bool {
        let actor = self.actor();
        actor.is_some_and(|actor| actor.tell(ControlEvent(input)).try_send().is_ok())
    }

    /// Current configuration and status report of the node; both are empty if the control actor is
    /// not running.
    pub async fn overview(&self) -> OverviewReply {
        match self.actor() {
            Some(actor) => actor.ask(GetOverview).await.unwrap_or_default(),
            None => OverviewReply::default(),
        }
    }

    /// Passes a message of a peer to the control actor; returns whether the message could be
    /// decoded and the actor is running.
    pub async fn deliver(&self, envelope: PeerEnvelope) -> bool {
        let PeerEnvelope { from, body } = envelope;
        match decode_message(&body) {
            Ok(message) => self.send_input(ControlInput::Peer { from, message }).await,
            Err(error) => {
                log::warn!(
                    from = &*from;
                    "discarding a control message that cannot be decoded: {error}"
                );
                false
            }
        }
    }

    /// Addresses for a caller that states this failure domain; `None` if no address is known or the
    /// control actor is not running.
    pub async fn answer_addresses(&self, domain: Option<String>) -> Option<AddressAnswer> {
        self.actor()?
            .ask(GetAddresses { domain })
            .await
            .ok()?
            .answer
    }

    /// State of control, traffic and the order journal, as JSON.
    pub async fn dump(&self) -> Value {
        let Some(endpoints) = self.endpoints.get() else {
            return not_running_error();
        };
        let Ok(reply) = endpoints.actor.ask(GetDump).await else {
            return not_running_error();
        };
        let mut dump = reply.value;
        dump["orders"] = endpoints.journal.dump().await;
        dump
    }

    /// Submits an order, which runs at most once; `None` if the order journal is not running.
    pub async fn submit_order(&self, order: SubmittedOrder) -> Option<OrderVerdict> {
        self.endpoints.get()?.journal.submit(order).await
    }

    /// Status report of the node, as JSON.
    pub async fn status(&self) -> Value {
        match self.actor() {
            Some(actor) => actor
                .ask(GetStatus)
                .await
                .map_or_else(|_| not_running_error(), |reply| reply.value),
            None => not_running_error(),
        }
    }

    /// Current configuration; empty if none is known or the control actor is not running.
    pub async fn configuration(&self) -> ConfigurationDocument {
        match self.actor() {
            Some(actor) => actor
                .ask(GetConfiguration)
                .await
                .map_or_else(|_| ConfigurationDocument::default(), |reply| reply.document),
            None => ConfigurationDocument::default(),
        }
    }

    /// Applies a document, provided that `base` is the current revision; returns the new revision.
    ///
    /// # Errors
    /// If the control thread has not started, if the document is invalid, if another revision is
    /// current, or if a call to the platform failed or has an unknown outcome.
    pub async fn apply(
        &self,
        document: ConfigurationDocument,
        base: Revision,
    ) -> Result<Revision, ApplyFailure> {
        let Some(endpoints) = self.endpoints.get() else {
            let message = "the node is starting".into();
            return Err(ApplyFailure::Platform {
                message,
                may_be_applied: false,
            });
        };
        let token = format!("{:032x}", rand::rng().random::<u128>());
        let applied = apply_configuration(&endpoints.platform, document, base, token).await?;
        let revision = applied.revision;
        self.send_input(ControlInput::Applied(applied)).await;
        Ok(revision)
    }

    /// Begins a planned stop, which the control actor announces to the peers.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.send_input(ControlInput::Leave).await;
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Waits a limited time until the outcomes of orders are recorded, then stops the control
    /// thread.
    pub async fn stop(&self) {
        if let Some(endpoints) = self.endpoints.get() {
            endpoints.journal.wait_until_recorded().await;
            // Fails only if the actor has stopped already.
            let _ = endpoints.actor.stop_gracefully().await;
        }
    }
}

fn not_running_error() -> Value {
    json!({ "error": "the control thread is not running" })
}
