//! Configuration of a test fleet, and the services configuration that goes with it.

use {
    serde_json::json,
    turmerictack_model::{
        digest::sha256_hex,
        ids::{FabricDomain, InstanceId},
    },
};

/// Size and behaviour of a test fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of replica groups, of [`GROUP_SIZE`] engine instances each.
    pub groups: usize,
    /// Number of spare engine instances.
    pub spares: usize,
    /// Number of fabric domains that the engines are distributed over.
    pub domains: usize,
    /// Number of booking service instances.
    pub booking_services: usize,
    /// Whether engines reject orders with an old fencing token.
    pub fencing: bool,
    /// Whether booking services execute each idempotency key once by themselves.
    pub deduplicates: bool,
    /// Time from a call to its first chunk in ms.
    pub first_token_ms: u64,
    /// Time between chunks in ms.
    pub between_tokens_ms: u64,
    /// Time that a node waits at a drain for the load balancer to see that it is not
    /// ready, in ms.
    pub balancer_wait_ms: u64,
    /// Maximum number of calls in flight per model upstream.
    pub in_flight: usize,
    /// Writes per second that the platform accepts; unlimited if absent.
    pub writes_per_second: Option<u32>,
    /// Log level of the nodes.
    pub log_level: &'static str,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            nodes: 3,
            groups: 2,
            spares: 0,
            domains: 1,
            booking_services: 2,
            fencing: true,
            deduplicates: false,
            first_token_ms: 20,
            between_tokens_ms: 10,
            balancer_wait_ms: 300,
            in_flight: 24,
            writes_per_second: None,
            log_level: "debug",
        }
    }
}

/// Engine instances per replica group.
pub const GROUP_SIZE: usize = 4;

impl FleetConfig {
    /// Total number of engine instances.
    pub fn engine_count(&self) -> usize {
        self.groups * GROUP_SIZE + self.spares
    }

    /// Fabric domain of an engine, by its number from 1; engines are split evenly and in order.
    pub fn domain_of(&self, engine: usize) -> FabricDomain {
        let size = self.engine_count().div_ceil(self.domains.max(1)).max(1);
        format!("fabric-{}", 1 + engine.saturating_sub(1) / size)
    }

    /// Engine instances of a fabric domain.
    pub fn engines_in(&self, domain: &str) -> Vec<InstanceId> {
        let engines = (1..=self.engine_count()).filter(|n| self.domain_of(*n) == domain);
        engines.map(|n| format!("eng-{n}")).collect()
    }
}

/// API key of a caller, the same in every fleet.
pub fn caller_key(caller: &str) -> String {
    format!("key-{caller}")
}

/// Services configuration of a fleet as JSON; `floor` is the floor of the urgent rank in percent,
/// so that tests can create configurations that differ.
pub fn services_json(config: &FleetConfig, floor: u32) -> String {
    let callers: Vec<_> = [("crew", 4), ("member", 2), ("reports", 1)]
        .into_iter()
        .map(|(id, weight)| {
            let key_sha256 = sha256_hex(&caller_key(id));
            json!({"id": id, "key_sha256": key_sha256, "weight": weight, "highest_rank": "urgent"})
        })
        .collect();
    let rank = |floor: u32, queue_wait_ms: u64| {
        json!({
            "floor_percent": floor, "first_token_ms": 570, "between_tokens_ms": 55,
            "silence_ms": 2000, "queue_wait_ms": queue_wait_ms, "queue_limit": 256,
        })
    };
    let mut services = vec![json!({
        "id": "bookings", "kind": "plain", "pool": "bookings", "in_flight": 24,
        "default_rank": "urgent",
        "routes": [
            {"method": "GET", "path": "/", "idempotent": true},
            {"method": "POST", "path": "/bookings", "deduplicates_by_key": config.deduplicates},
        ],
    })];
    if config.groups > 0 {
        services.push(json!({
            "id": "assistant", "kind": "model", "pool": "assistant", "model": "m1",
            "groups": config.groups, "group_size": GROUP_SIZE,
            "checks_fencing": config.fencing, "in_flight": config.in_flight,
        }));
    }
    json!({
        "callers": callers,
        "ranks": {
            "urgent": rank(floor, 5000), "standard": rank(25, 10_000), "batch": rank(10, 30_000),
        },
        "services": services,
        "model_loads_per_minute": 600,
    })
    .to_string()
}
