//! Benchmark of the datagrams per second through ingress and owner, against a plain UDP relay with as many threads.
//! Both are measured alternately in the same run.

use {
    crate::{
        bench_result::BenchResult,
        bench_udp_relay::{SENDER_OFFSET, UdpRelay},
        daemon::{Daemon, Handle},
        settings::{Settings as BalancerSettings, Workers},
    },
    reqwest::{Client, header::IF_MATCH},
    serde_json::{Value, json},
    skylarkflow_caller::proxy_header::{self, Datagram},
    skylarkflow_emulator::{
        platform::Platform,
        socket::{self, MAX_DATAGRAM_BYTES, StopFlag},
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

/// Threads that send requests, each with its own socket.
const SENDERS: usize = 2;

/// Requests that each sender keeps in flight.
const REQUESTS_IN_FLIGHT: usize = 128;

/// Flows of each sender.
const FLOWS_PER_SENDER: usize = 14_000;

/// Responder sockets that act as upstreams; 14 is the size of the larger service of present deployments.
const UPSTREAM_COUNT: usize = 14;

/// Time without a response after which a sender assumes that datagrams were lost and sends a new window of requests.
const LOSS_TIMEOUT: Duration = Duration::from_millis(100);

/// Time under load before a measurement, in which caches fill.
const WARM_UP: Duration = Duration::from_millis(500);

/// Timeout until the balancers know each other and have their routes.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Uri-Path option with the segment `s`, which follows the token of four bytes in a request.
const URI_PATH_OPTION: [u8; 2] = [0xb1, b's'];

/// CoAP response code 2.05 (Content).
const CODE_CONTENT: u8 = 0x45;

/// Settings of the benchmark.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of one measurement.
    pub time: Duration,
    /// Rounds, each with one measurement of the relay and one of the balancers.
    pub rounds: usize,
    /// Threads that read from each socket.
    pub workers: usize,
}

/// Two balancers with the emulated platform and the responders.
struct BenchSite {
    balancers: Vec<Handle>,
    stop: StopFlag,
    upstreams: Vec<SocketAddr>,
    runtime: Runtime,
}

/// A sender with its socket and its flows.
struct Sender {
    number: usize,
    socket: UdpSocket,
    keys: Vec<Key>,
    next: usize,
}

/// Responses with code 2.05, and all other responses.
#[derive(Clone, Copy, Debug, Default)]
struct ResponseCounts {
    with_content: u64,
    other: u64,
}

/// Runs the benchmark.
///
/// # Errors
///
/// Fails if a socket cannot be bound or the balancers do not start.
pub fn measure(settings: &Settings) -> io::Result<Vec<BenchResult>> {
    let site = BenchSite::start(settings)?;
    let mut senders = open_senders(&site)?;
    let addresses: io::Result<Vec<SocketAddr>> = senders
        .iter()
        .map(|sender| sender.socket.local_addr())
        .collect();
    let relay = UdpRelay::start(site.upstreams.clone(), addresses?, settings.workers)?;
    let ingress = site.balancers[0].addresses().ingress;
    let mut results = Vec::new();
    let mut ratios = Vec::new();
    for round in 1..=settings.rounds {
        let relay_counts = run_senders(&mut senders, relay.ingress(), settings.time, false)?;
        let balancer_counts = run_senders(&mut senders, ingress, settings.time, true)?;
        let per_second = |count: u64| count as f64 / settings.time.as_secs_f64();
        ratios
            .push(per_second(balancer_counts.with_content) / per_second(relay_counts.with_content));
        results.push(datagram_rate(
            "bare relay",
            round,
            per_second(relay_counts.with_content),
        ));
        results.push(datagram_rate(
            "ingress and owner",
            round,
            per_second(balancer_counts.with_content),
        ));
        results.push(datagram_rate(
            "refused or other answers",
            round,
            per_second(balancer_counts.other),
        ));
    }
    ratios.sort_by(f64::total_cmp);
    results.push(BenchResult {
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
    Ok(results)
}

fn datagram_rate(name: &'static str, round: usize, value: f64) -> BenchResult {
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

impl BenchSite {
    fn start(settings: &Settings) -> io::Result<BenchSite> {
        let runtime = Runtime::new()?;
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = runtime.block_on(Platform::default().serve(any))?;
        let stop = StopFlag::default();
        let upstreams = start_responders(&stop)?;
        let base = format!("http://{platform}");
        let start = |index: usize| {
            let workers = Workers {
                ingress: settings.workers,
                peer: settings.workers,
                upstream: settings.workers,
            };
            Daemon::start(BalancerSettings {
                name: balancer_name(index),
                platform: base.clone(),
                workers,
                ..BalancerSettings::default()
            })
            .map_err(io::Error::other)
        };
        let balancers: io::Result<Vec<Handle>> = (0..2).map(start).collect();
        let site = BenchSite {
            balancers: balancers?,
            stop,
            upstreams,
            runtime,
        };
        site.write_configuration(&base)?;
        site.wait_until_ready()?;
        Ok(site)
    }

    fn write_configuration(&self, base: &str) -> io::Result<()> {
        let upstreams = self.upstreams.iter().enumerate();
        let upstreams = upstreams.map(|(index, address)| {
            json!({
                "name": format!("upstream-{index}"), "address": address, "zone": "zone",
                "weight": 1, "drain": false,
            })
        });
        let pool = json!({
            "name": "pool", "generation": 1, "slots": SENDERS * REQUESTS_IN_FLIGHT, "connections": 1_000_000,
            "upstreams": upstreams.collect::<Vec<Value>>(),
        });
        let route = json!({
            "name": "service", "generation": 1, "address": service(), "pool": "pool",
            "deadline": "10s",
        });
        self.put_object(&format!("{base}/v1/objects/pools/pool"), &pool)?;
        self.put_object(&format!("{base}/v1/objects/routes/service"), &route)?;
        for (index, balancer) in self.balancers.iter().enumerate() {
            let name = balancer_name(index);
            let vm = json!({
                "name": name, "zone": "zone", "role": "entry", "state": "live",
                "address": balancer.addresses().peer,
            });
            self.put_object(&format!("{base}/v1/vms/{name}"), &vm)?;
        }
        Ok(())
    }

    fn put_object(&self, url: &str, value: &Value) -> io::Result<()> {
        let request = Client::new().put(url).header(IF_MATCH, "\"0\"").json(value);
        let response = self.runtime.block_on(request.send());
        response.map(drop).map_err(io::Error::other)
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        let is_ready = |balancer: &Handle| {
            let context = balancer.context();
            context.member_list().entries.len() == 2 && !context.core.tables().routes.is_empty()
        };
        while !self.balancers.iter().all(is_ready) {
            if start.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!(
                    "the balancers have no members or routes after {START_TIMEOUT:?}"
                )));
            }
            thread::sleep(LOSS_TIMEOUT);
        }
        // The owner tables are rebuilt within one probe round after the member list is complete.
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

fn balancer_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Starts responder sockets that answer every request with 2.05.
fn start_responders(stop: &StopFlag) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for _ in 0..UPSTREAM_COUNT {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        addresses.push(socket.local_addr()?);
        socket::spawn_receiver(&socket, stop, |socket, source, bytes| {
            let Some((&first, rest)) = bytes.split_first() else {
                return;
            };
            let token_bytes = usize::from(first & 0x0f);
            let Some(rest) = rest.get(..3 + token_bytes) else {
                return;
            };
            let mut response = Vec::with_capacity(rest.len() + 1);
            response.push(0x60 | token_bytes as u8);
            response.extend_from_slice(rest);
            response[1] = CODE_CONTENT;
            let _ = socket.send_to(&response, source);
        })?;
    }
    Ok(addresses)
}

/// Creates the senders with flows that the second balancer owns, so that the first one, which gets the datagrams,
/// forwards all of them.
fn open_senders(site: &BenchSite) -> io::Result<Vec<Sender>> {
    let member = |index: usize| Member {
        id: id::from_name(&balancer_name(index)),
        zone: "zone".to_owned(),
        address: site.balancers[index].addresses().peer,
    };
    let view = View::new([], &[member(0), member(1)]);
    let owner = id::from_name(&balancer_name(1));
    let mut keys = (1..u16::MAX).map(|port| Key {
        caller: (Ipv4Addr::new(198, 51, 100, 1), port).into(),
        service: service(),
    });
    let mut open = |number| {
        let owned = keys.by_ref();
        let owned = owned.filter(|key| view.decide(key.hash()).balancer() == Some(owner));
        let keys = owned.take(FLOWS_PER_SENDER).collect();
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

fn run_senders(
    senders: &mut [Sender],
    to: SocketAddr,
    time: Duration,
    uses_proxy_header: bool,
) -> io::Result<ResponseCounts> {
    let counts = thread::scope(|scope| {
        let spawn = |sender| scope.spawn(move || Sender::run(sender, to, time, uses_proxy_header));
        let threads: Vec<_> = senders.iter_mut().map(spawn).collect();
        let join = |thread: thread::ScopedJoinHandle<'_, io::Result<ResponseCounts>>| thread.join();
        threads.into_iter().map(join).collect::<Vec<_>>()
    });
    let mut sum = ResponseCounts::default();
    for count in counts {
        let count = count.map_err(|_| io::Error::other("a sender thread panicked"))??;
        sum.with_content += count.with_content;
        sum.other += count.other;
    }
    Ok(sum)
}

impl Sender {
    fn run(
        &mut self,
        to: SocketAddr,
        time: Duration,
        uses_proxy_header: bool,
    ) -> io::Result<ResponseCounts> {
        self.send_for(to, WARM_UP, uses_proxy_header)?;
        self.send_for(to, time, uses_proxy_header)
    }

    /// Keeps [`REQUESTS_IN_FLIGHT`] requests in flight for `time` and counts the responses.
    fn send_for(
        &mut self,
        to: SocketAddr,
        time: Duration,
        uses_proxy_header: bool,
    ) -> io::Result<ResponseCounts> {
        let mut count = ResponseCounts::default();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        self.send_window(to, uses_proxy_header)?;
        let end = Instant::now() + time;
        while Instant::now() < end {
            let Ok(length) = self.socket.recv(&mut buffer) else {
                self.send_window(to, uses_proxy_header)?;
                continue;
            };
            match response_code(&buffer[..length], uses_proxy_header) {
                Some(CODE_CONTENT) => count.with_content += 1,
                // Responders only send 2.05, so any other code was sent by a balancer.
                _ => count.other += 1,
            }
            self.send_request(to, uses_proxy_header)?;
        }
        // Responses that are still in flight would be counted in the next measurement.
        while self.socket.recv(&mut buffer).is_ok() {}
        Ok(count)
    }

    fn send_window(&mut self, to: SocketAddr, uses_proxy_header: bool) -> io::Result<()> {
        (0..REQUESTS_IN_FLIGHT).try_for_each(|_| self.send_request(to, uses_proxy_header))
    }

    fn send_request(&mut self, to: SocketAddr, uses_proxy_header: bool) -> io::Result<()> {
        let key = self.keys[self.next % FLOWS_PER_SENDER];
        let message_id = (self.next / FLOWS_PER_SENDER) as u16;
        self.next += 1;
        let [high, low] = message_id.to_be_bytes();
        let mut request = [0; SENDER_OFFSET + 4 + URI_PATH_OPTION.len()];
        request[..SENDER_OFFSET].copy_from_slice(&[0x44, 0x01, high, low]);
        request[SENDER_OFFSET] = self.number as u8;
        request[SENDER_OFFSET + 4..].copy_from_slice(&URI_PATH_OPTION);
        if !uses_proxy_header {
            return self.socket.send_to(&request, to).map(drop);
        }
        let datagram = Datagram {
            source: key.caller,
            destination: key.service,
            payload: &request,
        };
        let bytes = proxy_header::to_vec(&datagram).map_err(io::Error::other)?;
        self.socket.send_to(&bytes, to).map(drop)
    }
}

fn response_code(bytes: &[u8], uses_proxy_header: bool) -> Option<u8> {
    let payload = if uses_proxy_header {
        proxy_header::from_slice(bytes).ok()?.payload
    } else {
        bytes
    };
    payload.get(1).copied()
}
