//! Orders and evidence as nodes read them before and after a restore of the store.

use nutmegspread_tier::*;
use std::time::Duration;

pub const COMPLETED: Option<RolloutState> = Some(RolloutState::Completed);
pub const ROLLED_BACK: Option<RolloutState> = Some(RolloutState::RolledBack);
pub const RUNNING: Option<RolloutState> = Some(RolloutState::Running);

pub fn order(
    era: u64,
    revision: u64,
    recorded: Option<RolloutState>,
    seconds: u64,
) -> RolloutOrder {
    RolloutOrder {
        service: "s".into(),
        version: "v2".to_owned(),
        finish_within: Duration::from_secs(seconds),
        recorded,
        revision,
        era,
    }
}

/// Evidence of a peer on an order that it read at `position`.
pub fn evidence(position: (u64, u64), is_braked: bool, age_ms: u64) -> RolloutEvidence {
    let served = |sends| AnswerCounts {
        sends,
        ..Default::default()
    };
    let counts = VersionCounts {
        old: served(7),
        new: served(3),
    };
    RolloutEvidence {
        service: "s".into(),
        version: "v2".to_owned(),
        age_ms,
        is_braked,
        revision: position.1,
        era: position.0,
        routes: vec![("fetch".into(), counts)],
    }
}
