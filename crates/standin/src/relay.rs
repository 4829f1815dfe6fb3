//! A TCP relay before a stand-in or a node, where connections are cut or go silent.

use {
    crate::{error::StandinError, port::ReservedPort},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch::{self, Receiver, Sender},
        task::JoinHandle,
    },
    turmerictack_model::ids::Address,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// What a relay does with connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayMode {
    /// Bytes pass.
    #[default]
    Open,
    /// Open connections are closed and new ones refused.
    Cut,
    /// Connections opened before say nothing any more; new ones work.
    SilentOld,
    /// All connections are accepted and say nothing.
    SilentAll,
}

/// State of the passage, with a number that tells old connections from new ones.
#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    generation: u64,
}

/// A running relay; dropping it ends it.
#[derive(Debug)]
pub struct Relay {
    address: Address,
    state: Arc<Sender<RelayState>>,
    task: JoinHandle<()>,
    _port: Option<ReservedPort>,
}

impl Relay {
    /// Listens on an address and passes bytes to the target; number 0 stands for any free port,
    /// which stays the relay's also while it is cut.
    ///
    /// # Errors
    /// [`StandinError::Io`].
    pub async fn bind(address: &str, target: Address) -> Result<Self, StandinError> {
        let port = if address.ends_with(":0") { Some(ReservedPort::bind()?) } else { None };
        let address = port.as_ref().map_or(address.to_owned(), ReservedPort::address);
        let listener = TcpListener::bind(&address).await?;
        let address = listener.local_addr()?.to_string();
        let (tx, rx) = watch::channel(RelayState { mode: RelayMode::Open, generation: 0 });
        let task = tokio::spawn(accept(listener, target, rx));
        Ok(Self { address, state: Arc::new(tx), task, _port: port })
    }

    /// Where it listens.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Changes what it does with connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            state.generation += 1;
        });
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections; while it is cut there is no listener, so that new ones are refused.
async fn accept(mut listener: TcpListener, target: Address, mut state: Receiver<RelayState>) {
    let Ok(address) = listener.local_addr() else { return };
    loop {
        while state.borrow_and_update().mode != RelayMode::Cut {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        tokio::spawn(forward(stream, target.clone(), state.clone()));
                    }
                }
                changed = state.changed() => if changed.is_err() { return },
            }
        }
        drop(listener);
        while state.borrow_and_update().mode == RelayMode::Cut {
            if state.changed().await.is_err() {
                return;
            }
        }
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(_) => return,
        };
    }
}

async fn forward(stream: TcpStream, target: Address, state: Receiver<RelayState>) {
    let opened_generation = state.borrow().generation;
    let Ok(target_stream) = TcpStream::connect(target.as_str()).await else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = target_stream.set_nodelay(true);
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let upstream_copy = copy(from_caller, to_target, state.clone(), opened_generation);
    let downstream_copy = copy(from_target, to_caller, state, opened_generation);
    tokio::join!(upstream_copy, downstream_copy);
}

/// Passes bytes one way until an end closes or the relay cuts.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: Receiver<RelayState>,
    opened_generation: u64,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let RelayState { mode, generation } = *state.borrow_and_update();
        let silent = match mode {
            RelayMode::Cut => return,
            RelayMode::Open => false,
            RelayMode::SilentOld => opened_generation < generation,
            RelayMode::SilentAll => true,
        };
        if silent {
            if state.changed().await.is_err() {
                return;
            }
            continue;
        }
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            read = from.read(&mut buf) => match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&buf[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
        }
    }
}
