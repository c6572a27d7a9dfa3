//! How much longer or shorter than others one target works on the same requests.

/// Step by which an answer moves the estimate.
const STEP: f64 = 0.004;
/// Bounds of the estimate.
const BOUNDS: (f64, f64) = (0.25, 4.0);
/// Difference from 1 that is not told from the spread of equal targets: three times the standard
/// deviation of the estimate if latencies vary by a third.
const TOLERANCE: f64 = 0.1;

/// How much longer or shorter than others one target works on the same requests: 1 for a normal
/// target, less for a faster one.
///
/// Learned from answers that met no queue. Differs from the recent slowness of a target's health in
/// that it stays without new answers: nodes of a large fleet see a target only every few seconds. The
/// estimate is a moving median (stochastic approximation, H. Robbins and S. Monro, 1951), which the
/// pauses of targets hardly move.
#[derive(Clone, Copy, Debug)]
pub struct TargetSpeed {
    /// Moving median of the ratio of latencies to the expected ones.
    ratio: f64,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl TargetSpeed {
    /// Adds the ratio of a latency to the expected one.
    pub fn add(&mut self, ratio: f64) {
        let (least, largest) = BOUNDS;
        let step = if ratio > self.ratio { STEP } else { -STEP };
        self.ratio = (self.ratio * (1.0 + step)).clamp(least, largest);
    }

    /// Factor on the time that a normal target takes. Small differences from 1 count as 1.
    pub fn factor(&self) -> f64 {
        let difference = self.ratio - 1.0;
        1.0 + difference.signum() * (difference.abs() - TOLERANCE).max(0.0)
    }
}
