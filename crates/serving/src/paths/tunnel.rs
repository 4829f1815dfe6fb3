//! Opens tunnels through suitable peers.

use {
    super::{
        peers::{TunnelEnds, choose_peers},
        recorder::PathRecorder,
    },
    crate::interfaces::{ByteStream, TunnelDialer, TunnelError},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    turmerictack_model::ids::{Address, DataCentre, InstanceId},
};

/// Maximum number of peers that are asked in one dial.
const MAX_PEERS: usize = 2;

/// Maximum number of peers that are asked whether an instance has crashed.
///
/// Some of them may be cut off too, and not know it yet.
const MAX_WITNESSES: usize = 3;

/// Time without an answer from which a peer counts as silent if the dial is given up, which a check for
/// a crash is after 100 ms in all.
const SILENT_AFTER: Duration = Duration::from_millis(80);

/// Tunnel to an instance.
pub(super) struct OpenTunnel {
    pub(super) stream: Box<dyn ByteStream>,
    pub(super) peer: Address,
    pub(super) began_at: Instant,
}

/// What the peers that were asked for a tunnel said, none of which opened one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NoTunnel {
    /// Peers that the instance refused.
    refused: usize,
    /// Peers that could not reach the instance for another reason.
    unreachable: usize,
}

impl NoTunnel {
    /// Whether the instance refuses peers too.
    pub(super) fn confirms_refusal(self) -> bool {
        self.refused > 0 && self.unreachable == 0
    }

    /// Whether no peer could say anything about the instance.
    pub(super) fn has_no_witness(self) -> bool {
        self.refused == 0 && self.unreachable == 0
    }

    fn add(&mut self, error: TunnelError) {
        match error {
            TunnelError::Refused => self.refused += 1,
            TunnelError::Unreachable => self.unreachable += 1,
            TunnelError::PeerUnreachable | TunnelError::Busy | TunnelError::UnknownInstance => {}
        }
    }
}

/// A peer that is asked for a tunnel; if the dial is given up after a while, it counts as silent.
struct Asked<'a> {
    recorder: &'a PathRecorder,
    instance: &'a InstanceId,
    peer: &'a Address,
    began_at: Instant,
    is_answered: bool,
}

impl Drop for Asked<'_> {
    fn drop(&mut self) {
        let elapsed = self.recorder.clock.now().saturating_duration_since(self.began_at);
        if !self.is_answered && elapsed >= SILENT_AFTER {
            let error = TunnelError::PeerUnreachable;
            self.recorder.record_tunnel_failure(self.instance, self.peer, error);
        }
    }
}

/// Opens tunnels to instances.
pub(super) struct TunnelOpener {
    pub(super) tunnels: Arc<dyn TunnelDialer>,
    pub(super) recorder: Arc<PathRecorder>,
    pub(super) data_centre: DataCentre,
}

impl TunnelOpener {
    /// Opens a tunnel through the first peer that can.
    pub(super) async fn open(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> Result<OpenTunnel, NoTunnel> {
        self.open_through(instance, address, self.peers(instance, MAX_PEERS)).await
    }

    /// Opens a tunnel like [`Self::open`], but asks more peers.
    pub(super) async fn open_as_witness(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> Result<OpenTunnel, NoTunnel> {
        self.open_through(instance, address, self.peers(instance, MAX_WITNESSES)).await
    }

    async fn open_through(
        &self,
        instance: &InstanceId,
        address: &Address,
        peers: Vec<Address>,
    ) -> Result<OpenTunnel, NoTunnel> {
        let mut failures = NoTunnel::default();
        for peer in peers {
            let began_at = self.recorder.clock.now();
            let mut asked = Asked {
                recorder: &self.recorder,
                instance,
                peer: &peer,
                began_at,
                is_answered: false,
            };
            let result = self.tunnels.dial_through(&peer, instance, address).await;
            asked.is_answered = true;
            drop(asked);
            match result {
                Ok(stream) => return Ok(OpenTunnel { stream, peer, began_at }),
                Err(error) => {
                    self.recorder.record_tunnel_failure(instance, &peer, error);
                    failures.add(error);
                }
            }
        }
        Err(failures)
    }

    fn peers(&self, instance: &InstanceId, count: usize) -> Vec<Address> {
        let now = self.recorder.clock.now();
        let tables = &self.recorder.tables;
        let data_centre =
            tables.directory.lock().get(instance).map(|listed| listed.data_centre.clone());
        let failed = tables.paths.lock().failed_peers(now, instance);
        let ends = TunnelEnds {
            instance,
            instance_data_centre: data_centre.as_deref(),
            own_data_centre: &self.data_centre,
        };
        choose_peers(ends, tables.peers.lock().tunnel_peers(now), &failed, count)
    }
}
