//! Which version serves a query.

use crate::routing::ServiceView;
use nutmegspread_model::VersionName;
use rand::Rng;

/// Draws a version by its share of traffic; `None` when no version has a share.
pub fn choose_version(view: &ServiceView, rng: &mut impl Rng) -> Option<VersionName> {
    let total: f64 = view.versions.values().map(|version| version.share).sum();
    if total <= 0.0 {
        return None;
    }
    let mut point = rng.random::<f64>() * total;
    let mut last = None;
    for (name, version) in &view.versions {
        if version.share <= 0.0 {
            continue;
        }
        last = Some(name.clone());
        if point < version.share {
            return last;
        }
        point -= version.share;
    }
    last
}
