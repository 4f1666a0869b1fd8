//! HTTP client of the platform.

use {
    crate::{
        error::{Code, Result},
        wire::{Listing, Machines, Object, Written},
    },
    reqwest::{Client, Response, StatusCode, header::IF_MATCH},
    skylarkflow_policy::vm,
    std::time::Duration,
};

/// Time allowed for a call besides the time that a watch waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform's object store and VM list.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    base: String,
}

impl Store {
    /// Creates a client for the platform at `base`, such as `http://10.0.0.5:8080`.
    pub fn new(base: &str) -> Store {
        let base = base.trim_end_matches('/').to_owned();
        Store {
            client: Client::new(),
            base,
        }
    }

    /// Lists the objects whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within 2 s.
    pub async fn list(&self, prefix: &str) -> Result<Listing> {
        let url = format!("{}/v1/objects?prefix={prefix}", self.base);
        let request = self.client.get(url).timeout(CALL_TIMEOUT);
        Ok(checked(request.send().await?)?.json().await?)
    }

    /// Waits until an object under `prefix` changes after `revision`, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within `wait` and 2 s.
    pub async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Result<Listing> {
        let seconds = wait.as_secs();
        let url = format!(
            "{}/v1/watch?prefix={prefix}&after={revision}&wait={seconds}",
            self.base
        );
        let request = self.client.get(url).timeout(wait + CALL_TIMEOUT);
        Ok(checked(request.send().await?)?.json().await?)
    }

    /// Writes an object if its version is still `version`; 0 means that it must not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`](crate::error::Category) if the version differs. After
    /// [`Category::Unknown`](crate::error::Category) the write may have taken effect.
    pub async fn put(&self, key: &str, value: &serde_json::Value, version: u64) -> Result<Written> {
        let url = format!("{}/v1/objects/{key}", self.base);
        let request = self
            .client
            .put(url)
            .header(IF_MATCH, format!("\"{version}\""));
        let response = request.json(value).timeout(CALL_TIMEOUT).send().await?;
        Ok(checked(response)?.json().await?)
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within 2 s.
    pub async fn get(&self, key: &str) -> Result<Option<Object>> {
        let url = format!("{}/v1/objects/{key}", self.base);
        let response = self.client.get(url).timeout(CALL_TIMEOUT).send().await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        Ok(Some(checked(response)?.json().await?))
    }

    /// Reads the VM list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer within 2 s.
    pub async fn vms(&self) -> Result<Vec<vm::Record>> {
        let url = format!("{}/v1/vms", self.base);
        let response = self.client.get(url).timeout(CALL_TIMEOUT).send().await?;
        let machines: Machines = checked(response)?.json().await?;
        Ok(machines.vms)
    }
}

fn checked(response: Response) -> Result<Response> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::PRECONDITION_FAILED => Err(Code::Version.into()),
        status => Err(Code::Status(status.as_u16()).into()),
    }
}
