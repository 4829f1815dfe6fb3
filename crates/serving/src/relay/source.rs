//! Choice of whom a node asks for changes: the store itself, or a node that watches it.

use {
    rand::{Rng, RngExt as _},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::{Duration, Instant},
    },
    turmerictack_model::{
        ids::{Address, DataCentre},
        rendezvous::owners,
    },
};

/// Number of nodes in each data centre that watch the store for the others.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Number of live nodes below which all of them watch the store.
const MIN_NODES_FOR_RELAYS: usize = 12;

/// Rendezvous hashing key that ranks the nodes of a data centre as relays.
const RELAY_KEY: &str = "relays";

/// Time for which a relay that failed is not asked.
const RELAY_COOLDOWN: Duration = Duration::from_secs(3);

/// Time for which a node stays with the store after its relays were silent or outdated, at least;
/// up to twice as long, so that nodes don't change sides all at once.
const STORE_STAY: Duration = Duration::from_secs(2);

/// Time between two attempts to reach a store that failed, while relays are asked in between, at
/// least; up to twice as long.
const STORE_RETRY: Duration = Duration::from_millis(500);

/// Share of the tightest bound on changes after which relayed facts are checked with the store.
const TRUST_FRACTION: f64 = 0.8;

/// Share of that bound for which a relay's watch of the store stays open; a relay's facts are up to
/// two watches old.
const RELAY_WATCH_FRACTION: f64 = 0.25;

/// Time for which a relay holds a request open without a change.
pub const RELAY_WAIT: Duration = Duration::from_millis(400);

/// A node that may be a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    /// Address for requests of other nodes.
    pub address: Address,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// Processor capacity, in thousandths of a core.
    pub capacity: u16,
}

/// Relays as this node sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRoles {
    /// Whether this node watches the store.
    pub is_relay: bool,
    /// Whether it does so for others too.
    pub serves_others: bool,
    /// Other nodes that watch the store for this one, the preferred one first.
    pub relays: Vec<Address>,
}

/// Assigns the roles as the node at `own` sees them; `candidates` are the live nodes with it.
///
/// In each data centre the nodes with the most capacity are relays, of these the first by rendezvous
/// hash. Nodes that see different sets of live nodes may disagree; that costs calls to the store,
/// since a node that is asked and does not watch says so.
pub fn assign_roles(own: &Address, candidates: &[RelayCandidate]) -> RelayRoles {
    let relay = |serves_others| RelayRoles { is_relay: true, serves_others, relays: Vec::new() };
    let Some(own_node) = candidates.iter().find(|c| c.address == *own) else {
        return relay(false);
    };
    if candidates.len() < MIN_NODES_FOR_RELAYS {
        return relay(false);
    }
    let mut relays = data_centre_relays(&own_node.data_centre, candidates);
    if relays.contains(&own.as_str()) {
        return relay(true);
    }
    let preferred = owners(own, relays.iter().copied(), 1);
    relays.sort_by_key(|relay| !preferred.contains(relay));
    let relays = relays.into_iter().map(str::to_owned).collect();
    RelayRoles { is_relay: false, serves_others: false, relays }
}

/// Relays of all data centres, as a node sees them that knows of these candidates; none in a cluster in
/// which all nodes watch the store.
pub fn all_relays(candidates: &[RelayCandidate]) -> BTreeSet<Address> {
    if candidates.len() < MIN_NODES_FOR_RELAYS {
        return BTreeSet::new();
    }
    let data_centres: BTreeSet<&DataCentre> = candidates.iter().map(|c| &c.data_centre).collect();
    let relays = data_centres.into_iter().flat_map(|dc| data_centre_relays(dc, candidates));
    relays.map(str::to_owned).collect()
}

/// Relays of a data centre; of the nodes with the most capacity the first by rendezvous hash.
fn data_centre_relays<'a>(
    data_centre: &DataCentre,
    candidates: &'a [RelayCandidate],
) -> Vec<&'a str> {
    let in_data_centre = || candidates.iter().filter(|c| c.data_centre == *data_centre);
    let mut capacities: Vec<u16> = in_data_centre().map(|c| c.capacity).collect();
    capacities.sort_unstable_by(|a, b| b.cmp(a));
    let relay_count = RELAYS_PER_DATA_CENTRE.min(capacities.len());
    let least = relay_count.checked_sub(1).map_or(0, |last| capacities[last]);
    let strong = in_data_centre().filter(|c| c.capacity >= least).map(|c| c.address.as_str());
    owners(RELAY_KEY, strong, relay_count)
}

/// Times that follow from the bounds on how late a change may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTimes {
    /// Age of a confirmation at which the store is asked instead of relays.
    pub trust: Duration,
    /// Maximum time for which a relay's watch of the store stays open.
    pub watch: Duration,
}

impl RelayTimes {
    /// Derives the times from the tightest bound on changes.
    pub fn new(bound: Duration) -> Self {
        Self { trust: bound.mul_f64(TRUST_FRACTION), watch: bound.mul_f64(RELAY_WATCH_FRACTION) }
    }
}

/// Whom to ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// The relay at this address.
    Relay(Address),
}

/// Chooses the source of each read of the objects of one kind.
#[derive(Debug)]
pub struct SourceSelector {
    times: RelayTimes,
    store_until: Option<Instant>,
    store_retry_at: Option<Instant>,
    failed_relays: BTreeMap<Address, Instant>,
}

impl SourceSelector {
    /// Starts without observations.
    pub fn new(times: RelayTimes) -> Self {
        Self { times, store_until: None, store_retry_at: None, failed_relays: BTreeMap::new() }
    }

    /// Chooses a source.
    ///
    /// `confirmed_at` is the start of the read of the store that last confirmed the known objects,
    /// by whomever it was made; `None` if nothing is known yet.
    pub fn choose(
        &mut self,
        now: Instant,
        roles: &RelayRoles,
        confirmed_at: Option<Instant>,
        rng: &mut dyn Rng,
    ) -> Source {
        let Some(confirmed_at) = confirmed_at else { return Source::Store };
        if roles.is_relay {
            return Source::Store;
        }
        self.failed_relays.retain(|_, until| now < *until);
        let relay = roles.relays.iter().find(|r| !self.failed_relays.contains_key(*r));
        let Some(relay) = relay.cloned() else { return Source::Store };
        if self.store_retry_at.is_some_and(|at| now < at) {
            return Source::Relay(relay);
        }
        if now >= confirmed_at + self.times.trust && self.store_until.is_none() {
            self.store_until = Some(now + spread(STORE_STAY, rng));
        }
        if self.store_until.is_some_and(|until| now < until) {
            return Source::Store;
        }
        self.store_until = None;
        Source::Relay(relay)
    }

    /// Whether there is a relay that can be asked, as far as is known.
    pub fn has_relay(&self, roles: &RelayRoles) -> bool {
        roles.relays.iter().any(|relay| !self.failed_relays.contains_key(relay))
    }

    /// Records that a relay did not answer, does not watch the store, or knows less than this node.
    pub fn record_relay_failure(&mut self, now: Instant, relay: &Address) {
        self.failed_relays.insert(relay.clone(), now + RELAY_COOLDOWN);
    }

    /// Records that the store did not answer; relays are asked until it is tried again.
    pub fn record_store_failure(&mut self, now: Instant, rng: &mut dyn Rng) {
        self.store_retry_at = Some(now + spread(STORE_RETRY, rng));
    }

    /// Records that the store answered.
    pub fn record_store_success(&mut self) {
        self.store_retry_at = None;
    }
}

/// A random time between `least` and twice as long.
fn spread(least: Duration, rng: &mut dyn Rng) -> Duration {
    least.mul_f64(1.0 + rng.random::<f64>())
}
