//! Interface to model engines.

use {
    crate::{error::UpstreamError, gate::SendGate},
    async_trait::async_trait,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    turmerictack_model::{
        ids::{Address, AttemptId, ChunkIndex, Epoch, GroupId, InstanceId},
        rank::Rank,
    },
};

/// One attempt to call a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GenerateRequest {
    /// Address of the group's first member, which serves the calls of the group.
    pub address: Address,
    /// Path of the API endpoint.
    pub path: String,
    /// Request of the caller, a JSON object.
    pub body: Bytes,
    /// Attempt id, which the engine must echo.
    pub attempt: AttemptId,
    /// Group that must serve the call.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: Epoch,
    /// Rank of the call, passed to the engine as its priority.
    pub rank: Rank,
    /// First chunk to generate; chunks before it were already delivered.
    pub resume_from: ChunkIndex,
}

/// One chunk of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Attempt id that the engine echoed.
    pub attempt: AttemptId,
    /// Position of the chunk in the response.
    pub index: ChunkIndex,
    /// Text of the chunk.
    pub text: String,
}

/// Item of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A chunk of text.
    Chunk(Chunk),
    /// Terminal item: the response is complete.
    End {
        /// Attempt id that the engine echoed.
        attempt: AttemptId,
        /// Number of chunks in the complete response.
        chunks: ChunkIndex,
        /// Finish reason that the engine gave.
        finish_reason: String,
    },
}

/// Streamed response of an engine; dropping it cancels the call at the engine.
#[async_trait]
pub trait ResponseStream: Send {
    /// Waits for the next items and returns all that have arrived.
    ///
    /// The result is empty if the stream ended; that is premature unless [`StreamItem::End`] was
    /// received before.
    async fn next(&mut self) -> Result<Vec<StreamItem>, UpstreamError>;
}

/// Replica group that an instance reports as its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMembership {
    /// Id of the group.
    pub group: GroupId,
    /// Epoch of the group, as given in the order that formed it.
    pub epoch: Epoch,
    /// All members; the first one serves the calls of the group.
    pub members: Vec<InstanceId>,
}

/// Health report of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Instance that the report is about.
    pub instance: InstanceId,
    /// Group of the instance, if it belongs to one.
    pub membership: Option<GroupMembership>,
    /// Highest fencing token that the instance has seen.
    pub fence: Epoch,
    /// Model that the instance has loaded.
    pub model: Option<String>,
    /// Whether the model is ready to serve calls.
    pub ready: bool,
    /// Whether the instance is about to be stopped.
    pub leaving: bool,
    /// Number of running calls; may be out of date.
    pub running: u32,
    /// Recent reports of the other members, which the first member of a group relays.
    #[serde(rename = "heard")]
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub member_reports: Vec<MemberReport>,
    /// Age of the oldest report in `member_reports` when the response was created.
    #[serde(skip)]
    pub member_reports_age: Duration,
}

/// Order to an instance of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "lowercase")]
pub enum Order {
    /// Joins a group and loads a model.
    Assign {
        /// Fencing token, which is also the epoch of the group.
        fence: Epoch,
        /// Id of the group.
        group: GroupId,
        /// All members; the first one serves the calls of the group.
        members: Vec<InstanceId>,
        /// Addresses of the members in the same order.
        addresses: Vec<Address>,
        /// Model to load.
        model: String,
    },
    /// Leaves the current group, whichever it is.
    Release {
        /// Fencing token.
        fence: Epoch,
    },
}

/// Client for model engines.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Sends a call as soon as `gate` releases it and returns the stream of its response.
    async fn generate(
        &self,
        call: GenerateRequest,
        gate: Arc<dyn SendGate>,
    ) -> Result<Box<dyn ResponseStream>, UpstreamError>;

    /// Requests the report of an instance.
    ///
    /// If a pooled connection fails or times out, the request is repeated on a new one.
    async fn report(&self, address: &str) -> Result<MemberReport, UpstreamError>;

    /// Sends an order to an instance.
    async fn send_order(&self, address: &str, order: &Order) -> Result<(), UpstreamError>;
}
