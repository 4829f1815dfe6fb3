//! Membership information that nodes exchange by gossip.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    turmerictack_model::ids::{Address, DataCentre, Incarnation, NodeId},
};

/// State of a node as seen by other nodes.
///
/// Of two states for the same incarnation, the greater one overrides the other.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node responds to probes.
    #[display("alive")]
    Alive,
    /// The node did not respond to a probe and can still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The node did not refute the suspicion in time.
    #[display("dead")]
    Dead,
    /// The node announced that it is leaving.
    #[display("left")]
    Left,
}

/// Identity, address and state of one node; sent between nodes as a membership update.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Name of the node.
    pub node: NodeId,
    /// Address at which other nodes reach it.
    pub address: Address,
    /// Data centre in which it runs.
    pub data_centre: DataCentre,
    /// Incarnation; information about a higher one overrides that about a lower one.
    pub incarnation: Incarnation,
    /// State of the node.
    pub state: NodeState,
}
