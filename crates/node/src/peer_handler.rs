//! Handler of requests from other nodes.

use {
    crate::{background::gossip, shared::Shared},
    async_trait::async_trait,
    std::sync::{Arc, Weak},
    turmerictack_protocol::{
        message::{Gossip, PeerRequest, PeerResponse},
        server::PeerHandler,
    },
};

/// Answers requests from the tables of a node while the node is running.
pub struct PeerRequestHandler(pub Weak<Shared>);

#[async_trait]
impl PeerHandler for PeerRequestHandler {
    async fn handle(&self, request: PeerRequest) -> PeerResponse {
        let Some(shared) = self.0.upgrade() else {
            return PeerResponse::Busy;
        };
        match request {
            PeerRequest::Probe(theirs) => probe(&shared, theirs).await,
            PeerRequest::IndirectProbe { gossip: theirs, address, .. } => {
                gossip::receive(&shared, theirs).await;
                let ours = shared.gossip();
                let result =
                    shared.proxy.interfaces.peers.send(&address, &PeerRequest::Probe(ours)).await;
                PeerResponse::ProbeResult(matches!(result, Ok(PeerResponse::Ack(_))))
            }
            PeerRequest::Settings { known_revision } => settings(&shared, known_revision),
            // Nodes behind the stand-in platform read it themselves.
            PeerRequest::Changes { .. } => PeerResponse::Busy,
            PeerRequest::Reports { run, last_change } => {
                let job_shared = Arc::clone(&shared);
                let response = shared.run_job(move || {
                    let now = job_shared.clock().now();
                    job_shared.tables.groups.lock().reports_since(now, run, last_change)
                });
                response.await.unwrap_or(PeerResponse::Busy)
            }
        }
    }
}

async fn probe(shared: &Arc<Shared>, theirs: Gossip) -> PeerResponse {
    let job_shared = Arc::clone(shared);
    tokio::spawn(async move { gossip::receive(&job_shared, theirs).await });
    let job_shared = Arc::clone(shared);
    shared.run_job(move || job_shared.gossip()).await.map_or(PeerResponse::Busy, PeerResponse::Ack)
}

fn settings(shared: &Shared, known_revision: u64) -> PeerResponse {
    let active = shared.tables.settings.lock();
    let newer = active.revision > known_revision;
    PeerResponse::Settings {
        revision: active.revision.max(known_revision),
        text: newer.then(|| active.text.to_string()),
    }
}
