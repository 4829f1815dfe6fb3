//! What a cut node makes of its failures: no crashes, and no failures of sound upstreams.

#![allow(clippy::unwrap_used, reason = "a poisoned lock fails the test")]

mod common;

use {
    common::{
        ScriptedAction, ScriptedUpstreams,
        path_network::{Fault, Network, PathNode, VirtualClock},
        plain_instance, proxy_with_clock, request,
    },
    rstest::rstest,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
    turmerictack_model::{clock::Clock as _, ids::InstanceId},
    turmerictack_serving::{
        directory::{Instance, Upstream},
        interfaces::SendError,
        proxy::Proxy,
        rejection::Reason,
        request::{Reply, Request},
    },
};

/// Nodes of the cluster.
const NODES: usize = 9;

/// Instances of the service.
const INSTANCES: usize = 8;

struct Fixture {
    network: Arc<Network>,
    node: PathNode,
    proxy: Arc<Proxy>,
    upstreams: Arc<ScriptedUpstreams>,
}

fn id(at: usize) -> String {
    format!("p{at}")
}

fn open() -> Fixture {
    let network = Arc::new(Network::default());
    let node = PathNode::new(&network, 0);
    node.hear_sound(NODES);
    for at in 0..INSTANCES {
        let instance =
            Instance { address: format!("127.0.0.1:{}", 9_100 + at), ..plain_instance(at) };
        node.tables.directory.lock().insert(id(at), instance);
    }
    node.tables.rebuild_upstreams(VirtualClock.now());
    let (proxy, upstreams) = proxy_with_clock(&node.tables, Arc::new(VirtualClock));
    *upstreams.dialer.lock().unwrap() = Some(node.dialer.clone());
    Fixture { network, node, proxy, upstreams }
}

fn look() -> Request {
    Request { received_at: VirtualClock.now(), ..request("look") }
}

impl Fixture {
    async fn pass(&self, steps: usize) {
        for _ in 0..steps {
            sleep(Duration::from_millis(50)).await;
            self.node.hear_sound(NODES);
        }
    }

    /// Instances that are not chosen while others are healthy.
    fn unhealthy(&self) -> Vec<InstanceId> {
        let pools = Arc::clone(self.node.tables.directory.lock().pools());
        let (now, balancer) = (VirtualClock.now(), self.node.tables.balancer.lock());
        let upstreams = pools.values().flatten().filter(|u| u.instance.starts_with('p'));
        let is_healthy =
            |u: &Arc<Upstream>| balancer.loads.has_capacity(now, &[Arc::clone(u)], &[], 0.0);
        upstreams.filter(|u| !is_healthy(u)).map(|u| u.instance.clone()).collect()
    }
}

/// Guards against sound requests that all nodes refuse for ten minutes, because a node that lost its
/// paths took the refusals that it got for crashes.
#[rstest]
#[case::lost_paths(true)]
#[case::crashes(false)]
#[tokio::test(start_paused = true)]
async fn requests_are_quarantined_for_crashes_and_not_for_lost_paths(#[case] is_cut: bool) {
    let fixture = open();
    let ids: Vec<String> = (0..INSTANCES).map(id).collect();
    for id in &ids {
        if is_cut {
            fixture.network.cut(0, &[id], Fault::Refuse);
        } else {
            fixture.network.fail_instance(id, Fault::Refuse);
        }
    }
    fixture.upstreams.set_default(ScriptedAction::Fail(SendError::ConnectionLost));
    for _ in 0..4 {
        fixture.proxy.serve(look()).await;
        fixture.pass(2).await;
    }
    fixture.pass(30).await;
    fixture.upstreams.set_default(ScriptedAction::Respond(200, "found"));
    match fixture.proxy.serve(look()).await {
        Reply::Rejected(rejection) => {
            assert!(!is_cut, "{:?}", rejection.reason);
            assert_eq!(rejection.reason, Reason::Quarantined);
        }
        _ => assert!(is_cut, "the request crashed its upstreams"),
    }
}

/// Failures before the path was found lost don't keep requests away from an instance that peers
/// reach.
#[rstest]
#[tokio::test(start_paused = true)]
async fn failures_of_a_lost_path_do_not_count_against_the_instance() {
    let fixture = open();
    fixture.upstreams.set_default(ScriptedAction::Fail(SendError::NotSent));
    for _ in 0..4 {
        fixture.proxy.serve(look()).await;
    }
    let failed = fixture.unhealthy();
    assert!(!failed.is_empty());
    fixture.node.hear_sound(NODES);
    for id in &failed {
        fixture.network.cut(0, &[id], Fault::Refuse);
        fixture.node.dial(id).await.unwrap();
    }
    assert!(fixture.unhealthy().is_empty());
}

/// Nor do connections that break while the path is down.
#[rstest]
#[tokio::test(start_paused = true)]
async fn broken_connections_count_only_where_the_path_is_open(#[values(true, false)] is_cut: bool) {
    let fixture = open();
    for at in 0..INSTANCES {
        if is_cut {
            fixture.network.cut(0, &[&id(at)], Fault::Refuse);
        }
        fixture.node.dial(&id(at)).await.unwrap();
    }
    fixture.upstreams.set_default(ScriptedAction::Fail(SendError::ConnectionLost));
    for _ in 0..60 {
        fixture.proxy.serve(look()).await;
        fixture.node.hear_sound(NODES);
    }
    assert_eq!(fixture.unhealthy().is_empty(), is_cut);
}
