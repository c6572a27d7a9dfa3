//! Which faults one history has, drawn from its seed.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::time::Duration;

/// Probabilities and times of faults.
#[derive(Debug)]
pub struct FaultPlan {
    pub lost_answer: f64,
    pub lost_request: f64,
    pub late_effect: f64,
    pub stale_read: f64,
    pub slow: Duration,
    pub outage: Option<(Duration, Duration)>,
    pub shed: f64,
    pub attempt_lost_before: f64,
    pub attempt_lost_after: f64,
    pub attempt_late: f64,
    pub late_send: f64,
    pub crash: f64,
    pub pause: f64,
    pub suspend: f64,
    pub skew: Duration,
    pub wrong_clock: f64,
    pub short_retention: bool,
}

/// Faults happen before this time only.
pub const FAULTS_END: Duration = Duration::from_secs(20);

impl FaultPlan {
    pub fn draw(random: &mut Pcg64Mcg) -> Self {
        let mut level = |highest: f64| match random.random_range(0..3) {
            0 => 0.0,
            1 => highest / 4.0,
            _ => highest,
        };
        let mut plan = Self {
            lost_answer: level(0.5),
            lost_request: level(0.3),
            late_effect: level(0.3),
            stale_read: level(0.5),
            slow: Duration::from_secs_f64(level(1.5)),
            outage: None,
            shed: level(0.5),
            attempt_lost_before: level(0.2),
            attempt_lost_after: level(0.3),
            attempt_late: level(0.3),
            late_send: level(0.2),
            crash: level(0.2),
            pause: level(0.2),
            suspend: level(1.0),
            skew: Duration::from_secs_f64(level(0.5)),
            wrong_clock: level(0.5),
            short_retention: level(1.0) > 0.5,
        };
        if random.random_bool(0.3) {
            let start = Duration::from_millis(random.random_range(0..8000));
            let length = Duration::from_millis(random.random_range(100..10_000));
            plan.outage = Some((start, start + length));
        }
        plan
    }

    pub fn is_down(&self, time: Duration) -> bool {
        self.outage
            .is_some_and(|(start, end)| time >= start && time < end)
    }
}

/// Whether a fault of this probability happens now.
pub fn strikes(random: &mut Pcg64Mcg, time: Duration, probability: f64) -> bool {
    time < FAULTS_END && probability > 0.0 && random.random_bool(probability)
}
