//! A peer from which a message was received.

use crate::membership::member_record::MemberRecord;
use crate::membership::member_settings::MemberSettings;
use std::time::{Duration, Instant};

/// A peer from which a message was received.
#[derive(Clone, Debug)]
pub struct HeardMember {
    /// Last record of the peer.
    pub record: MemberRecord,
    /// Time at which the last message from the peer was received.
    pub heard: Instant,
}

impl HeardMember {
    /// Whether a message was received less than `within` ago.
    pub fn is_heard(&self, now: Instant, within: Duration) -> bool {
        now.saturating_duration_since(self.heard) < within
    }

    /// Whether a message was received so recently that the peer counts as live.
    pub fn is_live(&self, now: Instant, settings: &MemberSettings) -> bool {
        let within = if self.record.is_rare {
            settings.rare_within
        } else {
            settings.named_within
        };
        self.is_heard(now, within)
    }
}
