//! Which nodes may send to an upstream that takes only so many requests, and their shares of its rate.
//!
//! A node that has been idle may send a request at once, whatever its share, and so may all others
//! at the same time. Few senders for each upstream keep the sum of these bursts small.

use {
    crate::directory::UpstreamRun,
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::{ids::NodeId, rate::RequestRate, rendezvous::owners},
};

/// Requests beyond its rate that an upstream may get in a few seconds, in seconds of the rate.
const EXCESS_TIME_S: f64 = 2.0;

/// The same, in requests.
const EXCESS_REQUESTS: f64 = 4.0;

/// Tokens that a sender saves; more than one, so that the time until the next request isn't lost.
pub(super) const SAVED_TOKENS: f64 = 1.5;

/// Demand that is assumed of a node without requests, in requests per second.
const MIN_DEMAND: f64 = 0.25;

/// Senders to an upstream, each with the number of upstreams of the pool to which it may send.
pub type Senders = BTreeMap<NodeId, usize>;

/// Largest number of nodes that may send to an upstream with this rate.
pub fn max_senders(rate: RequestRate) -> usize {
    let excess = rate.per_second() * EXCESS_TIME_S + EXCESS_REQUESTS;
    (excess / SAVED_TOKENS) as usize
}

/// Chooses the nodes that may send to each upstream of a pool, given the largest numbers of them.
///
/// An upstream gets the nodes that are senders to the fewest upstreams so far and, of these, those
/// with the highest rendezvous weight for it, so that no node is left without an upstream needlessly.
/// Nodes that are not in `active` come last.
pub fn assign_senders(
    runs: &BTreeMap<UpstreamRun, usize>,
    nodes: &BTreeSet<NodeId>,
    active: &BTreeSet<NodeId>,
) -> BTreeMap<UpstreamRun, Senders> {
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    let mut assigned: BTreeMap<UpstreamRun, Vec<&str>> = BTreeMap::new();
    for (run, count) in runs {
        let mut senders: Vec<&str> = nodes.iter().map(String::as_str).collect();
        if *count < nodes.len() {
            senders = owners(&format!("{}-{}", run.0, run.1), senders, nodes.len());
            senders.sort_by_key(|node| {
                (!active.contains(*node), taken.get(node).copied().unwrap_or_default())
            });
            senders.truncate(*count);
        }
        senders.iter().for_each(|node| *taken.entry(node).or_default() += 1);
        assigned.insert(*run, senders);
    }
    let with_counts = |senders: Vec<&str>| {
        senders.into_iter().map(|node| (node.to_owned(), taken[node])).collect()
    };
    assigned.into_iter().map(|(run, senders)| (run, with_counts(senders))).collect()
}

/// Weight of a sender with a demand in requests per second, which it spreads over a number of
/// upstreams.
pub fn weight_of_demand(per_second: f64, upstreams: usize) -> f64 {
    (per_second + MIN_DEMAND) / upstreams.max(1) as f64
}
