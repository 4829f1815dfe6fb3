//! What the tasks of a node share.

use {
    crate::{proxy::Proxy, tables::Tables},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::Notify,
    turmerictack_model::{clock::Clock, ids::Incarnation},
    turmerictack_settings::node::NodeSettings,
};

/// What the tasks of a node share.
pub struct Shared {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Tables.
    pub tables: Arc<Tables>,
    /// Calls, pool and interfaces.
    pub proxy: Arc<Proxy>,
    /// Wakes the heartbeat when there is something to tell.
    pub gossip_wakeup: Notify,
    /// Asks for a planned stop_request.
    pub stop_request: Notify,
    /// InFlightCount that callers have not read to the end.
    pub responses: InFlightCount,
    incarnation: Incarnation,
    next_request: AtomicU64,
}

/// Count of responses on their way.
#[derive(Clone, Debug, Default)]
pub struct InFlightCount(Arc<AtomicU64>);

/// A response on its way; dropped when it was handed over.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU64>);

impl InFlightCount {
    /// Counts a response until the guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(&self.0))
    }

    /// InFlightCount on their way.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    /// What the tasks of a node share, before any of them runs.
    pub fn new(
        settings: NodeSettings,
        tables: Arc<Tables>,
        proxy: Arc<Proxy>,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            settings,
            tables,
            proxy,
            gossip_wakeup: Notify::new(),
            stop_request: Notify::new(),
            responses: InFlightCount::default(),
            incarnation,
            next_request: AtomicU64::new(1),
        }
    }

    /// The clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.proxy.interfaces.clock
    }

    /// Runs a job of a duty on the pool; absent when the node ends.
    pub async fn run_job<F, T>(&self, job: F) -> Option<T>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        self.proxy.pool.run_unbounded(job).await.ok()
    }

    /// A number for a request, unique over nodes.
    pub fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.node, self.incarnation)
    }
}
