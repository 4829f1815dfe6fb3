//! Good and bad calls of one node, counted in time buckets.

use {
    crate::{
        downtime::DowntimeMeter,
        snapshot::{BurnRow, LatencyHistogram, Snapshot, WINDOWS, WindowCounts},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{NodeId, ServiceId},
        rank::Rank,
    },
};

/// Time covered by one bucket.
const BUCKET_DURATION: Duration = Duration::from_secs(10);

/// Buckets kept per series; they cover the longest of [`WINDOWS`], 6 h.
const MAX_BUCKETS: usize = 6 * 3600 / 10;

/// Result of a call with regard to its service-level objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallSample {
    /// Whether the call succeeded, within its latency targets if it has any.
    pub good: bool,
    /// Time to the first token; `None` if there was none.
    pub first_token: Option<Duration>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    total: u64,
    bad: u64,
}

#[derive(Debug, Default)]
struct Series {
    /// The newest bucket is last.
    buckets: VecDeque<Bucket>,
    /// Number of the newest bucket, counted from the tracker's origin.
    last_bucket: u64,
    first_token: LatencyHistogram,
}

impl Series {
    /// Appends empty buckets up to number `target`, and drops those that are too old.
    fn advance_to(&mut self, target: u64) {
        let steps = target.saturating_sub(self.last_bucket).min(MAX_BUCKETS as u64);
        for _ in 0..steps {
            self.buckets.push_back(Bucket::default());
        }
        self.last_bucket = self.last_bucket.max(target);
        while self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
    }

    fn sum(&self, window: Duration) -> Bucket {
        let count = (window.as_secs() / BUCKET_DURATION.as_secs()) as usize;
        let newest = self.buckets.iter().rev().take(count);
        newest.fold(Bucket::default(), |sum, b| Bucket {
            total: sum.total + b.total,
            bad: sum.bad + b.bad,
        })
    }
}

/// Counts the calls of each service and rank against their objective.
#[derive(Debug)]
pub struct BurnTracker {
    /// Time for which groups were missing, by service.
    pub downtime: DowntimeMeter,
    origin: Instant,
    series: BTreeMap<(ServiceId, Rank), Series>,
}

impl BurnTracker {
    /// Creates an empty tracker; buckets are numbered from `origin`.
    pub fn new(origin: Instant) -> Self {
        Self { downtime: DowntimeMeter::default(), origin, series: BTreeMap::new() }
    }

    fn bucket_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.origin).as_secs() / BUCKET_DURATION.as_secs() + 1
    }

    /// Counts a call that ended at `now`.
    pub fn record(&mut self, now: Instant, service: &str, rank: Rank, sample: CallSample) {
        let bucket = self.bucket_at(now);
        let series = self.series.entry((service.to_owned(), rank)).or_default();
        series.advance_to(bucket);
        if let Some(newest) = series.buckets.back_mut() {
            newest.total += 1;
            newest.bad += u64::from(!sample.good);
        }
        if let Some(first_token) = sample.first_token {
            series.first_token.record(first_token);
        }
    }

    /// Counts of this node at `now`; `objective` returns the objective of a rank in percent.
    pub fn snapshot(
        &mut self,
        now: Instant,
        node: &NodeId,
        objective: &dyn Fn(Rank) -> f64,
    ) -> Snapshot {
        let bucket = self.bucket_at(now);
        let rows = self.series.iter_mut().map(|((service, rank), series)| {
            series.advance_to(bucket);
            let windows = WINDOWS.map(|window| {
                let Bucket { total, bad } = series.sum(window);
                WindowCounts { seconds: window.as_secs(), total, bad }
            });
            BurnRow {
                service: service.clone(),
                rank: *rank,
                objective_percent: objective(*rank),
                windows: windows.to_vec(),
                first_token: series.first_token.clone(),
            }
        });
        Snapshot {
            nodes: vec![node.clone()],
            missing: Vec::new(),
            rows: rows.collect(),
            downtime: self.downtime.by_service().clone(),
        }
    }
}
