//! The control thread: runs the membership, the fence and the configuration, and handles messages that arrive
//! over links.
//!
//! The fence is the majority lease of `skylarkflow-policy`: while it is held, this balancer may dispatch non-idempotent
//! requests.

use {
    crate::{
        actions::{self, ScratchBuffers},
        configuration_log,
        context::{Context, MemberEntry, MemberList},
        event,
        metrics::{Counter, Gauge, Metrics},
        peers,
        settings::Limits,
    },
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender},
    skylarkflow_operator::wire::Phase,
    skylarkflow_peer::{
        control::Message,
        datagram::{self, Datagram},
        link::{self, Links},
    },
    skylarkflow_policy::{
        config_reader::{Answer, Call},
        id::{Map, VmId},
        member::{self, State},
        node::{self, Action, Node},
        owner::{self, View},
        quorum, vm,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{runtime, sync::mpsc},
};

/// Time between two ticks of the membership.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for an input; bounds the delay until the thread notices a stop or a change of the fence.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bisection steps in the search for the end of the fence; the last step is shorter than a millisecond.
const FENCE_SEARCH_STEPS: u32 = 12;

/// Input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// A link changed its state or received a message.
    Link(link::Event),
    /// The platform answered a call.
    PlatformAnswer(Answer),
    /// Another balancer sent a message.
    NodeMessage {
        /// Address of its peer socket.
        from: SocketAddr,
        /// The message.
        message: node::Message,
    },
    /// An upstream reported whether it is draining.
    UpstreamReport {
        /// Address of the upstream.
        address: SocketAddr,
        /// Whether it is draining.
        draining: bool,
    },
    /// The drain of this balancer started.
    DrainStarted,
}

struct ControlThread<'a> {
    context: &'a Context,
    node: Node,
    calls: mpsc::Sender<Call>,
    names: Map<VmId, String>,
    ids_by_address: Map<SocketAddr, VmId>,
    actions: Vec<Action>,
    scratch: ScratchBuffers,
    last_tick: Duration,
    has_view: bool,
    is_fence_held: bool,
}

/// Creates the links of a balancer, which send their events to the control thread.
pub fn create_links(
    limits: &Limits,
    runtime: &runtime::Handle,
    metrics: &Arc<Metrics>,
    input_sender: &Sender<Input>,
) -> Links {
    let (metrics, input_sender) = (Arc::clone(metrics), input_sender.clone());
    let handler = move |event| {
        if input_sender.try_send(Input::Link(event)).is_err() {
            metrics.count(Counter::ControlDropped);
        }
    };
    let settings = link::Settings {
        max_message_bytes: limits.link_bytes,
        queue_messages: limits.link_queue,
        max_accepted: limits.links,
        ..link::Settings::default()
    };
    Links::new(runtime.clone(), settings, Arc::new(handler))
}

/// Runs the control thread until the balancer stops.
pub fn run(
    context: &Context,
    address: SocketAddr,
    inputs: &Receiver<Input>,
    calls: mpsc::Sender<Call>,
) {
    let mut control = ControlThread::new(context, address, calls);
    while !context.is_stopped() {
        match inputs.recv_timeout(POLL_INTERVAL) {
            Ok(input) => control.handle_input(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        control.tick();
    }
    if context.drain_progress().phase == Phase::Drained {
        control.handle_event(node::Event::Stop);
    }
}

impl<'a> ControlThread<'a> {
    fn new(
        context: &'a Context,
        address: SocketAddr,
        calls: mpsc::Sender<Call>,
    ) -> ControlThread<'a> {
        let me = member::Identity {
            id: context.id(),
            place: member::Place {
                zone: context.settings.zone.clone(),
                address,
            },
            incarnation: context.clock.incarnation(),
        };
        let seed = me.id ^ me.incarnation;
        let names = [(me.id, context.settings.name.clone())];
        ControlThread {
            context,
            node: Node::new(node::Settings::default(), me, seed),
            calls,
            names: names.into_iter().collect(),
            ids_by_address: Map::default(),
            actions: Vec::new(),
            scratch: ScratchBuffers::default(),
            last_tick: Duration::ZERO,
            has_view: false,
            is_fence_held: false,
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Link(event) => self.handle_link_event(event),
            Input::PlatformAnswer(answer) => {
                if let Answer::Vms(records) = &answer {
                    self.learn_names(records);
                }
                self.handle_event(node::Event::Answered(answer));
            }
            Input::UpstreamReport { address, draining } => {
                self.handle_upstream_report(address, draining)
            }
            Input::NodeMessage { from, message } => {
                self.handle_event(node::Event::Received { from, message })
            }
            Input::DrainStarted => self.handle_event(node::Event::Leave),
        }
    }

    fn learn_names(&mut self, records: &[vm::Record]) {
        for vm in records {
            self.names.entry(vm.id()).or_insert_with(|| vm.name.clone());
        }
    }

    fn handle_upstream_report(&mut self, address: SocketAddr, draining: bool) {
        let upstreams = self.node.relay().store().upstreams_by_address();
        for &upstream in upstreams.get(&address).into_iter().flatten() {
            self.handle_event(node::Event::Upstream { upstream, draining });
        }
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        if now.saturating_sub(self.last_tick) >= TICK_INTERVAL {
            self.last_tick = now;
            self.handle_event(node::Event::Tick);
            self.update_member_list();
        }
        self.update_fence();
    }

    fn handle_event(&mut self, event: node::Event) {
        let now = self.context.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(now, event, &mut actions);
        let mut have_owners_changed = false;
        let mut have_tables_changed = false;
        for action in actions.drain(..) {
            match action {
                Action::Send { to, message } => {
                    let id = self.ids_by_address.get(&to).copied().unwrap_or_default();
                    actions::send_control(self.context, id, to, Message::Node(message));
                }
                Action::OwnersChanged => have_owners_changed = true,
                Action::TablesChanged => have_tables_changed = true,
                Action::Call(call) => self.enqueue_call(call),
                Action::StoreOutdated { key } => {
                    let text = format_args!(
                        "the store holds an older generation of {key}; the newer one stays active"
                    );
                    let event_log = &self.context.event_log;
                    event_log.record_limited(now, &event::CONFIGURATION_OLDER, text);
                }
            }
        }
        self.actions = actions;
        if have_tables_changed {
            self.apply_tables(now);
        }
        // The first view is due once this balancer has joined, which need not coincide with a change of the owners.
        let is_first = !self.has_view && self.node.membership().has_joined();
        if is_first || have_owners_changed && self.has_view {
            self.has_view = true;
            self.update_member_list();
            self.apply_view(now);
        }
    }

    fn enqueue_call(&self, call: Call) {
        // A call that does not fit into the queue gets no answer. It is made again after the reader's call timeout.
        if self.calls.try_send(call).is_err() {
            self.context.metrics.count(Counter::PlatformFailed);
        }
    }

    /// Replaces the routes and pools.
    fn apply_tables(&mut self, now: Duration) {
        let tables = Arc::new(self.node.tables(now));
        let before = self.context.core.tables();
        configuration_log::record_changes(self.context, &before, &tables);
        self.context.core.set_tables(now, tables);
        let listed = self.node.relay().store().listed_vms();
        self.learn_names(&listed);
        self.context.mark_serving_if_ready();
    }

    /// Replaces the view of the balancers that own flows.
    fn apply_view(&self, now: Duration) {
        let deployment = self.node.deployment();
        let zones = self.context.settings.zones.iter().chain(&deployment.zones);
        let leaving = self.node.membership().members();
        let leaving = leaving.filter(|member| member.state == State::Leaving);
        let leaving: Vec<owner::Member> = leaving.map(owner_member).collect();
        let view = View::new(zones.map(|zone| &**zone), &deployment.members);
        let count = deployment.members.len();
        self.context.metrics.set(Gauge::Members, count as u64);
        self.context.core.set_view(now, view.with_leaving(&leaving));
        let text = format_args!(
            "{count} balancers own flows and {} are leaving",
            leaving.len()
        );
        self.context.event_log.record(&event::VIEW_ADOPTED, text);
        self.context.mark_serving_if_ready();
    }

    fn update_member_list(&mut self) {
        let entries: Vec<MemberEntry> = self
            .node
            .membership()
            .members()
            .map(|member| self.member_entry(member))
            .collect();
        let before = self.context.member_list();
        let members = MemberList::new(entries);
        if members.entries == before.entries {
            return;
        }
        for entry in &members.entries {
            let known = before.get(entry.member.id);
            if known.is_none_or(|known| known.state != entry.state) {
                let text = format_args!(
                    "{} of zone {} is {}",
                    entry.name, entry.member.zone, entry.state
                );
                self.context.event_log.record(&event::MEMBER_CHANGED, text);
            }
        }
        let balancers = members.entries.iter();
        self.ids_by_address = balancers
            .map(|entry| (entry.member.address, entry.member.id))
            .collect();
        self.context.links.retain(|id| members.get(id).is_some());
        self.context.set_member_list(members);
    }

    fn member_entry(&self, member: &member::Member) -> MemberEntry {
        let name = self.names.get(&member.id).cloned();
        MemberEntry {
            name: name.unwrap_or_else(|| format!("{:016x}", member.id)),
            member: owner_member(member),
            state: match member.state {
                State::Joining => "joining",
                State::Alive => "alive",
                State::Suspect => "suspect",
                State::Leaving => "leaving",
                State::Dead => "dead",
                State::Left => "left",
            },
        }
    }

    /// Passes the end of the fence to the core and logs when the fence is gained or lost.
    fn update_fence(&mut self) {
        let now = self.context.clock.now();
        let is_held = self.node.has_majority(now);
        if is_held {
            self.context.core.set_fence(now, self.majority_until(now));
        }
        if is_held == self.is_fence_held {
            return;
        }
        self.is_fence_held = is_held;
        self.context.metrics.set(Gauge::Fence, u64::from(is_held));
        let (event, text) = if is_held {
            (
                &event::FENCE_HELD,
                "a majority of the zone acknowledges probes",
            )
        } else {
            (
                &event::FENCE_LOST,
                "no majority of the zone has acknowledged a probe within 2 s",
            )
        };
        self.context.event_log.record(event, format_args!("{text}"));
    }

    /// Returns the time until which the acknowledgements received so far form a majority, rounded down.
    fn majority_until(&self, now: Duration) -> Duration {
        let (mut until, mut step) = (now, quorum::ACK_VALIDITY);
        for _ in 0..FENCE_SEARCH_STEPS {
            step /= 2;
            if self.node.has_majority(until + step) {
                until += step;
            }
        }
        until
    }

    fn handle_link_event(&mut self, event: link::Event) {
        let context = self.context;
        match event {
            link::Event::Opened(address) => {
                let text = format_args!("remote address {address}");
                context.event_log.record(&event::LINK_OPENED, text);
            }
            link::Event::Lost(address, reason) => {
                let now = context.clock.now();
                let text = format_args!("remote address {address}: {reason}");
                context
                    .event_log
                    .record_limited(now, &event::LINK_LOST, text);
            }
            link::Event::Received(address, bytes) => self.handle_link_message(address, &bytes),
        }
    }

    fn handle_link_message(&mut self, source: SocketAddr, bytes: &[u8]) {
        let context = self.context;
        match datagram::from_slice(bytes) {
            Ok(Datagram::Control(control)) => {
                let members = context.member_list();
                let sender = members.get(control.from).map(|entry| entry.member.address);
                let source = sender.unwrap_or(source);
                peers::handle_control(context, &mut self.scratch, source, control);
            }
            Ok(Datagram::Forwarded(_)) => {
                let text = format_args!(
                    "link from {source}: carries a caller's datagram, but only control messages are allowed"
                );
                context.count_and_log(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
            }
            Err(error) => {
                let text = format_args!("link from {source}: {error}");
                context.count_and_log(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
            }
        }
    }
}

fn owner_member(member: &member::Member) -> owner::Member {
    owner::Member {
        id: member.id,
        zone: member.place.zone.clone(),
        address: member.place.address,
    }
}
