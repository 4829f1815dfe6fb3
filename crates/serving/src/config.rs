//! Accepted configuration, indexed for request routing.

use {
    std::{collections::BTreeMap, time::Duration},
    turmerictack_groups::formation::ModelProfile,
    turmerictack_model::{
        ids::{AccountId, ApiKey, ModelId, Revision, RouteId, ServiceId},
        rate::RequestRate,
    },
};

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Idempotent: may be sent again.
    Idempotent,
    /// Not idempotent: executed at most once.
    Never,
    /// Event stream that another upstream can resume after the last delivered event.
    Resumable,
}

/// A route: host and path prefix, and how matching requests are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Route name.
    pub id: RouteId,
    /// Host name to match, without regard to case.
    pub host: String,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: String,
    /// Retry policy of matching requests.
    pub retry_policy: RetryPolicy,
    /// Whether responses are event streams.
    pub is_streaming: bool,
    /// Upper bound on the time to the complete response.
    pub timeout: Duration,
    /// Target for the time to the response or, for a stream, to its first event.
    pub latency_target: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; each request goes to one of them.
    pub services: Vec<(ServiceId, u32)>,
    /// Maximum number of upstreams that may execute one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
}

impl Route {
    /// Whether the same request may safely be executed again.
    pub fn is_retryable(&self) -> bool {
        self.retry_policy != RetryPolicy::Never
    }

    /// Picks a service by weight; `draw` must be uniform over all of `u32`.
    pub fn select_service(&self, draw: u32) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut position = ((u128::from(draw) * u128::from(total)) >> u32::BITS) as u64;
        for (service, weight) in &self.services {
            if position < u64::from(*weight) {
                return Some(service);
            }
            position -= u64::from(*weight);
        }
        self.services.first().map(|(service, _)| service)
    }
}

/// Models and load limits of a service whose instances are inference engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Models by name, each with the profile of the groups that serve it.
    pub models: BTreeMap<ModelId, ModelProfile>,
    /// Maximum number of model loads started per second.
    pub loads_per_second: f64,
    /// Number of model loads that can run in parallel at full speed.
    pub concurrent_loads: usize,
}

/// What an instance takes while it is cold after a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// Time for which it is cold.
    pub duration: Duration,
    /// Requests that it takes meanwhile, from all nodes together.
    pub rate: RequestRate,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Service name.
    pub id: ServiceId,
    /// Engine profile; `None` for a service without models.
    pub engine: Option<EngineProfile>,
    /// Cold starts of its instances; `None` if they take requests at once like any other.
    pub cold_start: Option<ColdStart>,
    /// Whether instances that start or return get as many requests as they turn out to answer well.
    pub paces_returns: bool,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Account name.
    pub id: AccountId,
    /// Priority that replaces that of the route.
    pub priority: Option<u8>,
}

/// Limits on client connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which an idle client connection is closed.
    pub idle_timeout: Duration,
}

/// One accepted revision of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits on clients.
    pub limits: Limits,
    accounts: BTreeMap<ApiKey, Account>,
    requires_key: bool,
    routes: BTreeMap<String, Vec<Route>>,
}

/// Result of an authorization check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Allowed, for this account if the key belongs to one.
    Granted(Option<Account>),
    /// The key is missing or unknown.
    Denied,
}

impl Config {
    /// Indexes routes by host, longest prefix first; `accounts` is `None` if no API keys are
    /// required.
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

    /// Finds the route with the longest prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Whether a route is open only to requests with a known API key.
    pub fn is_key_required(&self, route: &Route) -> bool {
        self.requires_key && !route.public
    }

    /// Checks whether a request with this API key may use a route.
    pub fn authorize(&self, route: &Route, key: Option<&str>) -> Access {
        let account = key.and_then(|k| self.accounts.get(k));
        if account.is_none() && self.is_key_required(route) {
            return Access::Denied;
        }
        Access::Granted(account.cloned())
    }
}
