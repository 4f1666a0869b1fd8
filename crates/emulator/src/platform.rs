//! Emulated platform: an object store with versions, conditional updates and watches, and a VM list.
//!
//! Its faults are set at run time, in the process with [`Platform::set_faults`] or over HTTP:
//!
//! - `GET` and `PUT /emulator/faults`: the [`Faults`] in force
//! - `GET /emulator/calls`: the [`Calls`] so far
//! - `POST /emulator/snapshots` answers `{snapshot}`; `POST /emulator/snapshots/N/restore` goes back to it

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

/// Largest value of an object, in bytes.
const VALUE_BYTES: usize = 1 << 20;

type Vms = BTreeMap<String, Record>;

#[derive(Debug, Default)]
struct Contents {
    objects: Objects,
    snapshots: Vec<Objects>,
    vms: Vms,
    frozen_vms: Option<Vms>,
    faults: Faults,
    calls: Calls,
}

#[derive(Debug)]
struct Shared {
    contents: Mutex<Contents>,
    /// Raised at every write, restoration and change of faults.
    changes: watch::Sender<u64>,
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
            changes: watch::Sender::new(0),
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

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        let mut contents = self.contents();
        let frozen = faults.vms_frozen;
        let present = contents.frozen_vms.take();
        contents.frozen_vms = frozen.then(|| present.unwrap_or_else(|| contents.vms.clone()));
        contents.faults = faults;
        drop(contents);
        self.changed();
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.contents().faults.clone()
    }

    /// Returns the calls so far.
    pub fn calls(&self) -> Calls {
        self.contents().calls
    }

    /// Keeps the present objects and returns the number to restore them by.
    pub fn snapshot(&self) -> usize {
        let mut contents = self.contents();
        let objects = contents.objects.clone();
        contents.snapshots.push(objects);
        contents.snapshots.len() - 1
    }

    /// Goes back to a snapshot, versions and revision included. Returns false if there is no such snapshot.
    pub fn restore(&self, snapshot: usize) -> bool {
        let mut contents = self.contents();
        let Some(objects) = contents.snapshots.get(snapshot).cloned() else {
            return false;
        };
        contents.objects = objects;
        drop(contents);
        self.changed();
        true
    }

    /// Returns the objects under `prefix`, whatever the faults.
    pub fn list(&self, prefix: &str) -> Listing {
        self.contents().objects.list(prefix, 0)
    }

    /// Adds a row to the VM list, or replaces the one of the same name.
    pub fn set_vm(&self, record: Record) {
        self.contents().vms.insert(record.name.clone(), record);
    }

    /// Removes a row of the VM list.
    pub fn remove_vm(&self, name: &str) {
        self.contents().vms.remove(name);
    }

    fn router(&self) -> Router {
        let faulty = middleware::from_fn_with_state(self.clone(), disturb);
        let api = Router::new()
            .route("/v1/objects", get(list))
            .route("/v1/objects/{*key}", get(read).put(write))
            .route("/v1/watch", get(wait))
            .route("/v1/vms", get(machines))
            .layer(faulty);
        let emulator = Router::new()
            .route("/v1/vms/{name}", put(add_machine).delete(remove_machine))
            .route("/emulator/faults", get(faults).put(set_faults))
            .route("/emulator/calls", get(calls))
            .route("/emulator/snapshots", post(snapshot))
            .route("/emulator/snapshots/{snapshot}/restore", post(restore));
        api.merge(emulator).with_state(self.clone())
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        let contents = self.shared.contents.lock();
        contents.unwrap_or_else(PoisonError::into_inner)
    }

    fn changed(&self) {
        self.shared.changes.send_modify(|change| *change += 1);
    }

    /// Uses up one lost answer, if one is left.
    fn loses_answer(&self) -> bool {
        let mut contents = self.contents();
        let left = contents.faults.lost_answers;
        contents.faults.lost_answers = left.saturating_sub(1);
        left > 0
    }

    fn observe(&self, filter: &Filter) -> (Listing, bool) {
        let contents = self.contents();
        let listing = contents.objects.list(&filter.prefix, filter.after);
        (listing, contents.faults.down)
    }

    async fn changed_objects(&self, filter: &Filter, mut changes: Receiver<u64>) -> Listing {
        loop {
            let (listing, is_down) = self.observe(filter);
            if is_down || !listing.objects.is_empty() || changes.changed().await.is_err() {
                return listing;
            }
        }
    }
}

impl Calls {
    fn count(&mut self, method: &Method, path: &str) {
        let counter = match path {
            "/v1/watch" => &mut self.watches,
            _ if method == Method::PUT => &mut self.writes,
            _ => &mut self.reads,
        };
        *counter += 1;
    }
}

/// Counts a call and applies the faults to it.
async fn disturb(
    State(platform): State<Platform>,
    request: Request,
    next: Next,
) -> Result<Response, StatusCode> {
    let is_write = request.method() == Method::PUT;
    let faults = {
        let mut contents = platform.contents();
        let path = request.uri().path();
        contents.calls.count(request.method(), path);
        contents.faults.clone()
    };
    if faults.silent {
        future::pending::<()>().await;
    }
    time::sleep(faults.delay()).await;
    if faults.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let response = next.run(request).await;
    if is_write && response.status().is_success() && platform.loses_answer() {
        future::pending::<()>().await;
    }
    Ok(response)
}

async fn list(State(platform): State<Platform>, Query(filter): Query<Filter>) -> Json<Listing> {
    Json(platform.list(&filter.prefix))
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
    body: Bytes,
) -> Result<Json<WriteResponse>, StatusCode> {
    let version = expected(&headers).ok_or(StatusCode::PRECONDITION_REQUIRED)?;
    if body.len() > VALUE_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let value = serde_json::from_slice(&body).map_err(|_| StatusCode::BAD_REQUEST)?;
    let version = platform.contents().objects.write(&key, version, value);
    let version = version.ok_or(StatusCode::PRECONDITION_FAILED)?;
    platform.changed();
    Ok(Json(WriteResponse { version }))
}

/// Answers when an object under the prefix has changed; other writes do not wake the watch.
async fn wait(
    State(platform): State<Platform>,
    Query(filter): Query<Filter>,
) -> Result<Json<Listing>, StatusCode> {
    let changes = platform.shared.changes.subscribe();
    let limit = Duration::from_secs(filter.wait);
    let changed = platform.changed_objects(&filter, changes);
    let listing = time::timeout(limit, changed).await;
    let (present, is_down) = platform.observe(&filter);
    if is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let listing = listing.unwrap_or(present);
    Ok(Json(listing))
}

async fn machines(State(platform): State<Platform>) -> Json<VmList> {
    let contents = platform.contents();
    let vms = contents.frozen_vms.as_ref().unwrap_or(&contents.vms);
    Json(VmList {
        vms: vms.values().cloned().collect(),
    })
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

async fn faults(State(platform): State<Platform>) -> Json<Faults> {
    Json(platform.faults())
}

async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn calls(State(platform): State<Platform>) -> Json<Calls> {
    Json(platform.calls())
}

async fn snapshot(State(platform): State<Platform>) -> Json<Value> {
    Json(json!({ "snapshot": platform.snapshot() }))
}

async fn restore(State(platform): State<Platform>, Path(snapshot): Path<usize>) -> StatusCode {
    if platform.restore(snapshot) {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
}

fn expected(headers: &HeaderMap) -> Option<u64> {
    let header = headers.get(IF_MATCH)?.to_str().ok()?;
    header.trim_matches('"').parse().ok()
}
