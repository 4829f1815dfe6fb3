//! Assignment of tasks to nodes, by rendezvous hashing over the live nodes.
//!
//! Ownership only avoids duplicate work and must not be relied on for safety: nodes whose views of
//! the membership differ may both consider themselves the owner of a task.

use {
    std::collections::{BTreeMap, BTreeSet},
    turmerictack_model::{ids::NodeId, rendezvous::owners},
};

/// Whether `node` is among the first `count` owners of a task.
pub fn is_owner(node: &str, live: &BTreeSet<NodeId>, task: &str, count: usize) -> bool {
    owners(task, live.iter().map(String::as_str), count).contains(&node)
}

/// Assigns an owner to every task, with at most `ceil(tasks / live nodes)` tasks per node.
///
/// A task goes to the node with the highest rendezvous weight for it that is below that limit, so
/// that few tasks move when a node joins or leaves. The result is empty if no node is live.
pub fn assign_owners(
    live: &BTreeSet<NodeId>,
    tasks: &BTreeSet<String>,
) -> BTreeMap<String, NodeId> {
    let limit = tasks.len().div_ceil(live.len().max(1));
    let mut loads: BTreeMap<&str, usize> = BTreeMap::new();
    let mut assigned = BTreeMap::new();
    for task in tasks {
        let ranked = owners(task, live.iter().map(String::as_str), live.len());
        let has_capacity = |node: &&str| loads.get(node).copied().unwrap_or_default() < limit;
        if let Some(node) = ranked.into_iter().find(has_capacity) {
            *loads.entry(node).or_default() += 1;
            assigned.insert(task.clone(), node.to_owned());
        }
    }
    assigned
}
