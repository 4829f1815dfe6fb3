//! Priority ranks of calls.

use {
    derive_more::{Display, FromStr},
    serde::{Deserialize, Serialize},
};

/// Priority rank of a call; the most urgent rank compares lowest.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Interactive work that needs the response immediately.
    #[display("urgent")]
    Urgent,
    /// Ordinary interactive work.
    #[display("standard")]
    Standard,
    /// Background work that can wait for hours.
    #[display("batch")]
    Batch,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Rank; 3] = [Rank::Urgent, Rank::Standard, Rank::Batch];
}
