//! Which nodes may send to a rate-limited upstream, and their shares of its rate.
//!
//! A node that has been idle may send a request at once, whatever its share, and so may all others
//! at the same time. Few senders for each upstream keep the sum of these bursts small.

use {
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::{ids::NodeId, rate::RequestRate, rendezvous::owners},
    turmerictack_protocol::heartbeat::UpstreamKey,
};

/// Run of an upstream: its key, and the start time of its process in milliseconds since the Unix
/// epoch.
pub type UpstreamRun = (UpstreamKey, u64);

/// Requests beyond its rate that an upstream may get at once, in seconds of the rate.
const EXCESS_TIME_S: f64 = 2.0;

/// The same, in requests.
const EXCESS_REQUESTS: f64 = 4.0;

/// The same, where the nodes learn of each other's requests before many more are sent.
const COUNTED_EXCESS_REQUESTS: f64 = 7.0;

/// Requests that an upstream may get at the same moment, in seconds of its rate.
const BURST_TIME_S: f64 = 6.0;

/// Demand that is assumed of a node without requests, in requests per second.
const MIN_DEMAND: f64 = 0.25;

/// Largest number of nodes that may send to an upstream with this rate; `are_counts_recent` if
/// heartbeats make the requests of each node known to the others within a few intervals.
pub fn max_senders(rate: RequestRate, are_counts_recent: bool) -> usize {
    let excess = if are_counts_recent { COUNTED_EXCESS_REQUESTS } else { EXCESS_REQUESTS };
    let at_once = rate.per_second() * BURST_TIME_S + EXCESS_REQUESTS;
    (rate.per_second() * EXCESS_TIME_S + excess).min(at_once) as usize
}

/// Chooses the nodes that may send to each upstream, given the largest numbers of them.
///
/// An upstream gets the nodes with the highest rendezvous weight for it, passing over those that
/// have more than their part of all upstreams already.
pub fn assign_senders(
    runs: &BTreeMap<UpstreamRun, usize>,
    nodes: &BTreeSet<NodeId>,
) -> BTreeMap<UpstreamRun, BTreeSet<NodeId>> {
    let seats: usize = runs.values().map(|count| (*count).min(nodes.len())).sum();
    let limit = seats.div_ceil(nodes.len().max(1));
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for (run, count) in runs {
        if *count >= nodes.len() {
            nodes.iter().for_each(|node| *taken.entry(node.as_str()).or_default() += 1);
            assigned.insert(*run, nodes.clone());
            continue;
        }
        let key = format!("{}-{}", run.0, run.1);
        let ranked = owners(&key, nodes.iter().map(String::as_str), nodes.len());
        let is_full = |node: &&str| taken.get(node).copied().unwrap_or_default() >= limit;
        let (full, free): (Vec<&str>, Vec<&str>) = ranked.into_iter().partition(is_full);
        let senders: Vec<&str> = free.into_iter().chain(full).take(*count).collect();
        senders.iter().for_each(|node| *taken.entry(node).or_default() += 1);
        assigned.insert(*run, senders.into_iter().map(str::to_owned).collect());
    }
    assigned
}

/// Share of a node with demand `own` among senders with the demands `others`, in requests per
/// second.
pub fn share_of_demand(own: f64, others: impl IntoIterator<Item = f64>) -> f64 {
    let own = own + MIN_DEMAND;
    own / others.into_iter().fold(own, |sum, demand| sum + demand + MIN_DEMAND)
}
