//! The inputs and outputs shared by the functions of one step of a query run.

use super::{QueryAction, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::MonotonicTime;

/// The time, routing view, service table and random numbers that one step uses, and the actions
/// that it has collected so far.
pub(super) struct StepContext<'a, R> {
    pub(super) now: MonotonicTime,
    pub(super) view: &'a ServiceView,
    pub(super) table: &'a mut ServiceTable,
    pub(super) rng: &'a mut R,
    pub(super) actions: Vec<QueryAction>,
}
