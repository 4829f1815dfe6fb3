//! Nodes and instances with broken paths between them, in virtual time.

use {
    super::tables,
    async_trait::async_trait,
    std::{
        collections::{BTreeMap, BTreeSet},
        io,
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        io::duplex,
        time::{sleep, timeout},
    },
    turmerictack_model::{
        clock::Clock,
        ids::{Address, InstanceId, NodeId},
    },
    turmerictack_serving::{
        interfaces::{ByteStream, Dialer, PathObserver, StreamPath, TunnelDialer, TunnelError},
        membership::{LeaderStatus, PeerReach},
        paths::{
            PathLoss,
            dialer::{DialContext, PathDialer},
        },
        relay::source::RelayCandidate,
        tables::Tables,
    },
    turmerictack_telemetry::registry::Registry,
};

/// Time after which a connection request that was lost is sent again, as TCP does.
const SYN_RETRANSMIT: Duration = Duration::from_secs(1);

/// Time that a peer gives a dial for another node.
const PEER_DIAL_TIMEOUT: Duration = Duration::from_millis(300);

/// Time in which connections open, and refusals arrive.
const ROUND_TRIP: Duration = Duration::from_millis(1);

/// Time for which the connection pool waits for a dial.
const POOL_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens to connection requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// They are refused.
    Refuse,
    /// They are reset.
    Reset,
    /// They are lost.
    Hang,
    /// The next one is lost.
    LoseOne,
}

/// Faults of paths and instances, and what happened.
#[derive(Default)]
pub struct Network {
    paths: Mutex<BTreeMap<(usize, InstanceId), Fault>>,
    instances: Mutex<BTreeMap<InstanceId, Fault>>,
    delays: Mutex<BTreeMap<(usize, InstanceId), Duration>>,
    lost_nodes: Mutex<BTreeSet<usize>>,
    /// Tunnels that each peer was asked for.
    pub asked: Mutex<BTreeMap<usize, usize>>,
    /// Direct dials of each node, for itself or for others.
    pub direct_dials: Mutex<BTreeMap<usize, usize>>,
}

impl Network {
    pub fn cut(&self, node: usize, instances: &[&str], fault: Fault) {
        let mut paths = self.paths.lock().unwrap();
        paths.extend(instances.iter().map(|id| ((node, (*id).to_owned()), fault)));
    }

    pub fn mend(&self, node: usize) {
        self.paths.lock().unwrap().retain(|(at, _), _| *at != node);
    }

    /// Sets the time in which connections from a node to an instance open.
    pub fn delay(&self, node: usize, instance: &str, delay: Duration) {
        self.delays.lock().unwrap().insert((node, instance.to_owned()), delay);
    }

    pub fn fail_instance(&self, instance: &str, fault: Fault) {
        self.instances.lock().unwrap().insert(instance.to_owned(), fault);
    }

    pub fn restore_instance(&self, instance: &str) {
        self.instances.lock().unwrap().remove(instance);
    }

    pub fn lose_node(&self, node: usize) {
        self.lost_nodes.lock().unwrap().insert(node);
    }

    /// Number of tunnels that peers were asked for so far.
    pub fn asked_total(&self) -> usize {
        self.asked.lock().unwrap().values().sum()
    }

    fn fault(&self, node: usize, instance: &InstanceId) -> Option<Fault> {
        if let Some(fault) = self.instances.lock().unwrap().get(instance) {
            return Some(*fault);
        }
        let mut paths = self.paths.lock().unwrap();
        let key = (node, instance.clone());
        let fault = paths.get(&key).copied();
        if fault == Some(Fault::LoseOne) {
            paths.remove(&key);
        }
        fault
    }

    async fn dial(&self, node: usize, instance: &InstanceId) -> io::Result<Box<dyn ByteStream>> {
        *self.direct_dials.lock().unwrap().entry(node).or_default() += 1;
        loop {
            match self.fault(node, instance) {
                None => break,
                Some(Fault::Hang | Fault::LoseOne) => sleep(SYN_RETRANSMIT).await,
                Some(Fault::Refuse) => {
                    sleep(ROUND_TRIP).await;
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                Some(Fault::Reset) => {
                    sleep(ROUND_TRIP).await;
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
            }
        }
        let delay = self.delays.lock().unwrap().get(&(node, instance.clone())).copied();
        sleep(delay.unwrap_or(ROUND_TRIP)).await;
        Ok(Box::new(duplex(64).0))
    }
}

struct DirectDialer {
    network: Arc<Network>,
    node: usize,
}

#[async_trait]
impl Dialer for DirectDialer {
    async fn dial(
        &self,
        instance: &InstanceId,
        _address: &Address,
    ) -> io::Result<Box<dyn ByteStream>> {
        self.network.dial(self.node, instance).await
    }
}

struct Tunnels(Arc<Network>);

#[async_trait]
impl TunnelDialer for Tunnels {
    async fn dial_through(
        &self,
        peer: &Address,
        instance: &InstanceId,
        _address: &Address,
    ) -> Result<Box<dyn ByteStream>, TunnelError> {
        let node = (0..250).find(|at| super::address(*at) == *peer).unwrap();
        *self.0.asked.lock().unwrap().entry(node).or_default() += 1;
        if self.0.lost_nodes.lock().unwrap().contains(&node) {
            sleep(PEER_DIAL_TIMEOUT).await;
            return Err(TunnelError::PeerUnreachable);
        }
        sleep(ROUND_TRIP).await;
        match timeout(PEER_DIAL_TIMEOUT, self.0.dial(node, instance)).await {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(_)) => Err(TunnelError::Refused),
            Err(_) => Err(TunnelError::Unreachable),
        }
    }
}

/// Clock that follows the virtual time.
#[derive(Default)]
pub struct VirtualClock;

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Remembers what the dialer told.
#[derive(Default)]
pub struct Observer {
    pub lost: Mutex<Vec<(InstanceId, PathLoss)>>,
    pub restored: Mutex<Vec<InstanceId>>,
}

impl PathObserver for Observer {
    fn path_lost(&self, instance: &InstanceId, how: PathLoss) {
        self.lost.lock().unwrap().push((instance.clone(), how));
    }

    fn path_restored(&self, instance: &InstanceId) {
        self.restored.lock().unwrap().push(instance.clone());
    }
}

/// One node with its dialer.
pub struct PathNode {
    pub at: usize,
    pub tables: Arc<Tables>,
    pub dialer: Arc<PathDialer>,
    pub observer: Arc<Observer>,
}

impl PathNode {
    pub fn new(network: &Arc<Network>, at: usize) -> Self {
        let tables = tables();
        let context = DialContext {
            tables: Arc::clone(&tables),
            clock: Arc::new(VirtualClock),
            metrics: Arc::new(Registry::default().client()),
            data_centre: data_centre(at),
        };
        let direct = Arc::new(DirectDialer { network: Arc::clone(network), node: at });
        let dialer = PathDialer::new(direct, Arc::new(Tunnels(Arc::clone(network))), context);
        let observer = Arc::new(Observer::default());
        let told: Arc<dyn PathObserver> = observer.clone();
        dialer.set_observer(Arc::downgrade(&told));
        Self { at, tables, dialer: Arc::new(dialer), observer }
    }

    /// Dials like a connection pool and says by which path the connection was opened.
    pub async fn dial(&self, instance: &str) -> io::Result<StreamPath> {
        let (instance, address) = (instance.to_owned(), "127.0.0.1:1".to_owned());
        let dial = self.dialer.dial_path(&instance, &address);
        match timeout(POOL_TIMEOUT, dial).await {
            Ok(result) => result.map(|dialled| dialled.path),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    pub async fn refuses_connections(&self, instance: &str) -> bool {
        let (instance, address) = (instance.to_owned(), "127.0.0.1:1".to_owned());
        self.dialer.refuses_connections(&instance, &address).await
    }

    /// Receives the heartbeats of peers, and expires what is old.
    pub fn hear(&self, peers: &[(usize, PeerReach)]) {
        let now = VirtualClock.now();
        {
            let mut table = self.tables.peers.lock();
            for (at, reach) in peers.iter().filter(|(at, _)| *at != self.at) {
                let (node, address) = (NodeId::from(format!("n{at}")), super::address(*at));
                table.record_heartbeat(now, &node, &address, 1, LeaderStatus::default());
                let data_centre = data_centre(*at);
                table.record_candidate(&node, RelayCandidate { address, data_centre, capacity: 1 });
                table.record_reach(&node, *reach);
            }
        }
        self.tables.expire_reports(now);
    }

    /// Receives heartbeats of sound peers.
    pub fn hear_sound(&self, nodes: usize) {
        let peers: Vec<_> = (0..nodes).map(|at| (at, PeerReach::default())).collect();
        self.hear(&peers);
    }

    pub fn reach(&self) -> PeerReach {
        let lacks_paths = self.tables.paths.lock().lacks_paths(VirtualClock.now());
        PeerReach { is_leaving: false, lacks_paths }
    }

    pub fn is_isolated(&self) -> bool {
        self.tables.paths.lock().is_isolated(VirtualClock.now())
    }
}

/// Data centre of a node; the nodes take turns in three of them.
pub fn data_centre(node: usize) -> String {
    format!("dc-{}", node % 3 + 1)
}
