//! Buffer for a body or a response that arrives in pieces, counted as it grows.

use {
    crate::client_gate::{HeldRoom, NoRoom},
    bytes::Bytes,
    std::time::{Duration, Instant},
};

/// Size of the first buffer, in bytes, unless less is announced.
const FIRST_BUFFER_BYTES: usize = 16 * 1024;

/// Size of the segments in which bytes are received. Buffers of one size leave no gaps between them
/// that the next body can't use.
const SEGMENT_BYTES: usize = 64 * 1024;

/// Interval at which progress is recorded.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes in segments, all full but the last. Pieces are copied, since each would keep the buffer that
/// it was read into.
pub struct BodyBuffer {
    room: HeldRoom,
    /// Size of the first buffer, and maximum size of the first segment, in bytes.
    first_bytes: usize,
    first_limit: usize,
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    len: usize,
    recorded_at: Option<Instant>,
}

impl BodyBuffer {
    /// Empty buffer for `announced` bytes, if that is known.
    pub fn new(room: HeldRoom, announced: Option<usize>) -> Self {
        let first_limit = announced.unwrap_or(usize::MAX).min(SEGMENT_BYTES);
        Self { first_limit, ..Self::with_first(room, FIRST_BUFFER_BYTES) }
    }

    /// Empty buffer that takes `announced` bytes at once, for a sender that can be relied on.
    pub fn exact(room: HeldRoom, announced: usize) -> Self {
        Self { first_limit: announced, ..Self::with_first(room, announced) }
    }

    fn with_first(room: HeldRoom, first_bytes: usize) -> Self {
        Self {
            room,
            first_bytes,
            first_limit: SEGMENT_BYTES,
            full: Vec::new(),
            last: Vec::new(),
            len: 0,
            recorded_at: None,
        }
    }

    /// Number of bytes received.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing has been received.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a piece, once there is room for it.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time.
    pub async fn push(&mut self, mut piece: &[u8]) -> Result<(), NoRoom> {
        self.len += piece.len();
        while !piece.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.grow().await?;
            }
            let fitting = piece.len().min(self.last.capacity() - self.last.len());
            self.last.extend_from_slice(&piece[..fitting]);
            piece = &piece[fitting..];
        }
        self.record_progress();
        Ok(())
    }

    fn record_progress(&mut self) {
        let now = self.room.now();
        if self.recorded_at.is_none_or(|at| now >= at + PROGRESS_INTERVAL) {
            self.room.record_progress(self.len);
            self.recorded_at = Some(now);
        }
    }

    /// Doubles the first segment up to its limit, then adds segments.
    async fn grow(&mut self) -> Result<(), NoRoom> {
        if self.last.capacity() >= self.first_limit {
            self.room.grow(self.capacity() + SEGMENT_BYTES).await?;
            self.full.push(std::mem::replace(&mut self.last, Vec::with_capacity(SEGMENT_BYTES)));
        } else {
            let capacity = (2 * self.last.capacity()).max(self.first_bytes).min(self.first_limit);
            self.room.grow(capacity).await?;
            self.last.reserve_exact(capacity - self.last.len());
        }
        Ok(())
    }

    fn capacity(&self) -> usize {
        self.full.iter().map(Vec::capacity).sum::<usize>() + self.last.capacity()
    }

    /// Joins the segments into one buffer, which gives the room back when it is dropped.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none in time, or the holder has been told to go.
    pub async fn finish(self) -> Result<Bytes, NoRoom> {
        if self.full.is_empty() {
            return self.room.complete(self.last);
        }
        self.room.grow(self.capacity() + self.len).await?;
        let mut buf = Vec::with_capacity(self.len);
        for segment in self.full.into_iter().chain([self.last]) {
            buf.extend_from_slice(&segment);
        }
        self.room.complete(buf)
    }
}
