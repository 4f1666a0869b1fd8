//! The thread that forwards packets. It never waits for a lock, and forwarding a packet of a known flow allocates nothing.

use {
    crate::{
        event,
        metrics::{Counter, Gauge},
        steer_probe::{Probe, Report},
        steer_state::State,
    },
    crossbeam::channel::Receiver,
    skylarkflow_adapter::layout::{self, HEADER_BYTES, PREFIX_BYTES},
    skylarkflow_policy::{flow::Key, health::Change},
    skylarkflow_steering::{
        balancer::{Action, Balancer, DropReason, Placement, ResetReason, Verdict},
        cookie::Cookie,
        liveness::ProbeOutcome,
        segment::{Kind, Segment},
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

/// Longest datagram that is read; callers send less.
const DATAGRAM_BYTES: usize = 2_048;

/// Time between two sweeps of old flows.
const TICK: Duration = Duration::from_millis(250);

/// Lines of each kind of decision that are written in one second; a balancer of a calm deployment makes a tenth of them.
const LINES: u64 = 50;

/// Path of a probe of an upstream whose pool is not in the configuration any more; any answer will do.
const DEFAULT_HEALTH_PATH: &str = "/";

/// Longest wait for a packet before openings without an answer are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Forwards the packets of one socket.
pub struct Forwarder {
    state: Arc<State>,
    socket: UdpSocket,
    /// Port on which callers take resets.
    reset_port: u16,
    balancer: Balancer,
    table: Option<Arc<Table>>,
    generation: u64,
    next_tick: Duration,
    channels: Channels,
}

/// Ends of the channels of the forwarder.
pub struct Channels {
    /// Probes to be made.
    pub probes: UnboundedSender<Probe>,
    /// Upstreams that have ended.
    pub ended: UnboundedSender<UpstreamId>,
    /// Findings of other threads.
    pub inputs: Receiver<Input>,
}

/// A finding of another thread about an upstream.
#[derive(Clone, Copy, Debug)]
pub enum Input {
    /// The outcome of a probe.
    Probed(Report),
    /// Another balancer has found that it has ended.
    Doubt(UpstreamId),
}

impl Forwarder {
    /// Creates a forwarder.
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
        socket.set_read_timeout(Some(CHECK_INTERVAL))?;
        Ok(Forwarder {
            reset_port: socket.local_addr()?.port(),
            state,
            socket,
            balancer,
            table: None,
            generation: 0,
            next_tick: Duration::ZERO,
            channels,
        })
    }

    /// Forwards packets until the process ends.
    pub fn run(mut self) {
        let mut buffer = [0; PREFIX_BYTES + DATAGRAM_BYTES];
        while !self.state.is_stopped() {
            let received = self.socket.recv_from(&mut buffer[PREFIX_BYTES..]);
            let now = self.state.clock.now();
            self.refresh(now);
            self.take_inputs(now);
            match received {
                // An empty datagram only wakes this thread.
                Ok((0, _)) => {}
                Ok((length, _)) => self.packet(now, &mut buffer[..PREFIX_BYTES + length]),
                Err(error) if is_timeout(&error) => {}
                Err(_) => self.state.metrics.count(Counter::ReceiveFailed),
            }
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                self.tick(now);
            }
            self.balancer.check_openings(now, self.table.as_deref());
            self.perform(now);
        }
    }

    fn refresh(&mut self, now: Duration) {
        let generation = self.state.generation();
        if generation == self.generation {
            return;
        }
        if let Some(Some(table)) = self.state.try_table() {
            self.balancer
                .update_table(now, self.table.as_deref(), &table);
            self.table = Some(table);
            self.generation = generation;
        }
    }

    fn take_inputs(&mut self, now: Duration) {
        while let Ok(input) = self.channels.inputs.try_recv() {
            let table = self.table.as_deref();
            match input {
                Input::Probed(Report { id, sent, outcome }) => {
                    self.balancer.handle_probe(now, table, sent, id, outcome);
                }
                Input::Doubt(id) => self.balancer.suspect_upstream(now, table, id),
            }
        }
    }

    fn packet(&mut self, now: Duration, datagram: &mut [u8]) {
        self.state.touch(now);
        self.state.metrics.count(Counter::Packets);
        let segment = match layout::decode(&datagram[PREFIX_BYTES..]) {
            Ok(segment) => segment,
            Err(malformed) => {
                self.state.metrics.count(Counter::PacketsMalformed);
                let text = format_args!("{malformed}");
                return self
                    .state
                    .journal
                    .record_limited(now, &event::PACKET_MALFORMED, text);
            }
        };
        match self.balancer.handle(now, self.table.as_deref(), &segment) {
            Verdict::Forward {
                upstream,
                cookie,
                placement,
            } => {
                self.forward(datagram, &upstream, cookie);
                if let Some(placement) = placement {
                    self.placed(now, &segment, &upstream, &placement);
                }
            }
            Verdict::Reset(refusal) => self.reset(now, &segment, refusal),
            Verdict::Drop(cause) => self.dropped(now, &segment, cause),
        }
    }

    fn forward(&self, datagram: &mut [u8], upstream: &Upstream, cookie: Option<Cookie>) {
        if let Some(cookie) = cookie {
            layout::set_cookie(&mut datagram[PREFIX_BYTES..], cookie);
        }
        layout::set_prefix(datagram, upstream.record.id);
        self.send(datagram, upstream.record.address);
        self.state.metrics.count(Counter::PacketsForwarded);
    }

    fn reset(&self, now: Duration, segment: &Segment, refusal: ResetReason) {
        let packet: [u8; HEADER_BYTES] = layout::reset_packet(segment);
        let to = SocketAddr::new(segment.flow.caller.ip(), self.reset_port);
        self.send(&packet, to);
        self.state.metrics.count(Counter::Resets);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        let version = self.version();
        self.state.journal.record_sampled(
            now,
            &event::FLOW_RESET,
            LINES,
            format_args!("{caller} to {service}: {refusal:?} in version {version}"),
        );
    }

    fn send(&self, datagram: &[u8], to: SocketAddr) {
        if self.socket.send_to(datagram, to).is_err() {
            self.state.metrics.count(Counter::SendFailed);
        }
    }

    fn placed(&self, now: Duration, segment: &Segment, upstream: &Upstream, placement: &Placement) {
        let counter = if placement.copy == 0 {
            Counter::Placements
        } else {
            Counter::Replacements
        };
        self.state.metrics.count(counter);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        let Placement {
            version,
            score,
            copy,
        } = placement;
        let load = upstream.load_counters.load();
        self.state.journal.record_sampled(
            now,
            &event::FLOW_PLACED,
            LINES,
            format_args!(
                "{caller} to {service}: upstream {:x} in {}, copy {copy}, score {score:.2}, {} flows, {} requests, \
                 version {version}",
                upstream.record.id, upstream.record.zone, load.flows, load.requests
            ),
        );
    }

    fn dropped(&self, now: Duration, segment: &Segment, cause: DropReason) {
        let counter = match cause {
            DropReason::NoTable => Counter::PacketsWithoutTable,
            DropReason::UnknownCookie => Counter::PacketsUnknownCookie,
        };
        self.state.metrics.count(counter);
        let (caller, service) = (segment.flow.caller, segment.flow.service);
        self.state.journal.record_sampled(
            now,
            &event::PACKET_DROPPED,
            LINES,
            format_args!(
                "{caller} to {service}: {cause:?}, cookie {:08x}",
                segment.cookie
            ),
        );
    }

    fn perform(&mut self, now: Duration) {
        for action in self.balancer.take_actions() {
            match action {
                Action::Probe(upstream) => self.probe(now, &upstream),
                Action::Reset { key, acknowledged } => self.end(now, key, acknowledged),
                Action::UpstreamEnded { id, outcome, flows } => self.severed(id, outcome, flows),
                Action::UpstreamRestored(id) => self
                    .state
                    .journal
                    .record(&event::UPSTREAM_RESTORED, format_args!("upstream {id:x}")),
                Action::HealthChanged(change) => self.changed(now, change),
            }
        }
    }

    fn severed(&self, id: UpstreamId, outcome: ProbeOutcome, flows: usize) {
        // The receiver only ends with the process.
        let _ = self.channels.ended.send(id);
        self.state.journal.record(
            &event::UPSTREAM_ENDED,
            format_args!("upstream {id:x}: probe {outcome:?}; {flows} flows are reset"),
        );
    }

    fn probe(&self, now: Duration, upstream: &Upstream) {
        let paths = self.table.as_ref().map(|table| &table.health_paths);
        let path = paths.and_then(|paths| paths.get(&upstream.record.pool));
        let probe = Probe {
            id: upstream.record.id,
            address: upstream.record.address,
            path: path.map_or(DEFAULT_HEALTH_PATH, String::as_str).to_owned(),
            sent: now,
        };
        // The receiver only ends with the process.
        let _ = self.channels.probes.send(probe);
    }

    fn end(&self, now: Duration, key: Key, acknowledged: u32) {
        let segment = Segment {
            flow: key,
            kind: Kind::Reset,
            cookie: 0,
            sequence: 0,
            acknowledged,
            length: 0,
        };
        self.reset(now, &segment, ResetReason::UpstreamEnded);
    }

    fn tick(&mut self, now: Duration) {
        self.balancer.tick(now, self.table.as_deref());
        if let Ok(mut latencies) = self.state.latencies.try_lock() {
            self.balancer
                .drain_samples(|samples| latencies.record(samples));
        }
        let flows = self.balancer.flow_count() as u64;
        self.state.metrics.set(Gauge::FlowsRecent, flows);
    }

    fn changed(&self, now: Duration, change: Change) {
        let journal = &self.state.journal;
        match change {
            Change::Down(id) => {
                self.state.metrics.count(Counter::UpstreamsDown);
                journal.record_limited(now, &event::UPSTREAM_DOWN, format_args!("upstream {id:x}"));
            }
            Change::Cold(id) | Change::Up(id) => {
                journal.record_limited(now, &event::UPSTREAM_UP, format_args!("upstream {id:x}"));
            }
        }
    }

    fn version(&self) -> u64 {
        self.table.as_ref().map_or(0, |table| table.version)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
