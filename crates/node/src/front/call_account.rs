//! Calls in the account of what callers hold, found by the connection that they came on.

use {
    crate::{
        front::{connections::Listener, incoming_body::no_room, response::Reply},
        shared::Shared,
    },
    std::net::SocketAddr,
    turmerictack_model::outcome::Failure,
    turmerictack_serving::{client_gate::NoRoom, request_account::RequestGuard},
};

/// Counts a request whose head is complete on its connection, if that is counted.
pub async fn begin(
    shared: &Shared,
    remote: Option<SocketAddr>,
) -> (Option<RequestGuard>, Result<(), Failure>) {
    let Some(account) = shared.tables.request_account(Listener::Callers, remote) else {
        return (None, Ok(()));
    };
    let (guard, begun) = account.begin_relayed().await;
    (Some(guard), begun.map_err(|NoRoom| no_room(&shared.callers)))
}

/// Takes the room of a response, for a call that is complete.
pub async fn reserve_response(shared: &Shared, remote: Option<SocketAddr>) -> Result<(), Failure> {
    let Some(account) = shared.tables.request_account(Listener::Callers, remote) else {
        return Ok(());
    };
    account.reserve_response().await.map_err(|NoRoom| no_room(&shared.callers))
}

/// Records the size of a complete response, or that it is a stream.
pub fn record_reply(shared: &Shared, remote: Option<SocketAddr>, reply: &Reply) {
    let Some(account) = shared.tables.request_account(Listener::Callers, remote) else { return };
    match reply {
        Reply::Complete { body, .. } => account.set_response_bytes(body.len()),
        Reply::Events(_) => account.set_streaming(),
        Reply::Failed(_) => {}
    }
}
