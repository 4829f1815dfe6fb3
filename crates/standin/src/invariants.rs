//! Invariants of every scenario, checked against the effect logs of the stand-ins and the responses
//! that callers received.

use {
    crate::{
        client::{CallResult, Caller},
        effect_log::Effect,
        fleet::Fleet,
        model_output,
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

/// Tolerance added to time limits for scheduling and message delays on a busy machine.
const TIMING_TOLERANCE: Duration = Duration::from_millis(700);

/// Time after which an upstream marked as leaving must receive no new calls.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(2);

/// A call and its result.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Name of the call in the scenario.
    pub id: String,
    /// Idempotency key of a booking.
    pub key: Option<String>,
    /// Prompt and number of requested chunks of a chat.
    pub chat: Option<(String, u64)>,
    /// Result that the caller received.
    pub result: CallResult,
}

/// A period in which a process was dead, suspended or unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Name of the process.
    pub name: String,
    /// Start in ms since the Unix epoch.
    pub from_ms: u64,
    /// End in ms since the Unix epoch; `None` if the process did not come back.
    pub until_ms: Option<u64>,
}

/// Recorded data of a run that the invariants are checked against.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Calls and their results.
    pub calls: Vec<CallRecord>,
    /// Effect log of each upstream.
    pub effects: BTreeMap<String, Vec<Effect>>,
    /// Writes that the platform applied, in order.
    pub history: Vec<Object>,
    /// Outages of processes.
    pub outages: Vec<Outage>,
    /// Times at which upstreams were marked as leaving, in ms since the Unix epoch.
    pub leaving: BTreeMap<String, u64>,
    /// Settings revisions that each node reported, in the order of observation.
    pub revisions: BTreeMap<String, Vec<Revision>>,
    /// Whether the booking services deduplicate by idempotency key.
    pub deduplicates: bool,
}

impl RunRecord {
    /// Collects the effect logs and the write history of a fleet; the other fields stay empty.
    pub async fn collect(fleet: &Fleet) -> Self {
        let effects = fleet.upstreams.keys().map(|name| (name.clone(), fleet.effects(name)));
        Self {
            effects: effects.collect(),
            history: fleet.history().await.unwrap_or_default(),
            deduplicates: fleet.config.deduplicates,
            ..Self::default()
        }
    }

    /// Number of executions of an idempotency key over all booking services.
    pub fn executions(&self, key: &str) -> usize {
        let effects = self.effects.values().flatten();
        effects.filter(|e| e.event == "executed" && e.field("key") == key).count()
    }

    /// Describes each violated invariant; empty if all hold.
    pub fn violations(&self) -> Vec<String> {
        let checks = [
            self.check_at_most_once(),
            self.check_not_run(),
            self.check_complete_responses(),
            self.check_members_present(),
            self.check_single_membership(),
            self.check_leaving(),
            self.check_revisions(),
        ];
        checks.into_iter().flatten().collect()
    }

    fn check_at_most_once(&self) -> Vec<String> {
        let keys: BTreeSet<&String> = self.calls.iter().filter_map(|c| c.key.as_ref()).collect();
        keys.into_iter()
            .map(|key| (key, self.executions(key)))
            .filter(|(_, count)| *count > 1)
            .map(|(key, count)| format!("at-most-once: key {key} executed {count} times"))
            .collect()
    }

    fn check_not_run(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for call in self.calls.iter().filter(|c| c.result.is_not_run()) {
            let was_executed = match (&call.key, &call.chat) {
                (Some(key), _) => {
                    let mut same_request =
                        self.calls.iter().filter(|c| c.key.as_ref() == Some(key));
                    same_request.all(|c| c.result.is_not_run()) && self.executions(key) > 0
                }
                (None, Some((prompt, _))) => {
                    let prompt_of = |c: &CallRecord| c.chat.as_ref().map(|(p, _)| p.clone());
                    let mut same_request =
                        self.calls.iter().filter(|c| prompt_of(c).as_ref() == Some(prompt));
                    same_request.all(|c| c.result.is_not_run()) && self.has_run(prompt)
                }
                (None, None) => false,
            };
            if was_executed {
                violations.push(format!(
                    "not-run: {} was reported as not-run, but was executed",
                    call.id
                ));
            }
        }
        violations
    }

    fn has_run(&self, prompt: &str) -> bool {
        let messages = Caller::messages(prompt).to_string();
        let effects = self.effects.values().flatten();
        effects.into_iter().any(|e| e.event == "run" && e.field("prompt") == messages)
    }

    fn check_complete_responses(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for call in &self.calls {
            let Some((prompt, chunks)) = &call.chat else { continue };
            let expected = model_output::full_text(&Caller::messages(prompt).to_string(), *chunks);
            let result = &call.result;
            if result.is_answered() && result.text != expected {
                violations.push(format!(
                    "whole-answer: response of {} differs from the expected text",
                    call.id
                ));
            } else if !expected.starts_with(&result.text) {
                violations.push(format!(
                    "whole-answer: partial response of {} has unexpected text",
                    call.id
                ));
            }
        }
        violations
    }

    fn is_unavailable(&self, name: &str, at_ms: u64, bound: Duration) -> bool {
        let bound = bound.as_millis() as u64;
        self.outages.iter().any(|o| {
            o.name == name
                && at_ms > o.from_ms + bound
                && o.until_ms.is_none_or(|until| at_ms < until)
        })
    }

    /// Group and epoch of an instance at a time according to its own log, and when it joined or
    /// left (the group is empty after a release).
    fn group_at(&self, name: &str, at_ms: u64) -> Option<(&str, Epoch, u64)> {
        let effects = self.effects.get(name)?.iter();
        let changes = effects.filter(|e| matches!(e.event.as_str(), "joined" | "released"));
        let last = changes.take_while(|e| e.at_ms <= at_ms).last()?;
        Some((last.field("group"), last.field("epoch").parse().unwrap_or(0), last.at_ms))
    }

    fn members(&self, leader: &str, group: &str) -> Vec<String> {
        let effects = self.effects.get(leader).map(Vec::as_slice).unwrap_or_default().iter();
        let mut joined = effects.filter(|e| e.event == "joined" && e.field("group") == group);
        let joined = joined.next_back();
        let members = joined.map(|e| e.field("members")).unwrap_or_default();
        members.split(',').filter(|m| !m.is_empty()).map(str::to_owned).collect()
    }

    /// No group may start a call once a member has been out, or in another group, for longer than a
    /// health report stays valid.
    fn check_members_present(&self) -> Vec<String> {
        let bound = MAX_REPORT_AGE + TIMING_TOLERANCE;
        let mut violations = Vec::new();
        for (leader, effects) in &self.effects {
            for run in effects.iter().filter(|e| e.event == "run") {
                let group = run.field("group");
                for member in self.members(leader, group) {
                    if self.is_unavailable(&member, run.at_ms, bound) {
                        violations.push(format!(
                            "group-member-missing: {group} started a call without {member}"
                        ));
                    }
                    let in_other_group =
                        self.group_at(&member, run.at_ms).is_some_and(|(g, _, since)| {
                            g != group && run.at_ms > since + bound.as_millis() as u64
                        });
                    if in_other_group {
                        violations.push(format!(
                            "instance-one-group: {group} started a call with {member} elsewhere"
                        ));
                    }
                }
            }
        }
        violations
    }

    /// Each stored domain state must assign an instance to at most one group, and domain epochs
    /// must not decrease.
    fn check_single_membership(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut epochs: BTreeMap<&str, Epoch> = BTreeMap::new();
        for object in self.history.iter().filter(|o| o.key.starts_with(DOMAIN_PREFIX)) {
            let Ok(domain) = serde_json::from_str::<Domain>(&object.value) else {
                violations.push(format!(
                    "instance-one-group: {} is not a valid domain state",
                    object.key
                ));
                continue;
            };
            if !domain.is_consistent() {
                violations.push(format!(
                    "instance-one-group: {} is inconsistent at version {}",
                    object.key, object.version
                ));
            }
            let before = epochs.insert(&object.key, domain.epoch).unwrap_or(0);
            if domain.epoch < before {
                violations.push(format!("instance-one-group: epoch of {} decreased", object.key));
            }
        }
        violations
    }

    fn check_leaving(&self) -> Vec<String> {
        let bound = (LEAVING_TIMEOUT + TIMING_TOLERANCE).as_millis() as u64;
        let mut violations = Vec::new();
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
                    violations.push(format!(
                        "leaving-upstream: {name} got {count} calls after the time limit"
                    ));
                }
            }
        }
        violations
    }

    /// Accepted settings revisions must increase by one, and no node may return to an older
    /// revision.
    fn check_revisions(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let configs = self.history.iter().filter(|o| o.key == SETTINGS_KEY);
        let revisions: Vec<Revision> = configs
            .filter_map(|o| serde_json::from_str::<StoredServices>(&o.value).ok())
            .map(|s| s.revision)
            .collect();
        if revisions.windows(2).any(|w| w[1] != w[0] + 1) {
            violations.push(format!(
                "settings-in-force: accepted revisions are not consecutive: {revisions:?}"
            ));
        }
        for (node, reported) in &self.revisions {
            // A node reports 0 before it has a configuration; it is not ready then and serves no
            // calls.
            let reported: Vec<Revision> = reported.iter().copied().filter(|r| *r > 0).collect();
            if reported.windows(2).any(|w| w[1] < w[0]) {
                violations
                    .push(format!("settings-in-force: revision of {node} decreased: {reported:?}"));
            }
        }
        violations
    }
}
