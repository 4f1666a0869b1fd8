//! Emulated platform: an object store with versions, conditional updates and watches, and a VM list.
//!
//! Faults are injected at run time, with [`Platform::set_faults`] or over HTTP:
//!
//! - `GET` and `PUT /emulator/faults`: the active [`Faults`]
//! - `GET /emulator/calls`: the numbers of [`Calls`] so far
//! - `POST /emulator/snapshots`: takes a snapshot of the objects and returns its number as `{"snapshot": N}`
//! - `POST /emulator/snapshots/N/restore`: restores snapshot N

use {
    crate::{
        fault::{Calls, Faults},
        objects::Objects,
    },
    axum::{
        Json, Router,
        body::Bytes,
        extract::{Path, Query, Request, State},
        http::{HeaderMap, Method, StatusCode, header::IF_MATCH},
        middleware::{self, Next},
        response::Response,
        routing::{get, post, put},
    },
    serde::Deserialize,
    serde_json::{Value, json},
    skylarkflow_policy::vm::Record,
    skylarkflow_store::wire::{Listing, Object, VmList, WriteResponse},
    std::{
        collections::BTreeMap,
        future, io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::watch::{self, Receiver},
        time,
    },
};

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1 << 20;

type Vms = BTreeMap<String, Record>;

#[derive(Debug, Default)]
struct PlatformState {
    objects: Objects,
    snapshots: Vec<Objects>,
    vms: Vms,
    frozen_vms: Option<Vms>,
    faults: Faults,
    calls: Calls,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<PlatformState>,
    /// Incremented at every write, restoration and change of faults, to wake the watches.
    changes: watch::Sender<u64>,
}

/// An emulated platform; clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct ObjectsQuery {
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
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        Platform {
            shared: Arc::new(shared),
        }
    }
}

impl Platform {
    /// Serves the HTTP API in the background until the runtime ends, and returns the bound address.
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

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.state();
        let frozen = faults.vms_frozen;
        let current = state.frozen_vms.take();
        state.frozen_vms = frozen.then(|| current.unwrap_or_else(|| state.vms.clone()));
        state.faults = faults;
        drop(state);
        self.notify_watches();
    }

    /// Returns the active faults.
    pub fn faults(&self) -> Faults {
        self.state().faults.clone()
    }

    /// Returns the numbers of calls so far.
    pub fn calls(&self) -> Calls {
        self.state().calls
    }

    /// Takes a snapshot of the objects and returns its number.
    pub fn snapshot(&self) -> usize {
        let mut state = self.state();
        let objects = state.objects.clone();
        state.snapshots.push(objects);
        state.snapshots.len() - 1
    }

    /// Restores a snapshot, including the versions and the revision. Returns false if there is no such snapshot.
    pub fn restore(&self, snapshot: usize) -> bool {
        let mut state = self.state();
        let Some(objects) = state.snapshots.get(snapshot).cloned() else {
            return false;
        };
        state.objects = objects;
        drop(state);
        self.notify_watches();
        true
    }

    /// Returns the objects under `prefix`, regardless of the active faults.
    pub fn list(&self, prefix: &str) -> Listing {
        self.state().objects.list(prefix, 0)
    }

    /// Adds a VM to the VM list, or replaces the one of the same name.
    pub fn set_vm(&self, record: Record) {
        self.state().vms.insert(record.name.clone(), record);
    }

    /// Removes a VM from the VM list.
    pub fn remove_vm(&self, name: &str) {
        self.state().vms.remove(name);
    }

    fn router(&self) -> Router {
        let faults_layer = middleware::from_fn_with_state(self.clone(), apply_faults);
        let api = Router::new()
            .route("/v1/objects", get(list_objects))
            .route("/v1/objects/{*key}", get(get_object).put(put_object))
            .route("/v1/watch", get(watch_objects))
            .route("/v1/vms", get(list_vms))
            .layer(faults_layer);
        let emulator = Router::new()
            .route("/v1/vms/{name}", put(put_vm).delete(delete_vm))
            .route("/emulator/faults", get(get_faults).put(put_faults))
            .route("/emulator/calls", get(get_calls))
            .route("/emulator/snapshots", post(create_snapshot))
            .route(
                "/emulator/snapshots/{snapshot}/restore",
                post(restore_snapshot),
            );
        api.merge(emulator).with_state(self.clone())
    }

    fn state(&self) -> MutexGuard<'_, PlatformState> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn notify_watches(&self) {
        self.shared.changes.send_modify(|change| *change += 1);
    }

    /// Returns whether the response to a write is to be lost, and decrements the number of such writes.
    fn take_lost_response(&self) -> bool {
        let mut state = self.state();
        let left = state.faults.lost_answers;
        state.faults.lost_answers = left.saturating_sub(1);
        left > 0
    }

    fn list_changes(&self, query: &ObjectsQuery) -> (Listing, bool) {
        let state = self.state();
        let listing = state.objects.list(&query.prefix, query.after);
        (listing, state.faults.down)
    }

    async fn wait_for_change(&self, query: &ObjectsQuery, mut changes: Receiver<u64>) -> Listing {
        loop {
            let (listing, is_down) = self.list_changes(query);
            if is_down || !listing.objects.is_empty() || changes.changed().await.is_err() {
                return listing;
            }
        }
    }
}

impl Calls {
    fn count_call(&mut self, method: &Method, path: &str) {
        let counter = match path {
            "/v1/watch" => &mut self.watches,
            _ if method == Method::PUT => &mut self.writes,
            _ => &mut self.reads,
        };
        *counter += 1;
    }
}

/// Middleware that counts a call and applies the active faults to it.
async fn apply_faults(
    State(platform): State<Platform>,
    request: Request,
    next: Next,
) -> Result<Response, StatusCode> {
    let is_write = request.method() == Method::PUT;
    let faults = {
        let mut state = platform.state();
        let path = request.uri().path();
        state.calls.count_call(request.method(), path);
        state.faults.clone()
    };
    if faults.silent {
        future::pending::<()>().await;
    }
    time::sleep(faults.delay()).await;
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let response = next.run(request).await;
    if is_write && response.status().is_success() && platform.take_lost_response() {
        future::pending::<()>().await;
    }
    Ok(response)
}

async fn list_objects(
    State(platform): State<Platform>,
    Query(query): Query<ObjectsQuery>,
) -> Json<Listing> {
    Json(platform.list(&query.prefix))
}

async fn get_object(
    State(platform): State<Platform>,
    Path(key): Path<String>,
) -> Result<Json<Object>, StatusCode> {
    let object = platform.state().objects.get(&key).cloned();
    object.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn put_object(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<WriteResponse>, StatusCode> {
    let version = expected_version(&headers).ok_or(StatusCode::PRECONDITION_REQUIRED)?;
    if body.len() > MAX_VALUE_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let value = serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let version = platform.state().objects.write(&key, version, value);
    let version = version.ok_or(StatusCode::PRECONDITION_FAILED)?;
    platform.notify_watches();
    Ok(Json(WriteResponse { version }))
}

/// Long poll that returns when an object under the prefix has changed, or after `wait` seconds. Writes to other objects
/// do not end it.
async fn watch_objects(
    State(platform): State<Platform>,
    Query(query): Query<ObjectsQuery>,
) -> Result<Json<Listing>, StatusCode> {
    let changes = platform.shared.changes.subscribe();
    let limit = Duration::from_secs(query.wait);
    let changed = platform.wait_for_change(&query, changes);
    let listing = time::timeout(limit, changed).await;
    let (current, is_down) = platform.list_changes(&query);
    if is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let listing = listing.unwrap_or(current);
    Ok(Json(listing))
}

async fn list_vms(State(platform): State<Platform>) -> Json<VmList> {
    let state = platform.state();
    let vms = state.frozen_vms.as_ref().unwrap_or(&state.vms);
    Json(VmList {
        vms: vms.values().cloned().collect(),
    })
}

async fn put_vm(
    State(platform): State<Platform>,
    Path(name): Path<String>,
    Json(record): Json<Record>,
) -> StatusCode {
    platform.state().vms.insert(name, record);
    StatusCode::NO_CONTENT
}

async fn delete_vm(State(platform): State<Platform>, Path(name): Path<String>) -> StatusCode {
    platform.state().vms.remove(&name);
    StatusCode::NO_CONTENT
}

async fn get_faults(State(platform): State<Platform>) -> Json<Faults> {
    Json(platform.faults())
}

async fn put_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn get_calls(State(platform): State<Platform>) -> Json<Calls> {
    Json(platform.calls())
}

async fn create_snapshot(State(platform): State<Platform>) -> Json<Value> {
    Json(json!({ "snapshot": platform.snapshot() }))
}

async fn restore_snapshot(
    State(platform): State<Platform>,
    Path(snapshot): Path<usize>,
) -> StatusCode {
    if platform.restore(snapshot) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

fn expected_version(headers: &HeaderMap) -> Option<u64> {
    let header = headers.get(IF_MATCH)?.to_str().ok()?;
    header.trim_matches('"').parse().ok()
}
