//! What the tasks of a node share: tables behind locks in the order of [`LockRank`].

use {
    crate::{
        config::Config,
        directory::{Directory, PoolKey, Upstream},
        load::{LoadTracker, Selection, UpstreamOutcome},
        membership::PeerTable,
        queue::{Admission, Queues, SchedulingParams, Ticket},
        response_time::ResponseTimes,
        retry_budget::{RetryBudget, RetryBudgetConfig},
    },
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
    turmerictack_model::{
        ids::{DataCentre, InstanceId},
        table::{LockRank, Table},
    },
    turmerictack_routing::quarantine::Quarantine,
};

/// Time after its last answer for which the view of the instances is fresh enough to act on.
const INSTANCE_VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    /// Upstreams that failed it.
    pub excluded: Vec<InstanceId>,
    /// Takes the upstream that it got.
    pub assignment: oneshot::Sender<Arc<Upstream>>,
}

/// Load, and the random numbers that placing draws.
#[derive(Debug)]
pub struct Balancer {
    /// Load by upstream.
    pub loads: LoadTracker,
    /// How long upstreams take.
    pub response_times: ResponseTimes,
    /// Random numbers.
    pub rng: Pcg64Mcg,
}

/// State of the node itself.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// Whether it is about to stop.
    pub draining: bool,
    /// Whether it is in charge of the groups.
    pub is_leader: bool,
    /// When the store last answered the question for instances.
    pub instances_synced_at: Option<Instant>,
}

/// Everything that tasks share.
#[derive(Debug)]
pub struct Tables {
    /// Accepted configuration.
    pub config: Table<Option<Arc<Config>>>,
    /// Other nodes.
    pub peers: Table<PeerTable>,
    /// Instances.
    pub directory: Table<Directory>,
    /// Load.
    pub balancer: Table<Balancer>,
    /// Waiting requests.
    pub queues: Table<Queues<Waiter>>,
    /// Requests that end upstreams.
    pub quarantine: Table<Quarantine>,
    /// Repeated sends.
    pub retry_budget: Table<RetryBudget>,
    /// The node itself.
    pub lifecycle: Table<Lifecycle>,
}

/// What became of the wish for an upstream.
#[derive(Debug)]
pub enum Placement {
    /// It has one.
    Assigned(Arc<Upstream>),
    /// It waits.
    Queued(Ticket, oneshot::Receiver<Arc<Upstream>>),
    /// It would wait too long.
    WaitTooLong(Duration),
    /// Every upstream has failed it, or too many wait.
    Unavailable,
}

impl Tables {
    /// Empty tables; `seed` starts the random numbers.
    pub fn new(seed: u64, retry_budget: RetryBudgetConfig) -> Self {
        let balancer = Balancer {
            loads: LoadTracker::default(),
            response_times: ResponseTimes::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            config: Table::new(LockRank::Settings, None),
            peers: Table::new(LockRank::Members, PeerTable::default()),
            directory: Table::new(LockRank::Groups, Directory::default()),
            balancer: Table::new(LockRank::Upstreams, balancer),
            queues: Table::new(LockRank::Admission, Queues::new()),
            quarantine: Table::new(LockRank::Quarantine, Quarantine::default()),
            retry_budget: Table::new(LockRank::Repeats, RetryBudget::new(retry_budget)),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
        }
    }

    /// Accepted configuration, if there is one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().clone()
    }

    /// Takes over a newer configuration; gives whether it was newer.
    pub fn update_config(&self, config: Config) -> bool {
        let mut current = self.config.lock();
        if current.as_ref().is_some_and(|c| c.revision >= config.revision) {
            return false;
        }
        *current = Some(Arc::new(config));
        true
    }

    /// Derives upstreams after a change of instances or configuration.
    pub fn rebuild_upstreams(&self, now: Instant) {
        let Some(config) = self.config() else { return };
        let mut directory = self.directory.lock();
        directory.rebuild_pools(now, &config);
        let upstreams = Arc::clone(directory.pools());
        let mut balancer = self.balancer.lock();
        let keys: BTreeSet<_> = upstreams.values().flatten().map(|t| t.key).collect();
        balancer.loads.retain(&|key| keys.contains(&key));
        drop(balancer);
        drop(directory);
        self.dispatch_all_waiting(now);
    }

    /// Whether the view of the instances is fresh enough to act on.
    pub fn has_fresh_view(&self, now: Instant) -> bool {
        self.lifecycle.lock().instances_synced_at.is_some_and(|at| now < at + INSTANCE_VIEW_TIMEOUT)
    }

    /// Takes an upstream for a request, or a place in the queue.
    pub fn place(
        &self,
        now: Instant,
        pool: &PoolKey,
        params: SchedulingParams,
        excluded: &[InstanceId],
        data_centre: &DataCentre,
    ) -> Placement {
        let upstreams = Arc::clone(self.directory.lock().pools());
        let upstreams = upstreams.get(pool).map_or(&[][..], |t| t.as_slice());
        let mut balancer = self.balancer.lock();
        let mut queues = self.queues.lock();
        let queue = queues.entry(pool.clone()).or_default();
        if queue.is_empty() || !excluded.is_empty() {
            let Balancer { loads, rng, .. } = &mut *balancer;
            match loads.select(
                now,
                upstreams,
                excluded,
                data_centre,
                params.reserved_share(now),
                rng,
            ) {
                Selection::Upstream(upstream) => {
                    loads.acquire(now, &upstream);
                    queue.record_dispatch(now, &params);
                    return Placement::Assigned(upstream);
                }
                Selection::NoCandidate if !excluded.is_empty() => return Placement::Unavailable,
                Selection::NoCandidate | Selection::Saturated => {}
            }
        }
        match queue.admit(now, &params) {
            Admission::Queued => {
                let (assignment, assigned) = oneshot::channel();
                let ticket = queue.push(params, Waiter { excluded: excluded.to_vec(), assignment });
                Placement::Queued(ticket, assigned)
            }
            Admission::WaitTooLong { expected_wait } => Placement::WaitTooLong(expected_wait),
            Admission::QueueFull => Placement::Unavailable,
        }
    }

    /// Whether the streams of an upstream stand still while another one has room.
    pub fn should_fail_over(
        &self,
        now: Instant,
        pool: &PoolKey,
        upstream: &Upstream,
        excluded: &[InstanceId],
    ) -> bool {
        let upstreams = Arc::clone(self.directory.lock().pools());
        let upstreams = upstreams.get(pool).map_or(&[][..], |t| t.as_slice());
        let balancer = self.balancer.lock();
        // An upstream that stalls is not sound, so it is not taken for the other one.
        balancer.loads.is_stalled(now, upstream.key)
            && balancer.loads.has_capacity(now, upstreams, excluded)
    }

    /// Gives up waiting.
    pub fn cancel_wait(&self, pool: &PoolKey, ticket: Ticket) {
        if let Some(queue) = self.queues.lock().get_mut(pool) {
            queue.remove(ticket);
        }
    }

    /// Gives free places to waiting requests of every kind.
    pub fn dispatch_all_waiting(&self, now: Instant) {
        let pools: Vec<PoolKey> = {
            let queues = self.queues.lock();
            queues.iter().filter(|(_, q)| !q.is_empty()).map(|(k, _)| k.clone()).collect()
        };
        for pool in pools {
            self.dispatch_waiting(now, &pool);
        }
    }

    /// Gives free places to waiting requests, the first in order first.
    pub fn dispatch_waiting(&self, now: Instant, pool: &PoolKey) {
        let upstreams = Arc::clone(self.directory.lock().pools());
        let upstreams = upstreams.get(pool).map_or(&[][..], |t| t.as_slice());
        let mut balancer = self.balancer.lock();
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(pool) else { return };
        let Balancer { loads, rng, .. } = &mut *balancer;
        while let Some((ticket, params, waiter)) = queue.peek(now) {
            let selection =
                loads.select(now, upstreams, &waiter.excluded, "", params.reserved_share(now), rng);
            let Selection::Upstream(upstream) = selection else { return };
            let Some(waiter) = queue.remove(ticket) else { return };
            loads.acquire(now, &upstream);
            if let Err(upstream) = waiter.assignment.send(upstream) {
                loads.release(now, upstream.key, UpstreamOutcome::Inconclusive);
                continue;
            }
            queue.record_dispatch(now, &params);
        }
    }
}
