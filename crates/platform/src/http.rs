//! HTTP client for the platform.
//!
//! Objects are read and written with `GET|PUT|DELETE /objects/KEY`; writes are conditional on
//! `If-Match: "VERSION"` or `If-None-Match: *`. `GET /list?prefix=` lists objects, and
//! `GET /watch?prefix=&after=&wait_ms=` waits for changes. `GET /instances` returns the instance
//! list, or status 304 if its entity tag has not changed.

use {
    crate::{
        error::StoreError,
        instance::{Instance, InstanceList},
        store::{Changes, ExpectedState, Object, ObjectStore},
    },
    async_trait::async_trait,
    reqwest::{Client, RequestBuilder, Response, StatusCode, header},
    serde::de::DeserializeOwned,
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    turmerictack_model::ids::Version,
};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a response; the duration of a watch is added to it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed, so that a dead one is not reused.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for the object store and the instance list.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base_url: String,
    pooled_client: Client,
    unpooled_client: Client,
    cached_list: Arc<Mutex<Option<CachedList>>>,
}

/// Instance list with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
    tag: String,
    list: Vec<Instance>,
}

impl HttpPlatform {
    /// Creates a client for the platform at `base_url`; connections are opened on demand.
    ///
    /// # Errors
    /// [`StoreError::Client`].
    pub fn new(base_url: &str) -> Result<Self, StoreError> {
        let builder = || Client::builder().connect_timeout(CONNECT_TIMEOUT).no_proxy();
        let pooled_client = builder().pool_idle_timeout(IDLE_TIMEOUT).build();
        let unpooled_client = builder().pool_max_idle_per_host(0).build();
        Ok(Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            pooled_client: pooled_client.map_err(|_| StoreError::Client)?,
            unpooled_client: unpooled_client.map_err(|_| StoreError::Client)?,
            cached_list: Arc::default(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base_url)
    }

    /// Sends a read on a pooled connection and, if no response arrives, once more on a new one.
    async fn read_with_retry<F>(&self, build: F) -> Result<Response, StoreError>
    where
        F: Fn(&Client) -> RequestBuilder,
    {
        match send(build(&self.pooled_client), RESPONSE_TIMEOUT).await {
            Err(StoreError::Indeterminate) => {
                send(build(&self.unpooled_client), RESPONSE_TIMEOUT).await
            }
            result => result,
        }
    }
}

async fn send(request: RequestBuilder, timeout: Duration) -> Result<Response, StoreError> {
    request.timeout(timeout).send().await.map_err(|e| {
        if e.is_connect() || e.is_builder() {
            StoreError::NotApplied
        } else {
            StoreError::Indeterminate
        }
    })
}

async fn decode_json<T: DeserializeOwned>(response: Response) -> Result<T, StoreError> {
    if !response.status().is_success() {
        return Err(status_error(response.status()));
    }
    response
        .json()
        .await
        .map_err(|e| if e.is_decode() { StoreError::Malformed } else { StoreError::Indeterminate })
}

fn status_error(status: StatusCode) -> StoreError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => StoreError::NotApplied,
        status if status.is_server_error() => StoreError::Indeterminate,
        status => StoreError::Rejected { status: status.as_u16() },
    }
}

async fn conflict_error(response: Response) -> StoreError {
    match response.json::<Option<Object>>().await {
        Ok(current) => StoreError::Conflict { current },
        Err(_) => StoreError::Indeterminate,
    }
}

fn with_precondition(request: RequestBuilder, expected: ExpectedState) -> RequestBuilder {
    match expected {
        ExpectedState::Absent => request.header(header::IF_NONE_MATCH, "*"),
        ExpectedState::Version(version) => {
            request.header(header::IF_MATCH, format!("\"{version}\""))
        }
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let url = self.url(&format!("objects/{key}"));
        let response = self.read_with_retry(|client| client.get(&url)).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(None),
            _ => decode_json(response).await.map(Some),
        }
    }

    async fn put(
        &self,
        key: &str,
        value: String,
        expected: ExpectedState,
    ) -> Result<Version, StoreError> {
        let request = self.pooled_client.put(self.url(&format!("objects/{key}"))).body(value);
        let response = send(with_precondition(request, expected), RESPONSE_TIMEOUT).await?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Err(conflict_error(response).await),
            _ => decode_json(response).await,
        }
    }

    async fn delete(&self, key: &str, version: Version) -> Result<(), StoreError> {
        let request = self.pooled_client.delete(self.url(&format!("objects/{key}")));
        let request = with_precondition(request, ExpectedState::Version(version));
        let response = send(request, RESPONSE_TIMEOUT).await?;
        match response.status() {
            StatusCode::PRECONDITION_FAILED => Err(conflict_error(response).await),
            status if status.is_success() => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let url = self.url("list");
        let response =
            self.read_with_retry(|client| client.get(&url).query(&[("prefix", prefix)])).await?;
        decode_json(response).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        let request = self.unpooled_client.get(self.url("watch")).query(&[
            ("prefix", prefix),
            ("after", &after.to_string()),
            ("wait_ms", &wait.as_millis().to_string()),
        ]);
        decode_json(send(request, wait + RESPONSE_TIMEOUT).await?).await
    }
}

#[async_trait]
impl InstanceList for HttpPlatform {
    async fn instances(&self) -> Result<Vec<Instance>, StoreError> {
        let url = self.url("instances");
        let previous = self.cached_list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let request_list = |client: &Client| match &previous {
            Some(cached) => client.get(&url).header(header::IF_NONE_MATCH, &cached.tag),
            None => client.get(&url),
        };
        let response = self.read_with_retry(request_list).await?;
        if let (StatusCode::NOT_MODIFIED, Some(cached)) = (response.status(), previous) {
            return Ok(cached.list);
        }
        let tag = response.headers().get(header::ETAG).and_then(|t| t.to_str().ok());
        let tag = tag.map(str::to_owned);
        let list: Vec<Instance> = decode_json(response).await?;
        let cached = tag.map(|tag| CachedList { tag, list: list.clone() });
        *self.cached_list.lock().unwrap_or_else(PoisonError::into_inner) = cached;
        Ok(list)
    }
}
