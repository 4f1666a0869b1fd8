//! Benchmarks of a steering balancer: time per packet, memory of the tables, and datagrams per second against a plain
//! UDP relay with the same receive loop.

use {
    crate::{
        bench_result::BenchResult,
        bench_series::resident_bytes,
        command::CommandError,
        event_log::EventLog,
        metrics::Metrics,
        settings,
        steer_data::{Channels, Forwarder},
        steer_state::State,
    },
    crossbeam::channel,
    skylarkflow_adapter::layout::{self, HEADER_BYTES, PREFIX_BYTES},
    skylarkflow_policy::flow::Key,
    skylarkflow_steering::{
        balancer::{Balancer, Settings, Verdict},
        directory::{self, Directory},
        lifecycle::{Phase, Starting},
        position::Position,
        segment::{Kind, Segment},
        table::{Config, Level, Route, Routes, Table, Target},
        upstream::{Record, State as UpstreamState},
    },
    std::{
        collections::BTreeMap,
        hint::black_box,
        io,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Numbers of upstreams and of service addresses.
const TABLE_SIZES: [(usize, usize); 4] = [(10, 10), (100, 100), (1_000, 1_000), (35_000, 3_700)];

/// Packets per measurement.
const PACKET_COUNT: u32 = 200_000;

/// Repetitions of a measurement. The fastest time per packet counts, since preemption by other processes only adds
/// time; the datagram rates are those of the round with the median ratio.
const REPETITIONS: usize = 5;

/// Duration of one measurement over sockets.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Payload of a packet in the measurement over sockets.
const PAYLOAD_BYTES: usize = 400;

/// Runs the benchmarks.
///
/// # Errors
///
/// Fails if a socket or a thread cannot be set up.
pub fn measure() -> Result<Vec<BenchResult>, CommandError> {
    let mut results = vec![measure_table_memory()];
    for (upstreams, addresses) in TABLE_SIZES {
        results.extend(measure_decisions(upstreams, addresses));
    }
    results.extend(measure_datagrams()?);
    Ok(results)
}

fn service_address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(198, 18, (index >> 8) as u8, index as u8), 443))
}

fn table(upstreams: usize, addresses: usize, target: SocketAddr) -> Table {
    let mut directory = Directory::new(directory::Settings::default());
    let record = |index: usize| Record {
        id: index as u64 + 1,
        pool: format!("pool-{}", index % addresses.min(upstreams)),
        address: target,
        zone: format!("zone-{}", index % 6),
        slots: 2,
        state: UpstreamState::Ready,
        warmup: Duration::ZERO,
        started_unix_ms: 1,
        heartbeat: 1,
    };
    let records = (0..upstreams).map(|index| (1, record(index))).collect();
    directory.replace(Duration::ZERO, Position::default(), records);
    let route = |index: usize| Route {
        name: format!("route-{index}"),
        address: service_address(index),
        targets: vec![Target {
            pool: format!("pool-{}", index % addresses.min(upstreams)),
            weight: 1,
        }],
        level: Level::default(),
    };
    let mut routes = Routes::default();
    routes.adopt(Config {
        version: 1,
        routes: (0..addresses).map(route).collect(),
        health_paths: BTreeMap::new(),
        warmups: BTreeMap::new(),
        idle_timeout: Duration::from_secs(15),
    });
    routes
        .table(Duration::ZERO, &directory)
        .expect("a configuration was adopted")
}

fn measure_table_memory() -> BenchResult {
    let (upstreams, addresses) = TABLE_SIZES[TABLE_SIZES.len() - 1];
    let before = resident_bytes();
    let table = table(upstreams, addresses, service_address(0));
    let used = resident_bytes() - before;
    black_box(&table);
    BenchResult {
        name: "memory of the tables",
        case: format!("{upstreams} upstreams, {addresses} addresses"),
        value: used / f64::from(1 << 20),
        unit: "MB",
        goal: Some("128 for the whole process"),
    }
}

fn measure_decisions(upstreams: usize, addresses: usize) -> [BenchResult; 2] {
    let table = table(upstreams, addresses, service_address(0));
    let cookies: Vec<u32> = table.cookies.keys().copied().collect();
    let segment = |index: u32, kind: Kind| Segment {
        flow: Key {
            caller: SocketAddr::from((
                Ipv4Addr::from(0x6440_0000 + index / 4_096),
                1_024 + (index % 4_096) as u16,
            )),
            service: service_address(index as usize % addresses),
        },
        kind,
        cookie: cookies[index as usize % cookies.len()],
        sequence: index,
        acknowledged: 0,
        length: 0,
    };
    let time = |kind: Kind, name: &'static str| {
        let times = (0..REPETITIONS).map(|_| {
            let mut balancer = Balancer::new(Settings::default(), 1);
            let start = Instant::now();
            for index in 0..PACKET_COUNT {
                let now = Duration::from_millis(u64::from(index) / 1_000);
                let verdict = balancer.handle(now, Some(&table), &segment(index, kind));
                assert!(matches!(black_box(verdict), Verdict::Forward { .. }));
            }
            start.elapsed()
        });
        let best = times.min().unwrap_or_default();
        BenchResult {
            name,
            case: format!("{upstreams} upstreams, {addresses} addresses"),
            value: best.as_secs_f64() * 1e9 / f64::from(PACKET_COUNT),
            unit: "ns",
            goal: Some("flat"),
        }
    };
    [
        time(
            Kind::Established { is_last: false },
            "packet of an open flow",
        ),
        time(Kind::Open { retransmission: 0 }, "opening packet"),
    ]
}

fn measure_datagrams() -> Result<Vec<BenchResult>, CommandError> {
    let mut rounds = Vec::new();
    for _ in 0..REPETITIONS {
        // Both are measured in the same round, so that other load on the machine affects both.
        let relay = measure_forwarding_rate(start_bare_relay)?;
        rounds.push((relay, measure_forwarding_rate(start_forwarder)?));
    }
    rounds.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (relay, balancer) = rounds[REPETITIONS / 2];
    let result = |name, value, unit, goal| BenchResult {
        name,
        case: format!("{PAYLOAD_BYTES} bytes of data, median of {REPETITIONS} rounds"),
        value,
        unit,
        goal,
    };
    Ok(vec![
        result("bare relay", relay, "datagrams/s", None),
        result("steering balancer", balancer, "datagrams/s", None),
        result(
            "balancer over relay",
            balancer / relay,
            "ratio",
            Some("0.9"),
        ),
    ])
}

/// Starts a stage that forwards datagrams from a socket to an address until the flag is set.
type StartStage = fn(UdpSocket, SocketAddr, Arc<AtomicBool>) -> io::Result<()>;

/// Returns the datagrams per second that a stage forwards while a sender floods it.
fn measure_forwarding_rate(start: StartStage) -> Result<f64, CommandError> {
    let stage = UdpSocket::bind("127.0.0.1:0")?;
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let source = UdpSocket::bind("127.0.0.1:0")?;
    let (to, target) = (stage.local_addr()?, sink.local_addr()?);
    let is_stopped = Arc::new(AtomicBool::new(false));
    start(stage, target, Arc::clone(&is_stopped))?;
    let flag = Arc::clone(&is_stopped);
    let sender = thread::spawn(move || {
        let packet = encoded_packet(&table(1, 1, target));
        while !flag.load(Ordering::Relaxed) {
            // Errors are ignored: with a full socket buffer, datagrams are dropped.
            let _ = source.send_to(&packet, to);
        }
    });
    sink.set_read_timeout(Some(Duration::from_millis(100)))?;
    let mut buffer = [0; 2_048];
    let start_time = Instant::now();
    let mut count = 0;
    while start_time.elapsed() < MEASUREMENT_TIME {
        count += u64::from(sink.recv_from(&mut buffer).is_ok());
    }
    is_stopped.store(true, Ordering::Relaxed);
    // The thread returns nothing; joining it only waits until it has seen the flag.
    let _ = sender.join();
    Ok(count as f64 / MEASUREMENT_TIME.as_secs_f64())
}

fn encoded_packet(table: &Table) -> Vec<u8> {
    let mut packet = vec![0; HEADER_BYTES + PAYLOAD_BYTES];
    packet[..2].copy_from_slice(&(PAYLOAD_BYTES as u16).to_be_bytes());
    packet[10] = 4;
    packet[17..23].copy_from_slice(&[198, 18, 0, 0, 1, 0xbb]);
    let cookie = table.cookies.keys().next().copied().unwrap_or_default();
    layout::set_cookie(&mut packet, cookie);
    packet
}

fn start_bare_relay(
    socket: UdpSocket,
    target: SocketAddr,
    is_stopped: Arc<AtomicBool>,
) -> io::Result<()> {
    socket.set_read_timeout(Some(Duration::from_millis(25)))?;
    thread::spawn(move || {
        let mut buffer = [0; PREFIX_BYTES + 2_048];
        while !is_stopped.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer[PREFIX_BYTES..]) {
                // Errors are ignored: with a full socket buffer, datagrams are dropped.
                let _ = socket.send_to(&buffer[..PREFIX_BYTES + length], target);
            }
        }
    });
    Ok(())
}

fn start_forwarder(
    socket: UdpSocket,
    target: SocketAddr,
    is_stopped: Arc<AtomicBool>,
) -> io::Result<()> {
    let metrics = Metrics::new(&settings::Metrics::default())?;
    let state = Arc::new(State::new(
        EventLog::new("bench"),
        metrics,
        Phase::Starting(Starting),
    ));
    state.publish_table(table(1, 1, target));
    let (probes, _) = mpsc::unbounded_channel();
    let (ended_upstreams, _) = mpsc::unbounded_channel();
    let (_, upstream_events) = channel::unbounded();
    let channels = Channels {
        probes,
        ended_upstreams,
        upstream_events,
    };
    let balancer = Balancer::new(Settings::default(), 1);
    let forwarder = Forwarder::new(Arc::clone(&state), socket, balancer, channels)?;
    thread::spawn(move || {
        while !is_stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        state.stop();
    });
    thread::spawn(move || forwarder.run());
    Ok(())
}
