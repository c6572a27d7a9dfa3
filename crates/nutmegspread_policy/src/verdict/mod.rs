//! Verdicts of the monitoring group, which alone decides which targets and failure domains are down.

mod subject_state;
mod verdict_table;

pub use verdict_table::VerdictTable;
