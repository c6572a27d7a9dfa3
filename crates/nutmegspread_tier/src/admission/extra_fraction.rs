//! Extra attempts under overload.

use crate::AttemptReason;

/// Fraction of the retry budget that hedges may use in calm times; the rest is reserved for retries.
const HEDGE_FRACTION: f64 = 0.9;
/// Level from which fewer extra attempts are sent. Below it, a few targets may be slow or reject
/// requests, and without extra attempts their requests would be late or fail.
const FEWER_EXTRAS: f64 = 0.5;
/// Fraction of the retry budget that retries may use at level 1. A gather needs nearly all of its
/// services, so without retries a few rejections would make it fail after most of its work was done.
const LEAST_RETRIES: f64 = 0.5;

/// Fraction of the retry budget that extra attempts of a kind may use at this level of overload, from
/// 0 (calm) to 1. As the level rises, hedges stop, as the attempts that they double may still be
/// answered; retries become fewer.
pub fn extra_fraction(reason: AttemptReason, level: f64) -> f64 {
    let excess = ((level - FEWER_EXTRAS) / (1.0 - FEWER_EXTRAS)).clamp(0.0, 1.0);
    match reason {
        AttemptReason::First => 1.0,
        AttemptReason::Hedge => HEDGE_FRACTION * (1.0 - excess),
        AttemptReason::Retry => 1.0 - (1.0 - LEAST_RETRIES) * excess,
    }
}
