//! Burn-rate alerts over two windows.
//!
//! The long window shows that a relevant part of the error budget is spent, the short one that the
//! burn continues.

use {
    crate::snapshot::{BurnRow, WindowCounts},
    derive_more::Display,
};

/// Burn rate of a page: spends 2 % of the 30-day error budget in 1 h.
const PAGE_BURN_RATE: f64 = 14.4;

/// Burn rate of a ticket: spends 5 % of the 30-day error budget in 6 h.
const TICKET_BURN_RATE: f64 = 6.0;

/// Severity of an alert.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// No alert.
    #[display("ok")]
    Ok,
    /// Requires attention the same day: burn rate of at least 6 over both 30 min and 6 h.
    #[display("ticket")]
    Ticket,
    /// Requires immediate attention: burn rate of at least 14.4 over both 5 min and 1 h.
    #[display("page")]
    Page,
}

/// Alert severity of a service and rank.
pub fn severity(row: &BurnRow) -> Severity {
    let exceeds = |seconds: u64, rate: f64| {
        let window = row.windows.iter().find(|w| w.seconds == seconds);
        window.is_some_and(|w: &WindowCounts| row.burn_rate(w) >= rate)
    };
    if exceeds(300, PAGE_BURN_RATE) && exceeds(3600, PAGE_BURN_RATE) {
        Severity::Page
    } else if exceeds(1800, TICKET_BURN_RATE) && exceeds(6 * 3600, TICKET_BURN_RATE) {
        Severity::Ticket
    } else {
        Severity::Ok
    }
}
