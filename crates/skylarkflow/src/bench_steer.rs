//! Cost of steering a packet, memory of the tables, and datagrams a second against a bare relay of the same loop.

use {
    crate::{
        command::Failure,
        figure::Figure,
        journal::Journal,
        measure::resident_bytes,
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
        segment::{Kind, Segment},
        table::{Config, Route, Routes, Table, Target},
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

/// Upstreams and addresses of services.
const SIZES: [(usize, usize); 4] = [(10, 10), (100, 100), (1_000, 1_000), (35_000, 3_700)];

/// Packets in one measurement.
const PACKETS: u32 = 200_000;

/// Measurements of which the best counts, since interruptions by other processes only add time.
const REPETITIONS: usize = 5;

/// Length of one measurement over sockets.
const SPAN: Duration = Duration::from_secs(2);

/// Bytes of data in a packet of the measurement over sockets.
const DATA_BYTES: usize = 400;

/// Runs the measurements.
///
/// # Errors
///
/// Fails if a socket or a thread cannot be set up.
pub fn measure() -> Result<Vec<Figure>, Failure> {
    let mut figures = vec![memory()];
    for (upstreams, addresses) in SIZES {
        figures.extend(decisions(upstreams, addresses));
    }
    figures.extend(datagrams()?);
    Ok(figures)
}

fn service(index: usize) -> SocketAddr {
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
        born: 1,
    };
    let records = (0..upstreams).map(|index| (1, record(index))).collect();
    directory.replace(Duration::ZERO, 1, records);
    let route = |index: usize| Route {
        name: format!("route-{index}"),
        address: service(index),
        targets: vec![Target {
            pool: format!("pool-{}", index % addresses.min(upstreams)),
            weight: 1,
        }],
    };
    let mut routes = Routes::default();
    routes.offer(Config {
        version: 1,
        routes: (0..addresses).map(route).collect(),
        health_paths: BTreeMap::new(),
        idle_timeout: Duration::from_secs(15),
    });
    routes
        .table(directory.view(Duration::ZERO))
        .expect("a configuration was offered")
}

fn memory() -> Figure {
    let (upstreams, addresses) = SIZES[SIZES.len() - 1];
    let before = resident_bytes();
    let table = table(upstreams, addresses, service(0));
    let used = resident_bytes() - before;
    black_box(&table);
    Figure {
        name: "memory of the tables",
        case: format!("{upstreams} upstreams, {addresses} addresses"),
        value: used / f64::from(1 << 20),
        unit: "MB",
        goal: Some("128 for the whole process"),
    }
}

fn decisions(upstreams: usize, addresses: usize) -> [Figure; 2] {
    let table = table(upstreams, addresses, service(0));
    let cookies: Vec<u32> = table.cookies.keys().copied().collect();
    let segment = |index: u32, kind: Kind| Segment {
        flow: Key {
            caller: SocketAddr::from((
                Ipv4Addr::from(0x6440_0000 + index / 4_096),
                1_024 + (index % 4_096) as u16,
            )),
            service: service(index as usize % addresses),
        },
        kind,
        cookie: cookies[index as usize % cookies.len()],
        sequence: index,
        acknowledged: 0,
        length: 0,
    };
    let time = |kind: Kind, name: &'static str| {
        let spans = (0..REPETITIONS).map(|_| {
            let mut balancer = Balancer::new(Settings::default(), 1);
            let start = Instant::now();
            for index in 0..PACKETS {
                let now = Duration::from_millis(u64::from(index) / 1_000);
                let verdict = balancer.handle(now, Some(&table), &segment(index, kind));
                assert!(matches!(black_box(verdict), Verdict::Forward { .. }));
            }
            start.elapsed()
        });
        let best = spans.min().unwrap_or_default();
        Figure {
            name,
            case: format!("{upstreams} upstreams, {addresses} addresses"),
            value: best.as_secs_f64() * 1e9 / f64::from(PACKETS),
            unit: "ns",
            goal: Some("flat"),
        }
    };
    [
        time(
            Kind::Established { is_last: false },
            "packet of an open flow",
        ),
        time(Kind::Open { copy: 0 }, "opening packet"),
    ]
}

fn datagrams() -> Result<Vec<Figure>, Failure> {
    let mut rounds = Vec::new();
    for _ in 0..REPETITIONS {
        // Both in one round, so that other load of the machine meets both.
        let relay = through(bare_relay)?;
        rounds.push((relay, through(forwarder)?));
    }
    rounds.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (relay, balancer) = rounds[REPETITIONS / 2];
    let figure = |name, value, unit, goal| Figure {
        name,
        case: format!("{DATA_BYTES} bytes of data, median of {REPETITIONS} rounds"),
        value,
        unit,
        goal,
    };
    Ok(vec![
        figure("bare relay", relay, "datagrams/s", None),
        figure("steering balancer", balancer, "datagrams/s", None),
        figure(
            "balancer over relay",
            balancer / relay,
            "ratio",
            Some("0.9"),
        ),
    ])
}

type Start = fn(UdpSocket, SocketAddr, Arc<AtomicBool>) -> io::Result<()>;

/// Returns the datagrams a second that arrive behind a stage that is flooded.
fn through(start: Start) -> Result<f64, Failure> {
    let stage = UdpSocket::bind("127.0.0.1:0")?;
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let source = UdpSocket::bind("127.0.0.1:0")?;
    let (to, target) = (stage.local_addr()?, sink.local_addr()?);
    let is_over = Arc::new(AtomicBool::new(false));
    start(stage, target, Arc::clone(&is_over))?;
    let flag = Arc::clone(&is_over);
    let sender = thread::spawn(move || {
        let packet = packet(&table(1, 1, target));
        while !flag.load(Ordering::Relaxed) {
            // A full buffer drops the datagram, as a flood does.
            let _ = source.send_to(&packet, to);
        }
    });
    sink.set_read_timeout(Some(Duration::from_millis(100)))?;
    let mut buffer = [0; 2_048];
    let begin = Instant::now();
    let mut count = 0;
    while begin.elapsed() < SPAN {
        count += u64::from(sink.recv_from(&mut buffer).is_ok());
    }
    is_over.store(true, Ordering::Relaxed);
    // The sender only ends by the flag.
    let _ = sender.join();
    Ok(count as f64 / SPAN.as_secs_f64())
}

fn packet(table: &Table) -> Vec<u8> {
    let mut packet = vec![0; HEADER_BYTES + DATA_BYTES];
    packet[..2].copy_from_slice(&(DATA_BYTES as u16).to_be_bytes());
    packet[10] = 4;
    packet[17..23].copy_from_slice(&[198, 18, 0, 0, 1, 0xbb]);
    let cookie = table.cookies.keys().next().copied().unwrap_or_default();
    layout::set_cookie(&mut packet, cookie);
    packet
}

fn bare_relay(socket: UdpSocket, target: SocketAddr, is_over: Arc<AtomicBool>) -> io::Result<()> {
    socket.set_read_timeout(Some(Duration::from_millis(25)))?;
    thread::spawn(move || {
        let mut buffer = [0; PREFIX_BYTES + 2_048];
        while !is_over.load(Ordering::Relaxed) {
            if let Ok((length, _)) = socket.recv_from(&mut buffer[PREFIX_BYTES..]) {
                // A full buffer drops the datagram, as a flood does.
                let _ = socket.send_to(&buffer[..PREFIX_BYTES + length], target);
            }
        }
    });
    Ok(())
}

fn forwarder(socket: UdpSocket, target: SocketAddr, is_over: Arc<AtomicBool>) -> io::Result<()> {
    let metrics = Metrics::new(&settings::Metrics::default())?;
    let state = Arc::new(State::new(
        Journal::new("bench"),
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
        while !is_over.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        state.stop();
    });
    thread::spawn(move || forwarder.run());
    Ok(())
}
