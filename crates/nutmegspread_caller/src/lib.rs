//! Input from callers within limits on memory, connections and time.
//!
//! Decisions are those of `nutmegspread_tier`; this crate applies them to connections and bodies, on the
//! node on the platform and on the product's own tier.

mod body_refusal;
mod caller_connection;
mod caller_gate;
mod caller_settings;
mod caller_stream;
mod head_limits;
mod held_body;

pub use body_refusal::BodyRefusal;
pub use caller_connection::CallerConnection;
pub use caller_gate::CallerGate;
pub use caller_settings::CallerSettings;
pub use caller_stream::CallerStream;
pub use head_limits::{HeadLimits, MOST_HEADERS};
pub use nutmegspread_tier::ProgressSettings;
