//! HTTP client of object stores, used for the product's own platform and by adapters to other platforms.

use {
    crate::error::{ErrorCode, Result},
    reqwest::{Client, Method, RequestBuilder, Response},
    std::time::Duration,
};

/// Idle time before the first TCP keepalive probe, and time between two probes. Without probes, a watch would wait for
/// a long time on a connection that has stalled while new connections work.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Number of connections that are kept for later calls: none. A late second copy of a response on a connection that is
/// in use again would be taken for the response to the next call.
pub const MAX_IDLE_CONNECTIONS: usize = 0;

/// HTTP client of one store.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl Http {
    /// Creates a client of the store at `base_url`, such as `http://10.0.0.5:8080`. A call may take `timeout` in
    /// addition to the time that it asks the store to wait.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be set up.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Http> {
        let client = Client::builder()
            .no_proxy()
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .connect_timeout(timeout)
            .tcp_keepalive(KEEPALIVE_INTERVAL)
            .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
            .tcp_keepalive_retries(KEEPALIVE_PROBES)
            .tcp_nodelay(true)
            .build()?;
        Ok(Http {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
            timeout,
        })
    }

    /// Builds a request for a path with its query.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}{path}", self.base_url))
    }

    /// Sends a request that the store may hold open for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time or its status is not a success.
    pub async fn send(&self, request: RequestBuilder, wait: Duration) -> Result<Response> {
        let response = request.timeout(wait + self.timeout).send().await?;
        match response.status() {
            status if status.is_success() => Ok(response),
            status => Err(ErrorCode::Status(status.as_u16()).into()),
        }
    }
}
