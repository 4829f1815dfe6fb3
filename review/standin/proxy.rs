//! The link between a node and the store: of limited bandwidth, and cut for a while.

use crate::http::listen;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes that are passed on at once.
const PIECE: usize = 16 * 1024;

struct Inner {
    target: String,
    bytes_per_s: f64,
    is_cut: AtomicBool,
    /// Number of cuts so far; a connection that lived through one passes nothing on any more.
    cuts: AtomicU64,
    /// Time at which the link has passed on what it was given, towards the node.
    free_at: Mutex<Instant>,
}

#[derive(Clone)]
pub struct Link {
    pub address: String,
    inner: Arc<Inner>,
}

impl Link {
    pub fn spawn(target: &str, mbps: f64) -> Self {
        let (listener, address) = listen();
        let inner = Arc::new(Inner {
            target: target.to_owned(),
            bytes_per_s: mbps * 1e6 / 8.0,
            is_cut: AtomicBool::new(false),
            cuts: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        });
        let link = Self { address, inner };
        let accepting = link.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let link = accepting.clone();
                thread::spawn(move || link.connect(client));
            }
        });
        link
    }

    /// Cuts the link in both directions, or heals it.
    pub fn cut(&self, is_cut: bool) {
        if is_cut {
            self.inner.cuts.fetch_add(1, Ordering::Relaxed);
        }
        self.inner.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn connect(&self, client: TcpStream) {
        let cuts = self.inner.cuts.load(Ordering::Relaxed);
        while self.inner.is_cut.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        let Ok(server) = TcpStream::connect(&self.inner.target) else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(from_client), Ok(to_client)) = (client.try_clone(), client.try_clone()) else {
            return;
        };
        let (Ok(from_server), Ok(to_server)) = (server.try_clone(), server.try_clone()) else {
            return;
        };
        let link = self.clone();
        thread::spawn(move || link.pass_on(from_client, to_server, cuts, false));
        self.pass_on(from_server, to_client, cuts, true);
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream, cuts: u64, is_limited: bool) {
        let mut buf = [0; PIECE];
        while let Ok(count) = from.read(&mut buf) {
            let is_dead = || {
                self.inner.is_cut.load(Ordering::Relaxed)
                    || self.inner.cuts.load(Ordering::Relaxed) != cuts
            };
            while self.inner.is_cut.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            if is_limited && count > 0 {
                self.wait_for_link(count);
            }
            if count == 0 || is_dead() || to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }

    fn wait_for_link(&self, count: usize) {
        let free_at = {
            let mut free_at = self.inner.free_at.lock().unwrap();
            let time = Duration::from_secs_f64(count as f64 / self.inner.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        thread::sleep(free_at.saturating_duration_since(Instant::now()));
    }
}
