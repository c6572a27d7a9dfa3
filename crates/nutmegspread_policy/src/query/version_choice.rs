//! Which version serves a query.

use crate::routing::ServiceView;
use nutmegspread_model::VersionName;
use rand::Rng;

/// Draws a version by its share of a route's queries; `None` when no version has a share.
///
/// Work that rollouts do not count, such as orders, names no route and goes by the share of the
/// whole service: only counted queries may use a route's larger share in the first step.
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
    let mut point = rng.random::<f64>() * total;
    let mut last = None;
    for (name, share) in shares() {
        last = Some(name);
        if point < share {
            break;
        }
        point -= share;
    }
    last.cloned()
}
