//! TCP relay in front of a stand-in or a node that simulates network failures.

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

/// How a relay treats connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayMode {
    /// Forward all bytes.
    #[default]
    Open,
    /// Close open connections and refuse new ones.
    Cut,
    /// Forward nothing more on connections opened before the mode was set; new ones work.
    SilentOld,
    /// Accept connections but forward nothing.
    SilentAll,
}

/// Mode with a generation number, which increases with each change and tells old connections from
/// new.
#[derive(Clone, Copy, Debug)]
struct RelayState {
    mode: RelayMode,
    generation: u64,
}

/// A running relay; dropping it closes its listener and its connections.
#[derive(Debug)]
pub struct Relay {
    address: Address,
    state: Arc<Sender<RelayState>>,
    task: JoinHandle<()>,
    _port: Option<ReservedPort>,
}

impl Relay {
    /// Listens on an address and forwards connections to the target. Port 0 selects a free port,
    /// which stays reserved while the relay does not listen in mode [`RelayMode::Cut`].
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

    /// Address that the relay listens on.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Changes the mode, for open connections too.
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

/// Accepts connections; closes the listener in mode `Cut`, so that the system refuses new ones.
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

/// Copies bytes in one direction until either end closes or the mode becomes `Cut`.
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
