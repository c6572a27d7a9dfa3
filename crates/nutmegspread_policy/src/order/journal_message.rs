//! Inputs and outputs of a journal partition.

use super::{BodyDigest, JournalDocument, OrderVerdict};
use nutmegspread_model::{AttemptId, IdempotencyKey, MonotonicTime, ResourceVersion};
use std::sync::Arc;
use std::time::SystemTime;

/// Number of a submission, unique within the process.
pub type SubmissionId = u64;

/// One request of a caller to run an order.
///
/// A caller that repeats an order makes another submission with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSubmission {
    /// Number of the submission.
    pub submission: SubmissionId,
    /// Idempotency key of the order.
    pub key: IdempotencyKey,
    /// Digest of the order's route and body.
    pub digest: BodyDigest,
    /// When the caller issued the key, by the caller's wall clock.
    pub issued_at: SystemTime,
    /// The caller's deadline, by this process's monotonic clock.
    pub deadline: MonotonicTime,
}

/// The document of a partition as the platform stores it, with the version of its object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedDocument {
    /// Resource version of the object; 0 if the object does not exist.
    pub version: ResourceVersion,
    /// Content of the object.
    pub document: Arc<JournalDocument>,
}

/// Why a platform call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The write had no effect, because the object has another version than expected.
    Conflict,
    /// No usable answer was received; a write may have taken effect or may still do so.
    Unavailable,
}

/// How an attempt to run an order at a target ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The target ran the order and returned this result.
    Ran(Arc<str>),
    /// The target did not start the order: the attempt was never handed to a connection, or the
    /// target answered that it did not start.
    NotStarted,
    /// The attempt was handed to a connection and no usable answer was received.
    Lost,
}

/// An input of [`JournalPartition::step`](super::JournalPartition::step).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalInput {
    /// A caller submits an order.
    Submit(OrderSubmission),
    /// A platform call of [`JournalAction::Read`] ended.
    ReadDone {
        /// Number of the call.
        call: u64,
        /// The stored document, or `Ok(None)` if the object does not exist.
        result: Result<Option<VersionedDocument>, CallFailure>,
    },
    /// A platform call of [`JournalAction::Write`] ended.
    WriteDone {
        /// Number of the call.
        call: u64,
        /// Version of the object after the write, or why the write failed.
        result: Result<ResourceVersion, CallFailure>,
    },
    /// An attempt of [`JournalAction::Dispatch`] ended.
    AttemptEnded {
        /// Key of the order.
        key: IdempotencyKey,
        /// Number of the attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// The budget that limits the journal's writes allows this partition one write now.
    Commit,
    /// The time requested by [`JournalOutput::wake_at`] has been reached.
    Tick,
}

/// An action that a partition asks its process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalAction {
    /// Read the object of the partition.
    Read {
        /// Number of the call.
        call: u64,
    },
    /// Create the object if `base` is 0; otherwise replace it, provided that its version is `base`.
    Write {
        /// Number of the call.
        call: u64,
        /// Version of the object that the write replaces; 0 if it creates the object.
        base: ResourceVersion,
        /// New content of the object.
        document: Arc<JournalDocument>,
        /// Token that is unique among the writes of this partition, stored in the object's
        /// metadata.
        token: String,
    },
    /// Send the order to one target in a single attempt.
    Dispatch {
        /// Key of the order.
        key: IdempotencyKey,
        /// Number of the attempt.
        attempt: AttemptId,
        /// Submission whose body is sent.
        submission: SubmissionId,
        /// Latest time at which the attempt may be handed to a connection; after that it ends as
        /// [`AttemptEnd::NotStarted`].
        send_by: MonotonicTime,
    },
    /// Answer the caller that made a submission.
    Answer {
        /// Submission to answer.
        submission: SubmissionId,
        /// The answer.
        verdict: OrderVerdict,
    },
}

/// Result of a step of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JournalOutput {
    /// Actions to carry out, in this order.
    pub actions: Vec<JournalAction>,
    /// Whether the partition has changes to write and could write now; it writes only after a
    /// [`JournalInput::Commit`].
    pub needs_write: bool,
    /// Latest time for the next step; `None` if only an event can change the partition.
    pub wake_at: Option<MonotonicTime>,
}
