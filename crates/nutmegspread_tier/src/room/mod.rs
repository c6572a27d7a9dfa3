//! How far a node, or the targets of its routes, are behind the requests that wait for them.

mod attempt_share;
mod calm_latency;
mod delay_window;
mod level_watch;
mod node_room;
mod priority_rank;
mod rank_level;
mod room_settings;
mod stated_level;
mod target_room;

pub use attempt_share::AttemptShare;
pub use calm_latency::CalmLatency;
pub use delay_window::DelayWindow;
pub use level_watch::LevelWatch;
pub use node_room::NodeRoom;
pub use priority_rank::{PRIORITY_RANKS, priority_rank};
pub use rank_level::RankLevel;
pub use room_settings::RoomSettings;
pub use stated_level::{LevelStage, StatedLevel};
pub use target_room::TargetRoom;
