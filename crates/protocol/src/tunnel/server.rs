//! Peer's side of tunnels: connects them to instances and copies their bytes.

use {
    super::{
        Answer, COPY_BUFFER_BYTES, TunnelEnd, TunnelFailure, TunnelHandler, read_head,
        stream::{TunnelReader, TunnelStream, TunnelWriter},
        write_head,
    },
    bytes::Bytes,
    h2::{RecvStream, server::SendResponse},
    http::{Request, Response},
    std::{io, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, split},
        sync::{Notify, Semaphore, watch},
        time::timeout,
    },
};

/// Time limit for reading the target of a tunnel.
const TARGET_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for connecting to an instance.
const HANDLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Tunnels of a listener, over all its connections.
pub(crate) struct TunnelService {
    handler: Arc<dyn TunnelHandler>,
    free: Semaphore,
    is_running: watch::Receiver<()>,
}

impl TunnelService {
    /// Serves `max_tunnels` at once until the sender of `is_running` is dropped.
    pub(crate) fn new(
        handler: Arc<dyn TunnelHandler>,
        max_tunnels: usize,
        is_running: watch::Receiver<()>,
    ) -> Self {
        let free = Semaphore::new(max_tunnels.min(Semaphore::MAX_PERMITS));
        Self { handler, free, is_running }
    }

    /// Serves one tunnel until it ends; it is reset when the listener is dropped.
    pub(crate) async fn serve(&self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let Some(stream) = accept(request, respond) else { return };
        let mut is_running = self.is_running.clone();
        tokio::select! {
            () = self.serve_stream(stream) => {}
            _ = is_running.changed() => {}
        }
    }

    async fn serve_stream(&self, mut stream: TunnelStream) {
        let Ok(_permit) = self.free.try_acquire() else {
            return reject(stream, TunnelFailure::Busy).await;
        };
        let target = read_head(&mut stream.reader);
        let Ok(Ok(target)) = timeout(TARGET_TIMEOUT, target).await else { return };
        let end = tokio::select! {
            end = timeout(HANDLER_TIMEOUT, self.handler.connect(target)) => end,
            _ = stream.writer.wait_for_reset() => return,
        };
        let end = match end.unwrap_or(Err(TunnelFailure::Unreachable)) {
            Ok(end) => end,
            Err(failure) => return reject(stream, failure).await,
        };
        if write_head(&mut stream.writer, &Answer::Ok(())).await.is_err() {
            return;
        }
        let TunnelStream { reader, writer, .. } = &mut stream;
        if relay(reader, writer, end).await.is_ok() {
            stream.finish();
        }
    }
}

/// Rejects a tunnel at a listener that serves none.
pub(crate) async fn reject_request(request: Request<RecvStream>, respond: SendResponse<Bytes>) {
    if let Some(stream) = accept(request, respond) {
        reject(stream, TunnelFailure::Busy).await;
    }
}

fn accept(request: Request<RecvStream>, mut respond: SendResponse<Bytes>) -> Option<TunnelStream> {
    let body = respond.send_response(Response::new(()), false).ok()?;
    Some(TunnelStream::new(TunnelWriter::new(body), request.into_body(), None))
}

async fn reject(mut stream: TunnelStream, failure: TunnelFailure) {
    let answer = Answer::Err(failure);
    let is_sent = write_head(&mut stream.writer, &answer).await.is_ok()
        && stream.writer.shutdown().await.is_ok();
    if is_sent {
        stream.finish();
    }
}

/// Copies both directions until they have ended cleanly.
async fn relay(
    reader: &mut TunnelReader,
    writer: &mut TunnelWriter,
    end: Box<dyn TunnelEnd>,
) -> io::Result<()> {
    let (mut end_reader, mut end_writer) = split(end);
    let has_sent = Notify::new();
    let sending = async {
        send(reader, &mut end_writer).await?;
        has_sent.notify_one();
        Ok(())
    };
    let receiving = async {
        receive(&mut end_reader, writer).await?;
        tokio::select! {
            () = has_sent.notified() => Ok(()),
            error = writer.wait_for_reset() => Err(error),
        }
    };
    tokio::try_join!(sending, receiving).map(|_| ())
}

/// Copies the bytes from a tunnel to an instance; fails only if the tunnel was reset.
///
/// An instance that has stopped reading may still have sent a response, which the other direction
/// passes on with its end.
async fn send(
    reader: &mut TunnelReader,
    instance: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buf).await?;
        if count == 0 {
            let _ = instance.shutdown().await;
            return Ok(());
        }
        let written = async {
            instance.write_all(&buf[..count]).await?;
            instance.flush().await
        };
        if written.await.is_err() {
            return Ok(());
        }
    }
}

/// Copies the bytes from an instance to a tunnel; fails if either was reset.
async fn receive(
    instance: &mut (impl AsyncRead + Unpin),
    writer: &mut TunnelWriter,
) -> io::Result<()> {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    loop {
        let count = tokio::select! {
            count = instance.read(&mut buf) => count?,
            error = writer.wait_for_reset() => return Err(error),
        };
        if count == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buf[..count]).await?;
    }
}
