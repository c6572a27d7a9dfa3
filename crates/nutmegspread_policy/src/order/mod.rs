//! Orders: the journal that lets each run at most once.
//!
//! A claim is written to the platform by conditional update before the order is sent. Only the
//! claimer ever sends it. An order without a recorded outcome is unknown to everyone else.

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
