//! Counters and gauges of a balancer, reported over statsd and in the administration API.
//!
//! The threads that handle datagrams only increment atomic counters; one thread reports the increments.

use {
    crate::settings,
    cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient},
    std::{
        collections::BTreeMap,
        io,
        net::{Ipv4Addr, UdpSocket},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// A counter or gauge that a balancer reports; see [the catalogue](../../../docs/metrics.md).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name without the configured prefix.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Description in the catalogue.
    pub meaning: &'static str,
}

macro_rules! metrics {
    ($type:ident, $list:ident: $($name:ident $text:literal $unit:literal $meaning:literal;)*) => {
        /// Selects a metric.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum $type {
            $(#[doc = $meaning] $name,)*
        }

        /// Every metric of this kind.
        pub const $list: &[Metric] = &[
            $(Metric { name: $text, unit: $unit, meaning: $meaning },)*
        ];
    };
}

metrics! { Counter, COUNTERS:
    IngressDatagrams "ingress.datagrams" "datagrams" "Datagrams that the fabric delivered.";
    PeerDatagrams "peer.datagrams" "datagrams" "Callers' datagrams that other balancers forwarded to this one.";
    UpstreamDatagrams "upstream.datagrams" "datagrams" "Datagrams of upstreams.";
    Forwarded "peer.forwarded" "datagrams" "Callers' datagrams forwarded to the balancer that owns their flow.";
    ControlReceived "peer.control_received" "messages" "Control messages of other balancers.";
    ControlSent "peer.control_sent" "messages" "Control messages to other balancers.";
    ControlBytesSent "peer.control_bytes_sent" "bytes"
        "Payload of control messages sent to other balancers, as datagrams and over links.";
    ControlDropped "peer.control_dropped" "messages"
        "Control messages dropped because a queue was full or the balancer was unknown.";
    Requests "requests.received" "requests" "Requests of flows that this balancer owns, retransmissions included.";
    RequestsDispatched "requests.dispatched" "requests" "Requests sent to upstreams, retries included.";
    Replies "requests.replies" "messages" "Messages sent to callers.";
    RequestsCancelled "requests.cancelled" "requests" "Dispatches cancelled at the upstream.";
    RequestsRefused "requests.refused" "requests" "Requests answered with 5.03: not run.";
    RequestsRetried "requests.retried" "requests" "Requests dispatched again.";
    RequestsUnknown "requests.unknown" "requests" "Requests answered with 5.04: outcome unknown.";
    ResponsesUnmatched "requests.unmatched_responses" "messages" "Messages of upstreams that matched no dispatch.";
    FlowsOpened "flows.opened" "flows" "Flows that this balancer assigned their first upstream.";
    FlowsException "flows.exceptions" "flows" "Flows assigned an upstream other than the default.";
    FlowsReplaced "flows.replaced" "flows" "Established flows assigned another upstream.";
    FlowsClosed "flows.closed" "flows"
        "Flows closed because they were idle for too long, or evicted to make room for others.";
    FlowsClaimed "flows.claimed" "flows" "Flows claimed from their previous owner.";
    FlowsGranted "flows.granted" "flows" "Flows handed over to another balancer.";
    FlowsQuarantined "flows.quarantined" "flows" "Flows put into quarantine.";
    BadFabric "drops.bad_fabric" "datagrams" "Malformed datagrams of the fabric.";
    BadCaller "drops.bad_caller" "datagrams" "Malformed messages of callers.";
    BadPeer "drops.bad_peer" "datagrams" "Malformed datagrams of balancers.";
    BadUpstream "drops.bad_upstream" "datagrams" "Malformed messages of upstreams.";
    Oversized "drops.oversized" "datagrams" "Datagrams dropped because they were longer than the limit.";
    UnknownService "drops.unknown_service" "datagrams" "Datagrams dropped because no route has their address.";
    NoOwner "drops.no_owner" "datagrams" "Datagrams dropped because no balancer serves their flow.";
    HopLimit "drops.hop_limit" "datagrams" "Datagrams dropped because too many balancers had forwarded them.";
    TableFull "drops.full" "datagrams" "Datagrams dropped because a bounded table or queue was full.";
    NotOwner "drops.not_owner" "datagrams" "Datagrams dropped because their flow belongs to another balancer.";
    UnknownUpstream "drops.unknown_upstream" "datagrams"
        "Datagrams dropped because the upstream of their flow is not in the tables yet.";
    SendFailed "drops.send_failed" "datagrams" "Datagrams that the operating system failed to send.";
    ConfigAdopted "config.adopted" "objects" "New generations of routes and pools that became active.";
    PlatformCalls "platform.calls" "calls" "Calls to the platform; a waiting watch counts as one.";
    PlatformFailed "platform.failed" "calls" "Calls to the platform that failed.";
    Packets "steer.packets" "packets" "Packets of callers that a steering balancer read.";
    ReceiveFailed "steer.receive_failed" "calls" "Reads of the socket for callers' packets that failed.";
    PacketsMalformed "steer.malformed" "packets" "Datagrams dropped because they are not valid packets of a caller.";
    PacketsForwarded "steer.forwarded" "packets" "Packets forwarded to upstreams.";
    PacketsUnknownCookie "steer.unknown_cookie" "packets"
        "Packets dropped because their cookie names no known upstream.";
    PacketsWithoutTable "steer.early" "packets" "Packets dropped because no table was active yet.";
    PacketsHeld "steer.held" "packets"
        "Packets held until the first table is active; those that get too old are discarded.";
    Placements "steer.placements" "flows" "Opening packets for which an upstream was chosen.";
    Replacements "steer.replacements" "flows" "Retransmitted opening packets for which another upstream was chosen.";
    PacketsDuplicate "steer.duplicates" "packets"
        "Duplicate opening packets dropped because the zone of their upstream was evacuated and no other one is left.";
    Resets "steer.resets" "packets" "Resets sent to callers.";
    OverloadResetsUrgent "steer.overload_resets_0" "packets"
        "Opening packets of priority 0 that were reset because the pool had no room.";
    OverloadResetsMiddle "steer.overload_resets_1" "packets"
        "Opening packets of priority 1 that were reset because the pool had no room.";
    OverloadResetsOther "steer.overload_resets_2" "packets"
        "Opening packets of priority 2 or above that were reset because the pool had no room.";
    UpstreamRefusals "steer.upstream_refusals" "responses"
        "Responses of upstreams that were refusals, as judged by their size and lateness.";
    UpstreamsDown "steer.upstreams_down" "changes" "Times that an upstream was marked down because it did not answer.";
    WarmupPlacements "steer.warmup_placements" "packets"
        "Opening packets, copies included, that were sent to cold upstreams within their budgets.";
    WarmupDiverted "steer.warmup_diverted" "packets"
        "Opening packets for which a cold upstream was left out: its budget is used up or belongs to other balancers.";
    WarmupRefused "steer.warmup_refused" "packets"
        "Opening packets that were reset because only cold upstreams without a budget were left.";
    WarmupDuplicatesDropped "steer.warmup_dropped" "packets"
        "Copies of opening packets that were dropped because the budget of their cold upstream is used up.";
    Probes "steer.probes" "probes" "Probes of upstreams that may have ended.";
    StoreCalls "store.calls" "calls" "Calls to the store.";
    StoreFailures "store.failures" "calls" "Calls to the store without a valid answer.";
    StoreResponsesOutdated "store.outdated" "responses"
        "Responses of the store that were discarded: older than what is known, or watched from before a restore.";
    ObjectsMalformed "store.malformed" "objects" "Malformed objects of the store.";
    LogLinesDropped "log.lines_lost" "lines" "Log lines dropped because the queue of lines was full.";
}

metrics! { Gauge, GAUGES:
    Ready "ready" "boolean" "1 while the balancer takes new flows, else 0.";
    Fence "fence_held" "boolean" "1 while this balancer hears from a majority of its zone, else 0.";
    Members "members" "balancers" "Balancers that own flows, this one included.";
    Routes "config.routes" "routes" "Active routes.";
    Pools "config.pools" "pools" "Active pools.";
    Flows "flows.open" "flows" "Flow entries of this balancer.";
    TableVersion "steer.version" "version" "Version of the configuration that is active at a steering balancer.";
    UpstreamsKnown "steer.upstreams" "upstreams" "Upstreams that are registered in the store.";
    ZonesEvacuated "steer.zones_evacuated" "zones" "Zones whose upstreams get no new flows, as the store requests it.";
    ZonesUnconfirmed "steer.zones_unconfirmed" "zones"
        "Evacuated zones whose entry a restored store lacks; they stay evacuated.";
    UpstreamsSlow "steer.slow_upstreams" "upstreams"
        "Upstreams that respond clearly slower than the others of their routes.";
    StoreEpoch "steer.store_epoch" "epoch"
        "Epoch of the store, which rises when the store is restored from an older copy.";
    StoreRevision "steer.store_revision" "revision"
        "Revision of the store up to which the upstreams are known in its epoch.";
    Peers "steer.peers" "balancers" "Other steering balancers that this one knows.";
    FlowsRecent "steer.flows" "flows" "Flows that recently sent packets through this balancer.";
    AdmittedShareLast "steer.admitted_share_last" "per mille"
        "Admitted share of the new flows of the least urgent priority; the lowest of all pools.";
    AdmittedShareNext "steer.admitted_share_next" "per mille"
        "Admitted share of the new flows of the second least urgent priority; the lowest of all pools.";
    InFlight "requests.in_flight" "requests" "Requests dispatched and not yet answered.";
}

/// Counters and gauges of one balancer.
pub struct Metrics {
    client: StatsdClient,
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    /// Values of the counters at the last report.
    reported: Mutex<Vec<u64>>,
}

impl Metrics {
    /// Creates metrics, which are reported to the statsd server of the settings if there is one.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub fn new(settings: &settings::Metrics) -> io::Result<Metrics> {
        Ok(Metrics {
            client: client(settings)?,
            counters: COUNTERS.iter().map(|_| AtomicU64::default()).collect(),
            gauges: GAUGES.iter().map(|_| AtomicU64::default()).collect(),
            reported: Mutex::new(vec![0; COUNTERS.len()]),
        })
    }

    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Returns the value of a gauge.
    pub fn gauge(&self, gauge: Gauge) -> u64 {
        self.gauges[gauge as usize].load(Ordering::Relaxed)
    }

    /// Returns the values of all counters and gauges by name.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let counters = COUNTERS.iter().zip(&self.counters);
        let gauges = GAUGES.iter().zip(&self.gauges);
        counters
            .chain(gauges)
            .map(|(metric, value)| (metric.name.to_owned(), value.load(Ordering::Relaxed)))
            .collect()
    }

    /// Sends the increments of the counters since the last report, and all gauges. If a datagram is lost, so are its
    /// increments.
    pub fn report(&self) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        let counters = COUNTERS.iter().zip(&self.counters);
        for ((metric, counter), before) in counters.zip(reported.iter_mut()) {
            let value = counter.load(Ordering::Relaxed);
            if value != *before {
                let _ = self.client.count(metric.name, value - *before);
                *before = value;
            }
        }
        for (metric, gauge) in GAUGES.iter().zip(&self.gauges) {
            let _ = self
                .client
                .gauge(metric.name, gauge.load(Ordering::Relaxed));
        }
        let _ = self.client.flush();
    }
}

fn client(settings: &settings::Metrics) -> io::Result<StatsdClient> {
    let Some(address) = settings.statsd else {
        return Ok(StatsdClient::from_sink(&settings.prefix, NopMetricSink));
    };
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(StatsdClient::from_sink(&settings.prefix, sink))
}
