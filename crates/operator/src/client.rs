//! Ways to nodes and to the platform.

use {
    crate::{error::CommandError, operation::NodeAccess},
    reqwest::Client,
    serde::de::DeserializeOwned,
    std::time::Duration,
    turmerictack_model::ids::Address,
    turmerictack_platform::http::HttpPlatform,
};

/// Longest wait for a node.
const NODE_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of nodes' operators' listeners.
#[derive(Clone, Debug)]
pub struct NodeClient {
    http: Client,
    key: String,
}

impl NodeClient {
    /// Makes a client; opens no connection yet.
    ///
    /// # Errors
    /// [`CommandError::Client`].
    pub fn new(nodes: &NodeAccess) -> Result<Self, CommandError> {
        let http = Client::builder().no_proxy().timeout(NODE_REQUEST_TIMEOUT).build();
        Ok(Self { http: http.map_err(|_| CommandError::Client)?, key: nodes.key.clone() })
    }

    /// Reads JSON from a node.
    ///
    /// # Errors
    /// [`CommandError::Node`].
    pub async fn get<T: DeserializeOwned>(
        &self,
        node: &Address,
        path: &str,
    ) -> Result<T, CommandError> {
        let unreachable = || CommandError::NodeUnreachable { node: node.clone() };
        let request = self.http.get(format!("http://{node}{path}")).bearer_auth(&self.key);
        let response = request.send().await.map_err(|_| unreachable())?;
        response.json().await.map_err(|_| unreachable())
    }

    /// Asks a node to do something.
    ///
    /// # Errors
    /// [`CommandError::Node`].
    pub async fn post(&self, node: &Address, path: &str) -> Result<(), CommandError> {
        let request = self.http.post(format!("http://{node}{path}")).bearer_auth(&self.key);
        let sent = request.send().await.ok().filter(|r| r.status().is_success());
        sent.map(|_| ()).ok_or_else(|| CommandError::NodeUnreachable { node: node.clone() })
    }

    /// Asks a node to remove something; `false` when it was not there.
    ///
    /// # Errors
    /// [`CommandError::Node`].
    pub async fn delete(&self, node: &Address, path: &str) -> Result<bool, CommandError> {
        let request = self.http.delete(format!("http://{node}{path}")).bearer_auth(&self.key);
        match request.send().await {
            Ok(response) if response.status().is_success() => Ok(true),
            Ok(response) if response.status().as_u16() == 404 => Ok(false),
            _ => Err(CommandError::NodeUnreachable { node: node.clone() }),
        }
    }
}

/// A client of the platform.
///
/// # Errors
/// [`CommandError::Platform`].
pub fn platform_client(url: &str) -> Result<HttpPlatform, CommandError> {
    Ok(HttpPlatform::new(url)?)
}
