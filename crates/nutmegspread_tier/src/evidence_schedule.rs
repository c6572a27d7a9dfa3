//! Choice of the evidence on rollouts that the next messages to peers carry.

use crate::{AnswerCounts, RolloutEvidence, RouteName, SampleCounts, ServiceName, excess_strength};
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Largest number of routes of one rollout in one piece of evidence.
const PIECE_ROUTES: usize = 4;
/// Time after which evidence that has not changed is sent again, because messages may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// Part of the evidence on a rollout: the service, and the first route of the part.
type PieceKey = (ServiceName, Option<RouteName>);

/// Limits on the evidence that is sent at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvidenceLimits {
    /// Size of the evidence in one message, in bytes.
    pub bytes: usize,
    /// Number of messages.
    pub messages: usize,
}

/// What was sent last of a part of the evidence, and when.
#[derive(Clone, Debug)]
struct SentPiece {
    evidence: RolloutEvidence,
    at: Instant,
}

/// A part of the evidence that is due.
struct DuePiece {
    key: PieceKey,
    evidence: RolloutEvidence,
    /// Whether peers may have to stop a version because of this piece.
    is_urgent: bool,
    /// Whether the piece differs from what was sent last.
    has_changed: bool,
    sent: Option<Instant>,
}

/// Chooses the evidence on rollouts that the next messages to peers carry.
///
/// Load pattern: an operator rolls out all services of an index at once, up to hundreds. Their
/// evidence does not fit into one message, and grows with the number of routes. Evidence against a
/// version goes first, then what was not sent for the longest time; what has not changed is repeated
/// now and then in the space that is left.
#[derive(Clone, Debug, Default)]
pub struct EvidenceSchedule {
    sent: IndexMap<PieceKey, SentPiece>,
}

impl EvidenceSchedule {
    /// Returns the evidence of each of the next messages, of which there is at least one, and records
    /// it as sent at `now`. `size` returns the encoded size of a piece in bytes.
    ///
    /// A piece that is larger than a message may be goes alone into one after the first.
    pub fn next_messages(
        &mut self,
        now: Instant,
        evidence: Vec<RolloutEvidence>,
        limits: EvidenceLimits,
        size: impl Fn(&RolloutEvidence) -> usize,
    ) -> Vec<Vec<RolloutEvidence>> {
        let mut messages = vec![Vec::new()];
        let mut filled = 0;
        for piece in self.due_pieces(now, evidence) {
            let bytes = size(&piece.evidence);
            if filled + bytes > limits.bytes {
                // Repeated pieces wait for space in the first message.
                if messages.len() >= limits.messages || !piece.has_changed {
                    continue;
                }
                messages.push(Vec::new());
                filled = 0;
            }
            filled += bytes;
            let evidence = piece.evidence.clone();
            self.sent.insert(piece.key, SentPiece { evidence, at: now });
            if let Some(message) = messages.last_mut() {
                message.push(piece.evidence);
            }
        }
        messages
    }

    /// Returns the pieces that are due, the most urgent first, and forgets those that are gone.
    fn due_pieces(&mut self, now: Instant, evidence: Vec<RolloutEvidence>) -> Vec<DuePiece> {
        let pieces: IndexMap<PieceKey, RolloutEvidence> = evidence
            .into_iter()
            .flat_map(into_pieces)
            .map(|piece| {
                let first = piece.routes.first().map(|(route, _)| route.clone());
                ((piece.service.clone(), first), piece)
            })
            .collect();
        self.sent.retain(|key, _| pieces.contains_key(key));
        let mut due: Vec<DuePiece> = pieces
            .into_iter()
            .filter_map(|(key, evidence)| self.due_piece(now, key, evidence))
            .collect();
        due.sort_by_key(|piece| (!piece.is_urgent, !piece.has_changed, piece.sent));
        due
    }

    fn due_piece(
        &self,
        now: Instant,
        key: PieceKey,
        evidence: RolloutEvidence,
    ) -> Option<DuePiece> {
        let sent = self.sent.get(&key);
        let has_changed = sent.is_none_or(|sent| {
            sent.evidence.version != evidence.version
                || sent.evidence.is_braked != evidence.is_braked
                || sent.evidence.routes != evidence.routes
        });
        let is_old = sent.is_some_and(|sent| {
            evidence.is_braked || now.saturating_duration_since(sent.at) >= REPEAT_TIME
        });
        (has_changed || is_old).then(|| DuePiece {
            key,
            is_urgent: evidence.is_braked || is_suspect(&evidence),
            has_changed,
            sent: sent.map(|sent| sent.at),
            evidence,
        })
    }
}

/// Whether the counts of this node speak against the new version.
fn is_suspect(evidence: &RolloutEvidence) -> bool {
    evidence.routes.iter().any(|(_, counts)| {
        let strength = |sample: fn(&AnswerCounts) -> SampleCounts| {
            excess_strength(sample(&counts.new), sample(&counts.old), 0.0)
        };
        strength(AnswerCounts::failed_counts) > 0.0
            || strength(AnswerCounts::slow_counts) > 0.0
            || counts.new.is_mostly_refused()
    })
}

/// Splits evidence into pieces of few routes.
fn into_pieces(evidence: RolloutEvidence) -> Vec<RolloutEvidence> {
    if evidence.routes.len() <= PIECE_ROUTES {
        return vec![evidence];
    }
    let routes = evidence.routes.chunks(PIECE_ROUTES);
    routes
        .map(|routes| RolloutEvidence {
            service: evidence.service.clone(),
            version: evidence.version.clone(),
            routes: routes.to_vec(),
            ..evidence
        })
        .collect()
}
