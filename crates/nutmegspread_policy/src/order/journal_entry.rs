//! One order in the journal.

use nutmegspread_model::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::SystemTime;
use xxhash_rust::xxh3::xxh3_128;

/// Digest of an order's route and body, in hexadecimal.
pub type BodyDigest = Arc<str>;

/// Who may send an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderClaim {
    /// Node that claimed it.
    pub node: NodeId,
    /// Start of that node's process.
    pub incarnation: Incarnation,
    /// Token that no other claim has.
    pub token: Arc<str>,
}

/// What became of an order that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderOutcome {
    /// It ran with this result.
    Ran(Arc<str>),
    /// It ran; the result is too large to keep.
    RanWithoutResult,
    /// It was sent and no usable answer came.
    Unknown,
}

impl OrderOutcome {
    /// The outcome without a result that is larger than `result_bytes` in JSON.
    pub(super) fn within(self, result_bytes: usize) -> Self {
        match self {
            Self::Ran(result) if json_text_bytes(&result) > result_bytes => Self::RanWithoutResult,
            outcome => outcome,
        }
    }
}

/// A claimed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Digest of what was ordered, so that a key used for something else is noticed.
    pub digest: BodyDigest,
    /// When the caller made the key, in milliseconds since the Unix epoch.
    #[serde(rename = "issued_at_ms", with = "nutmegspread_model::time_ms")]
    pub issued_at: SystemTime,
    /// Who may send it.
    pub claim: OrderClaim,
    /// What became of it; absent while that is not recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<OrderOutcome>,
}

/// Bytes of an entry's field names, punctuation, number and outcome tag in JSON.
const ENTRY_FRAME_BYTES: usize = 200;

impl JournalEntry {
    /// Digest of a route and body.
    pub fn digest_of(route: &str, body: &str) -> BodyDigest {
        let framed = format!("{}:{route}{body}", route.len());
        format!("{:032x}", xxh3_128(framed.as_bytes())).into()
    }

    /// Upper bound of the entry's size in JSON, its key included; an open claim reserves
    /// `result_bytes` for its result.
    pub fn byte_bound(&self, key: &str, result_bytes: usize) -> usize {
        let result = match &self.outcome {
            Some(OrderOutcome::Ran(result)) => json_text_bytes(result),
            Some(_) => 0,
            None => result_bytes,
        };
        let claim = json_text_bytes(&self.claim.node) + json_text_bytes(&self.claim.token);
        ENTRY_FRAME_BYTES + json_text_bytes(key) + self.digest.len() + claim + result
    }
}

/// Bytes of a text in JSON without its quotes.
fn json_text_bytes(text: &str) -> usize {
    text.bytes()
        .map(|byte| match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
            0..0x20 => 6,
            _ => 1,
        })
        .sum()
}
