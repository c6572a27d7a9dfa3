//! The order journal, which ensures that each order runs at most once.
//!
//! A caller submits an order under an idempotency key, and may submit it again under the same key.
//! Before the order is sent to a target, a node writes a claim on the order to the platform by
//! conditional update. Only the process that made the claim sends the order, and it records the
//! outcome with the claim. To every other process, a claimed order without a recorded outcome may
//! or may not have run.
//!
//! The journal is divided into partitions by key. The platform stores each partition as one object,
//! whose content is called its document.

mod call_slot;
mod document_draft;
mod journal_document;
mod journal_entry;
mod journal_message;
mod journal_partition;
mod journal_settings;
mod local_order;
mod order_journal;
mod order_review;
mod order_verdict;

pub use journal_document::JournalDocument;
pub use journal_entry::{BodyDigest, JournalEntry, OrderClaim, OrderOutcome};
pub use journal_message::{
    AttemptEnd, CallFailure, JournalAction, JournalInput, JournalOutput, OrderSubmission,
    SubmissionId, VersionedDocument,
};
pub use journal_partition::JournalPartition;
pub use journal_settings::{ClaimIdentity, JournalSettings};
pub use order_journal::{
    JournalStep, OrderJournal, OrderJournalSettings, PartitionAction, PartitionId, partition_name,
    partition_of,
};
pub use order_verdict::OrderVerdict;
