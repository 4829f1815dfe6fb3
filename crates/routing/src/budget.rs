//! Retry budget: bounds retries to a fraction of new calls, so that an outage does not cause a
//! retry storm.

/// Initial balance, in retries.
const INITIAL_BALANCE: f64 = 10.0;

/// Largest balance, in retries.
const MAX_BALANCE: f64 = 50.0;

/// A balance that each new call raises by a fraction of a retry and each retry lowers by 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    balance: f64,
    ratio: f64,
}

impl RetryBudget {
    /// A budget that allows this many retries for every 100 new calls.
    pub fn new(percent: u32) -> Self {
        Self { balance: INITIAL_BALANCE, ratio: f64::from(percent) / 100.0 }
    }

    /// Changes the number of retries allowed for every 100 new calls; the balance stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Adds the share of a new call to the balance.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE);
    }

    /// Takes one retry from the balance; `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }
}
