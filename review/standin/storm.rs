//! Configurations follow each other quickly on machines of limited memory.

use crate::scene::{Engines, NO_LIMIT, Scene, configuration, number};
use std::{
    collections::BTreeMap,
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

/// Memory of a machine; a process that exceeds it is killed and started again.
const MEMORY_MB: u64 = 160;

/// Nodes; from twelve on, some watch the store for the others.
const NODES: usize = 12;

const ENGINES: Engines = Engines {
    count: 2,
    group_size: 2,
    stream: Duration::from_millis(200),
    memory_mb: MEMORY_MB,
    link_mbps: NO_LIMIT,
};

/// Routes that the first three configurations add, each.
const MORE_ROUTES: usize = 1_456;

/// Time between two configurations.
const GAP: Duration = Duration::from_millis(260);

/// Limit on the size of an object in the store.
const MAX_VALUE_BYTES: usize = 1_048_576;

/// Ends by the memory limit that break the rule, on each of so many machines.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

pub fn run(root: &Path, folder: &Path, trouble: bool) -> Option<bool> {
    let mut scene = Scene::start(root, folder, NODES, ENGINES)?;
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    let started = Instant::now();
    let (mut version, mut changes) = (7, 0);
    let (mut change_at, mut reported_at) = (started, started);
    let limit = Duration::from_secs(number("SECONDS", 108) as u64);
    while started.elapsed() < limit {
        if trouble && Instant::now() >= change_at {
            change_at += GAP;
            version += 3;
            changes += 1;
            let text =
                configuration(version, ENGINES.group_size, MORE_ROUTES * changes.min(3), true);
            if text.len() + 256 > MAX_VALUE_BYTES {
                scene.record.say("the configuration is too large for the store");
                return None;
            }
            if changes <= 3 {
                scene.record.say(&format!("configuration {version} of {} bytes", text.len()));
            }
            scene.store.put("config", "main", &text);
            scene.record.line(&format!("configuration {version} acknowledged"));
        }
        let memory: Vec<u64> = scene.nodes.iter().map(|n| n.memory_mb()).collect();
        if reported_at.elapsed() > Duration::from_secs(5) {
            reported_at = Instant::now();
            scene.record.say(&format!("after {changes} changes, memory in MB: {memory:?}"));
        }
        for (node, used) in scene.nodes.iter_mut().zip(memory) {
            if used > MEMORY_MB {
                scene.record.say(&format!("{} uses {used} MB and is killed", node.name));
                *ends.entry(node.name.clone()).or_default() += 1;
                node.restart();
            }
        }
        if ends.values().filter(|n| **n >= ENDS).count() >= MACHINES {
            scene.record.say(&format!("ends over the memory limit: {ends:?}"));
            return Some(false);
        }
        sleep(Duration::from_millis(20));
    }
    scene.record.say(&format!("ends over the memory limit: {ends:?}"));
    Some(true)
}
