//! Quarantine of prompt parts that crash engines, and of whole requests that crash upstreams.
//!
//! A crash of an upstream ends all of its requests, so a single crash does not tell which of them
//! caused it. Each crash is recorded with the prompts that had not been answered yet, on whichever
//! node, and the parts that the most crashes have in common are quarantined. A part is cleared
//! when an upstream answers a prompt that contains it. A whole request is a prompt of a single part.

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{PromptPartId, PromptParts},
};

/// Identifies one crash: a hash of the instance and of its start time.
pub type CrashKey = u64;

/// Number of crashes after which the parts that they have in common are quarantined.
const QUARANTINE_AFTER_CRASHES: usize = 3;

/// Crashes closer together than this count once, since a failure of many instances at the same time
/// is not the fault of the prompts that they were reading.
const MIN_CRASH_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a crash is kept; a quarantine ends when too few crashes are left.
const RETENTION: Duration = Duration::from_secs(600);

/// Largest number of crashes kept; above it, the oldest is dropped.
const MAX_CRASHES: usize = 64;

/// Largest number of prompts kept for one crash; engines run fewer requests at once.
const MAX_PROMPTS_PER_CRASH: usize = 32;

/// Largest number of parts kept of one prompt.
const MAX_PARTS_PER_PROMPT: usize = 32;

/// Number of gossip rounds in which an observation is sent to other nodes.
const GOSSIP_ROUNDS: u32 = 4;

/// Largest number of crashes, and of cleared parts, sent in one gossip round.
const MAX_UPDATES_PER_ROUND: usize = 8;

/// Interval at which a known crash is sent again, in turn, for nodes that have restarted since.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// A prompt that was unanswered when its engine crashed, as nodes tell each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashKey,
    /// Time since the crash was observed.
    pub age: Duration,
    /// Shared parts of the prompt that have not been cleared since.
    pub parts: PromptParts,
}

/// Observations to send to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashUpdates {
    /// Prompts that were unanswered when their upstream crashed.
    pub crashes: Vec<CrashReport>,
    /// Parts of prompts that were answered.
    pub cleared: Vec<PromptPartId>,
}

#[derive(Debug)]
struct Crash {
    at: Instant,
    prompts: BTreeSet<PromptParts>,
}

/// Crashes of upstreams, and the prompt parts that are quarantined because of them.
#[derive(Debug)]
pub struct CrashQuarantine {
    min_crash_interval: Duration,
    crashes: BTreeMap<CrashKey, Crash>,
    cleared_at: BTreeMap<PromptPartId, Instant>,
    /// Parts that occur in a crash and have not been cleared since.
    suspects: PromptParts,
    /// Combinations of parts; a prompt that contains all parts of one is quarantined.
    quarantined: Vec<PromptParts>,
    pending_crashes: Vec<(CrashKey, PromptParts, u32)>,
    pending_cleared: Vec<(PromptPartId, u32)>,
    last_refresh: Option<(Instant, CrashKey)>,
}

impl CrashQuarantine {
    /// A quarantine of parts of prompts.
    pub fn for_prompts() -> Self {
        Self::new(MIN_CRASH_INTERVAL)
    }

    /// A quarantine of whole requests, for which each crash counts: a request that is retried may
    /// crash one upstream just after the other.
    pub fn for_requests() -> Self {
        Self::new(Duration::ZERO)
    }

    fn new(min_crash_interval: Duration) -> Self {
        Self {
            min_crash_interval,
            crashes: BTreeMap::new(),
            cleared_at: BTreeMap::new(),
            suspects: PromptParts::new(),
            quarantined: Vec::new(),
            pending_crashes: Vec::new(),
            pending_cleared: Vec::new(),
            last_refresh: None,
        }
    }

    /// Whether any part occurs in a crash and has not been cleared since.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Whether a crash has been recorded, here or by another node.
    pub fn is_known(&self, crash: CrashKey) -> bool {
        self.crashes.contains_key(&crash)
    }

    /// Records that this node lost an unanswered request with these shared parts to a crash.
    ///
    /// Returns whether this changed what is quarantined.
    pub fn record_crash(&mut self, now: Instant, crash: CrashKey, parts: &PromptParts) -> bool {
        let parts: PromptParts = parts.iter().copied().take(MAX_PARTS_PER_PROMPT).collect();
        if parts.is_empty() || !self.insert(now, crash, now, parts.clone()) {
            return false;
        }
        self.pending_crashes.push((crash, parts, GOSSIP_ROUNDS));
        self.update(now)
    }

    /// Records that an engine answered a prompt with these shared parts.
    ///
    /// Returns whether this changed what is quarantined.
    pub fn record_answer(&mut self, now: Instant, parts: &PromptParts) -> bool {
        let cleared: Vec<PromptPartId> = parts.intersection(&self.suspects).copied().collect();
        if cleared.is_empty() {
            return false;
        }
        self.pending_cleared.extend(cleared.iter().map(|part| (*part, GOSSIP_ROUNDS)));
        self.clear(now, &cleared)
    }

    /// Applies what another node has observed; returns whether it changed what is quarantined.
    pub fn apply(&mut self, now: Instant, updates: CrashUpdates) -> bool {
        let is_cleared = self.clear(now, &updates.cleared);
        let mut is_new = false;
        for report in updates.crashes {
            let Some(at) = now.checked_sub(report.age) else { continue };
            let parts = report.parts.into_iter().take(MAX_PARTS_PER_PROMPT).collect();
            is_new |= self.insert(now, report.crash, at, parts);
        }
        (is_new && self.update(now)) || is_cleared
    }

    /// Observations to send to other nodes in this gossip round.
    pub fn next_updates(&mut self, now: Instant) -> CrashUpdates {
        let mut reports: Vec<(CrashKey, PromptParts)> = Vec::new();
        for (crash, parts, rounds) in self.pending_crashes.iter_mut().take(MAX_UPDATES_PER_ROUND) {
            reports.push((*crash, parts.clone()));
            *rounds -= 1;
        }
        let mut cleared = Vec::new();
        for (part, rounds) in self.pending_cleared.iter_mut().take(MAX_UPDATES_PER_ROUND) {
            cleared.push(*part);
            *rounds -= 1;
        }
        self.pending_crashes.retain(|(_, _, rounds)| *rounds > 0);
        self.pending_cleared.retain(|(_, rounds)| *rounds > 0);
        if reports.is_empty() {
            reports = self.next_refresh(now);
        }
        let crashes = reports
            .into_iter()
            .filter_map(|(crash, parts)| {
                let at = self.crashes.get(&crash)?.at;
                let parts = self.suspects_of(at, &parts);
                let age = now.saturating_duration_since(at);
                (!parts.is_empty()).then_some(CrashReport { crash, age, parts })
            })
            .collect();
        CrashUpdates { crashes, cleared }
    }

    /// Whether a prompt with these shared parts is quarantined.
    pub fn is_quarantined(&self, parts: &PromptParts) -> bool {
        self.quarantined.iter().any(|combination| combination.is_subset(parts))
    }

    /// The quarantined combinations of parts.
    pub fn quarantined(&self) -> &[PromptParts] {
        &self.quarantined
    }

    /// Ends quarantines whose crashes have expired; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|_, c| now < c.at + RETENTION);
        self.crashes.len() != before && self.update(now)
    }

    fn insert(&mut self, now: Instant, crash: CrashKey, at: Instant, parts: PromptParts) -> bool {
        if parts.is_empty() || now >= at + RETENTION {
            return false;
        }
        if !self.crashes.contains_key(&crash) && self.crashes.len() >= MAX_CRASHES {
            self.evict();
        }
        let crash =
            self.crashes.entry(crash).or_insert_with(|| Crash { at, prompts: BTreeSet::new() });
        crash.prompts.len() < MAX_PROMPTS_PER_CRASH && crash.prompts.insert(parts)
    }

    /// Drops the oldest crash, preferably one on which no quarantine is based.
    fn evict(&mut self) {
        let is_evidence = |c: &Crash| c.prompts.iter().any(|parts| self.is_quarantined(parts));
        let crashes = self.crashes.iter();
        let key = crashes.min_by_key(|(_, c)| (is_evidence(c), c.at)).map(|(key, _)| *key);
        if let Some(key) = key {
            self.crashes.remove(&key);
        }
    }

    fn clear(&mut self, now: Instant, parts: &[PromptPartId]) -> bool {
        let mut is_suspect = false;
        for part in parts.iter().filter(|part| self.suspects.contains(part)) {
            self.cleared_at.insert(*part, now);
            is_suspect = true;
        }
        is_suspect && self.update(now)
    }

    /// One known crash at each refresh interval, in turn, with the quarantined prompts first.
    fn next_refresh(&mut self, now: Instant) -> Vec<(CrashKey, PromptParts)> {
        let previous = match self.last_refresh {
            Some((at, _)) if now < at + REFRESH_INTERVAL => return Vec::new(),
            Some((_, key)) => key,
            None => CrashKey::MIN,
        };
        let after = self.crashes.range(previous.saturating_add(1)..).next();
        let Some((key, crash)) = after.or_else(|| self.crashes.iter().next()) else {
            return Vec::new();
        };
        self.last_refresh = Some((now, *key));
        let (quarantined, others): (Vec<_>, Vec<_>) =
            crash.prompts.iter().partition(|parts| self.is_quarantined(parts));
        let prompts = quarantined.into_iter().chain(others).take(MAX_UPDATES_PER_ROUND);
        prompts.map(|parts| (*key, parts.clone())).collect()
    }

    /// Parts of a prompt lost to a crash at `at` that have not been cleared since.
    fn suspects_of(&self, at: Instant, parts: &PromptParts) -> PromptParts {
        let is_cleared = |part| self.cleared_at.get(part).is_some_and(|cleared| *cleared >= at);
        parts.iter().filter(|part| !is_cleared(part)).copied().collect()
    }

    /// Determines what is quarantined; returns whether that changed.
    ///
    /// The parts that occur in the most crashes explain these. Parts that always occur together
    /// can't be told apart, so only prompts that contain all of them are quarantined. The crashes
    /// that are explained are set aside, and the rest examined in the same way.
    fn update(&mut self, now: Instant) -> bool {
        let crashes = &self.crashes;
        let oldest = crashes.values().map(|c| c.at).min().unwrap_or(now);
        self.cleared_at.retain(|_, at| *at >= oldest);
        let mut open: Vec<(Instant, Vec<PromptParts>)> = crashes
            .values()
            .map(|c| (c.at, c.prompts.iter().map(|p| self.suspects_of(c.at, p)).collect()))
            .collect();
        open.sort_by_key(|(at, _)| *at);
        self.suspects = open.iter().flat_map(|(_, prompts)| prompts).flatten().copied().collect();
        let mut quarantined: Vec<PromptParts> = Vec::new();
        while let Some(common) = most_common_parts(&open, self.min_crash_interval) {
            let (explained, rest): (Vec<_>, Vec<_>) = open
                .into_iter()
                .partition(|(_, prompts)| prompts.iter().any(|parts| !parts.is_disjoint(&common)));
            let combinations: BTreeSet<PromptParts> = explained
                .iter()
                .flat_map(|(_, prompts)| prompts)
                .map(|parts| parts.intersection(&common).copied().collect())
                .filter(|parts: &PromptParts| !parts.is_empty())
                .collect();
            let is_largest = |c: &&PromptParts| {
                !combinations.iter().any(|other| other.len() > c.len() && other.is_superset(c))
            };
            quarantined.extend(combinations.iter().filter(is_largest).cloned());
            open = rest;
        }
        let is_changed = quarantined != self.quarantined;
        self.quarantined = quarantined;
        is_changed
    }
}

/// Parts that occur in the most crashes, if these are enough for a quarantine; several parts if
/// they occur in the same crashes. The crashes are in order of time.
fn most_common_parts(
    crashes: &[(Instant, Vec<PromptParts>)],
    min_interval: Duration,
) -> Option<PromptParts> {
    let count_separate = |times: &[Instant]| count_separate(times, min_interval);
    let mut occurrences: BTreeMap<PromptPartId, Vec<Instant>> = BTreeMap::new();
    for (at, prompts) in crashes {
        let parts: PromptParts = prompts.iter().flatten().copied().collect();
        for part in parts {
            occurrences.entry(part).or_default().push(*at);
        }
    }
    let most =
        occurrences.values().max_by_key(|times| (count_separate(times), times.len()))?.clone();
    if count_separate(&most) < QUARANTINE_AFTER_CRASHES {
        return None;
    }
    let common = occurrences.into_iter().filter(|(_, times)| *times == most);
    Some(common.map(|(part, _)| part).collect())
}

/// Number of crashes, counting those that follow each other closely once.
fn count_separate(times: &[Instant], min_interval: Duration) -> usize {
    let mut count = 0;
    let mut last: Option<Instant> = None;
    for at in times {
        if last.is_none_or(|last| *at >= last + min_interval) {
            count += 1;
            last = Some(*at);
        }
    }
    count
}
