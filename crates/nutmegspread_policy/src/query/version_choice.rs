//! Chooses the version that serves a query.

use crate::routing::ServiceView;
use nutmegspread_model::VersionName;
use rand::Rng;

/// Draws a version at random, weighted by the fraction of queries on `route` that the version
/// should serve; `None` if that fraction is 0 for every version.
///
/// Pass `None` as the route for work that rollouts don't count, such as orders. The fractions for
/// the whole service then apply. In the first step of a rollout, the new version can have a larger
/// fraction on a single route, which is meant for counted queries only.
pub fn choose_version(
    view: &ServiceView,
    route: Option<&str>,
    rng: &mut impl Rng,
) -> Option<VersionName> {
    let shares = || {
        let versions = view.versions.iter();
        let shares = versions.map(|(name, version)| (name, version.share_on(route)));
        shares.filter(|(_, share)| *share > 0.0)
    };
    let total: f64 = shares().map(|(_, share)| share).sum();
    let mut remaining_weight = rng.random::<f64>() * total;
    let mut chosen = None;
    for (name, share) in shares() {
        chosen = Some(name);
        if remaining_weight < share {
            break;
        }
        remaining_weight -= share;
    }
    chosen.cloned()
}
