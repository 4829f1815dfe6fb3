//! The services configuration, which all nodes share.

use {
    crate::{document::Document, error::SettingsError, millis, validate},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
    turmerictack_model::{
        digest::Digest,
        ids::{CallerId, PoolName, ServiceId},
        rank::Rank,
    },
};

/// The complete services configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Services {
    /// Callers that are allowed to call services.
    pub callers: Vec<Caller>,
    /// Policy of each rank.
    pub ranks: BTreeMap<Rank, RankPolicy>,
    /// Model services and plain services.
    pub services: Vec<Service>,
    /// Retries and hedged requests allowed per 100 new calls.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// Number of upstreams that must fail while running the same request for it to be quarantined.
    #[serde(default = "default_quarantine_after")]
    pub quarantine_after: u32,
    /// Model loads per minute that the weight store can sustain, over all fabric domains.
    #[serde(default = "default_model_loads_per_minute")]
    pub model_loads_per_minute: u32,
}

/// Caller, identified by the hash of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name of the caller.
    pub id: CallerId,
    /// Hexadecimal SHA-256 hash of the caller's key.
    pub key_sha256: Digest,
    /// Weight for fair sharing among callers of the same rank.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most urgent rank that the caller may request.
    pub highest_rank: Rank,
}

/// Latency targets and limits of a rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankPolicy {
    /// Share of the capacity in percent that is guaranteed to this rank while it has calls waiting.
    pub floor_percent: u32,
    /// Target for the time to the first token of a response.
    #[serde(with = "millis", rename = "first_token_ms")]
    pub first_token: Duration,
    /// Target for the time between tokens.
    #[serde(with = "millis", rename = "between_tokens_ms")]
    pub between_tokens: Duration,
    /// Service level objective: share of calls in percent that must meet both targets.
    #[serde(default = "default_objective_percent")]
    pub objective_percent: f64,
    /// Time without progress of an upstream after which a call is retried elsewhere or fails.
    #[serde(with = "millis", rename = "silence_ms")]
    pub stall_timeout: Duration,
    /// Time limit for waiting in the queue if the caller gives no deadline.
    #[serde(with = "millis", rename = "queue_wait_ms")]
    pub queue_wait: Duration,
    /// Maximum number of calls that wait on one node.
    pub queue_limit: usize,
}

/// Kind of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Model, served by replica groups of engine instances.
    Model,
    /// Plain HTTP service, served by single instances.
    Plain,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; calls to a model refer to it in the field `model`.
    pub id: ServiceId,
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Pool label of the instances that serve it.
    pub pool: PoolName,
    /// Services that this one cannot work without.
    #[serde(default)]
    pub depends_on: Vec<ServiceId>,
    /// Rank of calls that do not request one.
    #[serde(default = "default_rank")]
    pub default_rank: Rank,
    /// Maximum number of concurrent calls to one upstream, divided among the live nodes.
    #[serde(default = "default_in_flight")]
    pub in_flight: usize,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// Model and version to load; required for model services.
    #[serde(default)]
    pub model: Option<String>,
    /// Number of replica groups to keep running; required for model services.
    #[serde(default)]
    pub groups: usize,
    /// Number of instances in a group; required for model services.
    #[serde(default)]
    pub group_size: usize,
    /// Whether the engines reject orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Routes of a plain service; calls that match none are treated as not idempotent.
    #[serde(default)]
    pub routes: Vec<Route>,
}

/// Properties of the calls to one path of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix, relative to the root of the service.
    pub path: String,
    /// Whether a call may be repeated safely.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the service itself runs at most one call for each idempotency key.
    #[serde(default)]
    pub deduplicates_by_key: bool,
}

fn default_retry_budget_percent() -> u32 {
    10
}

fn default_quarantine_after() -> u32 {
    2
}

fn default_model_loads_per_minute() -> u32 {
    60
}

fn default_weight() -> u32 {
    1
}

fn default_objective_percent() -> f64 {
    95.0
}

fn default_rank() -> Rank {
    Rank::Standard
}

fn default_in_flight() -> usize {
    8
}

fn default_max_body_bytes() -> u64 {
    1 << 20
}

impl Services {
    /// Parses and validates a services configuration; errors refer to the text as `file`.
    ///
    /// # Errors
    /// The first fault found.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let document = Document::parse(file, text)?;
        let services: Self = document.decode()?;
        validate::services(&document, &services)?;
        Ok(services)
    }

    /// Returns the service with the given name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.id == id)
    }

    /// Returns the caller whose key has the given hexadecimal SHA-256 hash.
    pub fn caller_by_key_hash(&self, hash: &str) -> Option<&Caller> {
        self.callers.iter().find(|c| c.key_sha256 == hash)
    }

    /// Returns the policy of a rank.
    ///
    /// # Panics
    /// If the configuration lacks the rank; [`Self::parse`] accepts no such configuration.
    pub fn rank_policy(&self, rank: Rank) -> &RankPolicy {
        &self.ranks[&rank]
    }
}

impl Service {
    /// Returns the route with the longest path prefix that matches a call.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|r| r.method == method && is_path_prefix(&r.path, path))
            .max_by_key(|r| r.path.len())
    }
}

/// Whether `path` equals `prefix` or lies below it; only whole segments match.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
