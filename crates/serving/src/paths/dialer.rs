//! Dials instances directly, and through a peer where the direct path is lost or slow.

use {
    super::{
        DIRECT_HEAD_START, DIRECT_TIMEOUT, DialPlan, FailedDial, PathLoss,
        recorder::PathRecorder,
        tunnel::{NoTunnel, OpenTunnel, TunnelOpener},
    },
    crate::{
        interfaces::{
            ByteStream, Dialer, DialledStream, PathObserver, REFUSAL_TIMEOUT, StreamPath,
            TunnelDialer,
        },
        tables::Tables,
    },
    async_trait::async_trait,
    cadence::StatsdClient,
    futures::future::BoxFuture,
    std::{
        io,
        sync::{Arc, OnceLock, Weak},
        time::{Duration, Instant},
    },
    tokio::{pin, select, time::timeout},
    turmerictack_model::{
        clock::Clock,
        ids::{Address, DataCentre, InstanceId},
    },
};

/// What a [`PathDialer`] needs to know of its node.
pub struct DialContext {
    /// Shared tables.
    pub tables: Arc<Tables>,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Metrics client.
    pub metrics: Arc<StatsdClient>,
    /// Data centre of this node.
    pub data_centre: DataCentre,
}

/// Dialer that races the direct path against a tunnel through a peer, as RFC 8305 does with address
/// families.
///
/// A tunnel is a plain connection through one other node. Whichever path opens first is used, and the
/// other one is dropped before any byte is sent.
pub struct PathDialer {
    direct: Arc<dyn Dialer>,
    opener: TunnelOpener,
    recorder: Arc<PathRecorder>,
}

/// A direct dial under way.
struct DirectDial {
    dialling: BoxFuture<'static, io::Result<Box<dyn ByteStream>>>,
    began_at: Instant,
}

impl PathDialer {
    /// Creates a dialer over the direct one and one for tunnels.
    pub fn new(
        direct: Arc<dyn Dialer>,
        tunnels: Arc<dyn TunnelDialer>,
        context: DialContext,
    ) -> Self {
        let DialContext { tables, clock, metrics, data_centre } = context;
        let observer = OnceLock::new();
        let recorder = Arc::new(PathRecorder { tables, clock, metrics, observer });
        let opener = TunnelOpener { tunnels, recorder: Arc::clone(&recorder), data_centre };
        Self { direct, opener, recorder }
    }

    /// Sets who is told of lost and restored paths; only the first call has an effect.
    pub fn set_observer(&self, observer: Weak<dyn PathObserver>) {
        let _ = self.recorder.observer.set(observer);
    }

    fn has_just_crashed(&self, instance: &InstanceId) -> bool {
        let now = self.recorder.clock.now();
        self.recorder.tables.paths.lock().has_just_crashed(now, instance)
    }

    fn is_isolated(&self) -> bool {
        let now = self.recorder.clock.now();
        self.recorder.tables.paths.lock().is_isolated(now)
    }

    fn dial_directly(&self, instance: &InstanceId, address: &Address) -> DirectDial {
        let (direct, recorder) = (Arc::clone(&self.direct), Arc::clone(&self.recorder));
        let (instance, address) = (instance.clone(), address.clone());
        let began_at = recorder.clock.now();
        let dialling = Box::pin(async move {
            let dial = direct.dial(&instance, &address);
            pin!(dial);
            let result = match timeout(DIRECT_TIMEOUT, &mut dial).await {
                Ok(result) => result,
                Err(_) => {
                    recorder.record_direct_failure(&instance);
                    dial.await
                }
            };
            match &result {
                Ok(_) => recorder.record_open(&instance),
                Err(error) if loss_of(error).is_some() => recorder.record_direct_failure(&instance),
                Err(_) => {}
            }
            result
        });
        DirectDial { dialling, began_at }
    }

    /// Dials directly, and through a peer as well if that fails or takes longer than `head_start`.
    async fn race(
        &self,
        instance: &InstanceId,
        address: &Address,
        head_start: Duration,
    ) -> io::Result<DialledStream> {
        let mut direct = self.dial_directly(instance, address);
        match timeout(head_start, &mut direct.dialling).await {
            Ok(Ok(stream)) => return Ok(use_direct(stream)),
            Ok(Err(error)) => {
                return self.tunnel_after(instance, address, direct.began_at, error).await;
            }
            Err(_) => {}
        }
        let tunnel = self.opener.open(instance, address);
        pin!(tunnel);
        select! {
            biased;
            result = &mut direct.dialling => match result {
                Ok(stream) => Ok(use_direct(stream)),
                Err(error) => {
                    let tunnel = tunnel.await;
                    self.conclude(instance, direct.began_at, error, tunnel)
                }
            },
            result = &mut tunnel => match result {
                Ok(tunnel) => Ok(self.use_tunnel(instance, tunnel, direct)),
                Err(failures) => self.finish_direct(instance, direct, failures).await,
            },
        }
    }

    /// Dials through a peer after the direct dial has failed.
    async fn tunnel_after(
        &self,
        instance: &InstanceId,
        address: &Address,
        began_at: Instant,
        error: io::Error,
    ) -> io::Result<DialledStream> {
        if loss_of(&error).is_none() {
            return Err(error);
        }
        let tunnel = self.opener.open(instance, address).await;
        self.conclude(instance, began_at, error, tunnel)
    }

    /// Dials through a peer, and directly if that fails.
    async fn tunnel_first(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> io::Result<DialledStream> {
        match self.opener.open(instance, address).await {
            Ok(tunnel) => Ok(self.keep_tunnel(tunnel)),
            Err(failures) => {
                let direct = self.dial_directly(instance, address);
                self.finish_direct(instance, direct, failures).await
            }
        }
    }

    /// Waits for a direct dial after the tunnels have failed.
    async fn finish_direct(
        &self,
        instance: &InstanceId,
        direct: DirectDial,
        failures: NoTunnel,
    ) -> io::Result<DialledStream> {
        match direct.dialling.await {
            Ok(stream) => Ok(use_direct(stream)),
            Err(error) => self.conclude(instance, direct.began_at, error, Err(failures)),
        }
    }

    /// Draws the conclusions from a direct dial that failed with `error`, and how the tunnel ended.
    fn conclude(
        &self,
        instance: &InstanceId,
        began_at: Instant,
        error: io::Error,
        tunnel: Result<OpenTunnel, NoTunnel>,
    ) -> io::Result<DialledStream> {
        match tunnel {
            Ok(tunnel) => {
                if let Some(how) = loss_of(&error) {
                    self.record_loss(instance, &tunnel, began_at, how);
                }
                Ok(self.keep_tunnel(tunnel))
            }
            Err(failures) => {
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                if is_refused && failures.confirms_refusal() {
                    self.recorder.record_crash(instance);
                }
                Err(error)
            }
        }
    }

    /// Uses a tunnel that opened before the direct connection, and watches how the direct dial ends.
    fn use_tunnel(
        &self,
        instance: &InstanceId,
        tunnel: OpenTunnel,
        direct: DirectDial,
    ) -> DialledStream {
        let (recorder, instance) = (Arc::clone(&self.recorder), instance.clone());
        let (peer, tunnel_began_at) = (tunnel.peer.clone(), tunnel.began_at);
        let DirectDial { dialling, began_at } = direct;
        let elapsed = recorder.clock.now().saturating_duration_since(began_at);
        tokio::spawn(async move {
            let how = match timeout(DIRECT_TIMEOUT.saturating_sub(elapsed), dialling).await {
                Ok(Ok(_)) => return,
                Ok(Err(error)) => loss_of(&error),
                Err(_) => Some(PathLoss::TimedOut),
            };
            if let Some(how) = how {
                let dial = FailedDial { began_at, tunnel_began_at, how };
                recorder.record_failure(&instance, &peer, dial);
            }
        });
        self.keep_tunnel(tunnel)
    }

    fn keep_tunnel(&self, tunnel: OpenTunnel) -> DialledStream {
        self.recorder.record_tunnel();
        let OpenTunnel { stream, peer, .. } = tunnel;
        DialledStream { stream, path: StreamPath::Tunnel, peer: Some(peer) }
    }

    fn record_loss(
        &self,
        instance: &InstanceId,
        tunnel: &OpenTunnel,
        began_at: Instant,
        how: PathLoss,
    ) {
        let dial = FailedDial { began_at, tunnel_began_at: tunnel.began_at, how };
        self.recorder.record_failure(instance, &tunnel.peer, dial);
    }
}

#[async_trait]
impl Dialer for PathDialer {
    async fn dial(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> io::Result<Box<dyn ByteStream>> {
        Ok(self.dial_path(instance, address).await?.stream)
    }

    async fn dial_path(
        &self,
        instance: &InstanceId,
        address: &Address,
    ) -> io::Result<DialledStream> {
        let now = self.recorder.clock.now();
        let plan = self.recorder.tables.paths.lock().plan_dial(now, instance);
        match plan {
            DialPlan::DirectOnly => {
                Ok(use_direct(self.dial_directly(instance, address).dialling.await?))
            }
            DialPlan::DirectFirst => self.race(instance, address, DIRECT_HEAD_START).await,
            DialPlan::Both => self.race(instance, address, Duration::ZERO).await,
            DialPlan::TunnelFirst => self.tunnel_first(instance, address).await,
        }
    }

    fn may_reuse(&self, instance: &InstanceId, path: StreamPath, proven_at: Instant) -> bool {
        self.recorder.tables.paths.lock().may_reuse(instance, path, proven_at)
    }

    fn may_keep_through(&self, peer: &Address) -> bool {
        !self.recorder.tables.peers.lock().is_leaving(peer)
    }

    /// Whether an instance refuses this node and, if any can be asked, peers as well.
    ///
    /// A refusal alone may be the sign of a lost path. If a peer does get through, that counts as
    /// evidence of it.
    async fn refuses_connections(&self, instance: &InstanceId, address: &Address) -> bool {
        let dial = self.dial_directly(instance, address);
        match timeout(REFUSAL_TIMEOUT, dial.dialling).await {
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {}
            Ok(_) | Err(_) => return false,
        }
        if self.has_just_crashed(instance) {
            return true;
        }
        let witnesses = self.opener.open_as_witness(instance, address);
        let Ok(result) = timeout(REFUSAL_TIMEOUT, witnesses).await else { return false };
        match result {
            Ok(tunnel) => {
                self.record_loss(instance, &tunnel, dial.began_at, PathLoss::Refused);
                false
            }
            Err(failures) if failures.confirms_refusal() => {
                self.recorder.record_crash(instance);
                true
            }
            Err(failures) => failures.has_no_witness() && !self.is_isolated(),
        }
    }
}

fn use_direct(stream: Box<dyn ByteStream>) -> DialledStream {
    DialledStream { stream, path: StreamPath::Direct, peer: None }
}

/// How a direct path may have been lost if it fails with this error; `None` if the error is one of this
/// node itself.
fn loss_of(error: &io::Error) -> Option<PathLoss> {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::ConnectionReset
        | io::ErrorKind::ConnectionAborted
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => Some(PathLoss::Refused),
        io::ErrorKind::TimedOut => Some(PathLoss::TimedOut),
        _ => None,
    }
}
