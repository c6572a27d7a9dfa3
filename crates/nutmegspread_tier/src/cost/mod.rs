//! What requests of a kind cost at targets, and how much work targets still have to do.

mod cost_estimate;
mod outstanding_work;
mod request_cost;
mod target_speed;

pub use cost_estimate::CostEstimate;
pub use outstanding_work::OutstandingWork;
pub use request_cost::RequestCost;
pub use target_speed::TargetSpeed;
