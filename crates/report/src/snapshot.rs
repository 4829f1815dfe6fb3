//! Counts at one time, of one node or merged over several.

use {
    crate::downtime::Downtime,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    turmerictack_model::{
        ids::{NodeId, ServiceId},
        rank::Rank,
    },
};

/// Windows of the report: the two short ones confirm the two long ones.
pub const WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1800),
    Duration::from_secs(3600),
    Duration::from_secs(6 * 3600),
];

/// Upper bounds of the latency counts in ms; the last count has none.
pub const LATENCY_BUCKETS_MS: [u64; 12] =
    [10, 25, 50, 100, 200, 300, 400, 570, 800, 1200, 2500, 10_000];

/// Latencies by bound, so that counts of several nodes add up.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencyHistogram {
    /// Calls at or below each bound, and above all of them; empty when there were none.
    pub counts: Vec<u64>,
}

impl LatencyHistogram {
    /// Counts a latency.
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

    /// Bound in ms below which this share of the calls lies; absent above the last bound.
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

/// Calls in one window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// Calls.
    pub total: u64,
    /// Calls that missed their targets or failed.
    pub bad: u64,
}

/// One rank of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnRow {
    /// Service.
    pub service: ServiceId,
    /// Rank.
    pub rank: Rank,
    /// Share of calls, in percent, that must be good.
    pub objective_percent: f64,
    /// Calls in each of [`WINDOWS`].
    pub windows: Vec<WindowCounts>,
    /// Times to the first token since the node started.
    pub first_token: LatencyHistogram,
}

impl BurnRow {
    /// How many times faster than allowed the error budget is spent in a window.
    pub fn burn_rate(&self, window: &WindowCounts) -> f64 {
        if window.total == 0 {
            return 0.0;
        }
        let allowed_percent = 100.0 - self.objective_percent;
        window.bad as f64 * 100.0 / (window.total as f64 * allowed_percent)
    }
}

/// Counts of one node, or of several together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Nodes whose counts are in it.
    pub nodes: Vec<NodeId>,
    /// Nodes that did not answer.
    pub missing: Vec<NodeId>,
    /// Rows in the order of services and ranks.
    pub rows: Vec<BurnRow>,
    /// What each service lost since the nodes started, each domain seen by the node in charge.
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
