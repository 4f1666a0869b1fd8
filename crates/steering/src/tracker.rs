//! Tracking of the flows that recently sent packets through this balancer.
//!
//! Forwarding does not depend on it. The tracked flows show the load of upstreams and whether they answer; they may be
//! lost at any time.

use {
    crate::upstream::{Load, Upstream, UpstreamId},
    skylarkflow_policy::{flow::Key, id::Map},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
};

/// Minimum time after which a second packet with the same data counts as a retransmission instead of a duplicate made
/// by the network; callers retransmit after 200 ms.
const RETRANSMISSION_THRESHOLD: Duration = Duration::from_millis(150);

/// Maximum number of latency samples of each kind that are kept until they are drained; further ones are discarded.
const MAX_SAMPLES: usize = 1_024;

/// Settings of a [`FlowTracker`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Maximum number of tracked flows; packets of further flows are forwarded, but not counted.
    pub max_flows: usize,
    /// Time for which a closed flow stays tracked, so that its last packets are not taken for a new flow.
    pub closed_retention: Duration,
    /// Time without a packet after which a request no longer counts as in flight.
    pub request_timeout: Duration,
    /// Time without an answer to an opening packet after which its upstream is suspected to have ended. If only the
    /// process of an upstream has ended, its VM refuses new flows, which only the callers see; to the balancer the
    /// upstream would look idle and attract more flows.
    pub opening_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            max_flows: 65_536,
            closed_retention: Duration::from_secs(3),
            request_timeout: Duration::from_secs(3),
            // Three times the round-trip time between a caller and an upstream of another zone.
            opening_timeout: Duration::from_millis(30),
        }
    }
}

/// What the first acknowledgement of a response shows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Response {
    /// Address of the route.
    pub service: SocketAddr,
    /// Time since the request.
    pub latency: Duration,
    /// Number of bytes that are acknowledged: all of a short response, the first packets of a longer one.
    pub bytes: u32,
}

/// What a packet of a caller shows about the upstream of its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// The upstream has answered since the caller's previous packet: a request, or the opening packet.
    Answered(Option<Response>),
    /// The caller has retransmitted a packet, as the upstream did not acknowledge it.
    Retransmitted,
    /// The packet shows neither.
    None,
}

/// Recently active flows of one balancer.
#[derive(Debug, Default)]
pub struct FlowTracker {
    settings: Settings,
    flows: Map<Key, Flow>,
    openings: VecDeque<(Duration, Key)>,
    samples: LatencySamples,
}

/// Latencies that were measured since the last drain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LatencySamples {
    /// Times from an opening packet to the next packet of its flow.
    pub openings: Vec<Duration>,
    /// Times from a request to the first acknowledgement of its response.
    pub requests: Vec<Duration>,
}

#[derive(Debug)]
struct Flow {
    upstream: Arc<Upstream>,
    first_packet_at: Duration,
    last_packet_at: Duration,
    phase: Phase,
    acknowledged: u32,
    request: Option<Request>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Opening { retransmission: u32 },
    Open,
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    sequence: u32,
    sent_at: Duration,
}

impl FlowTracker {
    /// Creates a tracker without flows.
    pub fn new(settings: Settings) -> FlowTracker {
        FlowTracker {
            settings,
            ..FlowTracker::default()
        }
    }

    /// Passes the collected latency samples to `take` and clears them.
    pub fn drain_samples(&mut self, mut take: impl FnMut(&LatencySamples)) {
        take(&self.samples);
        self.samples.openings.clear();
        self.samples.requests.clear();
    }

    /// Returns the number of tracked flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow is tracked.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether further flows are not tracked.
    pub fn is_full(&self) -> bool {
        self.flows.len() >= self.settings.max_flows
    }

    /// Returns the upstream of a flow that is being opened and the number of the last retransmission of its opening
    /// packet.
    pub fn opening_flow(&self, key: &Key) -> Option<(&Arc<Upstream>, u32)> {
        let flow = self.flows.get(key)?;
        match flow.phase {
            Phase::Opening { retransmission } => Some((&flow.upstream, retransmission)),
            Phase::Open | Phase::Closed => None,
        }
    }

    /// Returns the time at which the request in flight on a flow was sent; `None` if there is none.
    pub fn request_sent_at(&self, key: &Key) -> Option<Duration> {
        let request = self.flows.get(key)?.request?;
        Some(request.sent_at)
    }

    /// Returns the time of the first packet of a flow; `None` if the flow is not tracked.
    pub fn first_packet_at(&self, key: &Key) -> Option<Duration> {
        self.flows.get(key).map(|flow| flow.first_packet_at)
    }

    /// Records an opening packet that goes to `upstream`.
    pub fn record_opening(
        &mut self,
        now: Duration,
        key: Key,
        retransmission: u32,
        upstream: &Arc<Upstream>,
    ) {
        self.remove(&key);
        self.insert(now, key, Phase::Opening { retransmission }, 0, upstream);
        if let Some(flow) = self.flows.get_mut(&key) {
            // An opening packet counts as a request in flight until it is answered.
            flow.start_request(now, 0);
            self.openings.push_back((now, key));
        }
    }

    /// Removes the next opening packet that was not answered in time and returns its upstream.
    pub fn pop_overdue_upstream(&mut self, now: Duration) -> Option<Arc<Upstream>> {
        while let Some(&(opened, key)) = self.openings.front()
            && now >= opened + self.settings.opening_timeout
        {
            self.openings.pop_front();
            let flow = self.flows.get(&key);
            let is_unanswered = |flow: &&Flow| {
                matches!(flow.phase, Phase::Opening { .. }) && flow.last_packet_at == opened
            };
            if let Some(flow) = flow.filter(is_unanswered) {
                return Some(Arc::clone(&flow.upstream));
            }
        }
        None
    }

    /// Records a packet of an established flow, which may have been opened through another balancer.
    pub fn record_packet(
        &mut self,
        now: Duration,
        packet: &Packet,
        upstream: &Arc<Upstream>,
    ) -> Evidence {
        let known = self.flows.get(&packet.key);
        if known.is_some_and(|flow| flow.upstream.record.id != upstream.record.id) {
            // The cookie takes precedence: after a pause, this balancer may have read a late opening packet although a
            // retransmission of it had already opened the flow at another upstream.
            self.remove(&packet.key);
        }
        if !self.flows.contains_key(&packet.key) {
            // The flow was opened through another balancer, so this packet shows nothing about the upstream.
            self.insert(now, packet.key, Phase::Open, packet.acknowledged, upstream);
        }
        let Some(flow) = self.flows.get_mut(&packet.key) else {
            return Evidence::None;
        };
        let evidence = flow.observe(now, packet, &mut self.samples);
        flow.last_packet_at = now;
        if packet.is_last {
            flow.close();
        }
        evidence
    }

    /// Removes the open flows of an upstream and returns each with the acknowledgement number of its caller.
    ///
    /// A flow of which only opening packets were seen is left out: a retransmission may have opened it at another
    /// upstream.
    pub fn take_flows(&mut self, id: UpstreamId) -> Vec<(Key, u32)> {
        let open = self
            .flows
            .iter()
            .filter(|(_, flow)| flow.upstream.record.id == id && flow.phase == Phase::Open);
        let open: Vec<(Key, u32)> = open.map(|(key, flow)| (*key, flow.acknowledged)).collect();
        for (key, _) in &open {
            self.remove(key);
        }
        open
    }

    /// Returns whether an upstream has open flows that are tracked here.
    pub fn has_flows(&self, upstream: &Upstream) -> bool {
        upstream.load_counters.load().flows > 0
    }

    /// Marks a flow as closed, so that it no longer counts as load.
    pub fn close(&mut self, key: &Key) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.close();
        }
    }

    /// Stops tracking a flow.
    pub fn remove(&mut self, key: &Key) {
        if let Some(mut flow) = self.flows.remove(key) {
            flow.close();
        }
    }

    fn insert(
        &mut self,
        now: Duration,
        key: Key,
        phase: Phase,
        acknowledged: u32,
        upstream: &Arc<Upstream>,
    ) {
        if self.flows.len() >= self.settings.max_flows {
            return;
        }
        add_load(upstream, 1, 0);
        let flow = Flow {
            upstream: Arc::clone(upstream),
            first_packet_at: now,
            last_packet_at: now,
            phase,
            acknowledged,
            request: None,
        };
        self.flows.insert(key, flow);
    }

    /// Removes flows without a packet for `idle`, or for the limit of their phase, and ends requests that have timed
    /// out.
    pub fn sweep(&mut self, now: Duration, idle: Duration) {
        let settings = self.settings;
        self.flows.retain(|_, flow| {
            let idle_time = now.saturating_sub(flow.last_packet_at);
            let limit = match flow.phase {
                Phase::Closed => settings.closed_retention,
                Phase::Opening { .. } => settings.request_timeout,
                Phase::Open => idle,
            };
            if idle_time >= settings.request_timeout {
                flow.finish_request();
            }
            if idle_time >= limit {
                flow.close();
            }
            idle_time < limit
        });
    }
}

/// A packet of an established flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// The flow.
    pub key: Key,
    /// Sequence number of the first data byte.
    pub sequence: u32,
    /// Acknowledgement number: position up to which the caller has received the upstream's stream.
    pub acknowledged: u32,
    /// Whether it carries data.
    pub has_data: bool,
    /// Whether the caller has no more data to send.
    pub is_last: bool,
}

impl Flow {
    fn observe(
        &mut self,
        now: Duration,
        packet: &Packet,
        samples: &mut LatencySamples,
    ) -> Evidence {
        match self.phase {
            Phase::Opening { .. } => {
                self.phase = Phase::Open;
                self.acknowledged = packet.acknowledged;
                let sent = self.finish_request();
                push_sample(&mut samples.openings, now, sent);
                self.start_request_with_data(now, packet);
                Evidence::Answered(None)
            }
            Phase::Open => self.observe_open(now, packet, samples),
            Phase::Closed => Evidence::None,
        }
    }

    fn observe_open(
        &mut self,
        now: Duration,
        packet: &Packet,
        samples: &mut LatencySamples,
    ) -> Evidence {
        let new_bytes = packet.acknowledged.wrapping_sub(self.acknowledged) as i32;
        let is_newer = new_bytes > 0;
        let mut response = None;
        if is_newer {
            self.acknowledged = packet.acknowledged;
            let sent = self.finish_request();
            push_sample(&mut samples.requests, now, sent);
            response = sent.map(|sent| Response {
                service: packet.key.service,
                latency: now.saturating_sub(sent),
                bytes: new_bytes.unsigned_abs(),
            });
        }
        let retransmitted = self.request.filter(|request| {
            packet.has_data
                && request.sequence == packet.sequence
                && now >= request.sent_at + RETRANSMISSION_THRESHOLD
        });
        if retransmitted.is_some() {
            return Evidence::Retransmitted;
        }
        self.start_request_with_data(now, packet);
        if is_newer {
            Evidence::Answered(response)
        } else {
            Evidence::None
        }
    }

    fn start_request_with_data(&mut self, now: Duration, packet: &Packet) {
        if packet.has_data && self.request.is_none() {
            self.start_request(now, packet.sequence);
        }
    }

    fn start_request(&mut self, now: Duration, sequence: u32) {
        self.request = Some(Request {
            sequence,
            sent_at: now,
        });
        add_load(&self.upstream, 0, 1);
    }

    /// Ends the request in flight and returns the time at which it was sent.
    fn finish_request(&mut self) -> Option<Duration> {
        let request = self.request.take()?;
        add_load(&self.upstream, 0, -1);
        Some(request.sent_at)
    }

    fn close(&mut self) {
        self.finish_request();
        if self.phase != Phase::Closed {
            self.phase = Phase::Closed;
            add_load(&self.upstream, -1, 0);
        }
    }
}

fn push_sample(samples: &mut Vec<Duration>, now: Duration, sent: Option<Duration>) {
    if let Some(sent) = sent
        && samples.len() < MAX_SAMPLES
    {
        samples.push(now.saturating_sub(sent));
    }
}

fn add_load(upstream: &Upstream, flows: i32, requests: i32) {
    let load = upstream.load_counters.load();
    upstream.load_counters.set_load(Load {
        flows: load.flows.saturating_add_signed(flows),
        requests: load.requests.saturating_add_signed(requests),
    });
}
