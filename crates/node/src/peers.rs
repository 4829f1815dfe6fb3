//! Answers questions of other nodes.

use {
    crate::{duty::gossip, shared::Shared},
    async_trait::async_trait,
    std::sync::{Arc, Weak},
    turmerictack_protocol::{
        message::{Gossip, PeerRequest, PeerResponse},
        server::PeerHandler,
    },
};

/// Answers from the tables of a node, as long as it runs.
pub struct Peers(pub Weak<Shared>);

#[async_trait]
impl PeerHandler for Peers {
    async fn handle(&self, question: PeerRequest) -> PeerResponse {
        let Some(shared) = self.0.upgrade() else {
            return PeerResponse::Busy;
        };
        match question {
            PeerRequest::Probe(theirs) => probe(&shared, theirs).await,
            PeerRequest::IndirectProbe { gossip: theirs, address, .. } => {
                gossip::heard(&shared, theirs).await;
                let ours = shared.gossip();
                let reached =
                    shared.desk.borders.peers.send(&address, &PeerRequest::Probe(ours)).await;
                PeerResponse::ProbeResult(matches!(reached, Ok(PeerResponse::Ack(_))))
            }
            PeerRequest::Settings { known_revision: have } => settings(&shared, have),
            PeerRequest::Reports { run, last_change: seen } => {
                let taken = Arc::clone(&shared);
                let told = shared.work(move || {
                    let now = taken.clock().now();
                    taken.tables.groups.lock().tell(now, run, seen)
                });
                told.await.unwrap_or(PeerResponse::Busy)
            }
        }
    }
}

async fn probe(shared: &Arc<Shared>, theirs: Gossip) -> PeerResponse {
    let taken = Arc::clone(shared);
    tokio::spawn(async move { gossip::heard(&taken, theirs).await });
    let taken = Arc::clone(shared);
    shared.work(move || taken.gossip()).await.map_or(PeerResponse::Busy, PeerResponse::Ack)
}

fn settings(shared: &Shared, have: u64) -> PeerResponse {
    let accepted = shared.tables.settings.lock();
    let newer = accepted.revision > have;
    PeerResponse::Settings {
        revision: accepted.revision.max(have),
        text: newer.then(|| accepted.text.to_string()),
    }
}
