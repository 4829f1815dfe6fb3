//! Discrete-event simulation that compares policies in virtual time. It runs the node's own
//! admission and routing code against engines with a fixed service model.
//!
//! An engine spends 1 ms per 8 prompt tokens that are not in its prefix cache, then one step per
//! generated token, of 18 ms plus 1.5 ms for each call in its batch. A batch holds 16 calls; the
//! engine queues further ones.

use {
    crate::experiment::{ArrivalStream, CallCounts, Policies, SimulationConfig, SimulationResult},
    rand::{RngExt as _, SeedableRng as _},
    rand_pcg::Pcg64Mcg,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
    turmerictack_admission::{
        fair::FairAdmission,
        fifo::FifoAdmission,
        policy::{Admission, AdmissionRequest, EnqueueResult, RankLimits},
    },
    turmerictack_model::{ids::CallId, rank::Rank},
    turmerictack_routing::{
        picker::{AffinityPicker, PickContext, Picker, RoundRobinPicker},
        upstream_set::{AttemptResult, OpenUpstream, UpstreamSet},
    },
};

/// Maximum number of calls in an engine's batch.
pub const BATCH_LIMIT: usize = 16;

/// Target for the time to the first token of urgent and standard calls.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(570);

/// Target for the mean time between tokens.
pub const TOKEN_INTERVAL_TARGET: Duration = Duration::from_millis(55);

/// Time in s after the last arrival in which calls in progress may still finish.
const DRAIN_SECONDS: u64 = 90;

/// Number of prefixes that an engine's cache holds; the least recently used one is evicted.
const CACHED_PREFIXES: usize = 24;

type Millis = u64;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Step(usize),
    GroupLoss,
    Tick,
}

#[derive(Clone, Debug)]
struct Call {
    stream: usize,
    arrived_at: Millis,
    expires_at: Millis,
    upstream: Option<usize>,
    prefix: u64,
    prefill: Millis,
    remaining_tokens: u64,
    first_token_at: Option<Millis>,
    last_token_at: Millis,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    is_alive: bool,
    slowdown: u64,
    batch: Vec<CallId>,
    waiting: VecDeque<CallId>,
    cache: VecDeque<u64>,
    is_stepping: bool,
}

struct Simulation<'a> {
    config: &'a SimulationConfig,
    policies: Policies,
    rng: Pcg64Mcg,
    origin: Instant,
    now: Millis,
    events: BTreeSet<(Millis, u64, Event)>,
    sequence: u64,
    admission: Box<dyn Admission>,
    picker: Box<dyn Picker>,
    upstreams: UpstreamSet,
    engines: Vec<Engine>,
    calls: BTreeMap<CallId, Call>,
    next_call: CallId,
    result: SimulationResult,
}

fn queue_timeout_ms(rank: Rank) -> Millis {
    match rank {
        Rank::Urgent => 2_000,
        Rank::Standard => 5_000,
        Rank::Batch => 60_000,
    }
}

fn first_token_target(rank: Rank) -> Duration {
    match rank {
        Rank::Urgent | Rank::Standard => FIRST_TOKEN_TARGET,
        Rank::Batch => Duration::from_secs(60),
    }
}

/// Simulates a configuration under the given policies. The same seed gives the same result.
pub fn run(config: &SimulationConfig, policies: Policies) -> SimulationResult {
    let mut simulation = Simulation::new(config, policies);
    simulation.start();
    while let Some((at, _, event)) = simulation.events.pop_first() {
        if at > (config.seconds + DRAIN_SECONDS) * 1000 {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.result
}

impl<'a> Simulation<'a> {
    fn new(config: &'a SimulationConfig, policies: Policies) -> Self {
        let mut admission: Box<dyn Admission> = match policies {
            Policies::Fair => Box::new(FairAdmission::default()),
            Policies::FairLenient => Box::new(FairAdmission::lenient()),
            Policies::Baseline => Box::new(FifoAdmission::default()),
        };
        let limits = config
            .floors
            .iter()
            .map(|(rank, floor)| (*rank, RankLimits { floor_percent: *floor, queue_limit: 512 }));
        admission.set_limits(&limits.collect());
        let picker: Box<dyn Picker> = match policies {
            Policies::Baseline => Box::new(RoundRobinPicker::default()),
            _ => Box::new(AffinityPicker::new(config.seed)),
        };
        let engines = (0..config.groups).map(|g| Engine {
            is_alive: true,
            slowdown: if config.straggler == Some(g) { 4 } else { 1 },
            ..Engine::default()
        });
        Self {
            config,
            policies,
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            origin: Instant::now(),
            now: 0,
            events: BTreeSet::new(),
            sequence: 0,
            admission,
            picker,
            upstreams: UpstreamSet::default(),
            engines: engines.collect(),
            calls: BTreeMap::new(),
            next_call: 1,
            result: SimulationResult::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.origin + Duration::from_millis(self.now + 60_000)
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence, event));
    }

    fn start(&mut self) {
        self.update_upstreams(self.origin);
        for stream in 0..self.config.streams.len() {
            let from = self.config.streams[stream].active_seconds.0 * 1000;
            let first = from + self.next_interval(stream);
            self.schedule(first, Event::Arrive(stream));
        }
        if let Some((_, second)) = self.config.group_loss {
            self.schedule(second * 1000, Event::GroupLoss);
        }
        self.schedule(0, Event::Tick);
    }

    /// Time to the next arrival of a stream in ms, exponentially distributed.
    fn next_interval(&mut self, stream: usize) -> Millis {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-uniform.ln() / self.config.streams[stream].rate * 1000.0).ceil() as Millis
    }

    fn update_upstreams(&mut self, now: Instant) {
        let limit =
            if self.policies == Policies::Baseline { usize::MAX >> 16 } else { BATCH_LIMIT };
        let alive = self.engines.iter().enumerate().filter(|(_, e)| e.is_alive);
        let open_upstream = OpenUpstream { local: true, requested_at: now };
        let open = alive.map(|(g, _)| (format!("g{g:04}"), open_upstream)).collect();
        self.upstreams.set_open(now, &open, limit);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => {
                self.arrive(stream);
                let next = self.now + self.next_interval(stream);
                if next < self.config.streams[stream].active_seconds.1 * 1000 {
                    self.schedule(next, Event::Arrive(stream));
                }
            }
            Event::Step(group) => self.step(group),
            Event::GroupLoss => self.lose_groups(),
            Event::Tick => self.tick(),
        }
        self.dispatch();
    }

    fn count(&mut self, stream: usize, change: impl Fn(&mut CallCounts)) {
        let ArrivalStream { rank, caller, .. } = &self.config.streams[stream];
        change(self.result.ranks.entry(*rank).or_default());
        change(self.result.callers.entry(caller.clone()).or_default());
    }

    fn arrive(&mut self, stream_index: usize) {
        let stream = &self.config.streams[stream_index];
        let id = self.next_call;
        self.next_call += 1;
        let expires_at = self.now + queue_timeout_ms(stream.rank);
        let prefix = self.rng.random_range(0..40_u64) + 1000 * stream_index as u64;
        let request = AdmissionRequest {
            call: id,
            caller: stream.caller.clone(),
            weight: stream.weight,
            rank: stream.rank,
            cost: stream.prompt_tokens + stream.response_tokens,
            arrived_at: self.instant(),
            target_wait: first_token_target(stream.rank),
            deadline: self.instant() + Duration::from_millis(queue_timeout_ms(stream.rank)),
            preemptible: true,
        };
        let call = Call {
            stream: stream_index,
            arrived_at: self.now,
            expires_at,
            upstream: None,
            prefix,
            prefill: 0,
            remaining_tokens: stream.response_tokens,
            first_token_at: None,
            last_token_at: 0,
        };
        self.calls.insert(id, call);
        self.count(stream_index, |t| t.offered += 1);
        match self.admission.enqueue(self.instant(), request) {
            EnqueueResult::Queued { evicted } => {
                if let Some(evicted) = evicted {
                    self.reject(evicted);
                }
            }
            EnqueueResult::Refused { .. } => self.reject(id),
        }
    }

    fn reject(&mut self, id: CallId) {
        if let Some(call) = self.calls.remove(&id) {
            self.count(call.stream, |t| t.refused += 1);
        }
    }

    fn dispatch(&mut self) {
        let now = self.instant();
        self.admission.set_capacity(self.upstreams.capacity());
        let mut blocked = Vec::new();
        for id in self.admission.admit(now) {
            let Some(call) = self.calls.get(&id) else { continue };
            let context =
                PickContext { prefix_hash: Some(call.prefix), tried: &[], suspect: false };
            match self.picker.pick(self.upstreams.upstreams(), &context) {
                Some(index) => {
                    let group = self.upstreams.upstreams()[index].id[1..].parse().unwrap_or(0);
                    self.upstreams.start_call(index, false);
                    self.start_call(id, group);
                }
                None => blocked.push(id),
            }
        }
        for id in blocked {
            self.admission.requeue(now, id);
        }
        for id in self.admission.preempt(now) {
            self.result.preempted += 1;
            self.interrupt(id, AttemptResult::Inconclusive);
        }
    }

    fn start_call(&mut self, id: CallId, group: usize) {
        let engine = &mut self.engines[group];
        let Some(call) = self.calls.get_mut(&id) else { return };
        let stream = &self.config.streams[call.stream];
        let is_cached = engine.cache.contains(&call.prefix);
        let uncached_tokens =
            if is_cached { stream.prompt_tokens / 4 } else { stream.prompt_tokens };
        call.prefill = uncached_tokens.div_ceil(8) * engine.slowdown;
        call.upstream = Some(group);
        engine.cache.retain(|p| *p != call.prefix);
        engine.cache.push_back(call.prefix);
        if engine.cache.len() > CACHED_PREFIXES {
            engine.cache.pop_front();
        }
        engine.waiting.push_back(id);
        let stream_index = call.stream;
        self.count(stream_index, |t| t.cache_hits += u64::from(is_cached));
        self.schedule_step(group);
    }

    fn schedule_step(&mut self, group: usize) {
        if !self.engines[group].is_stepping && self.engines[group].is_alive {
            self.engines[group].is_stepping = true;
            self.schedule(self.now, Event::Step(group));
        }
    }

    /// Runs one step of an engine: prefill of new calls, and a token for each call in the batch.
    fn step(&mut self, group: usize) {
        let engine = &mut self.engines[group];
        engine.is_stepping = false;
        if !engine.is_alive {
            return;
        }
        let mut prefill = 0;
        while engine.batch.len() < BATCH_LIMIT {
            let Some(id) = engine.waiting.pop_front() else { break };
            if let Some(call) = self.calls.get(&id) {
                prefill += call.prefill;
                engine.batch.push(id);
            }
        }
        if engine.batch.is_empty() {
            return;
        }
        let batch = engine.batch.clone();
        let decode = (18 + batch.len() as u64 * 3 / 2) * engine.slowdown;
        let end = self.now + prefill.min(200) + decode;
        engine.is_stepping = true;
        for id in batch {
            self.emit_token(id, end);
        }
        self.schedule(end, Event::Step(group));
    }

    fn emit_token(&mut self, id: CallId, at: Millis) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.first_token_at.get_or_insert(at);
        call.last_token_at = at;
        call.remaining_tokens = call.remaining_tokens.saturating_sub(1);
        if call.remaining_tokens == 0 {
            self.finish_call(id);
        }
    }

    fn finish_call(&mut self, id: CallId) {
        let Some(call) = self.calls.remove(&id) else { return };
        let stream = &self.config.streams[call.stream];
        let (response_tokens, tokens_used) =
            (stream.response_tokens, stream.prompt_tokens + stream.response_tokens);
        let first = call.first_token_at.unwrap_or(call.last_token_at) - call.arrived_at;
        let token_interval = (call.last_token_at
            - call.first_token_at.unwrap_or(call.last_token_at))
            / response_tokens.max(2).saturating_sub(1);
        let on_target = u128::from(first) <= first_token_target(stream.rank).as_millis()
            && u128::from(token_interval) <= TOKEN_INTERVAL_TARGET.as_millis();
        if call.last_token_at <= self.config.seconds * 1000 {
            self.result.tokens_in_time += response_tokens;
        }
        self.count(call.stream, |t| {
            t.served += 1;
            t.on_target += u64::from(on_target);
            t.tokens += response_tokens;
        });
        let chunk_interval = Duration::from_millis(token_interval);
        self.remove_from_engine(
            id,
            &call,
            AttemptResult::Succeeded { chunk_interval: Some(chunk_interval) },
        );
        self.admission.finish(self.instant(), id, tokens_used);
    }

    fn remove_from_engine(&mut self, id: CallId, call: &Call, result: AttemptResult) {
        let Some(group) = call.upstream else { return };
        let engine = &mut self.engines[group];
        engine.batch.retain(|c| *c != id);
        engine.waiting.retain(|c| *c != id);
        self.upstreams.end_call(self.instant(), &format!("g{group:04}"), false, result);
    }

    /// Removes a call from its engine and queues it again; it resumes with its remaining tokens.
    fn interrupt(&mut self, id: CallId, result: AttemptResult) {
        let Some(mut call) = self.calls.remove(&id) else { return };
        self.remove_from_engine(id, &call, result);
        call.upstream = None;
        call.expires_at = self.now + queue_timeout_ms(self.config.streams[call.stream].rank);
        self.calls.insert(id, call);
        self.admission.requeue(self.instant(), id);
    }

    fn lose_groups(&mut self) {
        let count = self.config.group_loss.map_or(0, |(count, _)| count);
        for group in 0..count {
            let engine = &mut self.engines[group];
            engine.is_alive = false;
            let interrupted: Vec<CallId> =
                engine.batch.iter().chain(&engine.waiting).copied().collect();
            for id in interrupted {
                self.interrupt(id, AttemptResult::Failed);
            }
        }
        self.update_upstreams(self.instant());
    }

    /// Runs every 100 ms: updates limits, drops expired calls, samples the slots used by each rank.
    fn tick(&mut self) {
        self.update_upstreams(self.instant());
        let now = self.now;
        let is_expired = |c: &Call| c.upstream.is_none() && c.expires_at <= now;
        let expired: Vec<CallId> =
            self.calls.iter().filter(|(_, c)| is_expired(c)).map(|(id, _)| *id).collect();
        for id in expired {
            self.admission.cancel(id);
            if let Some(call) = self.calls.remove(&id) {
                self.count(call.stream, |t| t.expired += 1);
            }
        }
        let has_work = |r: &Rank| self.admission.waiting(*r) > 0;
        if Rank::ALL.iter().all(has_work) {
            for rank in Rank::ALL {
                let slot_ms = self.admission.in_flight(rank) as u64 * 100;
                *self.result.slot_ms.entry(rank).or_default() += slot_ms;
            }
        }
        self.schedule(now + 100, Event::Tick);
    }
}
