//! Whether the client of a request still waits for the response.

use tokio::sync::watch;

/// Presence of a client, for work that goes on after the request's future was dropped.
#[derive(Clone, Debug)]
pub struct ClientPresence(Option<watch::Receiver<()>>);

/// Held while a client waits; dropping it tells that the client has left.
#[derive(Debug)]
pub struct WaitingClient(
    #[expect(dead_code, reason = "held until it is dropped")] watch::Sender<()>,
);

impl ClientPresence {
    /// Follows a client that waits until the returned [`WaitingClient`] is dropped.
    pub fn open() -> (WaitingClient, Self) {
        let (tx, rx) = watch::channel(());
        (WaitingClient(tx), Self(Some(rx)))
    }

    /// Presence of a client whose departure drops the work itself.
    pub fn assumed() -> Self {
        Self(None)
    }

    /// Whether the client has left.
    pub fn has_left(&self) -> bool {
        self.0.as_ref().is_some_and(|rx| rx.has_changed().is_err())
    }

    /// Waits until the client has left.
    pub async fn left(&self) {
        let Some(mut rx) = self.0.clone() else { return std::future::pending().await };
        while rx.changed().await.is_ok() {}
    }
}
