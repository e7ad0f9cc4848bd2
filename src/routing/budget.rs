//! A budget that limits retries to a fraction of the successful attempts.

/// Retries allowed for each success.
const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retries that the budget can hold.
const MAX_BALANCE: f64 = 10.0;

/// Allows one retry for every ten successes. It starts full.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the part of a retry that a success earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + RETRIES_PER_SUCCESS).min(MAX_BALANCE);
    }

    /// Takes one retry out of the budget and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
