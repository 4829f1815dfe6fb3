//! In-process metrics: counters, gauges and latency histograms, served as text.

use {
    cadence::{MetricSink, StatsdClient},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt::Write as _, io, sync::Arc},
    turmerictack_model::table::{LockRank, Table},
};

/// Prefix of all metric names.
pub const METRIC_PREFIX: &str = "turmerictack";

/// Upper bound of the latency histograms in ms; larger latencies are recorded as this one.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of the latency histograms.
const HISTOGRAM_DIGITS: u8 = 2;

/// Quantiles rendered for each histogram.
const REPORTED_QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Default)]
struct Values {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, f64>,
    latencies: BTreeMap<String, Histogram<u64>>,
}

/// Metrics of this process, as a `cadence` sink that aggregates them in memory.
#[derive(Clone)]
pub struct Registry {
    values: Arc<Table<Values>>,
}

impl Default for Registry {
    fn default() -> Self {
        Self { values: Arc::new(Table::new(LockRank::Metrics, Values::default())) }
    }
}

impl Registry {
    /// Creates a client that records into this registry.
    pub fn client(&self) -> StatsdClient {
        StatsdClient::from_sink(METRIC_PREFIX, self.clone())
    }

    /// Renders all metrics, one per line: name, tags and value.
    pub fn render(&self) -> String {
        let values = self.values.lock();
        let mut text = String::new();
        for (name, count) in &values.counters {
            let _ = writeln!(text, "{name} {count}");
        }
        for (name, value) in &values.gauges {
            let _ = writeln!(text, "{name} {value}");
        }
        for (name, histogram) in &values.latencies {
            let _ = writeln!(text, "{name}:count {}", histogram.len());
            for quantile in REPORTED_QUANTILES {
                let ms = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "{name}:q{quantile} {ms}");
            }
        }
        text
    }

    fn record(&self, metric: &str) -> Option<()> {
        let (name, rest) = metric.split_once(':')?;
        let mut parts = rest.split('|');
        let (value, kind) = (parts.next()?, parts.next()?);
        let tags = parts.find_map(|p| p.strip_prefix('#'));
        let key = tags.map_or_else(|| name.to_owned(), |tags| format!("{name}{{{tags}}}"));
        let mut values = self.values.lock();
        match kind {
            "c" => *values.counters.entry(key).or_default() += value.parse::<i64>().ok()?,
            "g" => {
                values.gauges.insert(key, value.parse().ok()?);
            }
            "ms" => {
                let ms = value.parse::<u64>().ok()?.min(MAX_LATENCY_MS);
                if !values.latencies.contains_key(&key) {
                    let histogram =
                        Histogram::new_with_max(MAX_LATENCY_MS, HISTOGRAM_DIGITS).ok()?;
                    values.latencies.insert(key.clone(), histogram);
                }
                values.latencies.get_mut(&key)?.saturating_record(ms);
            }
            _ => return None,
        }
        Some(())
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        match self.record(metric) {
            Some(()) => Ok(metric.len()),
            None => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    }
}
