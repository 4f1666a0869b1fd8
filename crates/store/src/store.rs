//! Client of the platform's object store and VM list.

use {
    crate::{
        error::Result,
        http::Http,
        wire::{Listing, Object, VmList, WriteResponse},
    },
    reqwest::{Method, StatusCode, header::IF_MATCH},
    serde::de::DeserializeOwned,
    skylarkflow_policy::vm,
    std::time::Duration,
};

/// Timeout of a call, in addition to the time that a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's object store and VM list.
#[derive(Clone, Debug)]
pub struct Store {
    http: Http,
}

impl Store {
    /// Creates a client for the platform at `base_url`, such as `http://10.0.0.5:8080`.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be set up. Without TLS, only a broken build can cause this.
    pub fn new(base_url: &str) -> Store {
        Store {
            http: Http::new(base_url, CALL_TIMEOUT).expect("a client without TLS can be set up"),
        }
    }

    /// Lists the objects whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond within 2 s.
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        self.fetch_listing(&format!("/v1/objects?prefix={prefix}"), Duration::ZERO)
            .await
    }

    /// Waits until an object under `prefix` changes after `revision`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond within `wait` and 2 s.
    pub async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Listing> {
        let seconds = wait.as_secs();
        let path = format!("/v1/watch?prefix={prefix}&after={revision}&wait={seconds}");
        self.fetch_listing(&path, wait).await
    }

    /// Writes an object if its version is still `version`; 0 means that it must not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`](crate::error::Category) if the version differs. After
    /// [`Category::Unknown`](crate::error::Category) the write may have taken effect.
    pub async fn put(
        &self,
        key: &str,
        value: &serde_json::Value,
        version: u64,
    ) -> Result<WriteResponse> {
        let request = self
            .http
            .request(Method::PUT, &format!("/v1/objects/{key}"))
            .header(IF_MATCH, format!("\"{version}\""))
            .json(value);
        Ok(self
            .http
            .send(request, Duration::ZERO)
            .await?
            .json()
            .await?)
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond within 2 s.
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        match self
            .fetch(&format!("/v1/objects/{key}"), Duration::ZERO)
            .await
        {
            Ok(object) => Ok(Some(object)),
            Err(error) if error.status() == Some(StatusCode::NOT_FOUND.as_u16()) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond within 2 s.
    pub async fn list_vms(&self) -> Result<Vec<vm::Record>> {
        let list: VmList = self.fetch("/v1/vms", Duration::ZERO).await?;
        Ok(list.vms)
    }

    async fn fetch_listing(&self, path: &str, wait: Duration) -> Result<Listing> {
        let request = self.http.request(Method::GET, path);
        let body = self.http.send(request, wait).await?.bytes().await?;
        Ok(Listing::from_slice(&body)?)
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<T> {
        let request = self.http.request(Method::GET, path);
        Ok(self.http.send(request, wait).await?.json().await?)
    }
}
