//! What the tasks of a node share: tables behind locks in the order of [`LockRank`].

use {
    crate::{
        catalog::Catalog,
        directory::{Directory, Target, TargetKind},
        load::{Loads, Pick, Verdict},
        membership::Members,
        queue::{Admission, Queues, Ticket, WaitTerms},
        repeats::{RepeatLimits, Repeats},
        timing::Timings,
    },
    rand::SeedableRng as _,
    rand_pcg::Pcg64Mcg,
    std::{
        collections::BTreeSet,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
    turmerictack_model::{
        ids::{DataCentre, InstanceId},
        table::{LockRank, Table},
    },
    turmerictack_routing::quarantine::Quarantine,
};

/// Time after its last answer for which the view of the instances is fresh enough to act on.
const VIEW_TIMEOUT: Duration = Duration::from_secs(3);

/// A request that waits.
#[derive(Debug)]
pub struct Waiter {
    /// Upstreams that failed it.
    pub tried: Vec<InstanceId>,
    /// Takes the upstream that it got.
    pub grant: oneshot::Sender<Arc<Target>>,
}

/// Load, and the random numbers that placing draws.
#[derive(Debug)]
pub struct Placing {
    /// Load by upstream.
    pub loads: Loads,
    /// How long upstreams take.
    pub timings: Timings,
    /// Random numbers.
    pub rng: Pcg64Mcg,
}

/// State of the node itself.
#[derive(Debug, Default)]
pub struct Lifecycle {
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether it is in charge of the groups.
    pub in_charge: bool,
    /// When the store last answered the question for instances.
    pub instances_read: Option<Instant>,
}

/// Everything that tasks share.
#[derive(Debug)]
pub struct Tables {
    /// Accepted configuration.
    pub catalog: Table<Option<Arc<Catalog>>>,
    /// Other nodes.
    pub members: Table<Members>,
    /// Instances.
    pub directory: Table<Directory>,
    /// Load.
    pub placing: Table<Placing>,
    /// Waiting requests.
    pub queues: Table<Queues<Waiter>>,
    /// Requests that end upstreams.
    pub quarantine: Table<Quarantine>,
    /// Repeated sends.
    pub repeats: Table<Repeats>,
    /// The node itself.
    pub lifecycle: Table<Lifecycle>,
}

/// What became of the wish for an upstream.
#[derive(Debug)]
pub enum Place {
    /// It has one.
    Granted(Arc<Target>),
    /// It waits.
    Waiting(Ticket, oneshot::Receiver<Arc<Target>>),
    /// It would wait too long.
    TooLong(Duration),
    /// Every upstream has failed it, or too many wait.
    None,
}

impl Tables {
    /// Empty tables; `seed` starts the random numbers.
    pub fn new(seed: u64, repeats: RepeatLimits) -> Self {
        let placing = Placing {
            loads: Loads::default(),
            timings: Timings::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        };
        Self {
            catalog: Table::new(LockRank::Settings, None),
            members: Table::new(LockRank::Members, Members::default()),
            directory: Table::new(LockRank::Groups, Directory::default()),
            placing: Table::new(LockRank::Upstreams, placing),
            queues: Table::new(LockRank::Admission, Queues::new()),
            quarantine: Table::new(LockRank::Quarantine, Quarantine::default()),
            repeats: Table::new(LockRank::RetryBudget, Repeats::new(repeats)),
            lifecycle: Table::new(LockRank::Lifecycle, Lifecycle::default()),
        }
    }

    /// Accepted configuration, if there is one.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.lock().clone()
    }

    /// Takes over a newer configuration; gives whether it was newer.
    pub fn accept(&self, catalog: Catalog) -> bool {
        let mut current = self.catalog.lock();
        if current.as_ref().is_some_and(|c| c.revision >= catalog.revision) {
            return false;
        }
        *current = Some(Arc::new(catalog));
        true
    }

    /// Derives upstreams after a change of instances or configuration.
    pub fn rebuild(&self, now: Instant) {
        let Some(catalog) = self.catalog() else { return };
        let mut directory = self.directory.lock();
        directory.rebuild(now, &catalog);
        let targets = Arc::clone(directory.targets());
        let mut placing = self.placing.lock();
        let keys: BTreeSet<_> = targets.values().flatten().map(|t| t.key).collect();
        placing.loads.retain(&|key| keys.contains(&key));
        drop(placing);
        drop(directory);
        self.pump_all(now);
    }

    /// Whether the view of the instances is fresh enough to act on.
    pub fn has_fresh_view(&self, now: Instant) -> bool {
        self.lifecycle.lock().instances_read.is_some_and(|at| now < at + VIEW_TIMEOUT)
    }

    /// Takes an upstream for a request, or a place in the queue.
    pub fn place(
        &self,
        now: Instant,
        kind: &TargetKind,
        terms: WaitTerms,
        tried: &[InstanceId],
        data_centre: &DataCentre,
    ) -> Place {
        let targets = Arc::clone(self.directory.lock().targets());
        let targets = targets.get(kind).map_or(&[][..], |t| t.as_slice());
        let mut placing = self.placing.lock();
        let mut queues = self.queues.lock();
        let queue = queues.entry(kind.clone()).or_default();
        if queue.is_empty() || !tried.is_empty() {
            let Placing { loads, rng, .. } = &mut *placing;
            match loads.pick(now, targets, tried, data_centre, terms.reserve(now), rng) {
                Pick::Place(target) => {
                    loads.take(now, &target);
                    queue.granted(now, &terms);
                    return Place::Granted(target);
                }
                Pick::Nowhere if !tried.is_empty() => return Place::None,
                Pick::Nowhere | Pick::Full => {}
            }
        }
        match queue.admit(now, &terms) {
            Admission::Waits => {
                let (grant, granted) = oneshot::channel();
                let ticket = queue.push(terms, Waiter { tried: tried.to_vec(), grant });
                Place::Waiting(ticket, granted)
            }
            Admission::TooLong { wait } => Place::TooLong(wait),
            Admission::Full => Place::None,
        }
    }

    /// Whether the streams of an upstream stand still while another one has room.
    pub fn should_leave(
        &self,
        now: Instant,
        kind: &TargetKind,
        target: &Target,
        tried: &[InstanceId],
    ) -> bool {
        let targets = Arc::clone(self.directory.lock().targets());
        let targets = targets.get(kind).map_or(&[][..], |t| t.as_slice());
        let placing = self.placing.lock();
        // An upstream that stalls is not sound, so it is not taken for the other one.
        placing.loads.is_stalled(now, target.key) && placing.loads.has_room(now, targets, tried)
    }

    /// Gives up waiting.
    pub fn withdraw(&self, kind: &TargetKind, ticket: Ticket) {
        if let Some(queue) = self.queues.lock().get_mut(kind) {
            queue.remove(ticket);
        }
    }

    /// Gives free places to waiting requests of every kind.
    pub fn pump_all(&self, now: Instant) {
        let kinds: Vec<TargetKind> = {
            let queues = self.queues.lock();
            queues.iter().filter(|(_, q)| !q.is_empty()).map(|(k, _)| k.clone()).collect()
        };
        for kind in kinds {
            self.pump(now, &kind);
        }
    }

    /// Gives free places to waiting requests, the first in order first.
    pub fn pump(&self, now: Instant, kind: &TargetKind) {
        let targets = Arc::clone(self.directory.lock().targets());
        let targets = targets.get(kind).map_or(&[][..], |t| t.as_slice());
        let mut placing = self.placing.lock();
        let mut queues = self.queues.lock();
        let Some(queue) = queues.get_mut(kind) else { return };
        let Placing { loads, rng, .. } = &mut *placing;
        while let Some((ticket, terms, waiter)) = queue.first(now) {
            let pick = loads.pick(now, targets, &waiter.tried, "", terms.reserve(now), rng);
            let Pick::Place(target) = pick else { return };
            let Some(waiter) = queue.remove(ticket) else { return };
            loads.take(now, &target);
            if let Err(target) = waiter.grant.send(target) {
                loads.give(now, target.key, Verdict::Neutral);
                continue;
            }
            queue.granted(now, &terms);
        }
    }
}
