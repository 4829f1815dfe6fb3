//! Alerts: a budget that burns fast in a long window and still does in the short one.

use {
    crate::snapshot::{BurnRow, WindowCounts},
    derive_more::Display,
};

/// Burn rate that spends 2 % of a 30 days' budget in an hour.
const PAGE_BURN_RATE: f64 = 14.4;

/// Burn rate that spends 5 % of a 30 days' budget in six hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// How soon someone has to look.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Nothing burns.
    #[display("ok")]
    Ok,
    /// Today: 30 min and 6 h burn at 6 or more.
    #[display("ticket")]
    Ticket,
    /// Now: 5 min and 1 h burn at 14.4 or more.
    #[display("page")]
    Page,
}

/// How soon someone has to look at a row.
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
