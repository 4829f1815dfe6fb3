//! Aliases for the ids and units that travel between packages.

/// Name of a turmerictack node, unique in a deployment.
pub type NodeId = String;
/// Name of an instance (a machine of an upstream or of a node).
pub type InstanceId = String;
/// Name of a replica group.
pub type GroupId = String;
/// Name of a caller, as the services text gives it.
pub type CallerId = String;
/// Name of a service in the services text.
pub type ServiceId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Name of a fabric domain.
pub type FabricDomain = String;
/// Label that ties instances of the platform's list to a service.
pub type PoolName = String;
/// `host:port` of a process, the host an IP number.
pub type Address = String;
/// Key that a caller gives to a call that must not be repeated.
pub type IdempotencyKey = String;
/// Number of a call, unique in one run of a node.
pub type CallId = u64;
/// Number of one attempt to serve a call, unique over nodes and restarts.
pub type AttemptId = u64;
/// Random number that names one writer's change of an object.
pub type Nonce = u64;
/// Fencing number of a replica group; grows within a fabric domain.
pub type Epoch = u64;
/// Number of an accepted services text; grows by one with each.
pub type Revision = u64;
/// Number of a run of a node; grows with each restart and refutation.
pub type Incarnation = u64;
/// Version that the platform gives to an object.
pub type Version = u64;
/// Count of model tokens.
pub type Tokens = u64;
/// Position of a chunk in an answer, from 0.
pub type ChunkIndex = u64;
/// Id that a caller gives to one try of a request.
pub type RequestId = String;
/// Key that names a client account.
pub type ApiKey = String;
/// Name of a client account.
pub type AccountId = String;
/// Name of a route.
pub type RouteId = String;
/// Name of a model.
pub type ModelId = String;
/// Position of an event in a stream, as the upstream numbers it.
pub type EventPosition = u64;
