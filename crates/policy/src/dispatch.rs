//! Interface between the handling of requests and the dispatcher of a pool.
//!
//! The request handling decides whether a request may run; the dispatcher decides where and when. See
//! [requests](../../../docs/design.md#6-requests).

use {
    crate::{
        config::Resolved,
        exchange::Effect,
        flow::Hash,
        id::{Map, UpstreamId},
    },
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Identifier of a job; also the token of its message to the upstream.
pub type JobId = u64;

/// Creates the dispatcher of a pool that has been added to the configuration.
pub type DispatcherFactory = Box<dyn Fn(&Arc<Resolved>) -> Box<dyn Dispatcher> + Send + Sync>;

/// One dispatch of a request, which waits for or holds a slot of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Job {
    /// Identifier; not reused.
    pub id: JobId,
    /// Flow of the request.
    pub flow: Hash,
    /// Upstream that serves the flow.
    pub upstream: UpstreamId,
    /// Class of the request (hash of method and path prefix), for the service time estimate.
    pub class: u64,
    /// Whether a request of the flow has been answered before, which gives the job priority.
    pub established: bool,
    /// Time at which the request arrived.
    pub arrived: Duration,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Whether the request is idempotent.
    pub effect: Effect,
}

/// Decision of a dispatcher about a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The job has got a slot and is to be sent to its upstream.
    Dispatch(JobId),
    /// The job is refused and no longer known to the dispatcher.
    Refuse {
        /// The job.
        id: JobId,
        /// Time after which a retry is useful, in seconds.
        max_age: u32,
    },
}

/// How a job ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobResult {
    /// The upstream answered.
    Answered,
    /// The upstream refused it.
    Refused,
    /// The deadline passed after the dispatch.
    TimedOut,
    /// It ended before the request was sent to the upstream.
    Cancelled,
}

/// The upstream of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Placement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether the flow is an exception: its upstream differs from the default of the pool's table.
    pub exception: bool,
}

/// Load of one balancer on an upstream, shown to operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Occupancy {
    /// Open flows.
    pub flows: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Queued requests.
    pub queued: u64,
}

/// Slots, queues and placement of one pool.
///
/// [`balancer::Core`](crate::balancer::Core) guards each dispatcher by its own lock. The verdicts that a call returns
/// may concern any job of the pool.
pub trait Dispatcher: Send {
    /// Applies a new version of the pool's configuration.
    fn set_pool(&mut self, now: Duration, pool: &Arc<Resolved>);

    /// Chooses the upstream of a new flow, or `None` if no upstream can take it.
    fn place(&mut self, now: Duration, flow: Hash) -> Option<Placement>;

    /// Counts a flow that was assigned to an upstream.
    fn flow_opened(&mut self, upstream: UpstreamId);

    /// Stops counting a flow that is no longer assigned to an upstream.
    fn flow_closed(&mut self, upstream: UpstreamId);

    /// Submits a job, which is queued, dispatched at once or refused.
    fn submit(&mut self, now: Duration, job: Job, verdicts: &mut Vec<Verdict>);

    /// Ends a job and frees its slot or its place in the queue.
    fn finished(
        &mut self,
        now: Duration,
        id: JobId,
        result: JobResult,
        verdicts: &mut Vec<Verdict>,
    );

    /// Returns the earliest time to retry an ended job under a new identifier, or `None` if it must not be retried, for
    /// example because the retry budget is spent.
    ///
    /// Called after [`finished`](Dispatcher::finished) for the same job.
    fn retry(&mut self, now: Duration, id: JobId) -> Option<Duration>;

    /// Dispatches and refuses queued jobs; called every few milliseconds.
    fn tick(&mut self, now: Duration, verdicts: &mut Vec<Verdict>);

    /// Sets the number of balancers that send to the upstreams of this pool.
    fn set_balancers(&mut self, _balancers: u32) {}

    /// Returns the load of this balancer on an upstream.
    fn occupancy(&self, _upstream: UpstreamId) -> Occupancy {
        Occupancy::default()
    }

    /// Returns whether an upstream may serve an established flow, that is, whether it is neither down nor removed.
    fn is_usable(&self, upstream: UpstreamId) -> bool;
}

/// A dispatcher with one first-in-first-out queue per upstream. Tests and benchmarks use it as the baseline.
#[derive(Debug)]
pub struct FifoDispatcher {
    pool: Arc<Resolved>,
    queues: Map<UpstreamId, VecDeque<JobId>>,
    running: Map<JobId, UpstreamId>,
    waiting: Map<JobId, UpstreamId>,
}

impl FifoDispatcher {
    /// Maximum number of queued requests per upstream.
    const QUEUE_LIMIT: usize = 1_024;
    /// Delay before a refused job is submitted again.
    const BACKOFF: Duration = Duration::from_millis(50);

    /// Creates the dispatcher of a pool.
    pub fn new(pool: &Arc<Resolved>) -> FifoDispatcher {
        FifoDispatcher {
            pool: pool.clone(),
            queues: Map::default(),
            running: Map::default(),
            waiting: Map::default(),
        }
    }

    /// Returns a factory for [`Core::new`](crate::balancer::Core::new).
    pub fn factory() -> DispatcherFactory {
        Box::new(|pool| Box::new(FifoDispatcher::new(pool)))
    }

    fn dispatch_waiting(&mut self, upstream: UpstreamId, verdicts: &mut Vec<Verdict>) {
        let slots = self.pool.pool.slots as usize;
        let mut busy = self.running.values().filter(|&&at| at == upstream).count();
        let Some(queue) = self.queues.get_mut(&upstream) else {
            return;
        };
        while busy < slots
            && let Some(id) = queue.pop_front()
        {
            self.waiting.remove(&id);
            self.running.insert(id, upstream);
            verdicts.push(Verdict::Dispatch(id));
            busy += 1;
        }
    }
}

impl Dispatcher for FifoDispatcher {
    fn set_pool(&mut self, _now: Duration, pool: &Arc<Resolved>) {
        self.pool = pool.clone();
    }

    fn place(&mut self, _now: Duration, flow: Hash) -> Option<Placement> {
        let default = self.pool.table.get(flow)?;
        let is_open = |id: UpstreamId| self.pool.upstream(id).is_some_and(|one| !one.drain);
        if is_open(default) {
            return Some(Placement {
                upstream: default,
                exception: false,
            });
        }
        let ids = self.pool.table.ids().iter().copied();
        let open: Vec<UpstreamId> = ids.filter(|&id| is_open(id)).collect();
        let index = flow.checked_rem(open.len() as u64)? as usize;
        Some(Placement {
            upstream: open[index],
            exception: true,
        })
    }

    fn flow_opened(&mut self, _upstream: UpstreamId) {}

    fn flow_closed(&mut self, _upstream: UpstreamId) {}

    fn submit(&mut self, _now: Duration, job: Job, verdicts: &mut Vec<Verdict>) {
        let queue = self.queues.entry(job.upstream).or_default();
        if queue.len() >= FifoDispatcher::QUEUE_LIMIT {
            verdicts.push(Verdict::Refuse {
                id: job.id,
                max_age: 1,
            });
            return;
        }
        queue.push_back(job.id);
        self.waiting.insert(job.id, job.upstream);
        self.dispatch_waiting(job.upstream, verdicts);
    }

    fn finished(
        &mut self,
        _now: Duration,
        id: JobId,
        _result: JobResult,
        verdicts: &mut Vec<Verdict>,
    ) {
        if let Some(upstream) = self.waiting.remove(&id)
            && let Some(queue) = self.queues.get_mut(&upstream)
        {
            queue.retain(|&queued| queued != id);
        }
        if let Some(upstream) = self.running.remove(&id) {
            self.dispatch_waiting(upstream, verdicts);
        }
    }

    fn retry(&mut self, now: Duration, _id: JobId) -> Option<Duration> {
        Some(now + FifoDispatcher::BACKOFF)
    }

    fn tick(&mut self, _now: Duration, _verdicts: &mut Vec<Verdict>) {}

    fn is_usable(&self, upstream: UpstreamId) -> bool {
        self.pool.upstream(upstream).is_some()
    }
}
