//! Builds the services of a routing view from the control state.

use super::{DrainTable, ServiceView, SnapshotTable, TargetShare, TargetView, VersionView};
use indexmap::IndexMap;
use nutmegspread_model::{
    ConfigurationDocument, NodeId, RouteName, ServiceName, ServiceSettings, TargetId, TargetLimits,
    TargetSettings, VersionName,
};
use std::sync::Arc;

/// How a rollout divides a service's queries between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionMove {
    /// Old version, which serves all other queries.
    pub from: VersionName,
    /// New version, to which the rollout moves queries.
    pub to: VersionName,
    /// Fraction of the service's queries that the new version serves, 0 to 1.
    pub share: f64,
    /// Fraction of queries that the new version serves, 0 to 1, on the routes where the fraction
    /// differs from `share`.
    pub route_shares: IndexMap<RouteName, f64>,
}

/// Control state from which the services are built. State that other modules hold is read through
/// closures.
pub struct ViewSources<'a, U, R, O, M> {
    /// Current configuration.
    pub document: &'a ConfigurationDocument,
    /// Snapshot maps that this node has received.
    pub maps: &'a SnapshotTable,
    /// Drains ordered by operators.
    pub drains: &'a DrainTable,
    /// Whether the verdicts on a target and its failure domain are both up.
    pub is_up: U,
    /// How often a verdict has returned a target or its failure domain to service.
    pub verdict_returns: R,
    /// Owners of a target, the preferred one first, and this node's share of the target's limits.
    pub owners: O,
    /// How a rollout divides the queries of a service; `None` if no rollout does.
    pub version_move: M,
}

/// Builds every service of the configuration.
pub fn build_services<U, R, O, M>(
    sources: &ViewSources<'_, U, R, O, M>,
) -> IndexMap<ServiceName, Arc<ServiceView>>
where
    U: Fn(&str, &str) -> bool,
    R: Fn(&str, &str) -> u64,
    O: Fn(&TargetId, &TargetSettings, &TargetLimits) -> (Vec<NodeId>, TargetShare),
    M: Fn(&ServiceName) -> Option<VersionMove>,
{
    let mut services = IndexMap::new();
    for (name, settings) in &sources.document.services {
        let view = ServiceView {
            settings: settings.clone(),
            versions: build_versions(sources.maps, name, settings, (sources.version_move)(name)),
            targets: IndexMap::new(),
        };
        services.insert(name.clone(), view);
    }
    for (id, target) in &sources.document.targets {
        if let Some(service) = services.get_mut(&target.service) {
            let view = build_target(sources, id, target, &service.settings);
            service.targets.insert(id.clone(), Arc::new(view));
        }
    }
    services
        .into_iter()
        .map(|(name, view)| (name, Arc::new(view)))
        .collect()
}

fn build_versions(
    maps: &SnapshotTable,
    service: &str,
    settings: &ServiceSettings,
    version_move: Option<VersionMove>,
) -> IndexMap<VersionName, VersionView> {
    let has_map = |version: &VersionName| maps.find(service, version).is_some();
    // A version without a snapshot can't answer queries, so it gets no traffic.
    let version_move = version_move.filter(|version_move| has_map(&version_move.to));
    let mut versions = IndexMap::new();
    let mut add = |version: &VersionName, share: f64, route_shares| {
        let pair = maps.find(service, version);
        let view = VersionView {
            share,
            route_shares,
            map: pair.map(|pair| Arc::clone(&pair.current)),
            previous_map: pair.and_then(|pair| pair.previous.clone()),
        };
        versions.insert(version.clone(), view);
    };
    match version_move {
        Some(version_move) => {
            let route_shares = version_move.route_shares;
            let from_shares = route_shares.iter();
            let from_shares = from_shares.map(|(route, share)| (route.clone(), 1.0 - share));
            add(
                &version_move.from,
                1.0 - version_move.share,
                from_shares.collect(),
            );
            add(&version_move.to, version_move.share, route_shares);
        }
        None => add(&settings.version, 1.0, IndexMap::new()),
    }
    versions
}

fn build_target<U, R, O, M>(
    sources: &ViewSources<'_, U, R, O, M>,
    id: &TargetId,
    target: &TargetSettings,
    service: &ServiceSettings,
) -> TargetView
where
    U: Fn(&str, &str) -> bool,
    R: Fn(&str, &str) -> u64,
    O: Fn(&TargetId, &TargetSettings, &TargetLimits) -> (Vec<NodeId>, TargetShare),
{
    let limits = target
        .limits
        .clone()
        .unwrap_or_else(|| service.limits.clone());
    let (owners, share) = (sources.owners)(id, target, &limits);
    let is_up = (sources.is_up)(id, &target.domain);
    let verdict_returns = (sources.verdict_returns)(id, &target.domain);
    TargetView {
        version: target.version.clone(),
        domain: target.domain.clone(),
        address: target.address.clone(),
        limits,
        accepts_work: is_up && !sources.drains.is_drained(id),
        return_count: sources.drains.return_count(id) + verdict_returns,
        owners,
        share,
    }
}
