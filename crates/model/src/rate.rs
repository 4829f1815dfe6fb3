//! Rates of requests.

use derive_more::Display;

/// Requests per second.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{:.3}", self.per_second())]
pub struct RequestRate {
    thousandths: u32,
}

impl RequestRate {
    /// Lowest rate, at which an upstream still gets a request now and then.
    pub const MIN: Self = Self { thousandths: 250 };

    /// Highest rate; an upstream that states a higher one is not limited in practice.
    pub const MAX: Self = Self { thousandths: 1_000_000_000 };

    /// Converts requests per second, limited to the range of [`Self::MIN`] to [`Self::MAX`]; a NaN
    /// is the lowest rate.
    pub fn from_per_second(per_second: f64) -> Self {
        if per_second.is_nan() {
            return Self::MIN;
        }
        Self::from_thousandths((per_second * 1_000.0) as u32)
    }

    /// Converts requests in a thousand seconds, limited to the range of [`Self::MIN`] to
    /// [`Self::MAX`].
    pub fn from_thousandths(thousandths: u32) -> Self {
        Self { thousandths }.clamp(Self::MIN, Self::MAX)
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / 1_000.0
    }

    /// Requests in a thousand seconds.
    pub fn thousandths(self) -> u32 {
        self.thousandths
    }
}
