//! Orders: the journal's actor, its platform calls, and the sending of claimed orders.

mod journal_actor;
mod journal_calls;
mod journal_handle;
mod order_sender;

pub use journal_actor::{JournalActor, JournalContext};
pub use journal_handle::{JournalHandle, SubmittedOrder};
pub use order_sender::run_own_order;
