//! What the tasks of a node share.

use {
    crate::{driver::Desk, tables::Tables},
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
    /// Calls, pool and borders.
    pub desk: Arc<Desk>,
    /// Wakes the heartbeat when there is something to tell.
    pub gossip_now: Notify,
    /// Asks for a planned stop.
    pub stop: Notify,
    /// Responses that callers have not read to the end.
    pub responses: Responses,
    run: Incarnation,
    requests: AtomicU64,
}

/// Count of responses on their way.
#[derive(Clone, Debug, Default)]
pub struct Responses(Arc<AtomicU64>);

/// A response on its way; dropped when it was handed over.
#[derive(Debug)]
pub struct Response(Arc<AtomicU64>);

impl Responses {
    /// Counts a response until the guard is dropped.
    pub fn begin(&self) -> Response {
        self.0.fetch_add(1, Ordering::SeqCst);
        Response(Arc::clone(&self.0))
    }

    /// Responses on their way.
    pub fn open(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Response {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Shared {
    /// What the tasks of a node share, before any of them runs.
    pub fn new(
        settings: NodeSettings,
        tables: Arc<Tables>,
        desk: Arc<Desk>,
        run: Incarnation,
    ) -> Self {
        Self {
            settings,
            tables,
            desk,
            gossip_now: Notify::new(),
            stop: Notify::new(),
            responses: Responses::default(),
            run,
            requests: AtomicU64::new(1),
        }
    }

    /// The clock.
    pub fn clock(&self) -> &Arc<dyn Clock> {
        &self.desk.borders.clock
    }

    /// Runs a job of a duty on the pool; absent when the node ends.
    pub async fn work<F, T>(&self, job: F) -> Option<T>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Send + 'static,
    {
        self.desk.pool.run_unbounded(job).await.ok()
    }

    /// A number for a request, unique over nodes.
    pub fn request_id(&self) -> String {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.node, self.run)
    }
}
