//! How other parts of the process reach the control thread.

use super::apply_configuration::{ApplyFailure, apply_configuration};
use super::control_actor::ControlActor;
use super::control_question::{
    AskAddresses, AskConfiguration, AskDump, AskOverview, AskStatus, ControlEvent, OverviewReply,
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

/// Handle to the control actor; clones share it.
#[derive(Clone, Default)]
pub struct ControlHandle {
    link: Arc<OnceLock<ControlLink>>,
    leaving: Arc<AtomicBool>,
}

pub(super) struct ControlLink {
    pub actor: ActorRef<ControlActor>,
    pub platform: PlatformClient,
    pub journal: JournalHandle,
}

impl ControlHandle {
    pub(super) fn connect(&self, link: ControlLink) {
        // Connected once, by the thread that starts the actor.
        let _ = self.link.set(link);
    }

    fn actor(&self) -> Option<&ActorRef<ControlActor>> {
        self.link.get().map(|link| &link.actor)
    }

    /// Tells the control actor that something happened; returns whether it still runs.
    pub async fn send_input(&self, input: ControlInput) -> bool {
        match self.actor() {
            Some(actor) => actor.tell(ControlEvent(input)).await.is_ok(),
            None => false,
        }
    }

    /// Tells the control actor something without waiting; returns whether there was room.
    pub fn try_send_input(&self, input: ControlInput) -> bool {
        let actor = self.actor();
        actor.is_some_and(|actor| actor.tell(ControlEvent(input)).try_send().is_ok())
    }

    /// Configuration in force and what is known of its nodes; empty before the first.
    pub async fn overview(&self) -> OverviewReply {
        match self.actor() {
            Some(actor) => actor.ask(AskOverview).await.unwrap_or_default(),
            None => OverviewReply::default(),
        }
    }

    /// Takes a message of another node.
    pub async fn deliver(&self, envelope: PeerEnvelope) -> bool {
        let PeerEnvelope { from, body } = envelope;
        match decode_message(&body) {
            Ok(message) => self.send_input(ControlInput::Peer { from, message }).await,
            Err(error) => {
                log::warn!(from = &*from; "bad control message: {error}");
                false
            }
        }
    }

    /// Addresses for a caller; `None` while none is known.
    pub async fn answer_addresses(&self, domain: Option<String>) -> Option<AddressAnswer> {
        self.actor()?
            .ask(AskAddresses { domain })
            .await
            .ok()?
            .answer
    }

    /// Whole state of the process.
    pub async fn dump(&self) -> Value {
        let Some(link) = self.link.get() else {
            return stopped();
        };
        let Ok(reply) = link.actor.ask(AskDump).await else {
            return stopped();
        };
        let mut dump = reply.value;
        dump["orders"] = link.journal.dump().await;
        dump
    }

    /// Runs an order at most once; `None` when no journal runs any more.
    pub async fn submit_order(&self, order: SubmittedOrder) -> Option<OrderVerdict> {
        self.link.get()?.journal.submit(order).await
    }

    /// What is in force where.
    pub async fn status(&self) -> Value {
        match self.actor() {
            Some(actor) => actor
                .ask(AskStatus)
                .await
                .map_or_else(|_| stopped(), |reply| reply.value),
            None => stopped(),
        }
    }

    /// Configuration in force; empty before the first.
    pub async fn configuration(&self) -> ConfigurationDocument {
        match self.actor() {
            Some(actor) => actor
                .ask(AskConfiguration)
                .await
                .map_or_else(|_| ConfigurationDocument::default(), |reply| reply.document),
            None => ConfigurationDocument::default(),
        }
    }

    /// Applies a document on condition that `base` is the current revision.
    ///
    /// # Errors
    /// See [`ApplyFailure`].
    pub async fn apply(
        &self,
        document: ConfigurationDocument,
        base: Revision,
    ) -> Result<Revision, ApplyFailure> {
        let Some(link) = self.link.get() else {
            let message = "the node is starting".into();
            return Err(ApplyFailure::Platform {
                message,
                may_be_applied: false,
            });
        };
        let token = format!("{:032x}", rand::rng().random::<u128>());
        let applied = apply_configuration(&link.platform, document, base, token).await?;
        let revision = applied.revision;
        self.send_input(ControlInput::Applied(applied)).await;
        Ok(revision)
    }

    /// Announces a planned stop.
    pub async fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.send_input(ControlInput::Leave).await;
    }

    /// Whether a planned stop has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Stops the control thread.
    pub async fn stop(&self) {
        if let Some(link) = self.link.get() {
            link.journal.settle().await;
            // It is stopped already when this fails.
            let _ = link.actor.stop_gracefully().await;
        }
    }
}

fn stopped() -> Value {
    json!({ "error": "the control thread does not run" })
}
