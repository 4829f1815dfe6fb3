//! HTTP clients for nodes and the platform.

use {
    crate::{error::CommandError, operation::NodeAccess},
    reqwest::Client,
    serde::de::DeserializeOwned,
    std::time::Duration,
    turmerictack_model::ids::Address,
    turmerictack_platform::http::HttpPlatform,
};

/// Timeout of a request to a node.
const NODE_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Client for the operator listeners of nodes.
#[derive(Clone, Debug)]
pub struct NodeClient {
    http: Client,
    key: String,
}

impl NodeClient {
    /// Creates a client without opening a connection.
    ///
    /// # Errors
    /// Returns [`CommandError::Client`] if the HTTP client cannot be created.
    pub fn new(nodes: &NodeAccess) -> Result<Self, CommandError> {
        let http = Client::builder().no_proxy().timeout(NODE_REQUEST_TIMEOUT).build();
        Ok(Self { http: http.map_err(|_| CommandError::Client)?, key: nodes.key.clone() })
    }

    /// Sends a GET request to a node and decodes the JSON response.
    ///
    /// # Errors
    /// Returns [`CommandError::NodeRequestFailed`] if the request fails or the response is not the
    /// expected JSON.
    pub async fn get<T: DeserializeOwned>(
        &self,
        node: &Address,
        path: &str,
    ) -> Result<T, CommandError> {
        let request_failed = || CommandError::NodeRequestFailed { node: node.clone() };
        let request = self.http.get(format!("http://{node}{path}")).bearer_auth(&self.key);
        let response = request.send().await.map_err(|_| request_failed())?;
        response.json().await.map_err(|_| request_failed())
    }

    /// Sends a POST request without a body to a node.
    ///
    /// # Errors
    /// Returns [`CommandError::NodeRequestFailed`] if the request fails.
    pub async fn post(&self, node: &Address, path: &str) -> Result<(), CommandError> {
        let request = self.http.post(format!("http://{node}{path}")).bearer_auth(&self.key);
        let sent = request.send().await.ok().filter(|r| r.status().is_success());
        sent.map(|_| ()).ok_or_else(|| CommandError::NodeRequestFailed { node: node.clone() })
    }

    /// Sends a DELETE request to a node; returns `false` if the node answers with status 404.
    ///
    /// # Errors
    /// Returns [`CommandError::NodeRequestFailed`] if the request fails otherwise.
    pub async fn delete(&self, node: &Address, path: &str) -> Result<bool, CommandError> {
        let request = self.http.delete(format!("http://{node}{path}")).bearer_auth(&self.key);
        match request.send().await {
            Ok(response) if response.status().is_success() => Ok(true),
            Ok(response) if response.status().as_u16() == 404 => Ok(false),
            _ => Err(CommandError::NodeRequestFailed { node: node.clone() }),
        }
    }
}

/// Creates a client for the platform at a base URL.
///
/// # Errors
/// Returns [`CommandError::Platform`] if the URL is invalid or the HTTP client cannot be created.
pub fn platform_client(url: &str) -> Result<HttpPlatform, CommandError> {
    Ok(HttpPlatform::new(url)?)
}
