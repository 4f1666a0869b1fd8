//! The decision logic of one balancer, which combines the other modules.

use {
    crate::{
        config::Snapshot,
        dedupe::CacheLimit,
        dispatch::{Dispatcher, DispatcherFactory, JobId, Occupancy},
        event_context::EventContext,
        flow::{Key, SHARDS, Shards, shard_index},
        handover::{Digest, HandoverState},
        id::{Incarnation, Map, PoolId, UpstreamId, VmId},
        owner::{Decision, View},
        shard::Shard,
        view_history::ViewHistory,
    },
    std::{
        collections::VecDeque,
        fmt,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    xxhash_rust::xxh3::Xxh3,
};

pub use crate::event::{Action, Event, LogEvent, RouteDecision};

/// Maximum number of former tables, which give the default upstreams of flows that a crashed balancer owned.
const MAX_FORMER_TABLES: usize = 16;

/// Time for which former tables are kept.
///
/// Longer than the quarantine, because a flow of a crashed owner may send nothing until its end.
const FORMER_TABLES_RETENTION: Duration = Duration::from_secs(90);

/// Limits of one balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Limit of open flows.
    pub flows: usize,
    /// Time without a request after which a flow is removed.
    pub idle_timeout: Duration,
    /// Limit of cached responses, in bytes.
    pub cache_bytes: usize,
}

/// The current and the former routing tables; immutable and replaced as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableHistory {
    pub(crate) tables: Arc<Snapshot>,
    /// Digest of the pools of the current tables.
    pub(crate) digest: Digest,
    /// Former tables, oldest first, with the time at which they were replaced.
    former: Vec<(Arc<Snapshot>, Duration)>,
}

/// The dispatcher of a pool, shared by all threads behind a lock.
pub(crate) struct SharedDispatcher(Mutex<Box<dyn Dispatcher>>);

/// The Message IDs of dispatches to one upstream.
#[derive(Debug, Default)]
struct MessageIds {
    next: u16,
    in_use: Map<u16, JobId>,
}

/// The Message IDs of dispatches to each upstream, which deduplicates requests by them.
#[derive(Debug, Default)]
pub(crate) struct MessageIdTable(Map<SocketAddr, MessageIds>);

/// The decision logic of one balancer.
///
/// All methods may be called from several threads. Lock order: flow shard, then pool, then any of the others.
pub struct Core {
    id: VmId,
    incarnation: Incarnation,
    dispatcher_factory: DispatcherFactory,
    pub(crate) settings: Settings,
    pub(crate) shards: Shards<Shard>,
    pub(crate) cache: CacheLimit,
    pools: RwLock<Map<PoolId, Arc<SharedDispatcher>>>,
    table_history: RwLock<Arc<TableHistory>>,
    history: RwLock<Arc<ViewHistory>>,
    handover: Mutex<HandoverState>,
    message_ids: Mutex<MessageIdTable>,
    fence_until_nanos: AtomicU64,
    is_draining: AtomicBool,
    tick_lock: Mutex<()>,
    last_event_nanos: AtomicU64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            flows: 400_000,
            idle_timeout: Duration::from_secs(3_600),
            cache_bytes: 16 << 20,
        }
    }
}

impl TableHistory {
    /// Returns the tables that were active at `time` or later, oldest first.
    pub(crate) fn active_since(&self, time: Duration) -> impl Iterator<Item = &Arc<Snapshot>> {
        let former = self.former.iter();
        let recent = former.filter(move |(_, replaced)| *replaced > time);
        recent.map(|(tables, _)| tables).chain([&self.tables])
    }

    fn with_tables(&self, now: Duration, tables: Arc<Snapshot>) -> TableHistory {
        let mut former = self.former.clone();
        if !self.tables.routes.is_empty() {
            former.push((self.tables.clone(), now));
        }
        former.retain(|(_, replaced)| now < *replaced + FORMER_TABLES_RETENTION);
        if former.len() > MAX_FORMER_TABLES {
            former.remove(0);
        }
        TableHistory {
            digest: pools_digest(&tables),
            tables,
            former,
        }
    }
}

fn pools_digest(tables: &Snapshot) -> Digest {
    let pools = tables.pools.iter();
    let mut versions: Vec<(PoolId, u64)> = pools
        .map(|(&id, resolved)| (id, resolved.pool.generation))
        .collect();
    versions.sort_unstable();
    let mut hasher = Xxh3::new();
    for (id, generation) in versions {
        hasher.update(&id.to_be_bytes());
        hasher.update(&generation.to_be_bytes());
    }
    hasher.digest()
}

impl SharedDispatcher {
    pub(crate) fn lock(&self) -> MutexGuard<'_, Box<dyn Dispatcher>> {
        lock(&self.0)
    }
}

impl MessageIdTable {
    /// Allocates a Message ID for a dispatch.
    pub(crate) fn allocate(&mut self, address: SocketAddr, id: JobId) -> u16 {
        let ids = self.0.entry(address).or_default();
        ids.next = ids.next.wrapping_add(1);
        ids.in_use.insert(ids.next, id);
        ids.next
    }

    /// Returns the dispatch that uses a Message ID.
    pub(crate) fn find(&self, address: SocketAddr, message_id: u16) -> Option<JobId> {
        self.0.get(&address)?.in_use.get(&message_id).copied()
    }

    /// Releases the Message ID of a dispatch.
    pub(crate) fn release(&mut self, address: SocketAddr, message_id: u16) {
        if let Some(ids) = self.0.get_mut(&address) {
            ids.in_use.remove(&message_id);
        }
    }
}

/// Returns the number of balancers in a view, each of which sends the requests of its own flows to every pool.
fn balancer_count(view: &View) -> u32 {
    u32::try_from(view.members().len()).unwrap_or(u32::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_clone<T: Clone>(value: &RwLock<T>) -> T {
    value.read().unwrap_or_else(PoisonError::into_inner).clone()
}

impl Core {
    /// Creates a balancer without members and tables, with default limits.
    ///
    /// The low 32 bits of `incarnation` must differ at each start of the balancer, so that no token is used twice.
    pub fn new(id: VmId, incarnation: Incarnation, dispatcher_factory: DispatcherFactory) -> Core {
        Core::with_settings(id, incarnation, Settings::default(), dispatcher_factory)
    }

    /// Creates a balancer without members and tables, with the given limits.
    pub fn with_settings(
        id: VmId,
        incarnation: Incarnation,
        settings: Settings,
        dispatcher_factory: DispatcherFactory,
    ) -> Core {
        let flows = settings.flows / SHARDS;
        Core {
            id,
            incarnation,
            dispatcher_factory,
            shards: Shards::new(|index| Shard::new(index, incarnation, id, flows)),
            cache: CacheLimit::new(settings.cache_bytes),
            settings,
            pools: RwLock::default(),
            table_history: RwLock::default(),
            history: RwLock::new(Arc::new(ViewHistory::new(id))),
            handover: Mutex::new(HandoverState::new(incarnation)),
            message_ids: Mutex::default(),
            fence_until_nanos: AtomicU64::default(),
            is_draining: AtomicBool::default(),
            tick_lock: Mutex::default(),
            last_event_nanos: AtomicU64::default(),
        }
    }

    /// Replaces the membership view.
    ///
    /// Previous views are kept until each of their members has handed over its flows or has died. Draining members,
    /// which still answer claims, are added by [`View::with_leaving`].
    pub fn set_view(&self, now: Duration, view: View) {
        let balancers = balancer_count(&view);
        for (_, pool) in self.all_pools() {
            pool.lock().set_balancers(balancers);
        }
        let number = self.history().view_number();
        let history = self.update_history(|history| history.advance(now, view));
        if history.view_number() != number {
            self.handover().restart_passes(&history, self.id);
        }
    }

    /// Replaces the routes and pools.
    pub fn set_tables(&self, now: Duration, tables: Arc<Snapshot>) {
        for (&id, resolved) in &tables.pools {
            match self.pool(id) {
                Some(pool) => pool.lock().set_pool(now, resolved),
                None => {
                    let mut dispatcher = (self.dispatcher_factory)(resolved);
                    dispatcher.set_balancers(balancer_count(self.history().current()));
                    self.add_pool(id, dispatcher);
                }
            }
        }
        let mut table_history = self
            .table_history
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *table_history = Arc::new(table_history.with_tables(now, tables));
        drop(table_history);
        self.handover().restart_copy_pass();
    }

    /// Allows dispatches of non-idempotent requests until `fence_until`, on the balancer's clock.
    ///
    /// The fence is a majority lease, which has to be extended as long as a majority of the zone responds.
    pub fn set_fence(&self, now: Duration, fence_until: Duration) {
        let nanos = fence_until.as_nanos() as u64;
        let before = self.fence_until_nanos.swap(nanos, Ordering::AcqRel);
        let had_lapsed = before > 0 && Duration::from_nanos(before) <= now;
        if had_lapsed && fence_until > now {
            let history = self.update_history(ViewHistory::record_fence_lapse);
            self.handover().restart_passes(&history, self.id);
        }
    }

    /// Starts the drain of this balancer, in which every flow is handed over.
    ///
    /// Afterwards, [`set_view`](Core::set_view) must be called with a view that no longer contains this balancer.
    pub fn leave(&self, _now: Duration) {
        self.is_draining.store(true, Ordering::Release);
    }

    /// Returns whether the drain of this balancer is complete: no request is in flight, and every flow is handed over.
    ///
    /// If no other balancer is left, as when the whole deployment is stopped, remaining flows do not delay the end of
    /// the drain.
    pub fn is_drained(&self) -> bool {
        let history = self.history();
        let view = history.current();
        let is_alone = view.members().is_empty();
        let is_empty = |index| {
            let shard = self.shards.lock(index);
            let has_no_flows = is_alone || shard.flows.is_empty();
            shard.requests.is_empty() && shard.claims.is_empty() && has_no_flows
        };
        self.is_draining.load(Ordering::Acquire)
            && !view.is_member(self.id)
            && (is_alone || self.handover().is_idle())
            && (0..SHARDS).all(is_empty)
    }

    /// Returns the number of open flows.
    pub fn flow_count(&self) -> usize {
        let count = |index| self.shards.lock(index).flows.len();
        (0..SHARDS).map(count).sum()
    }

    /// Returns the current routes and pools.
    pub fn tables(&self) -> Arc<Snapshot> {
        self.table_history().tables.clone()
    }

    /// Returns this balancer's load on an upstream, and whether the upstream may serve established flows.
    pub fn occupancy(&self, pool: PoolId, upstream: UpstreamId) -> (Occupancy, bool) {
        let Some(pool) = self.pool(pool) else {
            return (Occupancy::default(), false);
        };
        let pool = pool.lock();
        (pool.occupancy(upstream), pool.is_usable(upstream))
    }

    /// Decides which balancer handles a datagram of a flow.
    pub fn route(&self, key: &Key) -> RouteDecision {
        if !self
            .table_history()
            .tables
            .routes
            .contains_key(&key.service)
        {
            return RouteDecision::UnknownService;
        }
        let history = self.history();
        let owner = match history.current().decide(key.hash()) {
            Decision::NoBalancer => return RouteDecision::NoOwner,
            Decision::Owner(id) | Decision::Acting(id) => id,
        };
        let now = Duration::from_nanos(self.last_event_nanos.load(Ordering::Relaxed));
        let to = self.holder(now, &history, key, owner);
        if to == self.id {
            return RouteDecision::Local;
        }
        match history.address(now, to) {
            Some(address) => RouteDecision::Forward { to, address },
            None => RouteDecision::NoOwner,
        }
    }

    /// Returns the balancer to which datagrams of a flow go, which may differ from the owner while balancers have
    /// different views.
    fn holder(&self, now: Duration, history: &ViewHistory, key: &Key, owner: VmId) -> VmId {
        let mut shard = self.shards.lock(shard_index(key));
        if let Some(entry) = shard.flows.get(key) {
            let is_local = owner == self.id || entry.view == history.view_number();
            return if is_local { self.id } else { owner };
        }
        if shard.claims.contains_key(key) {
            return self.id;
        }
        match shard.moved_flows.get_mut(key) {
            Some(moved)
                if moved.view == history.view_number() && history.is_reachable(now, moved.to) =>
            {
                moved.last_used = now;
                moved.to
            }
            _ => owner,
        }
    }

    /// Returns the address of a balancer's peer socket, for [`Action::Send`].
    ///
    /// A balancer that has just joined may be known from its messages before it is in the view.
    pub fn address(&self, now: Duration, id: VmId) -> Option<SocketAddr> {
        self.history().address(now, id)
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.last_event_nanos
            .store(now.as_nanos() as u64, Ordering::Relaxed);
        let mut context = EventContext {
            core: self,
            now,
            table_history: self.table_history(),
            history: self.history(),
            actions,
            verdicts: VecDeque::new(),
        };
        match event {
            Event::Request {
                fabric,
                key,
                request,
            } => context.receive_request(fabric, key, request),
            Event::Response { source, response } => context.receive_response(source, response),
            Event::Acknowledgement {
                key, message_id, ..
            } => context.receive_acknowledgement(key, message_id),
            Event::Peer { from, message } => context.handle_peer_message(from, message),
            Event::Tick => {
                // One thread at a time handles ticks; a concurrent tick is skipped.
                if let Ok(_guard) = self.tick_lock.try_lock() {
                    context.tick();
                }
            }
        }
        context.apply_verdicts();
    }

    pub(crate) fn id(&self) -> VmId {
        self.id
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the fence has not expired, so that non-idempotent requests may be dispatched.
    pub(crate) fn holds_fence(&self, now: Duration) -> bool {
        now < Duration::from_nanos(self.fence_until_nanos.load(Ordering::Acquire))
    }

    pub(crate) fn handover(&self) -> MutexGuard<'_, HandoverState> {
        lock(&self.handover)
    }

    pub(crate) fn message_ids(&self) -> MutexGuard<'_, MessageIdTable> {
        lock(&self.message_ids)
    }

    pub(crate) fn pool(&self, id: PoolId) -> Option<Arc<SharedDispatcher>> {
        let pools = self.pools.read().unwrap_or_else(PoisonError::into_inner);
        pools.get(&id).cloned()
    }

    pub(crate) fn all_pools(&self) -> Vec<(PoolId, Arc<SharedDispatcher>)> {
        let pools = read_clone(&self.pools);
        let mut pools: Vec<(PoolId, Arc<SharedDispatcher>)> = pools.into_iter().collect();
        pools.sort_by_key(|&(id, _)| id);
        pools
    }

    /// Replaces the view history by a changed copy, and returns the copy.
    pub(crate) fn update_history(&self, change: impl FnOnce(&mut ViewHistory)) -> Arc<ViewHistory> {
        let mut history = self.history.write().unwrap_or_else(PoisonError::into_inner);
        let mut next = ViewHistory::clone(&history);
        change(&mut next);
        *history = Arc::new(next);
        history.clone()
    }

    fn add_pool(&self, id: PoolId, dispatcher: Box<dyn Dispatcher>) {
        let pool = Arc::new(SharedDispatcher(Mutex::new(dispatcher)));
        let mut pools = self.pools.write().unwrap_or_else(PoisonError::into_inner);
        pools.insert(id, pool);
    }

    fn table_history(&self) -> Arc<TableHistory> {
        read_clone(&self.table_history)
    }

    fn history(&self) -> Arc<ViewHistory> {
        read_clone(&self.history)
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut output = formatter.debug_struct("Core");
        output.field("id", &self.id);
        output.field("incarnation", &self.incarnation);
        output.finish_non_exhaustive()
    }
}
