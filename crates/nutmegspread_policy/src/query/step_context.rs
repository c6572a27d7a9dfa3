//! What one step of a query works with.

use super::{QueryAction, ServiceTable};
use crate::routing::ServiceView;
use nutmegspread_model::MonotonicTime;

/// Time, view, shared table and randomness of one step, and its actions so far.
pub(super) struct StepContext<'a, R> {
    pub(super) now: MonotonicTime,
    pub(super) view: &'a ServiceView,
    pub(super) table: &'a mut ServiceTable,
    pub(super) rng: &'a mut R,
    pub(super) actions: Vec<QueryAction>,
}
