//! Emulated platform: an object store with versions, conditional updates and watches, and a VM list.

use {
    axum::{
        Json, Router,
        extract::{Path, Query, State},
        http::{HeaderMap, StatusCode, header::IF_MATCH},
        routing::{get, put},
    },
    serde::Deserialize,
    skylarkflow_platform::wire::{Listing, Machines, Object, Written},
    skylarkflow_policy::vm::Record,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch, time},
};

/// Largest value of an object, in bytes.
const VALUE_BYTES: usize = 1 << 20;

#[derive(Debug, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<String, Object>,
    vms: BTreeMap<String, Record>,
}

#[derive(Debug)]
struct Shared {
    contents: Mutex<Contents>,
    revisions: watch::Sender<u64>,
}

/// An emulated platform.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct Filter {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait: u64,
}

impl Default for Platform {
    fn default() -> Platform {
        let shared = Shared {
            contents: Mutex::default(),
            revisions: watch::Sender::new(0),
        };
        Platform {
            shared: Arc::new(shared),
        }
    }
}

impl Platform {
    /// Serves the HTTP API until the runtime ends.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        let router = self.router();
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(bound)
    }

    fn router(&self) -> Router {
        Router::new()
            .route("/v1/objects", get(list))
            .route("/v1/objects/{*key}", get(read).put(write))
            .route("/v1/watch", get(wait))
            .route("/v1/vms", get(machines))
            .route("/v1/vms/{name}", put(add_machine).delete(remove_machine))
            .with_state(self.clone())
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        let contents = self.shared.contents.lock();
        contents.unwrap_or_else(PoisonError::into_inner)
    }

    fn listing(&self, prefix: &str) -> Listing {
        let contents = self.contents();
        let matching = contents.objects.values();
        Listing {
            revision: contents.revision,
            objects: matching
                .filter(|object| object.key.starts_with(prefix))
                .cloned()
                .collect(),
        }
    }
}

impl Contents {
    fn write(&mut self, key: String, version: u64, value: serde_json::Value) -> Option<u64> {
        let present = self.objects.get(&key).map_or(0, |object| object.version);
        if present != version {
            return None;
        }
        self.revision += 1;
        let version = self.revision;
        let object = Object {
            key: key.clone(),
            version,
            value,
        };
        self.objects.insert(key, object);
        Some(version)
    }
}

async fn list(State(platform): State<Platform>, Query(filter): Query<Filter>) -> Json<Listing> {
    Json(platform.listing(&filter.prefix))
}

async fn read(
    State(platform): State<Platform>,
    Path(key): Path<String>,
) -> Result<Json<Object>, StatusCode> {
    let object = platform.contents().objects.get(&key).cloned();
    object.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn write(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: axum::body::Bytes,
) -> Result<Json<Written>, StatusCode> {
    let version = expected(&headers).ok_or(StatusCode::PRECONDITION_REQUIRED)?;
    if body.len() > VALUE_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let value = serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let version = platform.contents().write(key, version, value);
    let version = version.ok_or(StatusCode::PRECONDITION_FAILED)?;
    platform.shared.revisions.send_replace(version);
    Ok(Json(Written { version }))
}

async fn wait(State(platform): State<Platform>, Query(filter): Query<Filter>) -> Json<Listing> {
    let mut revisions = platform.shared.revisions.subscribe();
    let changed = revisions.wait_for(|&revision| revision > filter.after);
    let _ = time::timeout(Duration::from_secs(filter.wait), changed).await;
    let mut listing = platform.listing(&filter.prefix);
    listing
        .objects
        .retain(|object| object.version > filter.after);
    Json(listing)
}

async fn machines(State(platform): State<Platform>) -> Json<Machines> {
    let vms = platform.contents().vms.values().cloned().collect();
    Json(Machines { vms })
}

async fn add_machine(
    State(platform): State<Platform>,
    Path(name): Path<String>,
    Json(record): Json<Record>,
) -> StatusCode {
    platform.contents().vms.insert(name, record);
    StatusCode::NO_CONTENT
}

async fn remove_machine(State(platform): State<Platform>, Path(name): Path<String>) -> StatusCode {
    platform.contents().vms.remove(&name);
    StatusCode::NO_CONTENT
}

fn expected(headers: &HeaderMap) -> Option<u64> {
    let header = headers.get(IF_MATCH)?.to_str().ok()?;
    header.trim_matches('"').parse().ok()
}
