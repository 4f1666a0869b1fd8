//! HTTP client of object stores, shared by the product's own platform and by adapters to others.

use {
    crate::error::{Code, Result},
    reqwest::{Client, Method, RequestBuilder, Response},
    std::time::Duration,
};

/// Time between two probes of an idle connection, and before the first one. After three without an answer the
/// connection is given up: it may go silent while new ones work, and a watch would wait on it for long.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes of an idle connection without an answer after which it is given up.
const KEEPALIVE_PROBES: u32 = 3;

/// Calls a store.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
    base_url: String,
    timeout: Duration,
}

impl Http {
    /// Creates a client of the store at `base_url`, such as `http://10.0.0.5:8080`, whose calls may take `timeout` besides
    /// the time that they ask the store to wait.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be set up.
    pub fn new(base_url: &str, timeout: Duration) -> Result<Http> {
        let client = Client::builder()
            .no_proxy()
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

    /// Begins a request for a path with its query.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}{path}", self.base_url))
    }

    /// Sends a request that the store may hold for `wait`.
    ///
    /// # Errors
    ///
    /// Fails without an answer in time and with every status that is no success.
    pub async fn send(&self, request: RequestBuilder, wait: Duration) -> Result<Response> {
        let response = request.timeout(wait + self.timeout).send().await?;
        match response.status() {
            status if status.is_success() => Ok(response),
            status => Err(Code::Status(status.as_u16()).into()),
        }
    }
}
