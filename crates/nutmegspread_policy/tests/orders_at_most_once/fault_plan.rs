//! The faults of one simulated history, generated from its seed.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Probabilities and times of the faults of one history.
#[derive(Debug)]
pub struct FaultPlan {
    /// Probability that a write takes effect, but its answer is lost.
    pub lost_answer: f64,
    /// Probability that a platform call is lost before it takes effect.
    pub lost_request: f64,
    /// Probability that a write is reported as failed and reaches the store later.
    pub late_effect: f64,
    /// Probability that a read returns an earlier version.
    pub stale_read: f64,
    /// Largest extra delay of a slow request or answer of a platform call.
    pub call_slowdown: Duration,
    /// Start and end of an outage of the platform.
    pub outage: Option<(Duration, Duration)>,
    /// Probability that the target sheds an attempt.
    pub shed: f64,
    /// Probability that an attempt is lost before the target runs the order.
    pub attempt_lost_before: f64,
    /// Probability that the answer to an attempt is lost after the target has run the order.
    pub attempt_lost_after: f64,
    /// Probability that the end of an attempt is received late.
    pub attempt_late: f64,
    /// Probability that an attempt is sent without a check of its latest time to be sent.
    pub late_send: f64,
    /// Probability of each possible crash of a node.
    pub crash: f64,
    /// Probability of each possible pause of a node's process.
    pub pause: f64,
    /// Probability that the monotonic clock of a paused node stops during the pause.
    pub suspend: f64,
    /// Largest time by which a node's wall clock is ahead.
    pub clock_skew: Duration,
    /// Probability that a node's wall clock is behind by more than the assumed clock skew.
    pub wrong_clock: f64,
    /// Whether keys expire within the history.
    pub short_retention: bool,
}

/// Time after which no more faults occur.
pub const FAULTS_END: Duration = Duration::from_secs(20);

impl FaultPlan {
    pub fn generate(random: &mut Pcg64Mcg) -> Self {
        let mut pick_level = |highest: f64| match random.random_range(0..3) {
            0 => 0.0,
            1 => highest / 4.0,
            _ => highest,
        };
        let mut plan = Self {
            lost_answer: pick_level(0.5),
            lost_request: pick_level(0.3),
            late_effect: pick_level(0.3),
            stale_read: pick_level(0.5),
            call_slowdown: Duration::from_secs_f64(pick_level(1.5)),
            outage: None,
            shed: pick_level(0.5),
            attempt_lost_before: pick_level(0.2),
            attempt_lost_after: pick_level(0.3),
            attempt_late: pick_level(0.3),
            late_send: pick_level(0.2),
            crash: pick_level(0.2),
            pause: pick_level(0.2),
            suspend: pick_level(1.0),
            clock_skew: Duration::from_secs_f64(pick_level(0.5)),
            wrong_clock: pick_level(0.5),
            short_retention: pick_level(1.0) > 0.5,
        };
        if random.random_bool(0.3) {
            let start = Duration::from_millis(random.random_range(0..8000));
            let length = Duration::from_millis(random.random_range(100..10_000));
            plan.outage = Some((start, start + length));
        }
        plan
    }

    /// Whether the platform has an outage at this time.
    pub fn is_down(&self, time: Duration) -> bool {
        self.outage
            .is_some_and(|(start, end)| time >= start && time < end)
    }
}

/// Draws whether a fault with this probability occurs at this time.
pub fn fault_occurs(random: &mut Pcg64Mcg, time: Duration, probability: f64) -> bool {
    time < FAULTS_END && probability > 0.0 && random.random_bool(probability)
}
