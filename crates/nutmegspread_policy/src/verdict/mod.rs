//! Verdicts of the monitoring group, which alone says what is down.

mod subject_state;
mod verdict_table;

pub use verdict_table::VerdictTable;
