//! The stored entry of one order: its claim and its outcome.

use nutmegspread_model::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::SystemTime;
use xxhash_rust::xxh3::xxh3_128;

/// Hexadecimal digest of an order's route and body.
pub type BodyDigest = Arc<str>;

/// A claim on an order: names the only process that may send the order to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderClaim {
    /// Node that claimed the order.
    pub node: NodeId,
    /// Incarnation of that node's process: a number that increases with each start.
    pub incarnation: Incarnation,
    /// Token that is unique among the claims of the partition.
    pub token: Arc<str>,
}

/// Outcome of an order that was sent to a target, as stored in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// The order ran and returned this result.
    Ran(Arc<str>),
    /// The order ran, but its result is too large to store.
    RanWithoutResult,
    /// The order was sent and no usable answer was received, so it may or may not have run.
    Unknown,
}

impl OrderOutcome {
    /// Returns [`Self::RanWithoutResult`] instead of a result that takes more than `result_bytes`
    /// bytes as JSON; any other outcome stays as it is.
    pub(super) fn limit_result(self, result_bytes: usize) -> Self {
        match self {
            Self::Ran(result) if json_text_bytes(&result) > result_bytes => Self::RanWithoutResult,
            outcome => outcome,
        }
    }
}

/// Stored entry of a claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Digest of the order's route and body, which shows when a key is reused for another order.
    pub digest: BodyDigest,
    /// When the caller issued the key, stored in milliseconds since the Unix epoch.
    #[serde(rename = "issued_at_ms", with = "nutmegspread_model::time_ms")]
    pub issued_at: SystemTime,
    /// The process that alone may send the order.
    pub claim: OrderClaim,
    /// Recorded outcome; absent until it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<OrderOutcome>,
}

/// Upper bound of the JSON bytes of an entry's field names, punctuation, numbers and outcome tag.
const ENTRY_OVERHEAD_BYTES: usize = 200;

impl JournalEntry {
    /// Computes the digest of a route and body.
    ///
    /// The digested text starts with the length of the route, so that no two pairs of route and
    /// body give the same text.
    pub fn digest_of(route: &str, body: &str) -> BodyDigest {
        let prefixed_text = format!("{}:{route}{body}", route.len());
        format!("{:032x}", xxh3_128(prefixed_text.as_bytes())).into()
    }

    /// Upper bound of the size of the entry and its key as JSON, in bytes.
    ///
    /// An entry without an outcome counts as if its result took `result_bytes`, the largest result
    /// that is stored.
    pub fn byte_bound(&self, key: &str, result_bytes: usize) -> usize {
        let result = match &self.outcome {
            Some(OrderOutcome::Ran(result)) => json_text_bytes(result),
            Some(_) => 0,
            None => result_bytes,
        };
        let claim = json_text_bytes(&self.claim.node) + json_text_bytes(&self.claim.token);
        ENTRY_OVERHEAD_BYTES + json_text_bytes(key) + self.digest.len() + claim + result
    }
}

/// Upper bound of the bytes of `text` as a JSON string, without its quotes.
fn json_text_bytes(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
