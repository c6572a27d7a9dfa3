//! The one budget of hedges and retries.

use nutmegspread_model::BudgetPolicy;

/// Parts of one token, so that small fractions add up without rounding.
const PARTS_PER_TOKEN: u64 = 1_000_000;
/// Tokens out of which hedges leave one part to retries, as a divisor of the burst.
const HEDGE_RESERVE_DIVISOR: u64 = 4;

/// Tokens that first attempts earn and extra attempts spend.
///
/// It starts empty: at every moment extra attempts are at most `extra_fraction` of first ones.
#[derive(Clone, Debug, Default)]
pub struct ExtraBudget {
    parts: u64,
}

impl ExtraBudget {
    /// Adds what one first attempt earns.
    pub fn earn(&mut self, policy: &BudgetPolicy) {
        let fraction = policy.extra_fraction.clamp(0.0, 1.0);
        let earned = (fraction * PARTS_PER_TOKEN as f64) as u64;
        let most = u64::from(policy.burst) * PARTS_PER_TOKEN;
        self.parts = (self.parts + earned).min(most);
    }

    /// Takes one token for a retry; `false` when there is none.
    pub fn spend_on_retry(&mut self) -> bool {
        self.spend(0)
    }

    /// Takes one token for a hedge, and leaves some for retries; `false` when there is none.
    pub fn spend_on_hedge(&mut self, policy: &BudgetPolicy) -> bool {
        self.spend(u64::from(policy.burst) * PARTS_PER_TOKEN / HEDGE_RESERVE_DIVISOR)
    }

    /// Gives back the token of an attempt that no target received.
    pub fn refund(&mut self) {
        self.parts += PARTS_PER_TOKEN;
    }

    /// Whole tokens left.
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
