//! Reading of request bodies, within limits and counted.

use {
    crate::front::callers::MAX_BODY_BYTES,
    bytes::Bytes,
    rocket::{
        Data,
        data::{ByteUnit, DataStream},
    },
    std::{future::poll_fn, pin::pin, sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt as _, time::timeout},
    turmerictack_model::outcome::{Failure, FailureCode},
    turmerictack_serving::{
        body_buffer::BodyBuffer,
        client_gate::{ClientGate, NoRoom},
        client_memory::NO_ROOM_RETRY_AFTER,
        request_account::RequestAccount,
    },
};

/// Longest time that a request body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the pieces in which a body is read, in bytes.
const PIECE_BYTES: usize = 16 * 1024;

/// Body of a request that has not been read.
pub struct IncomingBody<'r> {
    /// Bytes as they arrive.
    pub data: Data<'r>,
    /// Announced size, in bytes.
    pub announced: Option<u64>,
    /// Account of its connection, if that is counted.
    pub account: Option<RequestAccount>,
}

impl IncomingBody<'_> {
    /// Reads the body with limits on its size, on the time that it takes, and on what is held for
    /// all callers.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub async fn read(self, limit: u64, gate: &Arc<ClientGate>) -> Result<Bytes, Failure> {
        let limit = limit.min(MAX_BODY_BYTES);
        if self.announced.is_some_and(|bytes| bytes > limit) {
            return Err(Failure::not_run(FailureCode::TooLarge));
        }
        let hold = gate.open_body();
        let announced = self.announced.map(|bytes| bytes as usize);
        let buffer = BodyBuffer::new(hold.room, announced);
        let stream = self.data.open(ByteUnit::Byte(limit + 1));
        tokio::select! {
            read = timeout(BODY_TIMEOUT, receive(stream, limit as usize, buffer, self.account)) => {
                read.unwrap_or(Err(Failure::not_run(FailureCode::BadRequest)))
            }
            Ok(_) = hold.evicted => Err(no_room(gate)),
        }
    }
}

async fn receive(
    mut stream: DataStream<'_>,
    limit: usize,
    mut buffer: BodyBuffer,
    account: Option<RequestAccount>,
) -> Result<Bytes, Failure> {
    let no_room = |NoRoom| overloaded();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let mut reading = pin!(stream.read(&mut piece));
        let read = poll_fn(|cx| {
            let read = reading.as_mut().poll(cx);
            if let Some(account) = account.as_ref().filter(|_| read.is_pending()) {
                account.record_all_read();
            }
            read
        });
        let read = read.await;
        if let (Some(account), Ok(count)) = (&account, &read) {
            account.record_read(*count);
        }
        match read.map_err(|_| Failure::not_run(FailureCode::BadRequest))? {
            0 => return buffer.finish().await.map_err(no_room),
            count if buffer.len() + count > limit => {
                return Err(Failure::not_run(FailureCode::TooLarge));
            }
            count => buffer.push(&piece[..count]).await.map_err(no_room)?,
        }
    }
}

/// Rejection of a request for which there is no room.
pub fn no_room(gate: &ClientGate) -> Failure {
    gate.record_refusal("no_room");
    overloaded()
}

fn overloaded() -> Failure {
    Failure::not_run(FailureCode::Overloaded).with_retry_after(NO_ROOM_RETRY_AFTER)
}
