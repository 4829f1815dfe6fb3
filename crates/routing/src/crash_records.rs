//! Crashes of upstreams, and the requests that may have caused them.
//!
//! A connection is also lost when an upstream that goes on running closes it. A loss is therefore
//! kept until there is evidence of a crash: the address of the upstream refuses connections, or the
//! upstream has started again. Without evidence it is forgotten after [`EVIDENCE_TIMEOUT`].

use {
    crate::{
        UpstreamId,
        crash_quarantine::{CrashKey, CrashQuarantine, CrashUpdates},
    },
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    turmerictack_model::{
        digest::hash64,
        ids::{PromptPartId, PromptParts},
    },
};

/// Time after a lost connection within which a crash of the upstream is put down to its request.
pub const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(6);

/// Largest number of upstreams with lost connections that are kept.
const MAX_LOSSES: usize = 256;

/// Largest number of requests kept for one of them.
const MAX_SUSPECTS_PER_LOSS: usize = 32;

/// A run of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamRun {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

impl UpstreamRun {
    /// Identifies a crash that ends this run.
    pub fn crash_key(&self) -> CrashKey {
        hash64(&[self.upstream.as_bytes(), &self.started_ms.to_be_bytes()])
    }
}

/// A request that may have crashed its upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Suspect {
    /// Parts of its prompt that other prompts may have in common; none if the upstream had answered
    /// the prompt.
    pub prompt: PromptParts,
    /// Hash of the whole request.
    pub request: PromptPartId,
}

/// What became of the run of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// It goes on, as far as is known.
    Running,
    /// It ends or has ended as planned.
    Leaving,
    /// Another run has followed it.
    Restarted,
}

#[derive(Debug)]
struct Loss {
    run: UpstreamRun,
    /// Requests during which the connection was lost, and when.
    suspects: BTreeMap<Suspect, Instant>,
}

impl Loss {
    fn last(&self) -> Option<Instant> {
        self.suspects.values().max().copied()
    }
}

/// Crashes, what is quarantined because of them, and losses that may turn out to be crashes.
#[derive(Debug)]
pub struct CrashRecords {
    /// Parts of prompts.
    pub prompts: CrashQuarantine,
    /// Whole requests.
    pub requests: CrashQuarantine,
    losses: BTreeMap<CrashKey, Loss>,
}

impl Default for CrashRecords {
    fn default() -> Self {
        Self {
            prompts: CrashQuarantine::for_prompts(),
            requests: CrashQuarantine::for_requests(),
            losses: BTreeMap::new(),
        }
    }
}

impl CrashRecords {
    /// Records that the connection to an upstream was lost during a request; returns whether no
    /// other loss of this run is kept, so that evidence has to be looked for.
    pub fn record_loss(&mut self, now: Instant, run: UpstreamRun, suspect: Suspect) -> bool {
        let key = run.crash_key();
        if !self.losses.contains_key(&key) && self.losses.len() >= MAX_LOSSES {
            let oldest = self.losses.iter().min_by_key(|(_, loss)| loss.last());
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.losses.remove(&oldest);
            }
        }
        let is_first = !self.losses.contains_key(&key);
        let loss = self.losses.entry(key).or_insert(Loss { run, suspects: BTreeMap::new() });
        if loss.suspects.len() < MAX_SUSPECTS_PER_LOSS || loss.suspects.contains_key(&suspect) {
            loss.suspects.insert(suspect, now);
        }
        is_first
    }

    /// Whether a loss of this run is kept that may turn out to be a crash.
    pub fn has_loss(&self, run: &UpstreamRun) -> bool {
        self.losses.contains_key(&run.crash_key())
    }

    /// Whether this or another node has recorded that the run ended in a crash.
    pub fn is_known_crash(&self, run: &UpstreamRun) -> bool {
        let key = run.crash_key();
        self.prompts.is_known(key) || self.requests.is_known(key)
    }

    /// Records that a run has crashed, with the requests whose connections were lost; returns whether
    /// this changed what is quarantined.
    pub fn record_crash(&mut self, now: Instant, run: &UpstreamRun) -> bool {
        let key = run.crash_key();
        let Some(loss) = self.losses.remove(&key) else { return false };
        let mut is_changed = false;
        for suspect in loss.suspects.into_keys() {
            is_changed |= self.prompts.record_crash(now, key, &suspect.prompt);
            is_changed |= self.requests.record_crash(now, key, &[suspect.request].into());
        }
        is_changed
    }

    /// Records the crashes that the states of the upstreams show, and forgets the losses of those
    /// that leave as planned; returns whether this changed what is quarantined.
    pub fn apply_states(
        &mut self,
        now: Instant,
        state_of: impl Fn(&UpstreamRun) -> RunState,
    ) -> bool {
        self.losses.retain(|_, loss| state_of(&loss.run) != RunState::Leaving);
        let has_crashed = |loss: &&Loss| state_of(&loss.run) == RunState::Restarted;
        let crashed: Vec<UpstreamRun> =
            self.losses.values().filter(has_crashed).map(|loss| loss.run.clone()).collect();
        self.record_crashes(now, &crashed)
    }

    fn record_crashes(&mut self, now: Instant, runs: &[UpstreamRun]) -> bool {
        let mut is_changed = false;
        for run in runs {
            is_changed |= self.record_crash(now, run);
        }
        is_changed
    }

    /// Records that an upstream has answered a request completely; returns whether this changed what
    /// is quarantined.
    pub fn record_answer(&mut self, now: Instant, request: PromptPartId) -> bool {
        self.requests.record_answer(now, &[request].into())
    }

    /// Applies what another node has observed; returns whether it changed what is quarantined.
    pub fn apply(&mut self, now: Instant, prompts: CrashUpdates, requests: CrashUpdates) -> bool {
        let is_changed = self.prompts.apply(now, prompts);
        let is_changed = self.requests.apply(now, requests) || is_changed;
        let known = self.losses.values().filter(|loss| self.is_known_crash(&loss.run));
        let known: Vec<UpstreamRun> = known.map(|loss| loss.run.clone()).collect();
        self.record_crashes(now, &known) || is_changed
    }

    /// Forgets crashes and losses that no longer count; returns whether this changed what is
    /// quarantined.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.losses.retain(|_, loss| {
            loss.suspects.retain(|_, at| now < *at + EVIDENCE_TIMEOUT);
            !loss.suspects.is_empty()
        });
        let is_changed = self.prompts.expire(now);
        self.requests.expire(now) || is_changed
    }
}
