//! Orders: the actor of the order journal, its platform calls, and the sending of claimed orders to
//! targets.

mod journal_actor;
mod journal_calls;
mod journal_handle;
mod order_sender;

pub use journal_actor::{JournalActor, JournalContext};
pub use journal_handle::{JournalHandle, SubmittedOrder};
pub use order_sender::run_own_order;
