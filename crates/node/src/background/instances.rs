//! Keeps the instance list in step with the platform's.

use {
    crate::{logs, shared::Shared},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
    tokio::time::sleep,
    turmerictack_membership::gossip::{NodeInfo, NodeState},
    turmerictack_platform::instance::{Instance, InstanceState, NODE_POOL},
};

/// Time between reads of the list.
const PERIOD: Duration = Duration::from_secs(1);

/// Reads the list periodically.
pub async fn run(shared: Arc<Shared>) {
    loop {
        refresh(&shared).await;
        sleep(PERIOD).await;
    }
}

/// Reads the list once.
pub async fn refresh(shared: &Arc<Shared>) {
    shared.tables.lifecycle.lock().platform.reads += 1;
    match shared.proxy.interfaces.instances.instances().await {
        Ok(list) => {
            let job_shared = Arc::clone(shared);
            shared.run_job(move || apply(&job_shared, list)).await;
        }
        Err(e) => logs::event("instance_list_unavailable").with("cause", e).debug(),
    }
}

fn apply(shared: &Shared, list: Vec<Instance>) {
    let now = shared.clock().now();
    let (nodes, upstreams): (Vec<Instance>, Vec<Instance>) =
        list.into_iter().partition(|i| i.pool == NODE_POOL);
    let listed_nodes = nodes.into_iter().map(|i| NodeInfo {
        node: i.id,
        address: i.address,
        data_centre: i.data_centre,
        incarnation: 0,
        state: NodeState::Alive,
    });
    shared.tables.members.lock().set_listed_nodes(now, listed_nodes.collect());
    let mut groups = shared.tables.groups.lock();
    let leaving = upstreams.iter().filter(|i| i.state == InstanceState::Leaving);
    let leaving: BTreeSet<String> = leaving.map(|i| i.id.clone()).collect();
    groups.instances = upstreams.into_iter().map(|i| (i.id.clone(), i)).collect();
    let listed = groups.instances.keys().cloned().collect();
    groups.health.set_listed(&listed, leaving);
    let before = groups.probe_results.len();
    groups.probe_results.retain(|id, _| listed.contains(id));
    if groups.probe_results.len() < before {
        groups.probe_run += 1;
    }
}
