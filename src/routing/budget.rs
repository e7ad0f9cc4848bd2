//! Keeps retries to a fraction of the successes.

/// Retries allowed for each success.
const FRACTION: f64 = 0.1;
/// Retries that may be saved up.
const MOST: f64 = 10.0;

/// Allows a retry for every ten successes.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: MOST }
    }
}

impl RetryBudget {
    /// Notes a success.
    pub fn earn(&mut self) {
        self.balance = (self.balance + FRACTION).min(MOST);
    }

    /// Takes one retry out and tells whether there was one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
