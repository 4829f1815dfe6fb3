//! Nodes that exchange heartbeats, take roles and elect the leader of group control, in virtual time.

use {
    super::{address, path_network::VirtualClock, tables},
    async_trait::async_trait,
    bytes::Bytes,
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::{
            Mutex as AsyncMutex,
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        },
        time::{Instant, sleep},
    },
    turmerictack_groups::{
        formation::{EngineTimes, Order},
        plan::Plan,
    },
    turmerictack_model::{
        ids::{Address, Era, Incarnation, InstanceId},
        store_version::StoreVersion,
    },
    turmerictack_serving::{
        group_controller::GroupController,
        heartbeat::{HeartbeatExchange, NodeIdentity},
        interfaces::{
            InstanceControl, NodeList, OrderResponse, PeerTransport, PlanError, PlanStore,
        },
        relay::FactKind,
        tables::Tables,
    },
};

/// Data centres over which the nodes are spread.
const DATA_CENTRES: usize = 5;

/// Nodes of each data centre with more processor capacity than the others.
const STRONG_NODES: usize = 3;

/// Time over which nodes that start together become ready.
const START_SPREAD: Duration = Duration::from_millis(50);

/// Interval between looks at who leads.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest and longest time between two reads of the store or of a relay, in milliseconds.
const READ_INTERVAL_MS: (u64, u64) = (250, 450);

/// Datagrams between the nodes, and the list of nodes.
#[derive(Default)]
pub struct Network {
    inboxes: Mutex<BTreeMap<Address, UnboundedSender<Bytes>>>,
    registered: Mutex<Vec<Address>>,
    /// Datagrams that are lost, in a hundred.
    pub loss_percent: Mutex<u32>,
    /// Nodes that reach each other, but none of the others.
    pub separated: Mutex<BTreeSet<Address>>,
    rng: Mutex<Option<Pcg64Mcg>>,
}

impl Network {
    fn is_lost(&self, from: &Address, to: &Address) -> bool {
        let separated = self.separated.lock().unwrap();
        if separated.contains(from) != separated.contains(to) {
            return true;
        }
        let percent = *self.loss_percent.lock().unwrap();
        let mut rng = self.rng.lock().unwrap();
        percent > 0 && rng.as_mut().is_some_and(|rng| rng.random_range(0..100) < percent)
    }
}

struct Link {
    network: Arc<Network>,
    own: Address,
    /// Sender of the inbox of this run of the node; another one has replaced it after a restart.
    own_inbox: UnboundedSender<Bytes>,
    inbox: AsyncMutex<UnboundedReceiver<Bytes>>,
}

#[async_trait]
impl PeerTransport for Link {
    async fn send(&self, to: &Address, datagram: &[u8]) {
        let inboxes = self.network.inboxes.lock().unwrap();
        let is_alive = inboxes.get(&self.own).is_some_and(|i| i.same_channel(&self.own_inbox));
        if let Some(inbox) =
            inboxes.get(to).filter(|_| is_alive && !self.network.is_lost(&self.own, to))
        {
            let _ = inbox.send(Bytes::copy_from_slice(datagram));
        }
    }

    async fn receive(&self) -> Bytes {
        self.inbox.lock().await.recv().await.unwrap()
    }
}

#[async_trait]
impl NodeList for Network {
    async fn addresses(&self) -> Option<Vec<Address>> {
        Some(self.registered.lock().unwrap().clone())
    }
}

/// Plan that all nodes share.
#[derive(Default)]
struct SharedPlan(Mutex<(Plan, u64)>);

#[async_trait]
impl PlanStore for SharedPlan {
    fn era(&self) -> Era {
        0
    }

    async fn read(&self) -> Result<(Plan, StoreVersion), PlanError> {
        let (plan, version) = self.0.lock().unwrap().clone();
        Ok((plan, StoreVersion::without_era(version)))
    }

    async fn replace(&self, plan: &Plan, version: StoreVersion) -> Result<StoreVersion, PlanError> {
        let mut stored = self.0.lock().unwrap();
        if stored.1 != version.version {
            return Err(PlanError::Conflict);
        }
        *stored = (plan.clone(), stored.1 + 1);
        Ok(StoreVersion::without_era(stored.1))
    }
}

struct NoInstances;

#[async_trait]
impl InstanceControl for NoInstances {
    async fn send_order(&self, _: &InstanceId, _: &Address, _: &Order) -> OrderResponse {
        OrderResponse::Unanswered
    }

    async fn probe(&self, _: &InstanceId, _: &Address, _: Duration) -> bool {
        false
    }
}

struct Node {
    identity: NodeIdentity,
    tables: Arc<Tables>,
    is_alive: bool,
}

/// Who led at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Time since the cluster started.
    pub at: Duration,
    /// Nodes that led.
    pub leaders: Vec<usize>,
}

pub struct ElectionCluster {
    pub network: Arc<Network>,
    plan: Arc<SharedPlan>,
    nodes: Vec<Node>,
    rng: Pcg64Mcg,
    start: Instant,
    pub samples: Vec<Sample>,
}

impl ElectionCluster {
    /// Starts `size` nodes at about the same time.
    pub fn start(size: usize, seed: u64) -> Self {
        let network = Arc::new(Network::default());
        *network.rng.lock().unwrap() = Some(Pcg64Mcg::seed_from_u64(seed));
        let mut cluster = Self {
            network,
            plan: Arc::default(),
            nodes: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            start: Instant::now(),
            samples: Vec::new(),
        };
        for at in 0..size {
            let delay = START_SPREAD.mul_f64(cluster.rng.random::<f64>());
            let node = cluster.spawn_node(at, 1, delay);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn spawn_node(&mut self, at: usize, incarnation: Incarnation, delay: Duration) -> Node {
        let is_strong = at / DATA_CENTRES < STRONG_NODES;
        let identity = NodeIdentity {
            node: format!("n{at}"),
            address: address(at),
            incarnation,
            data_centre: format!("dc-{}", at % DATA_CENTRES),
            capacity: if is_strong { 500 } else { 120 },
        };
        let tables = tables();
        let (network, plan) = (Arc::clone(&self.network), Arc::clone(&self.plan));
        let (own, own_tables) = (identity.clone(), Arc::clone(&tables));
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        tokio::spawn(async move {
            sleep(delay).await;
            run_node(network, plan, own, own_tables, rng).await;
        });
        Node { identity, tables, is_alive: true }
    }

    /// Ends the process of a node; nobody is told.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].is_alive = false;
        self.network.inboxes.lock().unwrap().remove(&address(at));
    }

    /// Starts the process of a node that was killed.
    pub fn restart(&mut self, at: usize) {
        let incarnation = self.nodes[at].identity.incarnation + 1;
        self.nodes[at] = self.spawn_node(at, incarnation, Duration::ZERO);
    }

    /// Lets time pass, and notes who leads.
    pub async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            sleep(SAMPLE_INTERVAL).await;
            let is_leader = |n: &Node| n.is_alive && n.tables.lifecycle.lock().is_leader;
            let leaders = (0..self.nodes.len()).filter(|at| is_leader(&self.nodes[*at])).collect();
            self.samples.push(Sample { at: self.start.elapsed(), leaders });
        }
    }

    /// The node that leads, if it is one.
    pub fn leader(&self) -> Option<usize> {
        let leaders = self.samples.last().map(|s| s.leaders.as_slice());
        leaders.filter(|l| l.len() == 1).map(|l| l[0])
    }

    /// Samples from a time on in which not this node alone led.
    pub fn disputed(&self, since: Duration, leader: usize) -> Vec<&Sample> {
        let disputed = |s: &&Sample| s.at >= since && s.leaders != [leader];
        self.samples.iter().filter(disputed).collect()
    }
}

async fn run_node(
    network: Arc<Network>,
    plan: Arc<SharedPlan>,
    identity: NodeIdentity,
    tables: Arc<Tables>,
    mut rng: Pcg64Mcg,
) {
    let clock = Arc::new(VirtualClock);
    let (sender, inbox) = unbounded_channel();
    network.inboxes.lock().unwrap().insert(identity.address.clone(), sender.clone());
    {
        let mut registered = network.registered.lock().unwrap();
        if !registered.contains(&identity.address) {
            registered.push(identity.address.clone());
        }
    }
    let link = Link {
        network: Arc::clone(&network),
        own: identity.address.clone(),
        own_inbox: sender,
        inbox: AsyncMutex::new(inbox),
    };
    HeartbeatExchange::spawn(
        Arc::clone(&tables),
        Arc::new(link),
        network,
        clock.clone(),
        identity.clone(),
    );
    GroupController::spawn(
        Arc::clone(&tables),
        Arc::new(NoInstances),
        plan,
        clock,
        identity.clone(),
        EngineTimes { stall_timeout: Duration::from_secs(4), drain_time: Duration::from_secs(2) },
    );
    loop {
        let now = Instant::now().into_std();
        tables.assign_relay_roles(now, FactKind::Instances, &identity);
        tables.lifecycle.lock().instances_synced_at = Some(now);
        let (least, most) = READ_INTERVAL_MS;
        sleep(Duration::from_millis(rng.random_range(least..most))).await;
    }
}
