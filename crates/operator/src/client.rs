//! Client of the administration API.

use {
    crate::{
        error::{Error, Result},
        wire::{DRAIN_PATH, Drain, STATE_PATH, State},
    },
    reqwest::{Client as Http, RequestBuilder},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Longest time from a request to its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the administration API of one balancer.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    /// Creates a client of the administration API at `address`; `token` is sent as a bearer token.
    pub fn new(address: SocketAddr, token: Option<String>) -> Client {
        Client {
            http: Http::new(),
            address,
            token,
        }
    }

    /// Returns the address of the administration API.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Fetches the state of the balancer.
    ///
    /// # Errors
    ///
    /// Fails if the balancer does not respond within 2 s, or responds with an error status or invalid JSON.
    pub async fn state(&self) -> Result<State> {
        self.send(self.http.get(self.url(STATE_PATH))).await
    }

    /// Starts the drain of the balancer. A second request has no further effect.
    ///
    /// # Errors
    ///
    /// Fails if the balancer does not respond within 2 s, or responds with an error status or invalid JSON.
    pub async fn drain(&self) -> Result<Drain> {
        self.send(self.http.post(self.url(DRAIN_PATH))).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn send<T: DeserializeOwned>(&self, mut request: RequestBuilder) -> Result<T> {
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let response = request.timeout(REQUEST_TIMEOUT).send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::from_status(status.as_u16()));
        }
        Ok(response.json().await?)
    }
}
