//! Order in which attempts that wait at a node are sent to their target.

mod flight_limit;
mod waiting_queue;
mod waiting_terms;

pub use flight_limit::FlightLimit;
pub use waiting_queue::{WaitingKey, WaitingQueue};
pub use waiting_terms::WaitingTerms;
