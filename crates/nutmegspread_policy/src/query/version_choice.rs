//! Which version serves a query.

use crate::routing::ServiceView;
use nutmegspread_model::VersionName;
use rand::Rng;

/// Draws a version by its share of traffic; `None` when no version has a share.
pub fn choose_version(view: &ServiceView, rng: &mut impl Rng) -> Option<VersionName> {
    let shared = || {
        view.versions
            .iter()
            .filter(|(_, version)| version.share > 0.0)
    };
    let total: f64 = shared().map(|(_, version)| version.share).sum();
    let mut point = rng.random::<f64>() * total;
    let mut last = None;
    for (name, version) in shared() {
        last = Some(name);
        if point < version.share {
            break;
        }
        point -= version.share;
    }
    last.cloned()
}
