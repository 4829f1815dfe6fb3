//! Interface to the instance list.

use {
    crate::error::StoreError,
    async_trait::async_trait,
    serde::{Deserialize, Serialize},
    turmerictack_model::ids::{Address, DataCentre, FabricDomain, InstanceId, PoolName},
};

/// Pool label of the turmerictack nodes themselves.
pub const NODE_POOL: &str = "turmerictack";

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// The instance is in use.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// Entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address on which an upstream accepts calls, or a node accepts its peers.
    pub address: Address,
    /// Label that assigns the instance to a service.
    pub pool: PoolName,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
    /// Fabric domain, for instances of model engines.
    #[serde(default)]
    pub fabric_domain: Option<FabricDomain>,
    /// State of the instance.
    pub state: InstanceState,
}

/// Client for the instance list of the platform.
///
/// The list lags behind the actual state of the instances.
#[async_trait]
pub trait InstanceList: Send + Sync {
    /// Lists all instances.
    async fn instances(&self) -> Result<Vec<Instance>, StoreError>;
}
