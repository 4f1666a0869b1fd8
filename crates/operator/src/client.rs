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

/// Time allowed for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one balancer.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http,
    address: SocketAddr,
    token: Option<String>,
}

impl Client {
    /// Creates a client of the balancer whose administration API has `address`.
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

    /// Reads the state of the balancer.
    ///
    /// # Errors
    ///
    /// Fails if the balancer does not answer within 2 s or refuses the call.
    pub async fn state(&self) -> Result<State> {
        self.call(self.http.get(self.url(STATE_PATH))).await
    }

    /// Starts the planned stop of the balancer. A second call changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if the balancer does not answer within 2 s or refuses the call.
    pub async fn drain(&self) -> Result<Drain> {
        self.call(self.http.post(self.url(DRAIN_PATH))).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    async fn call<T: DeserializeOwned>(&self, mut request: RequestBuilder) -> Result<T> {
        if let Some(token) = &self.token {
            request = request.bearer_auth(token);
        }
        let response = request.timeout(CALL_TIMEOUT).send().await?;
        let status = response.status();
        if !status.is_success() {
            return Err(Error::from_status(status.as_u16()));
        }
        Ok(response.json().await?)
    }
}
