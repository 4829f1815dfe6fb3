//! What must always hold, judged from the stand-ins' own logs and from what callers were told.

use {
    crate::{
        answer,
        client::{Caller, Told},
        effects::Effect,
        fleet::Fleet,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    turmerictack_groups::{
        domain::{DOMAIN_PREFIX, Domain},
        health::MAX_REPORT_AGE,
    },
    turmerictack_model::ids::{Epoch, Revision},
    turmerictack_platform::store::Object,
    turmerictack_settings::stored::{SETTINGS_KEY, StoredServices},
};

/// Time that a message may take on a busy machine, on top of a bound.
const SLACK: Duration = Duration::from_millis(700);

/// Longest time until a leaving upstream gets no new work.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// What one caller asked for and was told.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the call in the scenario.
    pub id: String,
    /// Idempotency key, for a booking.
    pub key: Option<String>,
    /// Prompt and number of chunks, for a chat.
    pub chat: Option<(String, u64)>,
    /// What the caller was told.
    pub told: Told,
}

/// A time during which a process was away, in ms since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Process.
    pub name: String,
    /// Since when.
    pub from_ms: u64,
    /// Until when; absent when it did not come back.
    pub until_ms: Option<u64>,
}

/// Everything that is judged.
#[derive(Debug, Default)]
pub struct Evidence {
    /// What callers asked for and were told.
    pub accounts: Vec<Account>,
    /// Effects of each upstream.
    pub effects: BTreeMap<String, Vec<Effect>>,
    /// Writes that the platform took.
    pub history: Vec<Object>,
    /// Absences of upstreams.
    pub absences: Vec<Absence>,
    /// When upstreams were listed as leaving, in ms since the Unix epoch.
    pub leaving: BTreeMap<String, u64>,
    /// Revisions that each node had in force, as seen one after the other.
    pub revisions: BTreeMap<String, Vec<Revision>>,
    /// Whether booking services run each key once by themselves.
    pub deduplicates: bool,
}

impl Evidence {
    /// Takes the logs of a fleet.
    pub async fn of(fleet: &Fleet) -> Self {
        let effects = fleet.upstreams.keys().map(|name| (name.clone(), fleet.effects(name)));
        Self {
            effects: effects.collect(),
            history: fleet.history().await.unwrap_or_default(),
            deduplicates: fleet.plan.deduplicates,
            ..Self::default()
        }
    }

    /// Executions of a key over all booking services.
    pub fn executions(&self, key: &str) -> usize {
        let effects = self.effects.values().flatten();
        effects.filter(|e| e.event == "executed" && e.field("key") == key).count()
    }

    /// Every promise that was broken.
    pub fn broken(&self) -> Vec<String> {
        let checks = [
            self.at_most_once(),
            self.not_run_is_not_run(),
            self.whole_answers(),
            self.members_present(),
            self.one_group(),
            self.leaving_gets_nothing(),
            self.settings_never_revert(),
        ];
        checks.into_iter().flatten().collect()
    }

    fn at_most_once(&self) -> Vec<String> {
        let keys: BTreeSet<&String> = self.accounts.iter().filter_map(|a| a.key.as_ref()).collect();
        keys.into_iter()
            .map(|key| (key, self.executions(key)))
            .filter(|(_, count)| *count > 1)
            .map(|(key, count)| format!("at-most-once: key {key} ran {count} times"))
            .collect()
    }

    fn not_run_is_not_run(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for account in self.accounts.iter().filter(|a| a.told.is_not_run()) {
            let ran = match (&account.key, &account.chat) {
                (Some(key), _) => {
                    let mut same = self.accounts.iter().filter(|a| a.key.as_ref() == Some(key));
                    same.all(|a| a.told.is_not_run()) && self.executions(key) > 0
                }
                (None, Some((prompt, _))) => {
                    let prompt_of = |a: &Account| a.chat.as_ref().map(|(p, _)| p.clone());
                    let mut same =
                        self.accounts.iter().filter(|a| prompt_of(a).as_ref() == Some(prompt));
                    same.all(|a| a.told.is_not_run()) && self.ran(prompt)
                }
                (None, None) => false,
            };
            if ran {
                broken.push(format!("not-run: {} was told not-run, but ran", account.id));
            }
        }
        broken
    }

    fn ran(&self, prompt: &str) -> bool {
        let messages = Caller::messages(prompt).to_string();
        let effects = self.effects.values().flatten();
        effects.into_iter().any(|e| e.event == "run" && e.field("prompt") == messages)
    }

    fn whole_answers(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for account in &self.accounts {
            let Some((prompt, chunks)) = &account.chat else { continue };
            let expected = answer::whole(&Caller::messages(prompt).to_string(), *chunks);
            let told = &account.told;
            if told.is_answered() && told.text != expected {
                broken.push(format!("whole-answer: {} is not its own answer", account.id));
            } else if !expected.starts_with(&told.text) {
                broken.push(format!("whole-answer: {} got foreign text", account.id));
            }
        }
        broken
    }

    fn is_away(&self, name: &str, at_ms: u64, bound: Duration) -> bool {
        let bound = bound.as_millis() as u64;
        self.absences.iter().any(|a| {
            a.name == name
                && at_ms > a.from_ms + bound
                && a.until_ms.is_none_or(|until| at_ms < until)
        })
    }

    /// Group that an instance was in at a time, by its own log, and since when.
    fn place(&self, name: &str, at_ms: u64) -> Option<(&str, Epoch, u64)> {
        let effects = self.effects.get(name)?.iter();
        let moves = effects.filter(|e| matches!(e.event.as_str(), "joined" | "released"));
        let last = moves.take_while(|e| e.at_ms <= at_ms).last()?;
        Some((last.field("group"), last.field("epoch").parse().unwrap_or(0), last.at_ms))
    }

    fn members(&self, leader: &str, group: &str) -> Vec<String> {
        let effects = self.effects.get(leader).map(Vec::as_slice).unwrap_or_default().iter();
        let mut joined = effects.filter(|e| e.event == "joined" && e.field("group") == group);
        let joined = joined.next_back();
        let members = joined.map(|e| e.field("members")).unwrap_or_default();
        members.split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect()
    }

    /// No run began while a member had been away, or elsewhere, for longer than the bound.
    fn members_present(&self) -> Vec<String> {
        let bound = MAX_REPORT_AGE + SLACK;
        let mut broken = Vec::new();
        for (leader, effects) in &self.effects {
            for run in effects.iter().filter(|e| e.event == "run") {
                let group = run.field("group");
                for member in self.members(leader, group) {
                    if self.is_away(&member, run.at_ms, bound) {
                        broken.push(format!("group-member-missing: {group} ran without {member}"));
                    }
                    let elsewhere = self.place(&member, run.at_ms).is_some_and(|(g, _, since)| {
                        g != group && run.at_ms > since + bound.as_millis() as u64
                    });
                    if elsewhere {
                        broken.push(format!("instance-one-group: {group} ran, {member} elsewhere"));
                    }
                }
            }
        }
        broken
    }

    /// Every state of every domain gives each instance one place, and epochs only grow.
    fn one_group(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let mut epochs: BTreeMap<&str, Epoch> = BTreeMap::new();
        for object in self.history.iter().filter(|o| o.key.starts_with(DOMAIN_PREFIX)) {
            let Ok(domain) = serde_json::from_str::<Domain>(&object.value) else {
                broken.push(format!("instance-one-group: {} cannot be read", object.key));
                continue;
            };
            if !domain.is_consistent() {
                broken.push(format!("instance-one-group: {} at {}", object.key, object.version));
            }
            let before = epochs.insert(&object.key, domain.epoch).unwrap_or(0);
            if domain.epoch < before {
                broken.push(format!("instance-one-group: epoch of {} went back", object.key));
            }
        }
        broken
    }

    fn leaving_gets_nothing(&self) -> Vec<String> {
        let bound = (LEAVING_BOUND + SLACK).as_millis() as u64;
        let mut broken = Vec::new();
        for (name, since) in &self.leaving {
            for (upstream, effects) in &self.effects {
                let late = effects.iter().filter(|e| e.at_ms > since + bound);
                let late = late.filter(|e| match e.event.as_str() {
                    "executed" => upstream == name,
                    "run" => self.members(upstream, e.field("group")).contains(name),
                    _ => false,
                });
                let count = late.count();
                if count > 0 {
                    broken.push(format!("leaving-upstream: {name} got {count} calls late"));
                }
            }
        }
        broken
    }

    /// Accepted revisions grow by one, and no node goes back.
    fn settings_never_revert(&self) -> Vec<String> {
        let mut broken = Vec::new();
        let texts = self.history.iter().filter(|o| o.key == SETTINGS_KEY);
        let revisions: Vec<Revision> = texts
            .filter_map(|o| serde_json::from_str::<StoredServices>(&o.value).ok())
            .map(|s| s.revision)
            .collect();
        if revisions.windows(2).any(|w| w[1] != w[0] + 1) {
            broken.push(format!("settings-in-force: accepted revisions {revisions:?}"));
        }
        for (node, seen) in &self.revisions {
            // 0 is a node that has no text in force yet; it is not ready and serves nothing.
            let seen: Vec<Revision> = seen.iter().copied().filter(|r| *r > 0).collect();
            if seen.windows(2).any(|w| w[1] < w[0]) {
                broken.push(format!("settings-in-force: {node} went back: {seen:?}"));
            }
        }
        broken
    }
}
