//! The order journal, which ensures that each order runs at most once.
//!
//! Before an order is sent, a claim on it is written to the platform by conditional update. Only the
//! process that holds the claim sends the order. To every other process, a claimed order without a
//! recorded outcome may or may not have run.

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
