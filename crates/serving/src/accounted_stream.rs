//! Client connection whose reads and writes are counted: it reads no more of a request head than
//! there is room for, and ends if its client has to go.

use {
    crate::{
        client_gate::{ConnectionRequests, HeadHold, Hold, NoRoom, Shortage},
        request_account::{RequestAccount, STREAM, UNLIMITED},
    },
    std::{
        io,
        pin::Pin,
        sync::{Arc, atomic::Ordering},
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        sync::oneshot,
    },
};

/// Bytes of a request head that an idle connection may read before it has the room of a request.
const FIRST_HEAD_BYTES: usize = 4 * 1024;

/// Wait for room.
type Growing = Pin<Box<dyn Future<Output = Result<(), NoRoom>> + Send>>;

/// Room of a request whose head is arriving.
struct ArrivingHead {
    hold: HeadHold,
    /// `None` once the room is granted.
    growing: Option<Growing>,
}

/// Response that its client does not read as fast as it is sent.
struct Backlog {
    hold: Hold,
    sent: usize,
}

/// Stream of a client connection.
pub struct AccountedStream<S> {
    stream: S,
    account: RequestAccount,
    /// Maximum number of bytes before a handler takes the request.
    max_head_bytes: usize,
    /// Bytes read since the previous request.
    head_bytes: usize,
    head: Option<ArrivingHead>,
    /// Requests that had ended when the latest head began.
    requests_ended: usize,
    backlog: Option<Backlog>,
}

impl<S> AccountedStream<S> {
    /// Counts the requests of a connection, each of which has a head of at most `max_head_bytes`
    /// bytes.
    pub fn new(
        stream: S,
        requests: ConnectionRequests,
        max_head_bytes: usize,
    ) -> (Self, RequestAccount) {
        let account = RequestAccount::new(requests);
        let stream = Self {
            stream,
            account: account.clone(),
            max_head_bytes,
            head_bytes: 0,
            head: None,
            requests_ended: 0,
            backlog: None,
        };
        (stream, account)
    }

    fn is_handled(&self) -> bool {
        self.account.progress.is_handled.load(Ordering::Acquire)
    }

    /// Number of bytes that may be read of a head; waits for the room of a request after the first.
    fn poll_head_allowance(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.head_bytes < FIRST_HEAD_BYTES {
            return Poll::Ready(Ok(FIRST_HEAD_BYTES - self.head_bytes));
        }
        let requests = &self.account.requests;
        let head = self.head.get_or_insert_with(|| {
            let hold = requests.open_head();
            let growing = Some(Box::pin(hold.grow()) as Growing);
            ArrivingHead { hold, growing }
        });
        if poll_eviction(&mut head.hold.evicted, cx) {
            return Poll::Ready(Err(evicted()));
        }
        if let Some(growing) = &mut head.growing {
            ready!(growing.as_mut().poll(cx)).map_err(|NoRoom| evicted())?;
            head.growing = None;
        }
        let left = self.max_head_bytes.saturating_sub(self.head_bytes);
        if left == 0 {
            self.account.progress.handled.register(cx.waker());
            return if self.is_handled() { Poll::Ready(Ok(usize::MAX)) } else { Poll::Pending };
        }
        Poll::Ready(Ok(left))
    }

    fn record_head_bytes(&mut self, read: usize) {
        if self.head_bytes == 0 && read > 0 {
            self.account.requests.record_first_byte();
        }
        self.head_bytes += read;
        if let Some(head) = &self.head {
            head.hold.record_progress(self.head_bytes);
        }
    }

    /// Ends the request if its response is complete.
    fn end_request(&mut self) {
        self.backlog = None;
        let progress = &self.account.progress;
        if self.is_handled() && progress.is_responded.swap(false, Ordering::AcqRel) {
            progress.end(&self.account.requests);
        }
    }

    fn poll_written(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(count)) => {
                if let Some(backlog) = &mut self.backlog {
                    backlog.sent += count;
                    backlog.hold.room.record_progress(backlog.sent);
                }
            }
            Poll::Ready(Err(_)) => {}
            Poll::Pending => {
                let account = &self.account;
                let backlog = self.backlog.get_or_insert_with(|| {
                    let bytes = account.progress.response_bytes.load(Ordering::Relaxed);
                    let hold = account.requests.open_backlog((bytes != STREAM).then_some(bytes));
                    Backlog { hold, sent: 0 }
                });
                if poll_eviction(&mut backlog.hold.evicted, cx) {
                    return Poll::Ready(Err(evicted()));
                }
            }
        }
        result
    }
}

/// Whether a holder has been told to go.
fn poll_eviction(evicted: &mut oneshot::Receiver<Shortage>, cx: &mut Context<'_>) -> bool {
    // A receiver whose sender is gone need not go any more.
    !evicted.is_terminated() && matches!(Pin::new(evicted).poll(cx), Poll::Ready(Ok(_)))
}

fn evicted() -> io::Error {
    io::ErrorKind::ConnectionAborted.into()
}

impl<S: AsyncRead + Unpin> AccountedStream<S> {
    /// Reads at most `limit` bytes.
    fn poll_read_part(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<usize>> {
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        Poll::Ready(Ok(read))
    }

    /// Reads the rest of a request that a handler has, no faster than the handler if this is a relay.
    fn poll_read_request(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let progress = Arc::clone(&self.account.progress);
        if progress.relay_credit.load(Ordering::Relaxed) == UNLIMITED {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        progress.handled.register(cx.waker());
        let credit = progress.relay_credit.load(Ordering::Relaxed);
        if credit == 0 {
            return Poll::Pending;
        }
        let read = ready!(self.poll_read_part(cx, buf, credit.min(buf.remaining())))?;
        let _ =
            progress.relay_credit.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |credit| {
                Some(credit.saturating_sub(read))
            });
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AccountedStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_handled() {
            return this.poll_read_request(cx, buf);
        }
        let requests_ended = this.account.progress.requests_ended.load(Ordering::Acquire);
        if requests_ended != this.requests_ended {
            this.requests_ended = requests_ended;
            this.head_bytes = 0;
            this.head = None;
        }
        let allowed = ready!(this.poll_head_allowance(cx))?.min(buf.remaining());
        let read = ready!(this.poll_read_part(cx, buf, allowed))?;
        this.record_head_bytes(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AccountedStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.poll_written(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.poll_written(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.stream).poll_flush(cx))?;
        this.end_request();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
