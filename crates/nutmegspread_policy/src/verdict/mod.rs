//! Verdicts on targets and failure domains: whether each is up or down.
//!
//! The operator's monitoring group issues the verdicts, and it alone decides what is down. A node
//! receives them as records and remembers the newest one on each subject, which is a target or a
//! failure domain.

mod subject_state;
mod verdict_table;

pub use verdict_table::VerdictTable;
