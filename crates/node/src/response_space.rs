//! Responses of upstreams in the account of what callers hold.

use {
    async_trait::async_trait,
    bytes::Bytes,
    std::{fmt, sync::Arc},
    turmerictack_serving::{
        body_buffer::BodyBuffer,
        client_gate::{ClientGate, NoRoom},
    },
    turmerictack_upstream::{
        error::UpstreamError,
        response_space::{ResponseBuffer, ResponseSpace},
    },
};

/// Buffers that are counted until the response has been read by its caller.
pub struct CountedSpace(pub Arc<ClientGate>);

impl fmt::Debug for CountedSpace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CountedSpace")
    }
}

impl ResponseSpace for CountedSpace {
    fn open(&self) -> Box<dyn ResponseBuffer> {
        Box::new(CountedBuffer(BodyBuffer::new(self.0.open_response(), None)))
    }
}

struct CountedBuffer(BodyBuffer);

#[async_trait]
impl ResponseBuffer for CountedBuffer {
    fn len(&self) -> usize {
        self.0.len()
    }

    async fn push(&mut self, piece: &[u8]) -> Result<(), UpstreamError> {
        self.0.push(piece).await.map_err(|NoRoom| UpstreamError::Malformed)
    }

    async fn finish(self: Box<Self>) -> Result<Bytes, UpstreamError> {
        self.0.finish().await.map_err(|NoRoom| UpstreamError::Malformed)
    }
}
