//! What the core reaches beyond itself, each a trait object.

use {
    crate::request::{ResponseHead, UpstreamRequest},
    async_trait::async_trait,
    bytes::Bytes,
    displaydoc::Display,
    std::time::Duration,
    turmerictack_groups::{formation::Order, plan::Plan},
    turmerictack_model::ids::{Address, EventPosition, InstanceId, Version},
};

/// Why an upstream gave no answer to a request.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum SendError {
    /// no byte of the request was sent
    NotSent,
    /// the upstream has no room
    Overloaded,
    /// the upstream refused since instance {0:?} of its group is lost
    GroupBroken(#[error(not(source))] Option<InstanceId>),
    /// the address belongs to another instance, or the instance does not lead a group
    WrongInstance,
    /// the connection ended before a whole answer
    ConnectionLost,
    /// the answer belongs to another request or can't be read
    InvalidResponse,
}

impl SendError {
    /// Whether the upstream certainly did not run the request.
    pub fn is_not_executed(&self) -> bool {
        !matches!(self, Self::ConnectionLost | Self::InvalidResponse)
    }
}

/// One piece of a stream: whole events only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventChunk {
    /// Bytes as the upstream sent them.
    pub bytes: Bytes,
    /// Position of the last event in it.
    pub last_event: Option<EventPosition>,
    /// Position of the first event in it.
    pub first_event: Option<EventPosition>,
}

/// Body of an answer; dropping it before its end cancels the request at the upstream.
#[async_trait]
pub trait ResponseBody: Send {
    /// Next whole events, or nothing at the proper end of the answer.
    ///
    /// # Errors
    /// [`SendError::Broken`] or [`SendError::Garbled`].
    async fn next_events(&mut self) -> Result<Option<EventChunk>, SendError>;

    /// The rest of the body.
    ///
    /// # Errors
    /// [`SendError::Broken`] or [`SendError::Garbled`].
    async fn read_to_end(&mut self) -> Result<Bytes, SendError>;
}

/// An answer that has begun.
pub struct UpstreamResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Whether the upstream ran the request to a good end, as far as the head tells.
    pub is_success: bool,
    /// Its body.
    pub body: Box<dyn ResponseBody>,
}

/// The way to upstreams.
#[async_trait]
pub trait UpstreamClient: Send + Sync {
    /// Sends a request to an instance and waits for the head of its answer.
    ///
    /// # Errors
    /// Any [`SendError`].
    async fn send(
        &self,
        instance: &InstanceId,
        address: &Address,
        request: UpstreamRequest,
    ) -> Result<UpstreamResponse, SendError>;

    /// Closes idle connections to an instance that is gone.
    fn close_idle_connections(&self, instance: &InstanceId);
}

/// What an instance answered to an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderResponse {
    /// accepted
    Accepted,
    /// unfit
    Unfit,
    /// fenced
    Fenced,
    /// another_instance
    AnotherInstance,
    /// no_process
    NoProcess,
    /// unanswered
    Unanswered,
}

/// The way to the instances of groups.
#[async_trait]
pub trait InstanceControl: Send + Sync {
    /// Gives an instance an order.
    async fn send_order(
        &self,
        instance: &InstanceId,
        address: &Address,
        order: &Order,
    ) -> OrderResponse;

    /// Whether the instance answers at all within `wait`.
    async fn probe(&self, instance: &InstanceId, address: &Address, timeout: Duration) -> bool;
}

/// Why the plan could not be read or replaced.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum PlanError {
    /// another node has replaced the plan
    Conflict,
    /// the store did not answer, or refused
    Unavailable,
    /// the stored plan can't be read
    Malformed,
}

/// The stored plan of groups.
#[async_trait]
pub trait PlanStore: Send + Sync {
    /// Reads the plan; version 0 and an empty plan where there is none.
    ///
    /// # Errors
    /// [`PlanError::Unavailable`] or [`PlanError::Malformed`].
    async fn read(&self) -> Result<(Plan, Version), PlanError>;

    /// Replaces the plan if it still has a version, and gives its new version.
    ///
    /// # Errors
    /// Any [`PlanError`].
    async fn replace(&self, plan: &Plan, version: Version) -> Result<Version, PlanError>;
}

/// The way to other nodes: datagrams that may be lost.
#[async_trait]
pub trait PeerTransport: Send + Sync {
    /// Sends a datagram.
    async fn send(&self, to: &Address, datagram: &[u8]);

    /// Waits for a datagram.
    async fn receive(&self) -> Bytes;
}

/// The list of nodes.
#[async_trait]
pub trait NodeList: Send + Sync {
    /// Addresses at which nodes take datagrams; nothing when the list can't be read.
    async fn addresses(&self) -> Option<Vec<Address>>;
}
