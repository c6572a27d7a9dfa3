//! Limits how many queries one node exposes to the new version in the first step of a rollout.

use indexmap::IndexMap;
use nutmegspread_model::RouteName;

/// All nodes together may expose this fraction of the first step's minimum samples in addition to
/// the probe share, the fraction of queries that the new version gets in the first step.
const SAMPLE_FRACTION: f64 = 0.5;
/// Largest fraction of a route's queries that the new version gets in the first step, so that a
/// route with little traffic still yields samples of both versions.
const LARGEST_FIRST_STEP_SHARE: f64 = 0.5;

/// Number of queries of one route that this node has started.
#[derive(Clone, Copy, Debug, Default)]
struct RouteExposure {
    /// Queries given to either version.
    queries: u64,
    /// Queries given to the new version.
    exposed: u64,
}

/// Counts the queries that this node starts and limits how many the new version gets in the first
/// step.
///
/// Let F be the step's minimum samples, q the number of queries of the route and s the probe share.
/// Then all nodes together give the new version at most F/2 + q·s queries, plus one query per node.
/// The limit holds for any distribution of the queries over the nodes, and does not depend on
/// gossip. With s = 0.005 the limit is at most the larger of F and 1% of the route's queries.
#[derive(Clone, Debug, Default)]
pub(super) struct ExposureBudget {
    routes: IndexMap<RouteName, RouteExposure>,
}

impl ExposureBudget {
    /// Counts a query at its start; `is_exposed` states that the new version serves the query.
    pub fn record_start(&mut self, route: &RouteName, is_exposed: bool) {
        let exposure = self.routes.entry(route.clone()).or_default();
        exposure.queries += 1;
        exposure.exposed += u64::from(is_exposed);
    }

    /// Fraction of the route's next queries that the new version gets in the first step, 0 to 1.
    ///
    /// `node_samples` is the step's minimum samples divided by the number of nodes.
    /// `elapsed_fraction` is the elapsed fraction of the step's minimum duration. The allowed
    /// exposure grows with it, so that on a route with little traffic the exposed queries are
    /// spread over the step and not all among the first ones.
    pub fn share(
        &self,
        route: &str,
        probe_share: f64,
        node_samples: f64,
        elapsed_fraction: f64,
    ) -> f64 {
        let exposure = self.routes.get(route).copied().unwrap_or_default();
        let exposed = exposure.exposed as f64;
        let allowed_exposure =
            (node_samples * SAMPLE_FRACTION).ceil() * elapsed_fraction.clamp(0.0, 1.0);
        if exposed < allowed_exposure.floor() {
            LARGEST_FIRST_STEP_SHARE
        } else if exposed < exposure.queries as f64 * probe_share {
            probe_share
                .max(exposure.queries as f64 * probe_share - exposed)
                .min(LARGEST_FIRST_STEP_SHARE)
        } else {
            0.0
        }
    }
}
