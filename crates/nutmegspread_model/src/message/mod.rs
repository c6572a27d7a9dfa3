//! Bodies of requests and replies between callers, nodes and targets.

mod address_answer;
mod coverage_report;
mod order_message;
mod query_message;
mod refusal_body;
mod search_message;
mod sub_search;
mod target_state;

pub use address_answer::{AddressAnswer, NodeAddress};
pub use coverage_report::CoverageReport;
pub use order_message::{OrderAnswer, OrderReply, OrderRequest};
pub use query_message::{QueryAnswer, QueryRequest};
pub use refusal_body::{RefusalBody, RefusalReason, RunState};
pub use search_message::{SearchHit, SearchReply, SearchRequest};
pub use sub_search::{SubFailure, SubOutcome, SubSearch};
pub use target_state::TargetState;
