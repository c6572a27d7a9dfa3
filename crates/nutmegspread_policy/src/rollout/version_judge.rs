//! Compares the new version with the old one.

use super::evidence_table::EvidenceTable;
use super::{BrakeReason, CountPair, ExcessMeasure, OutcomeCount};
use nutmegspread_model::{DomainName, MonotonicTime, NodeId, RouteName};
use nutmegspread_tier::{BadShare, excess_strength};
use std::time::Duration;

/// Strength from which a version is bad: chance of a false alarm of one look below 5e-5.
const BAD_STRENGTH: f64 = 10.0;
/// Strength from which nothing grows: chance of a false alarm of one look below 1e-2.
const DOUBT_STRENGTH: f64 = 4.6;
/// Lengths of the windows that are judged besides the whole step.
const WINDOWS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
/// Queries of the old version that a window needs to be its own reference.
const REFERENCE_FLOOR: u64 = 30;
/// Smallest excess of the share of failed queries that counts.
const ERROR_MARGIN: f64 = 0.02;
/// Smallest excess of the share of shed queries that counts.
const SHED_MARGIN: f64 = 0.05;
/// Smallest excess of the share of queries slower than the old version's median.
const MEDIAN_MARGIN: f64 = 0.1;
/// Smallest excess of the share of queries slower than the old version's tail.
const TAIL_MARGIN: f64 = 0.02;
/// Quantile that stands for the tail.
const TAIL_QUANTILE: f64 = 0.95;
/// Buckets by which latency may grow; two buckets are a factor of 1.4.
const LATENCY_BUCKETS: usize = 2;
/// Factor on margins and buckets when the reference is from another time.
const OTHER_TIME_FACTOR: usize = 2;

/// The strongest evidence that the new version is worse than the old one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct VersionFinding {
    /// Route on which it is worse.
    pub route: RouteName,
    /// Failure domain, if it is worse in one alone.
    pub domain: Option<DomainName>,
    /// What is worse.
    pub measure: ExcessMeasure,
    /// Negative logarithm of a bound on the chance of a false alarm.
    pub strength: f64,
}

impl VersionFinding {
    /// Whether the version is bad beyond doubt.
    pub fn is_bad(&self) -> bool {
        self.strength >= BAD_STRENGTH
    }

    /// The brake that the node which judged sets.
    pub fn brake_reason(&self, node: &NodeId) -> BrakeReason {
        BrakeReason {
            node: node.clone(),
            route: self.route.clone(),
            domain: self.domain.clone(),
            measure: self.measure,
        }
    }
}

/// Judges the new version on every route, in every domain and over all domains.
///
/// Returns the strongest finding that lets nothing grow; `None` when the version looks as good.
pub(super) fn judge_version(
    table: &EvidenceTable,
    step: u32,
    now: MonotonicTime,
) -> Option<VersionFinding> {
    let mut strongest: Option<VersionFinding> = None;
    for route in table.routes() {
        let baseline = table.baseline(&route);
        for domain in scopes(table, &route) {
            for pair in samples(table, step, now, &route, domain.as_ref()) {
                let (measure, strength) = compare_versions(&pair, &baseline);
                let least = strongest
                    .as_ref()
                    .map_or(DOUBT_STRENGTH, |found| found.strength);
                if strength >= least {
                    strongest = Some(VersionFinding {
                        route: route.clone(),
                        domain: domain.clone(),
                        measure,
                        strength,
                    });
                }
            }
        }
    }
    strongest
}

/// All domains together, then each one where there are several.
fn scopes(table: &EvidenceTable, route: &str) -> Vec<Option<DomainName>> {
    let domains = table.domains(route);
    let mut scopes = vec![None];
    if domains.len() > 1 {
        scopes.extend(domains.into_iter().map(Some));
    }
    scopes
}

fn samples(
    table: &EvidenceTable,
    step: u32,
    now: MonotonicTime,
    route: &str,
    domain: Option<&DomainName>,
) -> Vec<CountPair> {
    let mut samples = vec![table.step_total(step, route, domain)];
    samples.extend(WINDOWS.map(|length| table.window(now, length, route, domain)));
    samples
}

/// The measure that speaks most against the new version, and how strongly.
fn compare_versions(pair: &CountPair, baseline: &OutcomeCount) -> (ExcessMeasure, f64) {
    let is_own_time = pair.old.queries >= REFERENCE_FLOOR;
    let (old, factor) = if is_own_time {
        (&pair.old, 1)
    } else {
        (baseline, OTHER_TIME_FACTOR)
    };
    let scale = factor as f64;
    let buckets = LATENCY_BUCKETS * factor;
    let candidates = [
        (
            ExcessMeasure::Errors,
            error_strength(&pair.new, old, ERROR_MARGIN * scale),
        ),
        (
            ExcessMeasure::Sheds,
            shed_strength(&pair.new, old, SHED_MARGIN * scale),
        ),
        (
            ExcessMeasure::MedianLatency,
            latency_strength(&pair.new, old, 0.5, buckets, MEDIAN_MARGIN * scale),
        ),
        (
            ExcessMeasure::TailLatency,
            latency_strength(&pair.new, old, TAIL_QUANTILE, buckets, TAIL_MARGIN * scale),
        ),
    ];
    let strongest = candidates.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
    strongest.unwrap_or((ExcessMeasure::Errors, 0.0))
}

fn error_strength(new: &OutcomeCount, old: &OutcomeCount, margin: f64) -> f64 {
    let share = |count: &OutcomeCount| BadShare {
        bad: count.errors,
        total: count.queries,
    };
    excess_strength(share(new), share(old), margin)
}

fn shed_strength(new: &OutcomeCount, old: &OutcomeCount, margin: f64) -> f64 {
    let share = |count: &OutcomeCount| BadShare {
        bad: count.sheds,
        total: count.queries,
    };
    excess_strength(share(new), share(old), margin)
}

/// Compares the shares of queries slower than a quantile of the old version, plus some buckets.
fn latency_strength(
    new: &OutcomeCount,
    old: &OutcomeCount,
    quantile: f64,
    buckets: usize,
    margin: f64,
) -> f64 {
    let Some(bucket) = old.quantile_bucket(quantile) else {
        return 0.0;
    };
    let share = |count: &OutcomeCount| BadShare {
        bad: count.slower_than(bucket + buckets),
        total: count.queries,
    };
    excess_strength(share(new), share(old), margin)
}
