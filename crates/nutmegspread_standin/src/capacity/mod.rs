//! Calculations and measurements for the capacity page of the documentation.
//!
//! [`compare_ownership`] computes, for a generated fleet, how each scheme of assigning targets to
//! nodes affects connections, balance and the number of targets that change owner when nodes are
//! lost. [`measure_slopes`] runs the code of a node with inputs of different sizes and measures how
//! each cost grows with the size.

mod call_timer;
mod capacity_error;
mod capacity_report;
mod control_slopes;
mod fleet_sample;
mod gossip_simulation;
mod line_fit;
mod memory_slopes;
mod message_slopes;
mod ownership_comparison;
mod ownership_figures;
mod ownership_plan;
mod ownership_scheme;
mod plot_file;
mod policy_slopes;
mod slope_series;
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

use control_slopes::control_slopes;
use memory_slopes::memory_slopes;
use message_slopes::message_slopes;
use policy_slopes::policy_slopes;

/// Measures all costs, each at several sizes.
///
/// # Errors
/// When a message cannot be encoded, or the process's memory use cannot be read.
pub fn measure_slopes() -> Result<Vec<SlopeSeries>, CapacityError> {
    let mut series = memory_slopes()?;
    series.extend(message_slopes()?);
    series.extend(policy_slopes()?);
    series.extend(control_slopes()?);
    Ok(series)
}
