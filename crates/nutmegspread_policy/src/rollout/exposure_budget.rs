//! How much of a route the first step may expose on one node.

use indexmap::IndexMap;
use nutmegspread_model::RouteName;

/// Part of the sample floor that all nodes together may expose beyond the probe share.
const FLOOR_PART: f64 = 0.5;
/// Largest share of a quiet route in the first step.
const QUIET_SHARE: f64 = 0.5;

/// Queries of one route on this node, counted when they begin.
#[derive(Clone, Copy, Debug, Default)]
struct RouteExposure {
    queries: u64,
    exposed: u64,
}

/// Counts of begun queries, by which the first step is bounded in absolute work.
///
/// With a sample floor F, q queries of the route and a probe share s, all nodes together expose at
/// most F/2 + q·s plus one query a node, however the queries fall on nodes and whatever gossip
/// brings. With s at half a percent that is at most the larger of F and 1% of the route.
#[derive(Clone, Debug, Default)]
pub(super) struct ExposureBudget {
    routes: IndexMap<RouteName, RouteExposure>,
}

impl ExposureBudget {
    /// Counts a query that begins.
    pub fn begin(&mut self, route: &RouteName, is_exposed: bool) {
        let exposure = self.routes.entry(route.clone()).or_default();
        exposure.queries += 1;
        exposure.exposed += u64::from(is_exposed);
    }

    /// Share of the route's next queries in the first step, 0 to 1.
    ///
    /// `pace` is the part of the step's time that has passed: a quiet route spends its part of
    /// the floor evenly over the step and not in its first queries.
    pub fn share(&self, route: &str, probe_share: f64, node_floor: f64, pace: f64) -> f64 {
        let exposure = self.routes.get(route).copied().unwrap_or_default();
        let exposed = exposure.exposed as f64;
        let paced_floor = (node_floor * FLOOR_PART).ceil() * pace.clamp(0.0, 1.0);
        if exposed < paced_floor.floor() {
            QUIET_SHARE
        } else if exposed < exposure.queries as f64 * probe_share {
            probe_share
                .max(exposure.queries as f64 * probe_share - exposed)
                .min(QUIET_SHARE)
        } else {
            0.0
        }
    }
}
