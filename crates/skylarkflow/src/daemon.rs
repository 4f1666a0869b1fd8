//! A balancer as a process: sockets around the decisions of `skylarkflow-policy`.

use {
    crate::settings::Settings,
    log::{debug, warn},
    serde_json::json,
    skylarkflow_caller::{
        envelope::{self, Datagram},
        message::{self, Message},
    },
    skylarkflow_peer::datagram::{self, Frame},
    skylarkflow_platform::{
        store::Store,
        wire::{self, Listing},
    },
    skylarkflow_policy::{
        balancer::{Action, Core, Event, Step},
        config::Snapshot,
        exchange::Reply,
        flow::Key,
        id::{self, Incarnation},
        owner::{Member, View},
        vm::{Record, Role, State},
    },
    skylarkflow_upstream::message::{self as upstream_message, Dispatch},
    std::{
        io,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime},
    },
    tokio::{runtime, time},
};

/// Largest UDP payload, in bytes.
const DATAGRAM_BYTES: usize = 65_535;

/// Balancers that may pass a datagram on before it is dropped.
const MAX_HOPS: u8 = 2;

/// Time between two looks at the platform.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

struct Daemon {
    core: Core,
    ingress: UdpSocket,
    peer: UdpSocket,
    upstream: UdpSocket,
    start: Instant,
    start_of_day: Duration,
}

/// Runs a balancer.
///
/// # Errors
///
/// Fails if an address of the settings cannot be bound.
pub fn run(settings: Settings) -> io::Result<()> {
    let start_of_day = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    let incarnation = start_of_day.as_secs() as Incarnation;
    let daemon = Arc::new(Daemon {
        core: Core::new(id::from_name(&settings.name), incarnation),
        ingress: UdpSocket::bind(settings.ingress)?,
        peer: UdpSocket::bind(settings.peer)?,
        upstream: UdpSocket::bind((settings.ingress.ip(), 0))?,
        start: Instant::now(),
        start_of_day,
    });
    let ready = json!({
        "name": settings.name,
        "zone": settings.zone,
        "ingress": daemon.ingress.local_addr()?,
        "peer": daemon.peer.local_addr()?,
    });
    println!("{ready}");
    thread::scope(|scope| {
        scope.spawn(|| {
            receive(&daemon.ingress, |source, bytes| {
                daemon.accept_from_fabric(source, bytes)
            })
        });
        scope.spawn(|| receive(&daemon.peer, |_, bytes| daemon.accept_from_peer(bytes)));
        scope.spawn(|| {
            receive(&daemon.upstream, |source, bytes| {
                daemon.accept_from_upstream(source, bytes)
            })
        });
        daemon.follow_platform(&settings)
    })
}

fn receive(socket: &UdpSocket, mut handle: impl FnMut(SocketAddr, &[u8])) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer) {
            Ok((length, source)) => handle(source, &buffer[..length]),
            Err(error) => debug!("receiving failed: {error}"),
        }
    }
}

impl Daemon {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn accept_from_fabric(&self, fabric: SocketAddr, bytes: &[u8]) {
        match envelope::from_slice(bytes) {
            Ok(datagram) => self.route(0, fabric, datagram.key(), datagram.payload),
            Err(error) => debug!("dropped a datagram of the fabric: {error}"),
        }
    }

    fn accept_from_peer(&self, bytes: &[u8]) {
        match datagram::from_slice(bytes) {
            Ok(frame) => self.route(frame.hops, frame.fabric, frame.key, frame.payload),
            Err(error) => debug!("dropped a datagram of a peer: {error}"),
        }
    }

    fn accept_from_upstream(&self, source: SocketAddr, bytes: &[u8]) {
        match upstream_message::from_slice(bytes) {
            Ok(response) => self.handle(Event::Response { source, response }),
            Err(error) => debug!("dropped a datagram of an upstream: {error}"),
        }
    }

    fn route(&self, hops: u8, fabric: SocketAddr, key: Key, payload: &[u8]) {
        match self.core.route(&key) {
            Step::Local => self.serve(fabric, key, payload),
            Step::Forward { address, .. } if hops < MAX_HOPS => {
                let frame = Frame {
                    hops: hops + 1,
                    fabric,
                    key,
                    payload,
                };
                self.forward(address, &frame);
            }
            step => debug!("dropped a datagram of {}: {step:?}", key.caller),
        }
    }

    fn forward(&self, address: SocketAddr, frame: &Frame<'_>) {
        let bytes = match datagram::to_vec(frame) {
            Ok(bytes) => bytes,
            Err(error) => return debug!("dropped a datagram to a peer: {error}"),
        };
        send(&self.peer, address, &bytes);
    }

    fn serve(&self, fabric: SocketAddr, key: Key, payload: &[u8]) {
        match message::from_slice(payload) {
            Ok(Message::Request(request)) => self.handle(Event::Request {
                fabric,
                key,
                request,
            }),
            Ok(Message::Acknowledgement { kind, message_id }) => {
                self.handle(Event::Acknowledgement {
                    key,
                    kind,
                    message_id,
                });
            }
            Err(error) => debug!("dropped a datagram of {}: {error}", key.caller),
        }
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.core.handle(self.now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Reply { fabric, key, reply } => self.reply(fabric, key, &reply),
            Action::Dispatch {
                address,
                service,
                token,
                message_id,
                deadline,
                bytes,
                ..
            } => {
                let dispatch = Dispatch {
                    service: &service,
                    token,
                    message_id,
                    deadline: self.start_of_day + deadline,
                };
                match upstream_message::to_vec(&dispatch, &bytes) {
                    Ok(bytes) => send(&self.upstream, address, &bytes),
                    Err(error) => debug!("dropped a request: {error}"),
                }
            }
        }
    }

    fn reply(&self, fabric: SocketAddr, key: Key, reply: &Reply) {
        let payload = match message::to_vec(reply) {
            Ok(payload) => payload,
            Err(error) => return debug!("dropped an answer to {}: {error}", key.caller),
        };
        let datagram = Datagram {
            source: key.service,
            destination: key.caller,
            payload: &payload,
        };
        match envelope::to_vec(&datagram) {
            Ok(bytes) => send(&self.ingress, fabric, &bytes),
            Err(error) => debug!("dropped an answer to {}: {error}", key.caller),
        }
    }

    fn follow_platform(&self, settings: &Settings) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        runtime.block_on(async {
            let store = Store::new(&settings.platform);
            loop {
                match store.vms().await {
                    Ok(vms) => self.core.set_view(view(&vms)),
                    Err(error) => warn!("cannot read the VM list: {error}"),
                }
                match store.list("").await {
                    Ok(listing) => self.core.set_tables(Arc::new(snapshot(listing))),
                    Err(error) => warn!("cannot read the tables: {error}"),
                }
                time::sleep(REFRESH_INTERVAL).await;
            }
        })
    }
}

fn send(socket: &UdpSocket, address: SocketAddr, bytes: &[u8]) {
    if let Err(error) = socket.send_to(bytes, address) {
        debug!("sending to {address} failed: {error}");
    }
}

fn view(vms: &[Record]) -> View {
    let entries = vms.iter().filter(|vm| vm.role == Role::Entry);
    let zones = entries.clone().map(|vm| &*vm.zone);
    let live = entries.clone().filter(|vm| vm.state == State::Live);
    let members: Vec<Member> = live
        .map(|vm| Member {
            id: vm.id(),
            zone: vm.zone.clone(),
            address: vm.address,
        })
        .collect();
    View::new(zones, &members)
}

fn snapshot(listing: Listing) -> Snapshot {
    let mut routes = Vec::new();
    let mut pools = Vec::new();
    for object in listing.objects {
        if object.key.starts_with(wire::ROUTE_PREFIX) {
            routes.extend(serde_json::from_value::<wire::Route>(object.value).map(Into::into));
        } else if object.key.starts_with(wire::POOL_PREFIX) {
            pools.extend(serde_json::from_value::<wire::Pool>(object.value).map(Into::into));
        }
    }
    Snapshot::new(routes, pools)
}
