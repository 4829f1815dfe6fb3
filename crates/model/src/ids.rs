//! Type aliases for the ids and counters shared by several packages.

use std::collections::BTreeSet;

/// Name of a turmerictack node, unique in a deployment.
pub type NodeId = String;
/// Name of an instance (a machine that runs an upstream or a node).
pub type InstanceId = String;
/// Name of a replica group.
pub type GroupId = String;
/// Name of a caller, as set in the services configuration.
pub type CallerId = String;
/// Name of a service, as set in the services configuration.
pub type ServiceId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Name of a fabric domain: the set of instances whose replica groups share one sequence of epochs.
pub type FabricDomain = String;
/// Label that assigns instances in the platform's instance list to a service.
pub type PoolName = String;
/// `host:port` of a process; the host is an IP address.
pub type Address = String;
/// Key that a caller assigns to a call that must run at most once.
pub type IdempotencyKey = String;
/// Sequence number of a call, unique during one run of a node.
pub type CallId = u64;
/// Number of one attempt to serve a call, unique across nodes and restarts.
pub type AttemptId = u64;
/// Random number that identifies the writer of a stored object, so that a writer can tell whether
/// a write without a response took effect.
pub type Nonce = u64;
/// Fencing token of a replica group; increases within a fabric domain.
pub type Epoch = u64;
/// Revision of the accepted services configuration; each accepted change increments it by one.
pub type Revision = u64;
/// Number of one run of a node; increases with each restart and each refutation of a suspicion.
pub type Incarnation = u64;
/// Version that the platform assigns to a stored object, used for conditional writes.
pub type Version = u64;
/// Number of times that the platform's store came back from an older copy of itself.
pub type Era = u64;
/// Name of an object in the platform's store, unique within its kind.
pub type ObjectName = String;
/// Number of model tokens.
pub type Tokens = u64;
/// Index of a chunk in a streamed response, from 0.
pub type ChunkIndex = u64;
/// Id that a caller assigns to one request; a retry by the caller is a request of its own.
pub type RequestId = String;
/// API key that authenticates a client account.
pub type ApiKey = String;
/// Name of a client account.
pub type AccountId = String;
/// Name of a route.
pub type RouteId = String;
/// Name of a model.
pub type ModelId = String;
/// Position of an event in a stream, as numbered by the upstream.
pub type EventPosition = u64;
/// Id of a part of a prompt, such as a system prompt, that several prompts may have in common.
pub type PromptPartId = u64;
/// Parts of one prompt that other prompts may have in common.
pub type PromptParts = BTreeSet<PromptPartId>;
