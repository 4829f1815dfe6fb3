//! Keeps the newest services configuration active.
//!
//! A few nodes watch the platform. The others learn of a newer revision from gossip and fetch the
//! text from the node that sent it. Revisions only grow.

use {
    crate::{logs, shared::Shared},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
    turmerictack_admission::{
        fair::FairAdmission,
        policy::{Admission, RankLimits},
    },
    turmerictack_membership::ownership::is_owner,
    turmerictack_model::ids::{Address, Revision, Version},
    turmerictack_platform::{
        error::StoreError,
        store::{Changes, Object},
    },
    turmerictack_protocol::message::{PeerRequest, PeerResponse},
    turmerictack_settings::{
        services::Services,
        stored::{SETTINGS_KEY, StoredServices},
    },
};

/// Longest wait of a watch request.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Wait between rounds of a node that does not watch.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// A node that does not watch reads the platform once in this many rounds.
const ROUNDS_BETWEEN_READS: u32 = 30;

/// Wait after a failed watch.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Number of nodes that watch the platform.
const WATCHER_COUNT: usize = 2;

/// Watches the platform, or reads it at intervals if other nodes watch it.
pub async fn run(shared: Arc<Shared>) {
    let mut after: Version = 0;
    let mut rounds = 0;
    loop {
        let job_shared = Arc::clone(&shared);
        let Some((missing, watches)) = shared.run_job(move || job_shared.watch_role()).await else {
            return;
        };
        if watches {
            after = watch(&shared, after).await;
        } else if missing || rounds % ROUNDS_BETWEEN_READS == 0 {
            read(&shared).await;
            sleep(IDLE_WAIT).await;
        } else {
            sleep(IDLE_WAIT).await;
        }
        rounds += 1;
    }
}

impl Shared {
    /// Returns whether this node has no configuration yet, and whether it is to watch the platform.
    fn watch_role(&self) -> (bool, bool) {
        let missing = self.tables.settings.lock().revision == 0;
        let now = self.clock().now();
        let members = self.tables.members.lock();
        let is_watcher = is_owner(
            &members.local_node().node,
            &members.live_nodes(),
            SETTINGS_KEY,
            WATCHER_COUNT,
        );
        (missing, is_watcher || members.is_alone(now))
    }
}

/// Reads the configuration once.
pub async fn read(shared: &Arc<Shared>) {
    shared.tables.lifecycle.lock().platform.reads += 1;
    match shared.proxy.interfaces.store.get(SETTINGS_KEY).await {
        Ok(Some(object)) => apply_object(shared, object).await,
        Ok(None) => {}
        Err(e) => log_unavailable(&e),
    }
}

async fn watch(shared: &Arc<Shared>, after: Version) -> Version {
    shared.tables.lifecycle.lock().platform.watches += 1;
    match shared.proxy.interfaces.store.watch(SETTINGS_KEY, after, WATCH_WAIT).await {
        Ok(Changes { objects, version }) => {
            let unchanged = objects.is_empty();
            for object in objects {
                apply_object(shared, object).await;
            }
            if unchanged {
                read(shared).await;
            }
            version
        }
        Err(e) => {
            log_unavailable(&e);
            sleep(RETRY_WAIT).await;
            0
        }
    }
}

fn log_unavailable(cause: &StoreError) {
    logs::event("platform_unavailable").with("cause", cause).debug();
}

async fn apply_object(shared: &Arc<Shared>, object: Object) {
    match serde_json::from_str::<StoredServices>(&object.value) {
        Ok(stored) => apply(shared, stored.revision, stored.text).await,
        Err(_) => logs::event("settings_object_malformed").with("version", object.version).error(),
    }
}

/// Fetches another node's configuration if it is newer.
pub async fn pull(shared: &Arc<Shared>, address: &Address) {
    let known_revision = shared.tables.settings.lock().revision;
    let request = PeerRequest::Settings { known_revision };
    match shared.proxy.interfaces.peers.send(address, &request).await {
        Ok(PeerResponse::Settings { revision, text: Some(text) }) => {
            apply(shared, revision, text).await
        }
        Ok(_) => {}
        Err(e) => logs::event("settings_pull_failed").with("cause", e).debug(),
    }
}

/// Activates a configuration unless the active revision is the same or higher.
pub async fn apply(shared: &Arc<Shared>, revision: Revision, text: String) {
    let job_shared = Arc::clone(shared);
    let is_new = shared.run_job(move || activate(&job_shared, revision, &text)).await;
    if is_new == Some(true) {
        shared.tables.members.lock().raise_fanout();
        shared.gossip_wakeup.notify_one();
    }
}

fn activate(shared: &Shared, revision: Revision, text: &str) -> bool {
    let now = shared.clock().now();
    {
        let mut active = shared.tables.settings.lock();
        active.confirmed_at = Some(now);
        if revision <= active.revision {
            return false;
        }
    }
    let services = match Services::parse("services", text) {
        Ok(services) => Arc::new(services),
        Err(e) => {
            let event = logs::event("settings_rejected").with("revision", revision);
            event.with("cause", e).error();
            return false;
        }
    };
    {
        let mut active = shared.tables.settings.lock();
        if revision <= active.revision {
            return false;
        }
        active.revision = revision;
        active.text = text.into();
        active.services = Some(Arc::clone(&services));
    }
    apply_limits(shared, &services);
    logs::event("settings_applied").with("revision", revision).info();
    true
}

/// Applies the queue limits and the retry budget of a new configuration.
fn apply_limits(shared: &Shared, services: &Services) {
    let limits: BTreeMap<_, _> = services
        .ranks
        .iter()
        .map(|(rank, policy)| {
            let limits =
                RankLimits { floor_percent: policy.floor_percent, queue_limit: policy.queue_limit };
            (*rank, limits)
        })
        .collect();
    let mut admission = shared.tables.admission.lock();
    for service in &services.services {
        let queues = admission
            .entry(service.id.clone())
            .or_insert_with(|| Box::new(FairAdmission::default()) as Box<dyn Admission>);
        queues.set_limits(&limits);
    }
    drop(admission);
    shared.tables.calls.lock().retry_budget.set_percent(services.retry_budget_percent);
}
