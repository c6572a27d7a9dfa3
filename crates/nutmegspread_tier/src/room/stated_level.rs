//! The level that a node states to the other nodes.

use std::time::{Duration, Instant};

/// Level from which a node counts as overloaded.
const UPPER: f64 = 0.5;
/// Level below which an overloaded node counts as calm again.
const LOWER: f64 = 0.1;
/// Time for which the level has to be above the upper threshold.
const RAISE_TIME: Duration = Duration::from_millis(400);
/// Time for which the level has to be below the lower threshold. Callers keep addresses for seconds, so
/// that a set of nodes which changed more often would never take effect.
const HOLD_TIME: Duration = Duration::from_secs(8);
/// Time of a stage between calm and overloaded, longer than a message takes to reach all nodes.
const PASSAGE_TIME: Duration = Duration::from_secs(2);

/// What a node states about its level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LevelStage {
    /// The node is calm.
    #[default]
    Calm,
    /// The node is overloaded, but not for long, or it was until lately. Nodes that give up a part of
    /// common limits do so in this stage, nodes that get it do so in the next one.
    Passing,
    /// The node is overloaded.
    Overloaded,
}

impl LevelStage {
    /// The stage that a stated level means.
    pub fn of(stated: u8) -> Self {
        match stated {
            0..128 => Self::Calm,
            128..192 => Self::Passing,
            192.. => Self::Overloaded,
        }
    }

    /// The smallest stated level of this stage.
    pub fn least(self) -> u8 {
        match self {
            Self::Calm => 0,
            Self::Passing => 128,
            Self::Overloaded => 192,
        }
    }
}

/// The level that a node states to the other nodes in one byte: its stage, and the present level within
/// it. The stage changes slowly, so that the nodes advertised to callers do not change all the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct StatedLevel {
    stage: LevelStage,
    /// Time at which the stage began.
    began: Option<Instant>,
    /// Whether the present stage leads to calm.
    is_falling: bool,
    /// Time since which the level has been beyond the threshold that ends the stage.
    beyond_since: Option<Instant>,
}

impl StatedLevel {
    /// Returns the byte to state while the level is `level`, from 0 to 1.
    pub fn update(&mut self, now: Instant, level: f64) -> u8 {
        let is_rising = self.stage == LevelStage::Calm || self.is_falling;
        let is_beyond = if is_rising {
            level >= UPPER
        } else {
            level < LOWER
        };
        let since = *self.beyond_since.get_or_insert(now);
        let beyond = now.saturating_duration_since(since);
        if !is_beyond {
            self.beyond_since = None;
        }
        let began = *self.began.get_or_insert(now);
        let has_passed = now.saturating_duration_since(began) >= PASSAGE_TIME;
        match self.stage {
            LevelStage::Calm if is_beyond && beyond >= RAISE_TIME => {
                self.change(now, LevelStage::Passing, false);
            }
            LevelStage::Passing if self.is_falling && is_beyond && beyond >= RAISE_TIME => {
                self.change(now, LevelStage::Overloaded, false);
            }
            LevelStage::Passing if has_passed && self.is_falling => {
                self.change(now, LevelStage::Calm, false);
            }
            LevelStage::Passing if has_passed => self.change(now, LevelStage::Overloaded, false),
            LevelStage::Overloaded if is_beyond && beyond >= HOLD_TIME => {
                self.change(now, LevelStage::Passing, true);
            }
            _ => {}
        }
        let span = if self.stage == LevelStage::Calm {
            127.0
        } else {
            63.0
        };
        self.stage.least() + (level.clamp(0.0, 1.0) * span) as u8
    }

    /// The present stage.
    pub fn stage(&self) -> LevelStage {
        self.stage
    }

    fn change(&mut self, now: Instant, stage: LevelStage, is_falling: bool) {
        self.stage = stage;
        self.is_falling = is_falling;
        self.began = Some(now);
        self.beyond_since = None;
    }
}
