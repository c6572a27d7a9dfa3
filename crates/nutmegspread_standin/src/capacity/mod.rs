//! Calculations and measurements behind the capacity page.
//!
//! [`compare_ownership`] computes, over generated fleets, what ways of giving targets to nodes
//! mean for connections, balance and moves. [`measure_slopes`] measures how the cost of each part
//! grows, from the code that nodes run.

mod capacity_error;
mod capacity_report;
mod fleet_sample;
mod gossip_round;
mod line_fit;
mod memory_slopes;
mod message_slopes;
mod ownership_comparison;
mod ownership_figures;
mod ownership_plan;
mod ownership_scheme;
mod plot_file;
mod policy_slopes;
mod role_slopes;
mod slope_series;
mod step_timer;
mod wire_codec;

pub use capacity_error::CapacityError;
pub use capacity_report::{CapacityReport, run_capacity};
pub use fleet_sample::FleetSample;
pub use line_fit::LineFit;
pub use ownership_comparison::{compare_ownership, render_ownership};
pub use ownership_figures::OwnershipFigures;
pub use ownership_plan::OwnershipPlan;
pub use ownership_scheme::OwnershipScheme;
pub use slope_series::SlopeSeries;

use memory_slopes::memory_slopes;
use message_slopes::message_slopes;
use policy_slopes::policy_slopes;
use role_slopes::role_slopes;

/// Measures every slope.
///
/// # Errors
/// When a message cannot be encoded.
pub fn measure_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut series = memory_slopes()?;
    series.extend(message_slopes()?);
    series.extend(policy_slopes()?);
    series.extend(role_slopes()?);
    Ok(series)
}
