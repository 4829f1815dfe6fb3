//! State shared by the tasks of a node.

use {
    crate::{proxy::Proxy, tables::Tables},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    tokio::sync::Notify,
    turmerictack_model::{clock::Clock, ids::Incarnation},
    turmerictack_serving::client_gate::ClientGate,
    turmerictack_settings::node::NodeSettings,
};

/// State shared by the tasks of a node.
pub struct Shared {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Tables of the node.
    pub tables: Arc<Tables>,
    /// Proxy for calls, with the worker pool and the interfaces.
    pub proxy: Arc<Proxy>,
    /// Account of what callers hold.
    pub callers: Arc<ClientGate>,
    /// Wakes the gossip task when there are new updates to spread.
    pub gossip_wakeup: Notify,
    /// Notified when an operator requests a drain.
    pub stop_request: Notify,
    /// Responses that callers have not read to the end.
    pub responses: InFlightCount,
    incarnation: Incarnation,
    next_request: AtomicU64,
}

/// Counter of operations in progress.
#[derive(Clone, Debug, Default)]
pub struct InFlightCount(Arc<AtomicU64>);

/// An operation in progress; it ends when the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicU64>);

impl InFlightCount {
    /// Counts an operation until the guard is dropped.
    pub fn begin(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(&self.0))
    }

    /// Number of operations in progress.
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
    /// Creates the shared state of a node; starts no task.
    pub fn new(
        settings: NodeSettings,
        tables: Arc<Tables>,
        proxy: Arc<Proxy>,
        incarnation: Incarnation,
    ) -> Self {
        let callers = Arc::clone(&proxy.interfaces.callers);
        Self {
            settings,
            tables,
            proxy,
            callers,
            gossip_wakeup: Notify::new(),
            stop_request: Notify::new(),
            responses: InFlightCount::default(),
            incarnation,
            next_request: AtomicU64::new(1),
        }
    }

    /// Clock of the node.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.proxy.interfaces.clock
    }

    /// Runs a job on the worker pool, without a limit on queued jobs; `None` if the node shuts
    /// down.
    pub async fn run_job<F, T>(&self, job: F) -> Option<T>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        self.proxy.pool.run_unbounded(job).await.ok()
    }

    /// Generates a request id that is unique across nodes and restarts.
    pub fn request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.node, self.incarnation)
    }
}
