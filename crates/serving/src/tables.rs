//! State shared by the tasks of a node: tables behind locks in the order of [`LockRank`].

use {
    crate::{
        allowance::ColdBound,
        config::Config,
        config_state::{ConfigState, KeyFreshness},
        directory::{Directory, PoolKey, Upstream},
        in_flight::RequestsInFlight,
        load::{LoadTracker, Selection, UpstreamOutcome},
        membership::PeerTable,
        pace::update_paces,
        paths::PathTable,
        queue::{Admission, Queues, SchedulingParams, Ticket},
        relay::{FactKind, board::FactBoard},
        response_time::{ResponseDurations, ResponseTimes},
        retry_budget::{RetryBudget, RetryBudgetConfig},
        shutdown::Shutdown,
    },
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Notify, oneshot},
    turmerictack_model::{
        ids::{DataCentre, InstanceId, PromptParts},
        store_version::StoreVersion,
        table::{LockRank, Table},
    },
    turmerictack_routing::crash_records::{CrashRecords, RunState, UpstreamRun},
    turmerictack_telemetry::logs,
};

/// Time since the last response of the store for which the view of the instances counts as fresh.
const INSTANCE_VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// Factor on the expected wait for a rate, as the shares of the nodes change in the meantime.
const RATE_WAIT_MARGIN: f64 = 1.5;

/// A queued request.
#[derive(Debug)]
pub struct Waiter {
    /// Upstreams that failed or rejected the request.
    pub excluded: Vec<InstanceId>,
    /// Sends the assigned upstream to the waiting task; dropped if all upstreams are evacuated.
    pub assignment: oneshot::Sender<Arc<Upstream>>,
}

/// Inputs for choosing an upstream.
#[derive(Debug)]
pub struct Balancer {
    /// Load and health by upstream.
    pub loads: LoadTracker,
    /// Response times by pool.
    pub response_times: ResponseTimes,
    /// Durations of responses by pool.
    pub response_durations: ResponseDurations,
    /// Random number generator for the choice of services and upstreams.
    pub rng: Pcg64Mcg,
}

/// State of the node itself.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// Whether it is shutting down.
    pub draining: bool,
    /// Schedule of the shutdown, once it has begun.
    pub shutdown: Option<Shutdown>,
    /// Whether it leads group control.
    pub is_leader: bool,
    /// Time at which the store, or a relay that is up to date, last answered a read of the
    /// instances.
    pub instances_synced_at: Option<Instant>,
    /// Whether this node learns of the instances from relays instead of the store.
    pub follows_relays: bool,
}

/// All shared state of a node.
#[derive(Debug)]
pub struct Tables {
    /// Accepted configuration.
    pub config: Table<ConfigState>,
    /// Other nodes.
    pub peers: Table<PeerTable>,
    /// Listed instances and upstream pools.
    pub directory: Table<Directory>,
    /// Load and health of upstreams.
    pub balancer: Table<Balancer>,
    /// Queued requests.
    pub queues: Table<Queues<Waiter>>,
    /// Requests in flight.
    pub in_flight: Table<RequestsInFlight>,
    /// Crashes of upstreams, and what is quarantined because of them.
    pub crashes: Table<CrashRecords>,
    /// Budget for retries.
    pub retry_budget: Table<RetryBudget>,
    /// Direct paths to instances.
    pub paths: Table<PathTable>,
    /// State of the node itself.
    pub lifecycle: Table<Lifecycle>,
    /// Notifies waiting requests when a shutdown begins.
    pub(crate) shutdown_began: Notify,
    /// Objects of the store, as this node passes them on to others.
    pub facts: FactBoard,
}

/// Result of placing a request.
#[derive(Debug)]
pub enum Placement {
    /// An upstream, with a slot taken there.
    Assigned(Arc<Upstream>),
    /// Queued; the receiver gets the upstream.
    Queued(Ticket, oneshot::Receiver<Arc<Upstream>>),
    /// The expected wait, given here, exceeds the limit.
    WaitTooLong(Duration),
    /// Every upstream has failed the request, or the queue is full.
    Unavailable,
    /// All upstreams are in evacuated data centres.
    Evacuated,
}

impl Tables {
    /// Creates empty tables; `seed` initializes the random number generator.
    pub fn new(seed: u64, retry_budget: RetryBudgetConfig) -> Self {
        let balancer = Balancer {
            loads: LoadTracker::default(),
            response_times: ResponseTimes::default(),
            response_durations: ResponseDurations::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            config: Table::new(LockRank::Settings, ConfigState::new(None)),
            peers: Table::new(LockRank::Members, PeerTable::default()),
            directory: Table::new(LockRank::Groups, Directory::default()),
            balancer: Table::new(LockRank::Upstreams, balancer),
            queues: Table::new(LockRank::Admission, Queues::new()),
            in_flight: Table::new(LockRank::Calls, RequestsInFlight::default()),
            crashes: Table::new(LockRank::Crashes, CrashRecords::default()),
            retry_budget: Table::new(LockRank::RetryBudget, RetryBudget::new(retry_budget)),
            paths: Table::new(LockRank::Paths, PathTable::default()),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
            shutdown_began: Notify::new(),
            facts: FactBoard::default(),
        }
    }

    /// Sets the time within which a revoked key has to stop working even at a node that is out of
    /// touch with the store; see [`ConfigState::new`].
    pub fn with_revocation_bound(mut self, revocation_bound: Option<Duration>) -> Self {
        self.config = Table::new(LockRank::Settings, ConfigState::new(revocation_bound));
        self
    }

    /// Sets how far the requests to cold upstreams may exceed their rate.
    pub fn with_cold_bound(self, bound: ColdBound) -> Self {
        self.balancer.lock().loads.allowances.set_cold_bound(bound);
        self
    }

    /// Begins to shut the node down.
    pub fn begin_shutdown(&self, shutdown: Shutdown) {
        {
            let mut lifecycle = self.lifecycle.lock();
            lifecycle.draining = true;
            lifecycle.shutdown = Some(shutdown);
        }
        self.shutdown_began.notify_waiters();
    }

    /// Drops what peers reported and have not confirmed in time, and crashes that no longer count.
    ///
    /// It is called at each interval of heartbeats: a node that is left alone receives none.
    pub fn expire_reports(&self, now: Instant) {
        let heartbeat_timeout = self.peers.lock().heartbeat_timeout();
        self.balancer.lock().loads.expire_peer_loads(now, heartbeat_timeout);
        self.update_rate_shares(now, heartbeat_timeout);
        self.begin_pace_interval(now, heartbeat_timeout);
        self.update_crashes(|crashes| crashes.expire(now));
        self.expire_paths(now);
    }

    /// Accepted configuration, if any.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().current().cloned()
    }

    /// Replaces the configuration; returns `false` if `config` is not newer.
    pub fn update_config(&self, config: Config) -> bool {
        self.config.lock().accept(config)
    }

    /// Takes the configuration that the store shows; see [`ConfigState::offer`].
    pub fn offer_config(&self, now: Instant, config: Config, version: StoreVersion) -> bool {
        let era_start = self.facts.with(FactKind::Configuration, |facts| facts.era_start());
        self.config.lock().offer(now, config, version, era_start)
    }

    /// Whether requests with an API key may be sent now.
    pub fn key_freshness(&self, now: Instant) -> KeyFreshness {
        self.config.lock().key_freshness(now)
    }

    /// Rebuilds the upstream pools after a change of instances or configuration.
    pub fn rebuild_upstreams(&self, now: Instant) {
        self.rebuild_upstreams_after(now, |_| ());
    }

    /// Changes the directory and rebuilds the upstream pools in one step.
    pub(crate) fn rebuild_upstreams_after<R>(
        &self,
        now: Instant,
        change: impl FnOnce(&mut Directory) -> R,
    ) -> R {
        let config = self.config();
        let mut directory = self.directory.lock();
        let result = change(&mut directory);
        let Some(config) = config else { return result };
        directory.rebuild_pools(now, &config);
        let pools = Arc::clone(directory.pools());
        let cold = directory.cold_periods(now, &config);
        let mut balancer = self.balancer.lock();
        let keys: BTreeSet<_> = pools.values().flatten().map(|u| u.key).collect();
        balancer.loads.retain(&|key| keys.contains(&key));
        balancer.loads.allowances.set_listed(now, &pools);
        let cold_changes = balancer.loads.allowances.set_cold(now, &cold);
        update_paces(now, &config, &directory, &mut balancer);
        drop(balancer);
        self.update_crashes(|crashes| crashes.apply_states(now, |run| run_state(&directory, run)));
        drop(directory);
        self.apply_cold_changes(now, &cold_changes);
        self.refuse_evacuated();
        self.dispatch_all_waiting(now);
        result
    }

    /// Takes no more requests to an upstream that is about to be stopped; returns `false` if that was
    /// known.
    pub fn mark_leaving(&self, now: Instant, upstream: &Upstream) -> bool {
        let is_new = self.directory.lock().mark_leaving(&upstream.instance, upstream.started_ms);
        if is_new {
            self.rebuild_upstreams(now);
        }
        is_new
    }

    /// Whether the view of the instances is recent enough to act on.
    pub fn has_fresh_view(&self, now: Instant) -> bool {
        self.lifecycle.lock().instances_synced_at.is_some_and(|at| now < at + INSTANCE_VIEW_TIMEOUT)
    }

    /// Whether this node watches the instances in the store itself.
    pub fn watches_store(&self) -> bool {
        !self.lifecycle.lock().follows_relays
    }

    /// Whether the view of the instances is recent and this node's own, as leading requires.
    pub fn has_own_fresh_view(&self, now: Instant) -> bool {
        self.has_fresh_view(now) && self.watches_store()
    }

    /// Updates the records of crashes, and logs what is quarantined if `update` returns `true`.
    pub(crate) fn update_crashes(&self, update: impl FnOnce(&mut CrashRecords) -> bool) {
        let mut crashes = self.crashes.lock();
        if update(&mut crashes) {
            let format =
                |q: &[PromptParts]| q.iter().map(format_parts).collect::<Vec<_>>().join(",");
            logs::event("quarantine_changed")
                .with("prompts", format(crashes.prompts.quarantined()))
                .with("requests", format(crashes.requests.quarantined()))
                .info();
        }
    }

    /// Takes a slot at an upstream for a request, or queues it.
    pub fn place(
        &self,
        now: Instant,
        pool: &PoolKey,
        params: SchedulingParams,
        excluded: &[InstanceId],
        data_centre: &DataCentre,
    ) -> Placement {
        let directory = self.directory.lock();
        let is_evacuated = directory.is_pool_evacuated(pool);
        if is_evacuated && !params.is_resumption {
            return Placement::Evacuated;
        }
        let pools = Arc::clone(directory.pools());
        let upstreams = pools.get(pool).map_or(&[][..], |u| u.as_slice());
        let mut balancer = self.balancer.lock();
        let mut queues = self.queues.lock();
        let queue = queues.entry(pool.clone()).or_default();
        if excluded.is_empty() {
            balancer.loads.allowances.record_demand(now, upstreams);
        }
        if queue.is_empty() || !excluded.is_empty() {
            let Balancer { loads, rng, .. } = &mut *balancer;
            let reserved_share = params.reserved_share(now);
            match loads.select(now, upstreams, excluded, data_centre, reserved_share, rng) {
                Selection::Upstream(upstream) => {
                    loads.acquire(now, &upstream, params.prompt_tokens);
                    queue.record_dispatch(now, &params);
                    loads.paces.record_demand(now, pool, false);
                    return Placement::Assigned(upstream);
                }
                Selection::NoCandidate if !excluded.is_empty() && !is_evacuated => {
                    return Placement::Unavailable;
                }
                Selection::NoCandidate | Selection::Saturated => {}
            }
        }
        balancer.loads.paces.record_demand(now, pool, true);
        let resumes_at = balancer.loads.earliest_resume(now, upstreams, excluded);
        if let Some(resumes_at) = resumes_at.filter(|at| *at > params.expires_at) {
            return Placement::WaitTooLong(resumes_at.saturating_duration_since(now));
        }
        let candidates = upstreams.iter().filter(|u| !excluded.contains(&u.instance));
        let limits = &balancer.loads.allowances;
        let limited_wait = limits.expected_wait(now, candidates.map(Arc::as_ref), queue.len());
        let admission = match limited_wait {
            Some(wait) if now + wait.mul_f64(RATE_WAIT_MARGIN) > params.expires_at => {
                Admission::WaitTooLong { expected_wait: wait }
            }
            Some(wait) => queue.admit_for(now, &params, wait),
            None => queue.admit(now, &params),
        };
        match admission {
            Admission::Queued => {
                let (assignment, assigned) = oneshot::channel();
                let ticket = queue.push(params, Waiter { excluded: excluded.to_vec(), assignment });
                Placement::Queued(ticket, assigned)
            }
            Admission::WaitTooLong { expected_wait } => Placement::WaitTooLong(expected_wait),
            Admission::QueueFull => Placement::Unavailable,
        }
    }

    /// Whether an upstream, or the stream of one request there, is stalled while another upstream can
    /// take a request that leaves `reserved_share` of the slots free.
    pub fn should_fail_over(
        &self,
        now: Instant,
        pool: &PoolKey,
        upstream: &Upstream,
        excluded: &[InstanceId],
        reserved_share: f64,
        has_stalled: bool,
    ) -> bool {
        let pools = Arc::clone(self.directory.lock().pools());
        let upstreams = pools.get(pool).map_or(&[][..], |u| u.as_slice());
        let balancer = self.balancer.lock();
        let excluded: Vec<InstanceId> =
            excluded.iter().chain([&upstream.instance]).cloned().collect();
        (has_stalled || balancer.loads.is_stalled(now, upstream.key))
            && balancer.loads.has_capacity(now, upstreams, &excluded, reserved_share)
    }

    /// Removes a request from its queue.
    pub fn cancel_wait(&self, pool: &PoolKey, ticket: Ticket) {
        if let Some(queue) = self.queues.lock().get_mut(pool) {
            queue.remove(ticket);
        }
    }

    /// Assigns free slots to queued requests of every pool.
    pub fn dispatch_all_waiting(&self, now: Instant) {
        let pools: Vec<PoolKey> = {
            let queues = self.queues.lock();
            queues.iter().filter(|(_, q)| !q.is_empty()).map(|(k, _)| k.clone()).collect()
        };
        for pool in pools {
            self.dispatch_waiting(now, &pool);
        }
    }

    /// Assigns free slots to the queued requests of a pool, in queue order.
    pub fn dispatch_waiting(&self, now: Instant, pool: &PoolKey) {
        let pools = Arc::clone(self.directory.lock().pools());
        let upstreams = pools.get(pool).map_or(&[][..], |u| u.as_slice());
        let mut balancer = self.balancer.lock();
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(pool) else { return };
        let Balancer { loads, rng, .. } = &mut *balancer;
        let all = upstreams.iter().map(Arc::as_ref);
        // A request that was queued for a rate has been promised its turn.
        let is_limited = loads.allowances.expected_wait(now, all, 0).is_some();
        while let Some((ticket, params, waiter)) =
            if is_limited { queue.peek_oldest() } else { queue.peek(now) }
        {
            let selection =
                loads.select(now, upstreams, &waiter.excluded, "", params.reserved_share(now), rng);
            let Selection::Upstream(upstream) = selection else { return };
            let Some(waiter) = queue.remove(ticket) else { return };
            loads.acquire(now, &upstream, params.prompt_tokens);
            if let Err(upstream) = waiter.assignment.send(upstream) {
                loads.record_prompt_read(upstream.key, params.prompt_tokens);
                loads.release(now, upstream.key, UpstreamOutcome::Inconclusive);
                loads.allowances.cancel_send(now, &upstream);
                continue;
            }
            queue.record_dispatch(now, &params);
        }
    }
}

/// What the list of instances says about a run of an upstream.
///
/// An instance that is no longer listed may go on running, cut off from the store.
fn run_state(directory: &Directory, run: &UpstreamRun) -> RunState {
    match directory.get(&run.upstream) {
        Some(instance) if instance.started_ms != run.started_ms => RunState::Restarted,
        Some(instance) if directory.is_leaving(&run.upstream, instance) => RunState::Leaving,
        Some(_) | None => RunState::Running,
    }
}

/// Parts of a prompt for the log.
pub(crate) fn format_parts(parts: &PromptParts) -> String {
    parts.iter().map(|part| format!("{part:x}")).collect::<Vec<_>>().join("+")
}
