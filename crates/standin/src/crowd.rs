//! Crowds of clients that hold as much of a node as they can.

use {
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::TcpStream,
        task::JoinSet,
        time::sleep,
    },
};

/// Number of bytes that a client writes at once; a node still reads pieces one by one.
const WRITE_BYTES: usize = 64 * 1024;

/// Size of the value of a header field.
const FIELD_VALUE_BYTES: usize = 150;

/// Pause before a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Bytes that a slow reader reads at once, and the pause before the next ones.
const SLOW_READ_BYTES: usize = 256;
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(250);

/// Header fields of about `bytes` bytes in all.
pub fn long_fields(bytes: usize) -> String {
    let value = "v".repeat(FIELD_VALUE_BYTES);
    let field = |at: usize| format!("x-field-{at:04}: {value}\r\n");
    (0..bytes / field(0).len()).map(field).collect()
}

/// A chunk of a body that is sent in chunks.
pub fn chunk(bytes: usize) -> String {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes))
}

/// What a client reads of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// Everything, as it arrives.
    All,
    /// About 1 KiB per second.
    Slow,
    /// Nothing.
    Nothing,
}

/// What each client of a crowd does on its connection.
#[derive(Clone, Debug)]
pub struct Script {
    /// Bytes that are sent first.
    pub start: Vec<u8>,
    /// Bytes that are sent `times` times after that.
    pub repeated: Vec<u8>,
    /// Number of repetitions.
    pub times: usize,
    /// What the client reads.
    pub reading: Reading,
    /// Whether the client connects again when its connection has been closed.
    pub reconnects: bool,
}

impl Script {
    /// Sends `start`, then `repeated` over and over; reads responses and stays until it is cut off.
    pub fn new(start: impl Into<Vec<u8>>, repeated: impl Into<Vec<u8>>, times: usize) -> Self {
        Self {
            start: start.into(),
            repeated: repeated.into(),
            times,
            reading: Reading::All,
            reconnects: false,
        }
    }

    /// The same with another way of reading.
    pub fn reading(self, reading: Reading) -> Self {
        Self { reading, ..self }
    }

    /// The same from clients that connect again when they are cut off.
    pub fn reconnecting(self) -> Self {
        Self { reconnects: true, ..self }
    }

    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        stream.write_all(&self.start).await?;
        let pieces_a_write = (WRITE_BYTES / self.repeated.len().max(1)).max(1);
        let mut left = self.times;
        while left > 0 {
            let pieces = left.min(pieces_a_write);
            left -= pieces;
            stream.write_all(&self.repeated.repeat(pieces)).await?;
        }
        Ok(())
    }

    /// Keeps the connection open and reads until it has been closed.
    async fn read(&self, stream: &mut TcpStream) {
        let mut buf = vec![0; if self.reading == Reading::Slow { SLOW_READ_BYTES } else { 4096 }];
        match self.reading {
            Reading::Nothing => std::future::pending().await,
            Reading::All => while let Ok(1..) = stream.read(&mut buf).await {},
            Reading::Slow => {
                while let Ok(1..) = stream.read(&mut buf).await {
                    sleep(SLOW_READ_INTERVAL).await;
                }
            }
        }
    }
}

/// Clients that play one script; dropping it closes their connections.
#[derive(Debug)]
pub struct Crowd {
    size: usize,
    /// Clients that have sent their script once, or were cut off before.
    sent: Arc<AtomicUsize>,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts `size` clients of the listener at `address`.
    pub fn spawn(address: &str, script: Script, size: usize) -> Self {
        let (script, sent) = (Arc::new(script), Arc::new(AtomicUsize::new(0)));
        let mut clients = JoinSet::new();
        for _ in 0..size {
            let (address, script, sent) =
                (address.to_owned(), Arc::clone(&script), Arc::clone(&sent));
            clients.spawn(async move { run_client(&address, &script, &sent).await });
        }
        Self { size, sent, _clients: clients }
    }

    /// Whether all clients have sent their script, or as much of it as they could.
    pub fn has_sent(&self) -> bool {
        self.sent.load(Ordering::SeqCst) >= self.size
    }
}

async fn run_client(address: &str, script: &Script, sent: &AtomicUsize) {
    let mut is_first = true;
    loop {
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let result = script.send(&mut stream).await;
            if std::mem::take(&mut is_first) {
                sent.fetch_add(1, Ordering::SeqCst);
            }
            if result.is_ok() || !script.reconnects {
                script.read(&mut stream).await;
            }
            if !script.reconnects {
                // A client that is refused may leave its connection open.
                std::future::pending::<()>().await;
            }
        } else if !script.reconnects && std::mem::take(&mut is_first) {
            sent.fetch_add(1, Ordering::SeqCst);
            return;
        }
        sleep(RECONNECT_DELAY).await;
    }
}
