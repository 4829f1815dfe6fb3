//! Bytes of a tunnel over one HTTP/2 stream.

use {
    super::COPY_BUFFER_BYTES,
    bytes::Bytes,
    h2::{FlowControl, Reason, RecvStream, SendStream},
    std::{
        collections::VecDeque,
        future::poll_fn,
        io,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::{Context, Poll, Waker, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::watch,
        task::JoinHandle,
    },
};

/// End of a tunnel; dropping it resets the tunnel unless both directions have ended.
///
/// A clean end of the other side is read as an end of file. If it was reset, or the peer was lost,
/// reads and writes fail with [`io::ErrorKind::ConnectionReset`].
#[derive(Debug)]
pub struct TunnelStream {
    pub(super) reader: TunnelReader,
    pub(super) writer: TunnelWriter,
    resets_on_drop: bool,
    _place: Option<Place>,
}

impl TunnelStream {
    pub(super) fn new(writer: TunnelWriter, body: RecvStream, place: Option<Place>) -> Self {
        let reader = TunnelReader::new(body);
        Self { reader, writer, resets_on_drop: true, _place: place }
    }

    /// Lets bytes that wait to be sent reach the peer after the drop.
    pub(super) fn finish(mut self) {
        self.resets_on_drop = false;
    }
}

impl Drop for TunnelStream {
    fn drop(&mut self) {
        let has_ended = self.writer.is_shut_down && self.reader.has_ended;
        if self.resets_on_drop && !has_ended {
            self.writer.body.send_reset(Reason::CANCEL);
        }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.reader).poll_read(cx, buf)
    }
}

impl AsyncWrite for TunnelStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(cx)
    }
}

/// Place of a tunnel among those of its connection.
#[derive(Debug)]
pub(super) struct Place(watch::Sender<usize>);

impl Place {
    /// Counts one more tunnel; `None` if there are `limit` already.
    pub(super) fn take(tunnels: &watch::Sender<usize>, limit: usize) -> Option<Self> {
        let take = |count: &mut usize| {
            let is_free = *count < limit;
            *count += usize::from(is_free);
            is_free
        };
        tunnels.send_if_modified(take).then(|| Self(tunnels.clone()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// How the receiving direction ended.
#[derive(Clone, Copy, Debug)]
enum End {
    Clean,
    Reset,
}

/// Bytes that have arrived and are not read yet; the stream's window bounds them.
#[derive(Debug, Default)]
struct Inbox {
    bytes: VecDeque<u8>,
    end: Option<End>,
    reader: Option<Waker>,
}

impl Inbox {
    fn push(&mut self, data: &[u8]) {
        let free = self.bytes.capacity() - self.bytes.len();
        if free < data.len() {
            // Amortized growth would take up to twice the window.
            self.bytes.reserve_exact(data.len().next_multiple_of(COPY_BUFFER_BYTES));
        }
        self.bytes.extend(data);
    }

    /// Moves bytes to `buf`; returns their count.
    fn pop(&mut self, buf: &mut ReadBuf<'_>) -> usize {
        let (bytes, _) = self.bytes.as_slices();
        let count = bytes.len().min(buf.remaining());
        buf.put_slice(&bytes[..count]);
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            // An idle tunnel holds no memory.
            self.bytes = VecDeque::new();
        }
        count
    }
}

fn lock(inbox: &Mutex<Inbox>) -> MutexGuard<'_, Inbox> {
    inbox.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Moves bytes into the inbox as they arrive.
///
/// Frames that stayed in the connection's queue could be tiny and take up far more memory than
/// their bytes, which the window counts.
async fn receive(mut body: RecvStream, inbox: Arc<Mutex<Inbox>>) {
    let mut end = None;
    while end.is_none() {
        let data = body.data().await;
        let mut inbox = lock(&inbox);
        match data {
            Some(Ok(data)) => inbox.push(&data),
            Some(Err(_)) => end = Some(End::Reset),
            None => end = Some(End::Clean),
        }
        inbox.end = end;
        if let Some(reader) = inbox.reader.take() {
            reader.wake();
        }
    }
}

/// Receiving direction of a tunnel.
#[derive(Debug)]
pub(super) struct TunnelReader {
    inbox: Arc<Mutex<Inbox>>,
    flow_control: FlowControl,
    receiver: JoinHandle<()>,
    has_ended: bool,
}

impl TunnelReader {
    fn new(mut body: RecvStream) -> Self {
        let flow_control = body.flow_control().clone();
        let inbox = Arc::default();
        let receiver = tokio::spawn(receive(body, Arc::clone(&inbox)));
        Self { inbox, flow_control, receiver, has_ended: false }
    }
}

impl Drop for TunnelReader {
    fn drop(&mut self) {
        self.receiver.abort();
    }
}

impl AsyncRead for TunnelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inbox = lock(&self.inbox);
        let count = inbox.pop(buf);
        if count == 0 && buf.remaining() > 0 {
            let Some(end) = inbox.end else {
                inbox.reader = Some(cx.waker().clone());
                return Poll::Pending;
            };
            drop(inbox);
            self.has_ended = matches!(end, End::Clean);
            return Poll::Ready(match end {
                End::Clean => Ok(()),
                End::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            });
        }
        drop(inbox);
        // Fails only if the stream has ended, when the window doesn't matter any more.
        let _ = self.flow_control.release_capacity(count);
        Poll::Ready(Ok(()))
    }
}

/// Sending direction of a tunnel.
#[derive(Debug)]
pub(super) struct TunnelWriter {
    body: SendStream<Bytes>,
    is_shut_down: bool,
}

impl TunnelWriter {
    pub(super) fn new(body: SendStream<Bytes>) -> Self {
        Self { body, is_shut_down: false }
    }

    /// Waits until the peer resets the tunnel or is lost.
    pub(super) async fn wait_for_reset(&mut self) -> io::Error {
        let _ = poll_fn(|cx| self.body.poll_reset(cx)).await;
        io::ErrorKind::ConnectionReset.into()
    }
}

impl AsyncWrite for TunnelWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_shut_down {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let reset = || io::Error::from(io::ErrorKind::ConnectionReset);
        self.body.reserve_capacity(buf.len().min(COPY_BUFFER_BYTES));
        while self.body.capacity() == 0 && !buf.is_empty() {
            match ready!(self.body.poll_capacity(cx)) {
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return Poll::Ready(Err(reset())),
            }
        }
        let count = buf.len().min(self.body.capacity()).min(COPY_BUFFER_BYTES);
        if count > 0 {
            let data = Bytes::copy_from_slice(&buf[..count]);
            self.body.send_data(data, false).map_err(|_| reset())?;
        }
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_shut_down {
            let end = self.body.send_data(Bytes::new(), true);
            end.map_err(|_| io::Error::from(io::ErrorKind::ConnectionReset))?;
            self.is_shut_down = true;
        }
        Poll::Ready(Ok(()))
    }
}
