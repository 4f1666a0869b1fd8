//! Datagrams a second through ingress and owner, against a bare relay with as many threads in the same run.

use {
    crate::{
        bench_result::BenchResult,
        bench_udp_relay::{Relay, SENDER_BYTE},
        daemon::{Daemon, Handle},
        settings::{Settings as BalancerSettings, Workers},
    },
    reqwest::{Client, header::IF_MATCH},
    serde_json::{Value, json},
    skylarkflow_caller::envelope::{self, Datagram},
    skylarkflow_emulator::{
        platform::Platform,
        socket::{self, DATAGRAM_BYTES, Stop},
    },
    skylarkflow_policy::{
        flow::Key,
        id,
        owner::{Member, View},
    },
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        thread,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Threads that send requests, each with a socket of its own.
const SENDERS: usize = 2;

/// Requests on their way for each sender.
const WINDOW: usize = 128;

/// Flows for each sender.
const FLOWS: usize = 14_000;

/// Sockets of the responder that stand for upstreams, as many as the larger service of a deployment of today has.
const UPSTREAMS: usize = 14;

/// Time without an answer after which a window is sent anew, since a datagram was lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(100);

/// Time before a measurement in which caches fill.
const WARM_UP: Duration = Duration::from_millis(500);

/// Longest time until the balancers have members and tables.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Part of an empty CoAP request after its header: four bytes of token, and the path `s`.
const REQUEST_END: [u8; 2] = [0xb1, b's'];

/// Code of a response with content, 2.05.
const CONTENT: u8 = 0x45;

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time of one measurement.
    pub time: Duration,
    /// Pairs of measurements.
    pub rounds: usize,
    /// Threads that read each socket.
    pub workers: usize,
}

struct Site {
    balancers: Vec<Handle>,
    stop: Stop,
    upstreams: Vec<SocketAddr>,
    _runtime: Runtime,
}

/// A sender with its socket and its flows.
struct Sender {
    number: usize,
    socket: UdpSocket,
    keys: Vec<Key>,
    next: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    answered: u64,
    other: u64,
}

/// Runs the measurements.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the balancers do not start.
pub fn measure(settings: &Settings) -> io::Result<Vec<BenchResult>> {
    let site = Site::start(settings)?;
    let mut senders = senders(&site)?;
    let addresses: io::Result<Vec<SocketAddr>> =
        senders.iter().map(|one| one.socket.local_addr()).collect();
    let relay = Relay::start(site.upstreams.clone(), addresses?, settings.workers)?;
    let ingress = site.balancers[0].addresses().ingress;
    let mut figures = Vec::new();
    let mut ratios = Vec::new();
    for round in 1..=settings.rounds {
        let bare = run(&mut senders, relay.ingress(), settings.time, false)?;
        let full = run(&mut senders, ingress, settings.time, true)?;
        let per_second = |count: u64| count as f64 / settings.time.as_secs_f64();
        ratios.push(per_second(full.answered) / per_second(bare.answered));
        figures.push(rate("bare relay", round, per_second(bare.answered)));
        figures.push(rate("ingress and owner", round, per_second(full.answered)));
        figures.push(rate(
            "refused or other answers",
            round,
            per_second(full.other),
        ));
    }
    ratios.sort_by(f64::total_cmp);
    figures.push(BenchResult {
        name: "ingress and owner over bare relay",
        case: format!(
            "median of {}, {} workers a socket",
            settings.rounds, settings.workers
        ),
        value: ratios[ratios.len() / 2],
        unit: "ratio",
        goal: Some("0.7"),
    });
    site.stop();
    Ok(figures)
}

fn rate(name: &'static str, round: usize, value: f64) -> BenchResult {
    BenchResult {
        name,
        case: format!("round {round}"),
        value,
        unit: "datagrams/s",
        goal: None,
    }
}

fn service() -> SocketAddr {
    (Ipv4Addr::new(192, 0, 2, 1), 5_683).into()
}

impl Site {
    fn start(settings: &Settings) -> io::Result<Site> {
        let runtime = Runtime::new()?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = runtime.block_on(Platform::default().serve(any))?;
        let stop = Stop::default();
        let upstreams = respond(&stop)?;
        let base = format!("http://{platform}");
        let start = |index: usize| {
            let workers = Workers {
                ingress: settings.workers,
                peer: settings.workers,
                upstream: settings.workers,
            };
            Daemon::start(BalancerSettings {
                name: name(index),
                platform: base.clone(),
                workers,
                ..BalancerSettings::default()
            })
            .map_err(io::Error::other)
        };
        let balancers: io::Result<Vec<Handle>> = (0..2).map(start).collect();
        let site = Site {
            balancers: balancers?,
            stop,
            upstreams,
            _runtime: runtime,
        };
        site.configure(&base)?;
        site.wait()?;
        Ok(site)
    }

    fn configure(&self, base: &str) -> io::Result<()> {
        let upstreams = self.upstreams.iter().enumerate();
        let upstreams = upstreams.map(|(index, address)| {
            json!({
                "name": format!("upstream-{index}"), "address": address, "zone": "zone",
                "weight": 1, "drain": false,
            })
        });
        let pool = json!({
            "name": "pool", "generation": 1, "slots": SENDERS * WINDOW, "connections": 1_000_000,
            "upstreams": upstreams.collect::<Vec<Value>>(),
        });
        let route = json!({
            "name": "service", "generation": 1, "address": service(), "pool": "pool",
            "deadline": "10s",
        });
        self.put(&format!("{base}/v1/objects/pools/pool"), &pool)?;
        self.put(&format!("{base}/v1/objects/routes/service"), &route)?;
        for (index, balancer) in self.balancers.iter().enumerate() {
            let name = name(index);
            let vm = json!({
                "name": name, "zone": "zone", "role": "entry", "state": "live",
                "address": balancer.addresses().peer,
            });
            self.put(&format!("{base}/v1/vms/{name}"), &vm)?;
        }
        Ok(())
    }

    fn put(&self, url: &str, value: &Value) -> io::Result<()> {
        let request = Client::new().put(url).header(IF_MATCH, "\"0\"").json(value);
        let answer = self._runtime.block_on(request.send());
        answer.map(drop).map_err(io::Error::other)
    }

    fn wait(&self) -> io::Result<()> {
        let start = Instant::now();
        let is_ready = |one: &Handle| {
            let context = one.context();
            context.roster().rows.len() == 2 && !context.core.tables().routes.is_empty()
        };
        while !self.balancers.iter().all(is_ready) {
            if start.elapsed() > START_LIMIT {
                return Err(io::Error::other("the balancers do not start"));
            }
            thread::sleep(LOSS_TIMEOUT);
        }
        // The owner tables follow the roster within a round of probes.
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    fn stop(self) {
        self.stop.set();
        for balancer in self.balancers {
            balancer.stop();
            balancer.join();
        }
    }
}

fn name(index: usize) -> String {
    format!("entry-{index}")
}

/// Starts sockets that answer every request with 2.05.
fn respond(stop: &Stop) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..UPSTREAMS {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        addresses.push(socket.local_addr()?);
        socket::spawn(&socket, stop, |socket, source, bytes| {
            let Some((&first, rest)) = bytes.split_first() else {
                return;
            };
            let token_bytes = usize::from(first & 0x0f);
            let Some(rest) = rest.get(..3 + token_bytes) else {
                return;
            };
            let mut answer = Vec::with_capacity(rest.len() + 1);
            answer.push(0x60 | token_bytes as u8);
            answer.extend_from_slice(rest);
            answer[1] = CONTENT;
            let _ = socket.send_to(&answer, source);
        })?;
    }
    Ok(addresses)
}

/// Opens the senders, whose flows belong to the balancer that does not get the datagrams of the fabric.
fn senders(site: &Site) -> io::Result<Vec<Sender>> {
    let member = |index: usize| Member {
        id: id::from_name(&name(index)),
        zone: "zone".to_owned(),
        address: site.balancers[index].addresses().peer,
    };
    let view = View::new([], &[member(0), member(1)]);
    let owner = id::from_name(&name(1));
    let mut keys = (1..u16::MAX).map(|port| Key {
        caller: (Ipv4Addr::new(198, 51, 100, 1), port).into(),
        service: service(),
    });
    let mut open = |number| {
        let owned = keys.by_ref();
        let owned = owned.filter(|key| view.decide(key.hash()).balancer() == Some(owner));
        let keys = owned.take(FLOWS).collect();
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.set_read_timeout(Some(LOSS_TIMEOUT))?;
        Ok(Sender {
            number,
            socket,
            keys,
            next: 0,
        })
    };
    (0..SENDERS).map(&mut open).collect()
}

fn run(
    senders: &mut [Sender],
    to: SocketAddr,
    time: Duration,
    is_enveloped: bool,
) -> io::Result<Count> {
    let counts = thread::scope(|scope| {
        let spawn = |sender| scope.spawn(move || Sender::run(sender, to, time, is_enveloped));
        let threads: Vec<_> = senders.iter_mut().map(spawn).collect();
        let join = |thread: thread::ScopedJoinHandle<'_, io::Result<Count>>| thread.join();
        threads.into_iter().map(join).collect::<Vec<_>>()
    });
    let mut sum = Count::default();
    for count in counts {
        let count = count.map_err(|_| io::Error::other("a sender failed"))??;
        sum.answered += count.answered;
        sum.other += count.other;
    }
    Ok(sum)
}

impl Sender {
    fn run(&mut self, to: SocketAddr, time: Duration, is_enveloped: bool) -> io::Result<Count> {
        self.drive(to, WARM_UP, is_enveloped)?;
        self.drive(to, time, is_enveloped)
    }

    /// Keeps a window of requests on their way for a time.
    fn drive(&mut self, to: SocketAddr, time: Duration, is_enveloped: bool) -> io::Result<Count> {
        let mut count = Count::default();
        let mut buffer = vec![0; DATAGRAM_BYTES];
        self.fill(to, is_enveloped)?;
        let end = Instant::now() + time;
        while Instant::now() < end {
            let Ok(length) = self.socket.recv(&mut buffer) else {
                self.fill(to, is_enveloped)?;
                continue;
            };
            match code(&buffer[..length], is_enveloped) {
                Some(CONTENT) => count.answered += 1,
                // The relay returns the responder's answers, so another code comes only from a balancer.
                _ => count.other += 1,
            }
            self.send(to, is_enveloped)?;
        }
        // What is on its way would count for the next measurement.
        while self.socket.recv(&mut buffer).is_ok() {}
        Ok(count)
    }

    fn fill(&mut self, to: SocketAddr, is_enveloped: bool) -> io::Result<()> {
        (0..WINDOW).try_for_each(|_| self.send(to, is_enveloped))
    }

    fn send(&mut self, to: SocketAddr, is_enveloped: bool) -> io::Result<()> {
        let key = self.keys[self.next % FLOWS];
        let message_id = (self.next / FLOWS) as u16;
        self.next += 1;
        let [high, low] = message_id.to_be_bytes();
        let mut request = [0; SENDER_BYTE + 4 + REQUEST_END.len()];
        request[..SENDER_BYTE].copy_from_slice(&[0x44, 0x01, high, low]);
        request[SENDER_BYTE] = self.number as u8;
        request[SENDER_BYTE + 4..].copy_from_slice(&REQUEST_END);
        if !is_enveloped {
            return self.socket.send_to(&request, to).map(drop);
        }
        let datagram = Datagram {
            source: key.caller,
            destination: key.service,
            payload: &request,
        };
        let bytes = envelope::to_vec(&datagram).map_err(io::Error::other)?;
        self.socket.send_to(&bytes, to).map(drop)
    }
}

fn code(bytes: &[u8], is_enveloped: bool) -> Option<u8> {
    let payload = if is_enveloped {
        envelope::from_slice(bytes).ok()?.payload
    } else {
        bytes
    };
    payload.get(1).copied()
}
