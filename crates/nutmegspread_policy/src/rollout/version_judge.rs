//! Statistical comparison of the new version with the old one.

use super::evidence_table::EvidenceTable;
use super::{BrakeReason, CountPair, ExcessMeasure, OutcomeCount};
use nutmegspread_model::{DomainName, MonotonicTime, NodeId, RouteName};
use nutmegspread_tier::{SampleCounts, excess_strength};
use std::time::Duration;

/// Strength of the evidence (see [`VersionFinding::strength`]) from which the new version counts as
/// bad; one comparison raises a false alarm with a probability below 5e-5.
const BAD_STRENGTH: f64 = 10.0;
/// Strength of the evidence from which the rollout does not advance; one comparison raises a false
/// alarm with a probability of at most about 1e-2.
const DOUBT_STRENGTH: f64 = 4.6;
/// Lengths of the recent time windows that are compared in addition to the whole step.
const WINDOWS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];
/// Minimum number of queries of the old version for a comparison of both versions over the same
/// period.
///
/// With fewer queries in the period, the new version is compared with the old version's counts over
/// the whole rollout.
const MIN_REFERENCE_QUERIES: u64 = 30;
/// The new version's fraction of failed queries may exceed that of the old version by this much.
const ERROR_MARGIN: f64 = 0.02;
/// The same margin for the fraction of queries for which targets shed a request.
const SHED_MARGIN: f64 = 0.05;
/// The same margin for the fraction of queries slower than the old version's median latency, by
/// more than `LATENCY_BUCKET_MARGIN`.
const MEDIAN_MARGIN: f64 = 0.1;
/// The same margin for the fraction of queries slower than the old version's tail latency, by more
/// than `LATENCY_BUCKET_MARGIN`.
const TAIL_MARGIN: f64 = 0.02;
/// Quantile used for the tail latency.
const TAIL_QUANTILE: f64 = 0.95;
/// Number of latency buckets by which a query may be slower than the old version's quantile without
/// counting as slow; two buckets are a factor of 1.4.
const LATENCY_BUCKET_MARGIN: usize = 2;
/// All margins are multiplied by this number if the counts of the two versions are from different
/// periods.
const OTHER_PERIOD_FACTOR: usize = 2;

/// The strongest evidence that the new version is worse than the old one.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct VersionFinding {
    /// The route on which the version is worse.
    pub route: RouteName,
    /// The failure domain in which the version is worse; `None` for all domains together.
    pub domain: Option<DomainName>,
    /// The measure in which the version is worse.
    pub measure: ExcessMeasure,
    /// Strength of the evidence: the negative natural logarithm of an upper bound on the
    /// probability of a false alarm.
    pub strength: f64,
}

impl VersionFinding {
    /// Whether the evidence is strong enough to set the brake, which stops the new version's
    /// traffic on every node, at once.
    pub fn is_bad(&self) -> bool {
        self.strength >= BAD_STRENGTH
    }

    /// The reason for a brake that `node` sets because of this finding.
    pub fn brake_reason(&self, node: &NodeId) -> BrakeReason {
        BrakeReason {
            node: node.clone(),
            route: self.route.clone(),
            domain: self.domain.clone(),
            measure: self.measure,
        }
    }
}

/// Compares the versions on every route, in each failure domain and over all domains together.
///
/// Returns the strongest finding against the new version; `None` if none is strong enough to keep
/// the rollout from advancing.
pub(super) fn judge_version(
    table: &EvidenceTable,
    step: u32,
    now: MonotonicTime,
) -> Option<VersionFinding> {
    let mut strongest: Option<VersionFinding> = None;
    for route in table.routes() {
        let baseline = table.baseline(&route);
        for domain in domain_scopes(table, &route) {
            for pair in count_pairs(table, step, now, &route, domain.as_ref()) {
                let (measure, strength) = compare_versions(&pair, &baseline);
                let threshold = strongest
                    .as_ref()
                    .map_or(DOUBT_STRENGTH, |finding| finding.strength);
                if strength >= threshold {
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

/// Returns the failure domains to compare the versions in: `None`, which stands for all domains
/// together, then each single domain if there are several.
fn domain_scopes(table: &EvidenceTable, route: &str) -> Vec<Option<DomainName>> {
    let domains = table.domains(route);
    let mut scopes = vec![None];
    if domains.len() > 1 {
        scopes.extend(domains.into_iter().map(Some));
    }
    scopes
}

/// Returns the counts of the whole step and those of each recent time window.
fn count_pairs(
    table: &EvidenceTable,
    step: u32,
    now: MonotonicTime,
    route: &str,
    domain: Option<&DomainName>,
) -> Vec<CountPair> {
    let mut count_pairs = vec![table.step_total(step, route, domain)];
    count_pairs.extend(WINDOWS.map(|length| table.window(now, length, route, domain)));
    count_pairs
}

/// Returns the measure with the strongest evidence against the new version, and its strength.
fn compare_versions(pair: &CountPair, baseline: &OutcomeCount) -> (ExcessMeasure, f64) {
    let has_reference = pair.old.queries >= MIN_REFERENCE_QUERIES;
    let (old, factor) = if has_reference {
        (&pair.old, 1)
    } else {
        (baseline, OTHER_PERIOD_FACTOR)
    };
    let scale = factor as f64;
    let bucket_margin = LATENCY_BUCKET_MARGIN * factor;
    let measures = [
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
            latency_strength(&pair.new, old, 0.5, bucket_margin, MEDIAN_MARGIN * scale),
        ),
        (
            ExcessMeasure::TailLatency,
            latency_strength(
                &pair.new,
                old,
                TAIL_QUANTILE,
                bucket_margin,
                TAIL_MARGIN * scale,
            ),
        ),
    ];
    let strongest = measures.into_iter().max_by(|a, b| a.1.total_cmp(&b.1));
    strongest.unwrap_or((ExcessMeasure::Errors, 0.0))
}

/// Strength of the evidence that the new version fails a larger fraction of its queries.
fn error_strength(new: &OutcomeCount, old: &OutcomeCount, margin: f64) -> f64 {
    let samples = |count: &OutcomeCount| SampleCounts {
        bad: count.errors,
        total: count.queries,
    };
    excess_strength(samples(new), samples(old), margin)
}

/// Strength of the evidence that targets of the new version shed requests of a larger fraction of
/// queries.
fn shed_strength(new: &OutcomeCount, old: &OutcomeCount, margin: f64) -> f64 {
    let samples = |count: &OutcomeCount| SampleCounts {
        bad: count.sheds,
        total: count.queries,
    };
    excess_strength(samples(new), samples(old), margin)
}

/// Strength of the evidence that a larger fraction of the new version's queries is slow.
///
/// A query is slow if its latency lies more than `bucket_margin` buckets above the bucket of the
/// old version's quantile.
fn latency_strength(
    new: &OutcomeCount,
    old: &OutcomeCount,
    quantile: f64,
    bucket_margin: usize,
    margin: f64,
) -> f64 {
    let Some(bucket) = old.quantile_bucket(quantile) else {
        return 0.0;
    };
    let samples = |count: &OutcomeCount| SampleCounts {
        bad: count.slower_than(bucket + bucket_margin),
        total: count.queries,
    };
    excess_strength(samples(new), samples(old), margin)
}
