//! The thread that forwards packets. It never waits for a lock and allocates no memory for packets of open flows.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_probe::{Probe, ProbeReport},
        steer_state::State,
    },
    crossbeam::channel::Receiver,
    skylarkflow_adapter::layout::{self, HEADER_BYTES, PREFIX_BYTES},
    skylarkflow_policy::{flow::Key, health::Change},
    skylarkflow_steering::{
        balancer::{Action, Balancer, DropReason, Placement, ResetReason, Verdict},
        cookie::Cookie,
        held_packets::HeldPackets,
        liveness::ProbeOutcome,
        segment::{Kind, Segment},
        speed::{self, Notice},
        table::Table,
        upstream::{Upstream, UpstreamId},
    },
    std::{
        io::{self, ErrorKind},
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        time::Duration,
    },
    tokio::sync::mpsc::UnboundedSender,
};

/// Maximum length of a received datagram; callers send shorter ones.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Interval at which old flows are removed and metrics are updated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of log lines per second for each kind of decision: ten times the rate of a balancer in a calm
/// deployment.
const MAX_LINES_PER_SECOND: u64 = 50;

/// Path of probes of an upstream whose pool is no longer in the configuration; the status of the response is ignored.
const DEFAULT_HEALTH_PATH: &str = "/";

/// Longest wait for a packet, so that upstreams which do not answer opening packets are detected in time.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(25);

/// Forwards the packets of one socket.
pub struct Forwarder {
    state: Arc<State>,
    socket: UdpSocket,
    /// Port on which callers receive resets.
    reset_port: u16,
    balancer: Balancer,
    table: Option<Arc<Table>>,
    table_generation: u64,
    warmup_generation: u64,
    next_sweep: Duration,
    /// Packets that arrived before a table from which they can be handled.
    held: HeldPackets,
    channels: Channels,
}

/// The forwarder's ends of the channels to other threads.
pub struct Channels {
    /// Requested probes.
    pub probes: UnboundedSender<Probe>,
    /// Upstreams that a probe has found to have ended.
    pub ended_upstreams: UnboundedSender<UpstreamId>,
    /// Events about upstreams from other threads.
    pub upstream_events: Receiver<UpstreamEvent>,
}

/// An event about an upstream from another thread.
#[derive(Clone, Copy, Debug)]
pub enum UpstreamEvent {
    /// A probe has completed.
    ProbeCompleted(ProbeReport),
    /// Another balancer has reported that the upstream has ended.
    SuspectedByPeer(UpstreamId),
    /// Another balancer has found the upstream to be slow.
    SlowAtPeer(Notice),
}

impl Forwarder {
    /// Creates a forwarder without a table.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be set up.
    pub fn new(
        state: Arc<State>,
        socket: UdpSocket,
        balancer: Balancer,
        channels: Channels,
    ) -> io::Result<Forwarder> {
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(Forwarder {
            reset_port: socket.local_addr()?.port(),
            state,
            socket,
            balancer,
            table: None,
            table_generation: 0,
            warmup_generation: 0,
            next_sweep: Duration::ZERO,
            held: HeldPackets::default(),
            channels,
        })
    }

    /// Forwards packets until the shared state is stopped.
    pub fn run(mut self) {
        let mut buffer = [0; PREFIX_BYTES + MAX_DATAGRAM_BYTES];
        while !self.state.is_stopped() {
            let received = self.socket.recv_from(&mut buffer[PREFIX_BYTES..]);
            let now = self.state.clock.now();
            self.update_table(now);
            self.update_warmup(now);
            self.handle_upstream_events(now);
            match received {
                // An empty datagram comes from a `Waker` and carries nothing.
                Ok((0, _)) => {}
                Ok((length, _)) => self.handle_packet(now, &mut buffer[..PREFIX_BYTES + length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => self.state.metrics.count(Counter::ReceiveFailed),
            }
            if now >= self.next_sweep {
                self.next_sweep = now + SWEEP_INTERVAL;
                self.sweep(now);
            }
            self.balancer.check_openings(now, self.table.as_deref());
            self.perform_actions(now);
        }
    }

    fn update_table(&mut self, now: Duration) {
        let table_generation = self.state.table_generation();
        if table_generation == self.table_generation {
            return;
        }
        if let Some(Some(table)) = self.state.try_table() {
            self.balancer
                .update_table(now, self.table.as_deref(), &table);
            self.table = Some(table);
            self.table_generation = table_generation;
            self.handle_held_packets(now);
        }
    }

    fn handle_held_packets(&mut self, now: Duration) {
        for mut datagram in self.held.take(now) {
            self.handle_packet(now, &mut datagram);
        }
    }

    fn update_warmup(&mut self, now: Duration) {
        let generation = self.state.warmup_generation();
        if generation == self.warmup_generation {
            return;
        }
        if let Some(inputs) = self.state.try_warmup() {
            let table = self.table.as_deref();
            self.balancer.set_warmup_inputs(now, table, inputs);
            self.warmup_generation = generation;
        }
    }

    fn handle_upstream_events(&mut self, now: Duration) {
        while let Ok(event) = self.channels.upstream_events.try_recv() {
            let table = self.table.as_deref();
            match event {
                UpstreamEvent::ProbeCompleted(ProbeReport { id, sent, outcome }) => {
                    self.balancer.handle_probe(now, table, sent, id, outcome);
                }
                UpstreamEvent::SuspectedByPeer(id) => {
                    self.balancer.suspect_upstream(now, table, id)
                }
                UpstreamEvent::SlowAtPeer(notice) => {
                    self.balancer.record_slow_upstream(now, table, notice);
                }
            }
        }
    }

    fn handle_packet(&mut self, now: Duration, datagram: &mut [u8]) {
        self.state.record_packet(now);
        self.state.metrics.count(Counter::Packets);
        let segment = match layout::decode(&datagram[PREFIX_BYTES..]) {
            Ok(segment) => segment,
            Err(malformed) => {
                self.state.metrics.count(Counter::PacketsMalformed);
                let text = format_args!("{malformed}");
                return self
                    .state
                    .event_log
                    .record_limited(now, &event::PACKET_MALFORMED, text);
            }
        };
        match self.balancer.handle(now, self.table.as_deref(), &segment) {
            Verdict::Forward {
                upstream,
                cookie,
                placement,
            } => {
                self.forward_packet(datagram, &upstream, cookie);
                if let Some(placement) = placement {
                    self.record_placement(now, &segment, &upstream, &placement);
                }
            }
            Verdict::Reset(reason) => self.send_reset(now, &segment, reason),
            Verdict::Drop(DropReason::NoTable) if self.held.push(now, &segment, datagram) => {
                self.state.metrics.count(Counter::PacketsHeld);
            }
            Verdict::Drop(reason) => self.record_drop(now, &segment, reason),
        }
    }

    fn forward_packet(&self, datagram: &mut [u8], upstream: &Upstream, cookie: Option<Cookie>) {
        if let Some(cookie) = cookie {
            layout::set_cookie(&mut datagram[PREFIX_BYTES..], cookie);
        }
        layout::set_prefix(datagram, upstream.record.id);
        self.send(datagram, upstream.record.address);
        self.state.metrics.count(Counter::PacketsForwarded);
    }

    fn send_reset(&self, now: Duration, segment: &Segment, reason: ResetReason) {
        let packet: [u8; HEADER_BYTES] = layout::reset_packet(segment);
        let to = SocketAddr::new(segment.flow.caller.ip(), self.reset_port);
        self.send(&packet, to);
        self.state.metrics.count(Counter::Resets);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        let version = self.config_version();
        self.state.event_log.record_sampled(
            now,
            &event::FLOW_RESET,
            MAX_LINES_PER_SECOND,
            format_args!("{caller} to {service}: {reason:?}, configuration version {version}"),
        );
    }

    fn send(&self, datagram: &[u8], to: SocketAddr) {
        if self.socket.send_to(datagram, to).is_err() {
            self.state.metrics.count(Counter::SendFailed);
        }
    }

    fn record_placement(
        &self,
        now: Duration,
        segment: &Segment,
        upstream: &Upstream,
        placement: &Placement,
    ) {
        let counter = if placement.retransmission == 0 {
            Counter::Placements
        } else {
            Counter::Replacements
        };
        self.state.metrics.count(counter);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        let Placement {
            version,
            score,
            retransmission,
        } = placement;
        let load = upstream.load_counters.load();
        self.state.event_log.record_sampled(
            now,
            &event::FLOW_PLACED,
            MAX_LINES_PER_SECOND,
            format_args!(
                "{caller} to {service}: upstream {:x} in zone {}, retransmission {retransmission}, score \
                 {score:.2}, {} flows, {} requests, configuration version {version}",
                upstream.record.id, upstream.record.zone, load.flows, load.requests
            ),
        );
    }

    fn record_drop(&self, now: Duration, segment: &Segment, reason: DropReason) {
        let counter = match reason {
            DropReason::DuplicateOpening => Counter::PacketsDuplicate,
            DropReason::NoTable => Counter::PacketsWithoutTable,
            DropReason::UnknownCookie => Counter::PacketsUnknownCookie,
            DropReason::WarmupBudgetUsed => Counter::WarmupDuplicatesDropped,
        };
        self.state.metrics.count(counter);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        self.state.event_log.record_sampled(
            now,
            &event::PACKET_DROPPED,
            MAX_LINES_PER_SECOND,
            format_args!(
                "{caller} to {service}: {reason:?}, cookie {:08x}",
                segment.cookie
            ),
        );
    }

    fn perform_actions(&mut self, now: Duration) {
        for action in self.balancer.take_actions() {
            match action {
                Action::Probe(upstream) => self.request_probe(now, &upstream),
                Action::Reset { key, acknowledged } => self.reset_flow(now, key, acknowledged),
                Action::UpstreamEnded { id, outcome, flows } => {
                    self.record_upstream_end(id, outcome, flows)
                }
                Action::UpstreamRestored(id) => self
                    .state
                    .event_log
                    .record(&event::UPSTREAM_RESTORED, format_args!("upstream {id:x}")),
                Action::SpeedChanged(change) => self.record_speed_change(now, change),
                Action::HealthChanged(change) => self.record_health_change(now, change),
                Action::AdmissionChanged { pool, is_limiting } => {
                    self.record_admission_change(&pool, is_limiting);
                }
                Action::WarmupBudgetUsed(pool) => self.state.event_log.record_limited(
                    now,
                    &event::WARMUP_BUDGET_USED,
                    format_args!("pool {pool}"),
                ),
            }
        }
    }

    fn record_upstream_end(&self, id: UpstreamId, outcome: ProbeOutcome, flows: usize) {
        // Sending only fails when the receiver was dropped because the process is exiting.
        let _ = self.channels.ended_upstreams.send(id);
        self.state.event_log.record(
            &event::UPSTREAM_ENDED,
            format_args!("upstream {id:x}: probe outcome {outcome:?}; resetting {flows} flows"),
        );
    }

    fn request_probe(&self, now: Duration, upstream: &Upstream) {
        let paths = self.table.as_ref().map(|table| &table.health_paths);
        let path = paths.and_then(|paths| paths.get(&upstream.record.pool));
        let probe = Probe {
            id: upstream.record.id,
            address: upstream.record.address,
            path: path.map_or(DEFAULT_HEALTH_PATH, String::as_str).to_owned(),
            sent: now,
        };
        // Sending only fails when the receiver was dropped because the process is exiting.
        let _ = self.channels.probes.send(probe);
    }

    fn reset_flow(&self, now: Duration, key: Key, acknowledged: u32) {
        let segment = Segment {
            flow: key,
            kind: Kind::Reset,
            cookie: 0,
            sequence: 0,
            acknowledged,
            length: 0,
        };
        self.send_reset(now, &segment, ResetReason::UpstreamEnded);
    }

    fn sweep(&mut self, now: Duration) {
        self.balancer.tick(now, self.table.as_deref());
        if let Ok(mut latencies) = self.state.latencies.try_lock() {
            self.balancer
                .drain_samples(|samples| latencies.record(samples));
        }
        if let Ok(mut slow_upstreams) = self.state.slow_upstreams.try_lock() {
            *slow_upstreams = self.balancer.slow_upstreams();
        }
        if let Ok(rank) = self.state.rank.try_lock() {
            self.balancer.set_rank(*rank, self.table.as_deref());
        }
        let slow = self.balancer.slow_upstream_count() as u64;
        self.state.metrics.set(Gauge::UpstreamsSlow, slow);
        let warmup_counts = self.balancer.take_warmup_counts();
        let metrics = &self.state.metrics;
        metrics.add(Counter::WarmupPlacements, warmup_counts.placed);
        metrics.add(Counter::WarmupDiverted, warmup_counts.diverted);
        metrics.add(Counter::WarmupRefused, warmup_counts.refused);
        let flows = self.balancer.flow_count() as u64;
        self.state.metrics.set(Gauge::FlowsRecent, flows);
        self.record_admission(now);
    }

    fn record_admission(&mut self, now: Duration) {
        let summary = self.balancer.take_admission(now);
        let metrics = &self.state.metrics;
        metrics.add(Counter::UpstreamRefusals, summary.counts.refusals);
        let counters = [
            Counter::OverloadResetsUrgent,
            Counter::OverloadResetsMiddle,
            Counter::OverloadResetsOther,
        ];
        for (counter, count) in counters.into_iter().zip(summary.counts.resets) {
            metrics.add(counter, count);
        }
        let gauges = [Gauge::AdmittedShareLast, Gauge::AdmittedShareNext];
        for (gauge, share) in gauges.into_iter().zip(summary.lowest_shares) {
            metrics.set(gauge, (share * 1_000.0).round() as u64);
        }
    }

    fn record_admission_change(&self, pool: &str, is_limiting: bool) {
        let event = if is_limiting {
            &event::ADMISSION_LIMITED
        } else {
            &event::ADMISSION_RESTORED
        };
        self.state
            .event_log
            .record(event, format_args!("pool {pool}"));
    }

    fn record_speed_change(&self, now: Duration, change: speed::Change) {
        let event_log = &self.state.event_log;
        match change {
            speed::Change::Slow(id, slowness) => event_log.record_limited(
                now,
                &event::UPSTREAM_SLOW,
                format_args!("upstream {id:x}: latencies {slowness:.1} times the usual ones"),
            ),
            speed::Change::Usual(id) => event_log.record_limited(
                now,
                &event::UPSTREAM_USUAL,
                format_args!("upstream {id:x}"),
            ),
        }
    }

    fn record_health_change(&self, now: Duration, change: Change) {
        let event_log = &self.state.event_log;
        match change {
            Change::Down(id) => {
                self.state.metrics.count(Counter::UpstreamsDown);
                event_log.record_limited(
                    now,
                    &event::UPSTREAM_DOWN,
                    format_args!("upstream {id:x}"),
                );
            }
            Change::Cold(id) | Change::Up(id) => {
                event_log.record_limited(now, &event::UPSTREAM_UP, format_args!("upstream {id:x}"));
            }
        }
    }

    fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
