//! Counters and latency histograms, kept in the process and served as text.

use {
    cadence::{MetricSink, StatsdClient},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt::Write as _, io, sync::Arc},
    turmerictack_model::table::{LockRank, Table},
};

/// Prefix of the names of all metrics.
pub const PREFIX: &str = "turmerictack";

/// Largest latency that a histogram holds, in ms.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of a histogram.
const HISTOGRAM_DIGITS: u8 = 2;

/// Quantiles that the text gives for each histogram.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

#[derive(Default)]
struct Values {
    counters: BTreeMap<String, i64>,
    gauges: BTreeMap<String, f64>,
    latencies: BTreeMap<String, Histogram<u64>>,
}

/// Metrics of this process; a sink of `cadence` that keeps what it is sent.
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
    /// A client that counts into this registry.
    pub fn client(&self) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, self.clone())
    }

    /// Every metric, one a line: name, tags and value.
    pub fn text(&self) -> String {
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
            for quantile in QUANTILES {
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
