//! Buffers for responses that are received as a whole.

use {
    crate::error::UpstreamError,
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    std::fmt::Debug,
};

/// Where responses are buffered.
pub trait ResponseSpace: Debug + Send + Sync {
    /// Starts an empty buffer.
    fn open(&self) -> Box<dyn ResponseBuffer>;
}

/// Buffer of one response.
#[async_trait]
pub trait ResponseBuffer: Send {
    /// Number of bytes in the buffer.
    fn len(&self) -> usize;

    /// Whether the buffer is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a piece, once there is room for it.
    ///
    /// # Errors
    /// [`UpstreamError::Malformed`] if there is none in time, as for a response that is too large.
    async fn push(&mut self, piece: &[u8]) -> Result<(), UpstreamError>;

    /// The complete response.
    ///
    /// # Errors
    /// As for [`Self::push`].
    async fn finish(self: Box<Self>) -> Result<Bytes, UpstreamError>;
}

/// Buffers that nobody counts.
#[derive(Clone, Copy, Debug)]
pub struct UncountedSpace;

impl ResponseSpace for UncountedSpace {
    fn open(&self) -> Box<dyn ResponseBuffer> {
        Box::new(BytesMut::new())
    }
}

#[async_trait]
impl ResponseBuffer for BytesMut {
    fn len(&self) -> usize {
        BytesMut::len(self)
    }

    async fn push(&mut self, piece: &[u8]) -> Result<(), UpstreamError> {
        self.extend_from_slice(piece);
        Ok(())
    }

    async fn finish(self: Box<Self>) -> Result<Bytes, UpstreamError> {
        Ok(self.freeze())
    }
}
