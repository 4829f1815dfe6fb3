//! The burn report as a plain-text table.

use {
    crate::{
        alert::severity,
        snapshot::{BurnRow, Snapshot},
    },
    std::fmt::Write as _,
};

/// Renders the report as text.
///
/// The columns named after windows hold burn rates. A burn rate of 1 spends the error budget
/// exactly over its period.
pub fn render(snapshot: &Snapshot) -> String {
    let mut out = String::new();
    let _ = writeln!(out, "nodes: {}", snapshot.nodes.join(" "));
    if !snapshot.missing.is_empty() {
        let _ = writeln!(out, "no answer from: {}", snapshot.missing.join(" "));
    }
    let _ = writeln!(
        out,
        "{:<16}{:<10}{:>10}{:>9}{:>9}{:>9}{:>9}{:>9}{:>13}  alert",
        "service", "rank", "objective", "calls 1h", "5m", "30m", "1h", "6h", "p95 first"
    );
    for row in &snapshot.rows {
        let _ = writeln!(out, "{}", format_row(row));
    }
    for (service, downtime) in &snapshot.downtime {
        let _ = writeln!(
            out,
            "{service}: groups missing {:.1} s, instances stranded {:.1} s since the nodes started",
            millis_to_seconds(downtime.missing_group_ms),
            millis_to_seconds(downtime.stranded_instance_ms),
        );
    }
    out
}

fn millis_to_seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

fn format_row(row: &BurnRow) -> String {
    let rates: String = row.windows.iter().map(|w| format!("{:>9.2}", row.burn_rate(w))).collect();
    let calls = row.windows.iter().find(|w| w.seconds == 3600).map_or(0, |w| w.total);
    let first_token_p95 = match row.first_token.quantile_bound_ms(0.95) {
        Some(bound) => format!("<= {bound} ms"),
        None => "-".to_owned(),
    };
    format!(
        "{:<16}{:<10}{:>9}%{:>9}{rates}{first_token_p95:>13}  {}",
        row.service,
        row.rank.to_string(),
        row.objective_percent,
        calls,
        severity(row)
    )
}
