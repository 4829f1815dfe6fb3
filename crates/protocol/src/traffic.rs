//! Traffic counters of the connections between nodes.

use {
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Totals over all connections between a node and its peers, whichever side opened them.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    requests: AtomicU64,
}

impl Traffic {
    /// Bytes sent, without TCP and IP headers.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Bytes received, without TCP and IP headers.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received.load(Ordering::Relaxed)
    }

    /// Requests sent to peers.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    pub(crate) fn count_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }
}

/// Byte stream that adds the bytes it transfers to [`Traffic`].
#[derive(Debug)]
pub struct CountingStream<S> {
    stream: S,
    traffic: Arc<Traffic>,
}

impl<S> CountingStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S, traffic: Arc<Traffic>) -> Self {
        Self { stream, traffic }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let count = buf.filled().len() - before;
        self.traffic.bytes_received.fetch_add(count as u64, Ordering::Relaxed);
        poll
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = poll {
            self.traffic.bytes_sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
