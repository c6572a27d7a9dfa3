//! The budget that limits hedges and retries (extra attempts).

use nutmegspread_model::BudgetPolicy;

/// Number of parts in one token. The budget counts whole parts, so that small fractions of a token
/// add up without rounding errors.
const PARTS_PER_TOKEN: u64 = 1_000_000;
/// Hedges must leave `burst` divided by this number of tokens for retries.
const HEDGE_RESERVE_DIVISOR: u64 = 4;

/// Token bucket that limits extra attempts: each first attempt adds `extra_fraction` of a token,
/// and each extra attempt spends one token.
///
/// The bucket starts empty, so at any time the extra attempts sent so far are at most
/// `extra_fraction` of the first attempts.
#[derive(Clone, Debug, Default)]
pub struct ExtraBudget {
    /// Tokens left, counted in parts of a token.
    parts: u64,
}

impl ExtraBudget {
    /// Adds `extra_fraction` of a token for one first attempt, up to `burst` tokens in total.
    pub fn earn(&mut self, policy: &BudgetPolicy) {
        let fraction = policy.extra_fraction.clamp(0.0, 1.0);
        let earned = (fraction * PARTS_PER_TOKEN as f64) as u64;
        let maximum = u64::from(policy.burst) * PARTS_PER_TOKEN;
        self.parts = (self.parts + earned).min(maximum);
    }

    /// Spends one token on a retry; returns `false` if less than one token is left.
    pub fn spend_on_retry(&mut self) -> bool {
        self.spend(0)
    }

    /// Spends one token on a hedge; returns `false` if that would use the tokens reserved for
    /// retries.
    pub fn spend_on_hedge(&mut self, policy: &BudgetPolicy) -> bool {
        self.spend(u64::from(policy.burst) * PARTS_PER_TOKEN / HEDGE_RESERVE_DIVISOR)
    }

    /// Returns the token of an extra attempt that no target received.
    pub fn refund(&mut self) {
        self.parts += PARTS_PER_TOKEN;
    }

    /// Number of whole tokens left.
    pub fn tokens(&self) -> u64 {
        self.parts / PARTS_PER_TOKEN
    }

    fn spend(&mut self, reserve: u64) -> bool {
        if self.parts < PARTS_PER_TOKEN + reserve {
            return false;
        }
        self.parts -= PARTS_PER_TOKEN;
        true
    }
}
