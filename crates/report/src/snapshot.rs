//! Counts of calls at one point in time, of one node or merged over several.

use {
    crate::downtime::Downtime,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    turmerictack_model::{
        ids::{NodeId, ServiceId},
        rank::Rank,
    },
};

/// Windows over which burn rates are computed.
///
/// In an alert, 5 min confirms 1 h, and 30 min confirms 6 h.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1800),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
];

/// Upper bounds of the histogram buckets in ms; one more bucket counts everything above.
pub const LATENCY_BUCKETS_MS: [u64; 12] =
    [10, 25, 50, 100, 200, 300, 400, 570, 800, 1200, 2500, 10_000];

/// Latency histogram with fixed buckets, so that the histograms of several nodes can be summed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Calls in each bucket of [`LATENCY_BUCKETS_MS`], then those above the last bound; empty if
    /// there were no calls.
    pub counts: Vec<u64>,
}

impl LatencyHistogram {
    /// Adds one latency to its bucket.
    pub fn record(&mut self, latency: Duration) {
        self.counts.resize(LATENCY_BUCKETS_MS.len() + 1, 0);
        let ms = latency.as_millis();
        let bucket_index = LATENCY_BUCKETS_MS.iter().position(|b| ms <= u128::from(*b));
        self.counts[bucket_index.unwrap_or(LATENCY_BUCKETS_MS.len())] += 1;
    }

    /// Adds the counts of another node.
    pub fn merge(&mut self, other: &Self) {
        self.counts.resize(self.counts.len().max(other.counts.len()), 0);
        for (existing, incoming) in self.counts.iter_mut().zip(&other.counts) {
            *existing += incoming;
        }
    }

    /// Upper bound in ms of the bucket that contains a quantile (0.95 for p95); `None` if it is
    /// above the last bound or there were no calls.
    pub fn quantile_bound_ms(&self, quantile: f64) -> Option<u64> {
        let total: u64 = self.counts.iter().sum();
        let required = (total as f64 * quantile).ceil() as u64;
        let mut cumulative = 0;
        for (count, bound) in self.counts.iter().zip(LATENCY_BUCKETS_MS) {
            cumulative += count;
            if cumulative >= required && cumulative > 0 {
                return Some(bound);
            }
        }
        None
    }
}

/// Counts of calls in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// All calls.
    pub total: u64,
    /// Calls that missed their targets or failed.
    pub bad: u64,
}

/// Counts of one rank of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Id of the service.
    pub service: ServiceId,
    /// Rank of the calls.
    pub rank: Rank,
    /// Percentage of calls that must be good.
    pub objective_percent: f64,
    /// Counts for each of [`WINDOWS`], in the same order.
    pub windows: Vec<WindowCounts>,
    /// Times to the first token since the node started.
    pub first_token: LatencyHistogram,
}

impl BurnRow {
    /// Rate at which a window spends the error budget, relative to the rate that the objective
    /// allows.
    pub fn burn_rate(&self, window: &WindowCounts) -> f64 {
        if window.total == 0 {
            return 0.0;
        }
        let allowed_percent = 100.0 - self.objective_percent;
        window.bad as f64 * 100.0 / (window.total as f64 * allowed_percent)
    }
}

/// Counts of one node, or the sums of several.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Nodes whose counts are included.
    pub nodes: Vec<NodeId>,
    /// Nodes that did not answer, by operator address.
    pub missing: Vec<NodeId>,
    /// Counts by service and rank, sorted.
    pub rows: Vec<BurnRow>,
    /// Downtime of each service since the nodes started; each domain is counted by its owner.
    #[serde(default)]
    pub downtime: BTreeMap<ServiceId, Downtime>,
}

impl Snapshot {
    /// Adds the counts of other nodes.
    pub fn merge(&mut self, other: Self) {
        self.nodes.extend(other.nodes);
        self.missing.extend(other.missing);
        for (service, incoming) in other.downtime {
            self.downtime.entry(service).or_default().merge(incoming);
        }
        for incoming in other.rows {
            let same = |r: &&mut BurnRow| r.service == incoming.service && r.rank == incoming.rank;
            match self.rows.iter_mut().find(same) {
                Some(existing) => {
                    for (a, b) in existing.windows.iter_mut().zip(&incoming.windows) {
                        a.total += b.total;
                        a.bad += b.bad;
                    }
                    existing.first_token.merge(&incoming.first_token);
                }
                None => self.rows.push(incoming),
            }
        }
        self.rows.sort_by(|a, b| (&a.service, a.rank).cmp(&(&b.service, b.rank)));
    }
}
