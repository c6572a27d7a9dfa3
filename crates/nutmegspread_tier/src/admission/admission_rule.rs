//! Shares of the priorities in one budget of work.

use crate::admission::admission_request::AdmissionOffer;
use crate::admission::admission_settings::AdmissionSettings;
use crate::admission::decaying_rate::DecayingRate;
use crate::admission::fair_share::FairShare;
use crate::room::{PRIORITY_RANKS, RankLevel};
use std::time::{Duration, Instant};

/// Share of all requests that is assumed at least, so that the floor never becomes 0.
const LEAST_SHARE: f64 = 0.02;
/// Excess of the budget over the demand at which the budget is lifted.
const LIFT_FACTOR: f64 = 1.1;

/// Share of the requests of each priority that is admitted, so that their work stays within a budget.
///
/// There is no budget in calm times. Under overload the budget is lowered multiplicatively from the
/// work that was admitted, and raised additively after. It goes to the most urgent priority first;
/// each priority has a floor. Sources: admission by priority as in DAGOR, Zhou et al., 2018; additive
/// increase and multiplicative decrease, Chiu and Jain, 1989, by which the budgets of nodes that share
/// targets approach each other without messages; the increase grows with the calm time, as in CUBIC, Ha,
/// Rhee and Xu, 2008, so that the budget is lifted soon after the load has gone.
#[derive(Clone, Debug)]
pub struct AdmissionRule {
    settings: AdmissionSettings,
    /// Work offered, by rank of the priority.
    demand: [DecayingRate; PRIORITY_RANKS],
    /// Work admitted.
    admitted: DecayingRate,
    /// The part of it that callers asked for again when they were told to, by rank.
    returned: [DecayingRate; PRIORITY_RANKS],
    /// Number of requests offered, by rank.
    offered_count: [DecayingRate; PRIORITY_RANKS],
    /// Number of requests admitted.
    admitted_count: DecayingRate,
    /// Work admitted a second; `None` if it is not limited.
    budget: Option<f64>,
    /// Work that was done, and its recent peak: the room that there is at least.
    done: DecayingRate,
    peak: f64,
    /// Time of the last decrease.
    lowered: Option<Instant>,
    /// Shares by rank.
    shares: [f64; PRIORITY_RANKS],
    /// Smallest share of a source.
    floor: f64,
    sources: [Option<Box<FairShare>>; PRIORITY_RANKS],
    /// Time of the last adjustment.
    adjusted: Option<Instant>,
    /// Time since which no level was above 0.
    calm_since: Option<Instant>,
    /// Time since which a level has been high enough for requests to be refused.
    high_since: Option<Instant>,
}

impl AdmissionRule {
    /// Creates a rule that admits everything.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            demand: Default::default(),
            admitted: DecayingRate::default(),
            returned: Default::default(),
            offered_count: Default::default(),
            admitted_count: DecayingRate::default(),
            budget: None,
            done: DecayingRate::default(),
            peak: 0.0,
            lowered: None,
            shares: [1.0; PRIORITY_RANKS],
            floor: 0.0,
            sources: Default::default(),
            adjusted: None,
            calm_since: None,
            high_since: None,
        }
    }

    /// Counts a request that arrived and returns the share of such requests that is admitted, from 0
    /// to 1.
    pub fn offer(&mut self, now: Instant, offer: &AdmissionOffer) -> f64 {
        self.demand[offer.rank].add(now, offer.work);
        self.offered_count[offer.rank].add(now, 1.0);
        let sources = self.sources[offer.rank].get_or_insert_default();
        sources.count(offer.source, offer.work);
        if self.budget.is_none() {
            return 1.0;
        }
        sources.share(offer.source).max(self.floor)
    }

    /// Counts a request that was admitted.
    pub fn admit(&mut self, now: Instant, offer: &AdmissionOffer) {
        self.admitted.add(now, offer.work);
        self.admitted_count.add(now, 1.0);
    }

    /// Counts a request that is admitted as its caller was told to return now. It was offered before.
    pub fn admit_returned(&mut self, now: Instant, offer: &AdmissionOffer) {
        self.returned[offer.rank].add(now, offer.work);
        self.admit(now, offer);
    }

    /// Counts work that was done, whether or not its caller still waited.
    pub fn record_done(&mut self, now: Instant, work: f64) {
        self.done.add(now, work);
        self.peak = self.peak.max(self.done.per_second(now));
    }

    /// Adjusts the budget and the shares to the levels of overload by rank, if the last adjustment was
    /// an interval ago. The level of a rank lowers its own share and those of less urgent ranks, never
    /// those of more urgent ones. A decrease shows in what is observed `delay` later; what was observed
    /// before does not lower the budget again.
    pub fn adjust(&mut self, now: Instant, levels: &[RankLevel; PRIORITY_RANKS], delay: Duration) {
        let elapsed = self
            .adjusted
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        if self.adjusted.is_some() && elapsed < self.settings.adjust_interval {
            return;
        }
        self.adjusted = Some(now);
        let kept = (-elapsed.as_secs_f64() / self.settings.peak_time.as_secs_f64()).exp();
        self.peak = (self.peak * kept).max(self.done.per_second(now));
        for sources in self.sources.iter_mut().flatten() {
            sources.decay(elapsed);
        }
        if levels.iter().any(|rank| rank.level > 0.0) {
            self.calm_since = None;
            if !self.has_begun(now, levels) {
                return;
            }
            let seen_by = self.lowered.map(|lowered| lowered + delay);
            let fresh = levels.map(|rank| {
                if rank.observed > seen_by {
                    rank.level
                } else {
                    0.0
                }
            });
            self.lower(now, &fresh);
        } else {
            self.high_since = None;
            self.raise(now, elapsed);
        }
        self.divide(now);
    }

    /// Whether some requests are not admitted.
    pub fn is_limited(&self) -> bool {
        self.budget.is_some()
    }

    /// Shares by rank, from 0 to 1.
    pub fn shares(&self) -> &[f64; PRIORITY_RANKS] {
        &self.shares
    }

    /// Share of the recent requests that was admitted, from 0 to 1.
    pub fn share_admitted(&self, now: Instant) -> f64 {
        let offered = self.offered_count.iter();
        let offered: f64 = offered.map(|rate| rate.per_second(now)).sum();
        if offered > 0.0 {
            (self.admitted_count.per_second(now) / offered).min(1.0)
        } else {
            1.0
        }
    }

    /// Number of requests of a rank that are admitted a second, from the recent ones and the share.
    pub fn requests_per_second(&self, now: Instant, rank: usize) -> f64 {
        self.offered_count[rank].per_second(now) * self.shares[rank]
    }

    /// Whether requests are refused already, or the levels have been high for long enough to begin.
    fn has_begun(&mut self, now: Instant, levels: &[RankLevel; PRIORITY_RANKS]) -> bool {
        let onset_level = self.settings.onset_level;
        if !levels.iter().any(|rank| rank.level >= onset_level) {
            self.high_since = None;
            return self.is_limited();
        }
        let high_since = *self.high_since.get_or_insert(now);
        let high_time = now.saturating_duration_since(high_since);
        self.is_limited() || high_time >= self.settings.onset_time
    }

    fn lower(&mut self, now: Instant, levels: &[f64; PRIORITY_RANKS]) {
        let demand = self.demand.map(|rate| rate.per_second(now));
        let total: f64 = demand.iter().sum();
        let base = self.budget.unwrap_or(total);
        let mut less_urgent = 0.0;
        let mut level: f64 = 0.0;
        let mut lowered = base;
        for (own_level, demand) in levels.iter().zip(demand).rev() {
            // The level of a rank without requests counts for the next more urgent one.
            level = level.max(*own_level);
            if demand > 0.0 {
                // The least urgent ranks are lowered to their floor first, the rank itself only if
                // its level stays, and more urgent ones not at all.
                let protected = total - less_urgent + self.floor * less_urgent;
                let least = if base > protected {
                    protected
                } else {
                    total - less_urgent - demand
                };
                let wanted = base * (1.0 - self.settings.decrease * level);
                lowered = lowered.min(wanted.max(least));
                level = 0.0;
            }
            less_urgent += demand;
        }
        if lowered < base {
            self.lowered = Some(now);
            let least =
                (self.peak * self.settings.least_budget).max(total * self.settings.least_share);
            self.budget = Some(lowered.max(least.min(base)));
        }
    }

    fn raise(&mut self, now: Instant, elapsed: Duration) {
        let Some(budget) = self.budget else {
            return;
        };
        let calm_since = *self.calm_since.get_or_insert(now);
        let demand: f64 = self.demand.iter().map(|rate| rate.per_second(now)).sum();
        let calm_time = now.saturating_duration_since(calm_since);
        let calm_factor = calm_time.as_secs_f64() / self.settings.growth_time.as_secs_f64();
        let increase = self.settings.increase * (1.0 + calm_factor * calm_factor);
        let raised = budget + increase * self.peak.max(demand) * elapsed.as_secs_f64();
        let is_calm = calm_time >= self.settings.calm_time;
        self.budget = (!is_calm || raised < demand * LIFT_FACTOR).then_some(raised);
    }

    /// Divides the budget over the ranks, the most urgent first.
    fn divide(&mut self, now: Instant) {
        let Some(budget) = self.budget else {
            self.shares = [1.0; PRIORITY_RANKS];
            return;
        };
        let demand = self.demand.map(|rate| rate.per_second(now));
        let total: f64 = demand.iter().sum();
        let possible = if total > 0.0 {
            (budget / total).min(1.0)
        } else {
            1.0
        };
        let admitted = self.share_admitted(now).clamp(LEAST_SHARE, 1.0);
        self.floor = (self.settings.floor * admitted).min(possible);
        let mut left = budget - self.floor * total;
        for (rank, demand) in demand.into_iter().enumerate() {
            let wanted = demand * (1.0 - self.floor);
            let given = wanted.min(left).max(0.0);
            left -= given;
            // What returning callers get is taken from the share of the others.
            let returned = self.returned[rank].per_second(now);
            self.shares[rank] = if wanted > 0.0 {
                self.floor + (1.0 - self.floor) * (given - returned).max(0.0) / wanted
            } else {
                1.0
            };
            if let Some(sources) = &mut self.sources[rank] {
                sources.divide(self.shares[rank]);
            }
        }
    }
}
