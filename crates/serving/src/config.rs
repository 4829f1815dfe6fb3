//! Accepted configuration in the form that requests are checked against.

use {
    std::{collections::BTreeMap, time::Duration},
    turmerictack_groups::formation::ModelProfile,
    turmerictack_model::ids::{AccountId, ApiKey, ModelId, Revision, RouteId, ServiceId},
};

/// What a second run of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// No harm: the request is idempotent.
    Idempotent,
    /// Harm: it runs once at most.
    Never,
    /// A stream that another upstream can go on with after its last event.
    Resumable,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub id: RouteId,
    /// Host that requests name.
    pub host: String,
    /// Start of the paths that it serves; begins and ends with a slash.
    pub prefix: String,
    /// What a second run does.
    pub retry_policy: RetryPolicy,
    /// Whether answers are streams of events.
    pub is_streaming: bool,
    /// Longest time that a request is kept waiting for its final answer.
    pub timeout: Duration,
    /// Time to the (first) answer that callers want.
    pub latency_target: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the route's requests by weight.
    pub services: Vec<(ServiceId, u32)>,
    /// Upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl Route {
    /// Whether a second run of the same request does no harm.
    pub fn is_retryable(&self) -> bool {
        self.retry_policy != RetryPolicy::Never
    }

    /// Service for a number drawn evenly from all of `u32`.
    pub fn select_service(&self, draw: u32) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut position = (u64::from(draw) * total) >> u32::BITS;
        for (service, weight) in &self.services {
            if position < u64::from(*weight) {
                return Some(service);
            }
            position -= u64::from(*weight);
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// What a service's engines are.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Models, each with the group that serves it.
    pub models: BTreeMap<ModelId, ModelProfile>,
    /// Loads of weights that may begin in a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at the same time.
    pub concurrent_loads: usize,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub id: ServiceId,
    /// Engines, for a service that runs models.
    pub engine: Option<EngineProfile>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub id: AccountId,
    /// Rank that replaces that of the route.
    pub priority: Option<u8>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time that a connection may stay idle.
    pub idle_timeout: Duration,
}

/// Everything that the operators accepted, as of one revision.
#[derive(Clone, Debug)]
pub struct Config {
    /// Revision of the text.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds on callers.
    pub limits: Limits,
    accounts: BTreeMap<ApiKey, Account>,
    requires_key: bool,
    routes: BTreeMap<String, Vec<Route>>,
}

/// Whether a key may use a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// It may, for this account if there is one.
    Granted(Option<Account>),
    /// The key is unknown, or missing.
    Denied,
}

impl Config {
    /// A catalog of these parts.
    pub fn new(
        revision: Revision,
        routes: Vec<Route>,
        services: Vec<Service>,
        accounts: Option<BTreeMap<ApiKey, Account>>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Route>> = BTreeMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Self {
            revision,
            services: services.into_iter().map(|s| (s.id.clone(), s)).collect(),
            limits,
            requires_key: accounts.is_some(),
            accounts: accounts.unwrap_or_default(),
            routes: by_host,
        }
    }

    /// Route with the longest prefix of a path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether a request with this key may use a route.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Access {
        let account = key.and_then(|k| self.accounts.get(k));
        if account.is_none() && self.requires_key && !route.public {
            return Access::Denied;
        }
        Access::Granted(account.cloned())
    }
}
