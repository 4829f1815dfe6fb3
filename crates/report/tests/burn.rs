//! Burn rates by window, sums over nodes, alerts, downtime, and the table and chart of the report.

use {
    rstest::rstest,
    std::time::{Duration, Instant},
    turmerictack_model::rank::Rank,
    turmerictack_report::{
        alert::{Severity, severity},
        chart,
        downtime::Downtime,
        snapshot::{BurnRow, Snapshot},
        table,
        tracker::{BurnTracker, CallSample},
    },
};

const OBJECTIVE: f64 = 95.0;

/// Snapshot of a node where `bad` of `total` calls were bad, all at the same time.
fn node_snapshot(name: &str, total: u64, bad: u64) -> Snapshot {
    let origin = Instant::now();
    let mut tracker = BurnTracker::new(origin);
    for n in 0..total {
        let sample = CallSample { good: n >= bad, first_token: Some(Duration::from_millis(120)) };
        tracker.record(origin, "masks", Rank::Urgent, sample);
    }
    tracker.snapshot(origin, &name.to_owned(), &|_| OBJECTIVE)
}

fn rates(row: &BurnRow) -> Vec<f64> {
    row.windows.iter().map(|w| row.burn_rate(w)).collect()
}

#[rstest]
fn five_percent_bad_calls_give_a_burn_rate_of_one() {
    let snapshot = node_snapshot("n1", 100, 5);
    for rate in rates(&snapshot.rows[0]) {
        assert!((rate - 1.0).abs() < 1e-9, "{rate}");
    }
}

#[rstest]
fn old_calls_drop_out_of_the_short_windows_first() {
    let origin = Instant::now();
    let mut tracker = BurnTracker::new(origin);
    let bad = CallSample { good: false, first_token: None };
    tracker.record(origin, "masks", Rank::Urgent, bad);
    let later = origin + Duration::from_secs(2000);
    let snapshot = tracker.snapshot(later, &"n1".to_owned(), &|_| OBJECTIVE);
    let totals: Vec<u64> = snapshot.rows[0].windows.iter().map(|w| w.total).collect();
    assert_eq!(totals, [0, 0, 1, 1]);
}

#[rstest]
fn merging_sums_nodes_and_lists_the_missing_one() {
    let mut merged = node_snapshot("n1", 100, 0);
    merged.merge(node_snapshot("n2", 100, 20));
    merged.missing.push("n3".to_owned());
    assert_eq!(merged.rows.len(), 1);
    assert!((rates(&merged.rows[0])[0] - 2.0).abs() < 1e-9);
    let output = table::render(&merged);
    assert!(output.contains("nodes: n1 n2\nno answer from: n3\n"), "{output}");
    assert!(output.contains("<= 200 ms"), "{output}");
}

#[rstest]
#[case(0, Severity::Ok)]
#[case(29, Severity::Ok)]
#[case(30, Severity::Ticket)]
#[case(72, Severity::Page)]
fn alerts_require_a_high_burn_rate_in_both_windows(#[case] bad: u64, #[case] expected: Severity) {
    assert_eq!(severity(&node_snapshot("n1", 100, bad).rows[0]), expected);
}

#[rstest]
fn the_chart_labels_each_row() {
    let svg = chart::render(&node_snapshot("n1", 100, 40)).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("masks / urgent"));
}

/// n1 owns the domain, then n2, then n1 again. The 9.2 s for which n1 did not observe the domain
/// must not be counted as downtime.
#[rstest]
fn downtime_covers_only_the_time_a_node_owned_the_domain() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let snapshot_after = |observations: &[u64], name: &str| {
        let mut tracker = BurnTracker::new(start);
        for observation in observations {
            let elapsed = tracker.downtime.observe(at(*observation), "fabric-1");
            tracker.downtime.record_missing("masks", 1, 4, elapsed);
        }
        tracker.snapshot(at(20_000), &name.to_owned(), &|_| OBJECTIVE)
    };
    let mut merged = snapshot_after(&[0, 400, 800, 10_000, 10_400], "n1");
    merged.merge(snapshot_after(&[800, 1200], "n2"));
    let expected = Downtime { missing_group_ms: 1600, stranded_instance_ms: 6400 };
    assert_eq!(merged.downtime["masks"], expected);
    assert!(
        table::render(&merged).contains("masks: groups missing 1.6 s, instances stranded 6.4 s")
    );
}
