//! Long-lived HTTP/2 stream that carries many request-response exchanges in sequence.
//!
//! A request on a stream of its own costs two HEADERS frames; on a persistent stream it costs none.
//! Each message is preceded by its length, encoded as a variable-length integer by the codec.

use {
    crate::{
        codec::{self, DecodedFrame},
        message::PeerRequest,
        server::PeerHandler,
    },
    bytes::{Bytes, BytesMut},
    h2::{RecvStream, SendStream, client::SendRequest, server::SendResponse},
    http::{Request, Response},
    std::sync::Arc,
    turmerictack_model::ids::Address,
};

/// Request path that opens a persistent stream.
pub(crate) const PERSISTENT_STREAM_PATH: &str = "/lane";

/// Splits the bytes that arrive on a stream into messages.
struct FrameReader {
    body: RecvStream,
    buf: BytesMut,
}

impl FrameReader {
    fn new(body: RecvStream) -> Self {
        Self { body, buf: BytesMut::new() }
    }

    /// Next message; `None` if the stream ended or the frame is malformed.
    async fn next_message(&mut self) -> Option<BytesMut> {
        loop {
            match codec::decode_frame(&mut self.buf) {
                Ok(DecodedFrame::Complete(message)) => return Some(message),
                Ok(DecodedFrame::Incomplete) => {}
                Err(_) => return None,
            }
            let chunk = self.body.data().await?.ok()?;
            self.body.flow_control().release_capacity(chunk.len()).ok()?;
            self.buf.extend_from_slice(&chunk);
        }
    }
}

/// Requesting end of a persistent stream; has at most one request in flight.
pub(crate) struct PersistentStream {
    requests: SendStream<Bytes>,
    responses: FrameReader,
}

impl PersistentStream {
    /// Opens a stream on a connection; `None` if the connection was lost.
    pub(crate) async fn open(sender: SendRequest<Bytes>, address: &Address) -> Option<Self> {
        let mut sender = sender.ready().await.ok()?;
        let request =
            Request::post(format!("http://{address}{PERSISTENT_STREAM_PATH}")).body(()).ok()?;
        let (response, requests) = sender.send_request(request, false).ok()?;
        let responses = FrameReader::new(response.await.ok()?.into_body());
        Some(Self { requests, responses })
    }

    /// Sends a request and reads its response.
    ///
    /// After `None` the stream must not be used again, since a late response would be taken for that
    /// of the next request.
    pub(crate) async fn send(&mut self, message: &Bytes) -> Option<BytesMut> {
        self.requests.send_data(codec::encode_frame(message)?, false).ok()?;
        self.responses.next_message().await
    }
}

/// Handles the requests of a persistent stream in sequence until the peer ends the stream.
pub(crate) async fn serve(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) {
    let Ok(mut responses) = respond.send_response(Response::new(()), false) else { return };
    let mut requests = FrameReader::new(request.into_body());
    while let Some(bytes) = requests.next_message().await {
        let Ok(message) = codec::decode::<PeerRequest>(&bytes) else { return };
        let response = handler.handle(message).await;
        let Some(frame) = codec::encode(&response).ok().and_then(|b| codec::encode_frame(&b))
        else {
            return;
        };
        if responses.send_data(frame, false).is_err() {
            return;
        }
    }
}
