//! The control thread: drives the membership, the fence and what arrives over links.

use {
    crate::{
        adoption,
        context::{Context, Roster, Row},
        event,
        metrics::{Counter, Gauge, Metrics},
        peers,
        perform::{self, Scratch},
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

/// Time after which the thread looks whether it is to stop, and at the fence.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Steps in which the end of the fence's window is searched; the last one is below a millisecond.
const FENCE_STEPS: u32 = 12;

/// Something for the control thread.
#[derive(Debug)]
pub enum Input {
    /// Something happened on a link.
    Link(link::Event),
    /// The platform answered a call.
    Answered(Answer),
    /// A message of another balancer.
    Node {
        /// Address of its peer socket.
        from: SocketAddr,
        /// The message.
        message: node::Message,
    },
    /// An upstream has reported whether it is draining.
    Reported {
        /// Address of the upstream.
        address: SocketAddr,
        /// Whether it is draining.
        draining: bool,
    },
    /// A planned stop has started.
    Leave,
}

struct Control<'a> {
    context: &'a Context,
    node: Node,
    calls: mpsc::Sender<Call>,
    names: Map<VmId, String>,
    ids: Map<SocketAddr, VmId>,
    actions: Vec<Action>,
    scratch: Scratch,
    ticked: Duration,
    has_view: bool,
    is_held: bool,
}

/// Creates the links of a balancer, whose events go to the control thread.
pub fn links(
    limits: &Limits,
    runtime: &runtime::Handle,
    metrics: &Arc<Metrics>,
    inbox: &Sender<Input>,
) -> Links {
    let (metrics, inbox) = (Arc::clone(metrics), inbox.clone());
    let handler = move |event| {
        if inbox.try_send(Input::Link(event)).is_err() {
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

/// Drives the membership until the balancer stops.
pub fn run(
    context: &Context,
    address: SocketAddr,
    inputs: &Receiver<Input>,
    calls: mpsc::Sender<Call>,
) {
    let mut control = Control::new(context, address, calls);
    while !context.is_stopped() {
        match inputs.recv_timeout(POLL_INTERVAL) {
            Ok(input) => control.accept(input),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        control.tick();
    }
    if context.drain().phase == Phase::Drained {
        control.handle(node::Event::Stop);
    }
}

impl<'a> Control<'a> {
    fn new(context: &'a Context, address: SocketAddr, calls: mpsc::Sender<Call>) -> Control<'a> {
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
        Control {
            context,
            node: Node::new(node::Settings::default(), me, seed),
            calls,
            names: names.into_iter().collect(),
            ids: Map::default(),
            actions: Vec::new(),
            scratch: Scratch::default(),
            ticked: Duration::ZERO,
            has_view: false,
            is_held: false,
        }
    }

    fn accept(&mut self, input: Input) {
        match input {
            Input::Link(event) => self.accept_link(event),
            Input::Answered(answer) => {
                if let Answer::Vms(records) = &answer {
                    self.learn_names(records);
                }
                self.handle(node::Event::Answered(answer));
            }
            Input::Reported { address, draining } => self.report(address, draining),
            Input::Node { from, message } => self.handle(node::Event::Received { from, message }),
            Input::Leave => self.handle(node::Event::Leave),
        }
    }

    fn learn_names(&mut self, records: &[vm::Record]) {
        for vm in records {
            self.names.entry(vm.id()).or_insert_with(|| vm.name.clone());
        }
    }

    fn report(&mut self, address: SocketAddr, draining: bool) {
        let upstreams = self.node.relay().store().upstreams_by_address();
        for &upstream in upstreams.get(&address).into_iter().flatten() {
            self.handle(node::Event::Upstream { upstream, draining });
        }
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        if now.saturating_sub(self.ticked) >= TICK_INTERVAL {
            self.ticked = now;
            self.handle(node::Event::Tick);
            self.refresh_roster();
        }
        self.refresh_fence();
    }

    fn handle(&mut self, event: node::Event) {
        let now = self.context.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.node.handle(now, event, &mut actions);
        let mut has_changed = false;
        let mut has_tables = false;
        for action in actions.drain(..) {
            match action {
                Action::Send { to, message } => {
                    let id = self.ids.get(&to).copied().unwrap_or_default();
                    perform::send_control(self.context, id, to, Message::Node(message));
                }
                Action::OwnersChanged => has_changed = true,
                Action::TablesChanged => has_tables = true,
                Action::Call(call) => self.call(call),
                Action::StoreOutdated { key } => {
                    let text = format_args!("{key} in the store; the newer one stays in force");
                    let journal = &self.context.journal;
                    journal.record_limited(now, &event::CONFIGURATION_OLDER, text);
                }
            }
        }
        self.actions = actions;
        if has_tables {
            self.adopt_tables(now);
        }
        // The first view follows when enough is known, which need not be a change of the members.
        let is_first = !self.has_view && self.node.membership().has_joined();
        if is_first || has_changed && self.has_view {
            self.has_view = true;
            self.refresh_roster();
            self.adopt_view(now);
        }
    }

    fn call(&self, call: Call) {
        // A call that finds no place has no answer, and its time limit makes room for the next one.
        if self.calls.try_send(call).is_err() {
            self.context.metrics.count(Counter::PlatformFailed);
        }
    }

    /// Puts routes and pools in force.
    fn adopt_tables(&mut self, now: Duration) {
        let tables = Arc::new(self.node.tables(now));
        let before = self.context.core.tables();
        adoption::record(self.context, &before, &tables);
        self.context.core.set_tables(now, tables);
        let listed = self.node.relay().store().listed_vms();
        self.learn_names(&listed);
        self.context.check_serving();
    }

    /// Puts the owner tables of the members in force.
    fn adopt_view(&self, now: Duration) {
        let deployment = self.node.deployment();
        let zones = self.context.settings.zones.iter().chain(&deployment.zones);
        let leaving = self.node.membership().members();
        let leaving = leaving.filter(|member| member.state == State::Leaving);
        let leaving: Vec<owner::Member> = leaving.map(owner).collect();
        let view = View::new(zones.map(|zone| &**zone), &deployment.members);
        let count = deployment.members.len();
        self.context.metrics.set(Gauge::Members, count as u64);
        self.context.core.set_view(now, view.with_leaving(&leaving));
        let text = format_args!("{count} balancers own flows, {} are leaving", leaving.len());
        self.context.journal.record(&event::VIEW_ADOPTED, text);
        self.context.check_serving();
    }

    fn refresh_roster(&mut self) {
        let rows: Vec<Row> = self
            .node
            .membership()
            .members()
            .map(|it| self.row(it))
            .collect();
        let before = self.context.roster();
        let roster = Roster::new(rows);
        if roster.rows == before.rows {
            return;
        }
        for row in &roster.rows {
            let known = before.get(row.member.id);
            if known.is_none_or(|known| known.state != row.state) {
                let text = format_args!("{} of {} is {}", row.name, row.member.zone, row.state);
                self.context.journal.record(&event::MEMBER_CHANGED, text);
            }
        }
        let ids = roster.rows.iter();
        self.ids = ids.map(|row| (row.member.address, row.member.id)).collect();
        self.context.links.retain(|id| roster.get(id).is_some());
        self.context.set_roster(roster);
    }

    fn row(&self, member: &member::Member) -> Row {
        let name = self.names.get(&member.id).cloned();
        Row {
            name: name.unwrap_or_else(|| format!("{:016x}", member.id)),
            member: owner(member),
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

    /// Passes the end of the fence's window to the decisions.
    fn refresh_fence(&mut self) {
        let now = self.context.clock.now();
        let is_held = self.node.has_majority(now);
        if is_held {
            self.context.core.set_fence(now, self.held_until(now));
        }
        if is_held == self.is_held {
            return;
        }
        self.is_held = is_held;
        self.context.metrics.set(Gauge::Fence, u64::from(is_held));
        let (event, text) = if is_held {
            (&event::FENCE_HELD, "a majority of the zone answers")
        } else {
            (
                &event::FENCE_LOST,
                "no majority of the zone has answered within 2 s",
            )
        };
        self.context.journal.record(event, format_args!("{text}"));
    }

    /// Returns the time until which the answers heard so far allow dispatches, rounded down.
    fn held_until(&self, now: Duration) -> Duration {
        let (mut held, mut step) = (now, quorum::ACK_VALIDITY);
        for _ in 0..FENCE_STEPS {
            step /= 2;
            if self.node.has_majority(held + step) {
                held += step;
            }
        }
        held
    }

    fn accept_link(&mut self, event: link::Event) {
        let context = self.context;
        match event {
            link::Event::Opened(address) => {
                let text = format_args!("with {address}");
                context.journal.record(&event::LINK_OPENED, text);
            }
            link::Event::Lost(address, reason) => {
                let now = context.clock.now();
                let text = format_args!("with {address}: {reason}");
                context.journal.record_limited(now, &event::LINK_LOST, text);
            }
            link::Event::Received(address, bytes) => self.receive(address, &bytes),
        }
    }

    fn receive(&mut self, source: SocketAddr, bytes: &[u8]) {
        let context = self.context;
        match datagram::from_slice(bytes) {
            Ok(Datagram::Control(control)) => {
                let roster = context.roster();
                let sender = roster.get(control.from).map(|row| row.member.address);
                let source = sender.unwrap_or(source);
                peers::accept_control(context, &mut self.scratch, source, control);
            }
            Ok(Datagram::Forwarded(_)) => {
                let text = format_args!("a caller's datagram over a link of {source}");
                context.drop_datagram(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
            }
            Err(error) => {
                let text = format_args!("over a link of {source}: {error}");
                context.drop_datagram(Counter::BadPeer, &event::BAD_PEER_DATAGRAM, text);
            }
        }
    }
}

fn owner(member: &member::Member) -> owner::Member {
    owner::Member {
        id: member.id,
        zone: member.place.zone.clone(),
        address: member.place.address,
    }
}
