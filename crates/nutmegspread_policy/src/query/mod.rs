//! One query: scatter, hedge, retry, merge, answer.

mod query_message;
mod query_plan;

pub use query_message::{QueryAction, QueryInput, QueryOutput};
pub use query_plan::QueryPlan;
