//! The cases.

use {
    crate::{
        client::End,
        endpoint::Endpoint,
        site::Site,
    },
    std::{
        env,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

const CONTACT: Duration = Duration::from_millis(4_000);
const RECOVERY: Duration = Duration::from_secs(12);
/// Pause between two requests of a long flow.
const USUAL_PAUSE: Duration = Duration::from_millis(250);
const BEAT: Duration = Duration::from_millis(1_200);

/// Returns the numbers of endpoints of the two services in each zone.
pub fn endpoint_counts(case: &str) -> [[usize; 3]; 2] {
    match case {
        // A page of a list has about 500 entries; this is the number of endpoints on the site `ccr-routes-large`.
        "stale-page" => [[160, 160, 160], [40, 40, 40]],
        _ => [[5, 5, 4], [2, 1, 1]],
    }
}

pub fn run(case: &str, site: Site, trouble: bool) -> ! {
    match case {
        "foreign-text" => foreign_text(site, trouble),
        "stale-start" => stale_start(site, trouble),
        "stale-page" => stale_page(site, trouble),
        "frozen-reader" => frozen_reader(site, trouble),
        "foreign-size" => foreign_size(site, trouble),
        "route-again" => route_again(site, trouble),
        "foreign-service" => foreign_service(site, trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    }
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Starts the daemons and the usual traffic: long flows to one service.
fn begin(site: &mut Site, pause: Duration) {
    site.configure(7, &[(1, "dispatch"), (2, "manifests")]);
    begin_with(site, pause);
}

fn begin_with(site: &mut Site, pause: Duration) {
    site.start_all();
    site.wait_ready(Duration::from_secs(15));
    site.start_callers(site.route(1), 3, pause);
    sleep(8.0);
    let now = Instant::now();
    let (served, all) = site.served(now - Duration::from_secs(5), now - Duration::from_secs(1));
    site.record.tell(&format!("before: {served} of {all} requests served"));
    if all < 100 || served * 10 < all * 9 {
        site.record.tell("the calm deployment does not serve: the case cannot run");
        site.end(2);
    }
}

/// Writes an entry of another writer, which renews it as endpoints do.
fn write_foreign(site: &Site, name: &str, spec: String) {
    site.store.put("servers", name, &spec);
    site.record.tell(&format!("another writer wrote servers/{name}: {spec}"));
    let (store, name) = (Arc::clone(&site.store), name.to_owned());
    thread::spawn(move || {
        loop {
            thread::sleep(BEAT);
            store.beat("servers", &name, &spec);
        }
    });
}

/// An entry of another writer holds text that is valid JSON and no valid Unicode; later all processes are killed.
fn foreign_text(mut site: Site, trouble: bool) -> ! {
    begin(&mut site, USUAL_PAUSE);
    let value = match env::var("VARIANT").as_deref() {
        Ok("number") => "1e999".to_owned(),
        Ok("nested") => format!("{}{}", "[".repeat(200), "]".repeat(200)),
        _ => "\"depot \\ud83d\"".to_owned(),
    };
    if trouble {
        write_foreign(&site, "i-00000000000000aa", format!("{{\"Service\":\"inventory\",\"Note\":{value}}}"));
    }
    sleep(4.0);
    let drained = Arc::clone(&site.endpoints[0]);
    let acknowledged = drained.drain(&site.store);
    site.record.tell(&format!("the store acknowledged that {} is draining", drained.name));
    let openers = start_openers(&site, Duration::from_secs(7), Duration::from_millis(100));
    sleep(7.0);
    drop(openers);
    let bound = Duration::from_millis(3_000);
    let openings = drained.openings.lock().unwrap().clone();
    let late: Vec<f64> = openings
        .iter()
        .filter(|opening| opening.at > acknowledged + bound)
        .map(|opening| (opening.at - acknowledged).as_secs_f64())
        .collect();
    site.record.tell(&format!(
        "DRAIN: {} flows were opened at {} later than {bound:?} after the acknowledgement; {late:.2?} s after it",
        late.len(),
        drained.name
    ));
    let fault = Instant::now();
    site.kill_all();
    sleep(0.5);
    site.start_all();
    let back = Instant::now();
    site.record.tell("started all daemons again");
    sleep(RECOVERY.as_secs_f64() + 10.0);
    let end = Instant::now();
    site.stop_callers();
    let before = site.served(fault - Duration::from_secs(5), fault - Duration::from_millis(1_500));
    let after = site.served(back + RECOVERY, end);
    site.record.tell(&format!("RECOVER: {before:?} (served, sent) before the final fault, {after:?} after {RECOVERY:?}"));
    let recovers = after.0 * 4 >= after.1;
    if before.0 * 4 < before.1 {
        site.end(2);
    }
    site.end(i32::from(!late.is_empty() || !recovers))
}

/// Opens a new flow from each client machine after each pause.
fn start_openers(site: &Site, time: Duration, pause: Duration) -> Vec<thread::JoinHandle<()>> {
    let openers = site.clients.iter().map(|client| {
        let (client, route) = (Arc::clone(client), site.route(1));
        let until = Instant::now() + time;
        thread::spawn(move || {
            while Instant::now() < until {
                if let Ok(flow) = client.open(route) {
                    flow.close();
                }
                thread::sleep(pause);
            }
        })
    });
    openers.collect()
}

/// Entries of another writer name a service that no configuration names, at the addresses of running endpoints: an agent
/// that runs beside each endpoint and registers itself at its start.
fn foreign_service(mut site: Site, trouble: bool) -> ! {
    begin(&mut site, Duration::from_millis(40));
    let hosts: Vec<_> = site.endpoints.iter().filter(|endpoint| endpoint.service == "dispatch").cloned().collect();
    for (number, host) in hosts.iter().enumerate() {
        if trouble {
            let spec = format!(
                "{{\"Service\":\"host-metrics\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
                 \"Concurrency\":2,\"State\":\"ready\",\"WarmupLeftMs\":0,\"Sequence\":1,\"born\":{}}}",
                host.address,
                host.zone,
                crate::unix_ms()
            );
            write_foreign(&site, &format!("i-{:010x}", 0xa0 + number), spec);
        }
        sleep(0.7);
    }
    sleep(3.0);
    site.stop_callers();
    let broken = site.broken.lock().unwrap().clone();
    let resets: Vec<_> = broken.iter().filter(|flow| flow.end == End::SystemReset && flow.answered > 0).collect();
    for flow in &resets {
        let names: Vec<&str> = site.endpoints_of(flow.source).iter().map(|endpoint| &*endpoint.name).collect();
        site.record.line(&format!(
            "FLOW: {} to {}, open since {:.3}, was reset by the system at {:.3}; its endpoint {names:?} lives",
            flow.source,
            flow.route,
            site.record.seconds(flow.opened),
            site.record.seconds(flow.at)
        ));
    }
    site.record.tell(&format!(
        "FLOW: {} open flows were reset by the system though their endpoints live; {} POST requests ran and were never \
         answered",
        resets.len(),
        lost_posts(&site)
    ));
    site.end(i32::from(!resets.is_empty()))
}

/// Counts the requests that must not be repeated, which an endpoint ran and whose clients got a reset of the system.
fn lost_posts(site: &Site) -> usize {
    let runs = site.runs();
    let done = site.done.lock().unwrap();
    let lost = done.iter().filter(|done| done.method == "POST" && done.end == End::SystemReset);
    lost.filter(|done| runs.contains_key(&done.attempt)).count()
}

/// A configuration drops a route and adds another; right after its acknowledgement all processes are killed. Reads that
/// allow it return data that is `LAG_MS` old.
fn stale_start(mut site: Site, trouble: bool) -> ! {
    let lag = env::var("LAG_MS").ok().and_then(|lag| lag.parse().ok()).unwrap_or(5_500);
    site.configure(7, &[(1, "dispatch"), (2, "manifests"), (3, "dispatch")]);
    sleep(6.5);
    site.store.set_lags(&[Duration::from_millis(lag)]);
    site.record.tell(&format!("reads with Serializable return data that is {lag} ms old"));
    begin_with(&mut site, USUAL_PAUSE);
    let acknowledged = site.configure(8, &[(1, "dispatch"), (2, "manifests"), (4, "dispatch")]);
    let drained = Arc::clone(&site.endpoints[0]);
    let drain_acknowledged = drained.drain(&site.store);
    site.record.tell(&format!("the store acknowledged that {} is draining", drained.name));
    if trouble {
        site.kill_all();
        sleep(0.5);
        site.start_all();
        site.record.tell("started all daemons again");
    }
    let results = open_often(&site, acknowledged + Duration::from_secs(9));
    judge_config(&mut site, &results, acknowledged, &drained, drain_acknowledged, None)
}

/// An attempt to open a flow: when it was sent, to which route, through which machine, and the result.
type Attempt = (Instant, u8, SocketAddr, &'static str);

/// Opens flows to the routes 1, 3 and 4 from every client machine until a time.
fn open_often(site: &Site, until: Instant) -> Vec<Attempt> {
    let results: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let mut threads = Vec::new();
    for client in &site.clients {
        for index in [1, 3, 4] {
            let (client, route, results) = (Arc::clone(client), site.route(index), Arc::clone(&results));
            threads.push(thread::spawn(move || {
                while Instant::now() < until {
                    let sent = Instant::now();
                    let result = match client.open(route) {
                        Ok(flow) => {
                            let machine = flow.first_machine;
                            flow.close();
                            (sent, index, machine, "opened")
                        }
                        Err((End::SystemReset, machine)) => (sent, index, machine, "refused"),
                        Err((_, machine)) => (sent, index, machine, "no answer"),
                    };
                    results.lock().unwrap().push(result);
                    thread::sleep(Duration::from_millis(50));
                }
            }));
        }
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    results.lock().unwrap().clone()
}

/// Judges CONFIG for a version that drops route 3 and adds route 4, and DRAIN for one endpoint.
fn judge_config(
    site: &mut Site,
    results: &[Attempt],
    acknowledged: Instant,
    drained: &Endpoint,
    drain_acknowledged: Instant,
    frozen: Option<SocketAddr>,
) -> ! {
    let bound = Duration::from_millis(3_000);
    let in_touch = |machine, at| Some(machine) != frozen && site.in_touch(machine, at, CONTACT);
    let mut late = Vec::new();
    for &(sent, index, machine, result) in results {
        let is_old = (index == 3 && result == "opened") || (index == 4 && result == "refused");
        if is_old && in_touch(machine, sent) && sent > acknowledged + bound {
            let after = (sent - acknowledged).as_secs_f64();
            site.record.line(&format!(
                "CONFIG: a flow to route {index}, sent {after:.3} s after the acknowledgement, was {result} through {machine}"
            ));
            late.push((after, index));
        }
    }
    let openings = drained.openings.lock().unwrap().clone();
    let drains = openings
        .iter()
        .filter(|opening| in_touch(opening.machine, opening.at) && opening.at > drain_acknowledged + bound);
    let drains = drains.count();
    let dropped = late.iter().filter(|(_, index)| *index == 3).count();
    site.record.tell(&format!(
        "CONFIG: later than {bound:?} after the acknowledgement, machines in touch sent {dropped} flows on by the dropped \
         route and refused {} flows of the added one, at {:.2} to {:.2} s after it",
        late.len() - dropped,
        late.iter().map(|late| late.0).fold(f64::INFINITY, f64::min),
        late.iter().map(|late| late.0).fold(0.0, f64::max)
    ));
    site.record.tell(&format!(
        "DRAIN: {drains} flows were opened at {} through machines in touch later than {bound:?} after its acknowledgement",
        drained.name
    ));
    site.end(i32::from(!late.is_empty() || drains > 0))
}

/// A flow that the system reset: when it was opened and reset, its port, and whether a POST request waited on it.
type Reset = (Instant, Instant, std::net::SocketAddrV4, bool);

/// A configuration drops a route and the next one adds it again, while the machines are restarted in turn.
fn route_again(mut site: Site, trouble: bool) -> ! {
    let lag = env::var("LAG_MS").ok().and_then(|lag| lag.parse().ok()).unwrap_or(1_000);
    site.configure(7, &[(1, "dispatch"), (2, "manifests"), (3, "dispatch")]);
    sleep(lag as f64 / 1_000.0);
    site.store.set_lags(&[Duration::from_millis(lag)]);
    site.record.tell(&format!("reads with Serializable return data that is {lag} ms old"));
    begin_with(&mut site, USUAL_PAUSE);
    let stop = Arc::new(Mutex::new(false));
    // Callers of the route in question: they open flows while it exists and use each for two seconds.
    let broken: Arc<Mutex<Vec<Reset>>> = Arc::default();
    let mut threads = Vec::new();
    for client in &site.clients {
        for _ in 0..4 {
            let (client, route, stop) = (Arc::clone(client), site.route(3), Arc::clone(&stop));
            let (broken, done) = (Arc::clone(&broken), Arc::clone(&site.done));
            threads.push(thread::spawn(move || {
                let mut count = 0;
                while !*stop.lock().unwrap() {
                    let Ok(mut flow) = client.open(route) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let mut answered = 0;
                    while flow.opened.elapsed() < Duration::from_millis(2_000) {
                        count += 1;
                        let attempt = format!("again-{}-{count}", flow.source);
                        let method = if count % 3 == 0 { "POST" } else { "GET" };
                        let sent = Instant::now();
                        let mut end = flow.request(method, &attempt, Duration::from_millis(1_200));
                        done.lock().unwrap().push(crate::site::Done { sent, method, attempt, end });
                        let idle = end == End::Served;
                        if idle {
                            answered += 1;
                            end = flow.rest(Duration::from_millis(60)).unwrap_or(End::Served);
                        }
                        if end != End::Served {
                            // After an answer, the endpoint certainly had the end of the handshake.
                            if end == End::SystemReset && answered > 0 {
                                let in_post = method == "POST" && !idle;
                                broken.lock().unwrap().push((flow.opened, Instant::now(), flow.source, in_post));
                            }
                            break;
                        }
                    }
                    flow.close();
                }
            }));
        }
    }
    let mut spans = Vec::new();
    let with: &[(u8, &str)] = &[(1, "dispatch"), (2, "manifests"), (3, "dispatch")];
    let without = &with[..2];
    let count = site.daemon_count();
    let (store_site, mut version) = (&mut site, 8);
    let rolls = env::var("ROLLS").ok().and_then(|rolls| rolls.parse().ok()).unwrap_or(count);
    for index in 0..rolls {
        if trouble {
            store_site.configure(version, without);
        } else {
            store_site.configure(version, with);
        }
        sleep(1.0);
        store_site.signal(index % count, "-TERM");
        sleep(0.6);
        let at = store_site.configure(version + 1, with);
        spans.push(at);
        version += 2;
        store_site.start_again(&[index % count]);
        sleep(1.0);
    }
    *stop.lock().unwrap() = true;
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (mut wrong, mut posts) = (0, 0);
    for (opened, at, source, in_post) in broken.lock().unwrap().iter() {
        // Only flows that were opened after the route was there again, and reset before the next configuration.
        let Some(added) = spans.iter().rev().find(|added| *added <= opened) else { continue };
        if *at > *added + Duration::from_millis(1_900) {
            continue;
        }
        let names: Vec<&str> = site.endpoints_of(*source).iter().map(|endpoint| &*endpoint.name).collect();
        wrong += 1;
        posts += u32::from(*in_post);
        site.record.line(&format!(
            "FLOW: {source}, opened {:.3} s after the route was added again, was reset by the system at {:.3}, {:.3} s \
             after it; its endpoint {names:?} lives",
            (*opened - *added).as_secs_f64(),
            site.record.seconds(*at),
            (*at - *added).as_secs_f64()
        ));
    }
    site.record.tell(&format!(
        "FLOW: {wrong} open flows of a route that exists were reset by the system; on {posts} of them a POST request \
         waited, which its client must not repeat"
    ));
    site.end(i32::from(wrong > 0))
}

/// Endpoints are taken away while machines are restarted. Reads with `Serializable` go to one of two copies of the store at
/// random, of which one is seconds old.
fn stale_page(mut site: Site, trouble: bool) -> ! {
    let lag = env::var("LAG_MS").ok().and_then(|lag| lag.parse().ok()).unwrap_or(5_500);
    sleep(lag as f64 / 1_000.0);
    site.store.set_lags(&[Duration::ZERO, Duration::from_millis(lag)]);
    site.record.tell(&format!("reads with Serializable return data that is 0 or {lag} ms old"));
    begin(&mut site, USUAL_PAUSE);
    let mut acknowledged: Vec<(usize, Instant)> = Vec::new();
    // A thirtieth of the endpoints leaves in each round, those with the highest names first.
    let mut by_name: Vec<usize> = (0..site.endpoints.len()).collect();
    by_name.sort_by_key(|&index| std::cmp::Reverse(site.endpoints[index].name.clone()));
    let openers = start_openers(&site, Duration::from_secs(68), Duration::from_millis(25));
    for (round, machines) in [[0, 3, 6], [1, 4, 7], [0, 3, 6], [1, 4, 7]].into_iter().enumerate() {
        for &index in &by_name[20 * round..20 * (round + 1)] {
            acknowledged.push((index, site.endpoints[index].drain(&site.store)));
        }
        site.record.tell("the store acknowledged that 20 endpoints are draining");
        let start = Instant::now();
        if trouble {
            for index in machines {
                site.signal(index, "-TERM");
                sleep(1.3);
                site.start_ended(&machines);
            }
            site.start_again(&machines);
        }
        sleep(16.0 - start.elapsed().as_secs_f64());
    }
    openers.into_iter().for_each(|opener| drop(opener.join()));
    // DrainMs and ContactMs of the site `ccr-routes-large`, which has as many endpoints; they are twice those of the small
    // site.
    let (bound, contact) = (Duration::from_millis(6_000), Duration::from_millis(6_000));
    let mut late = Vec::new();
    for (index, at) in acknowledged {
        let endpoint = &site.endpoints[index];
        for opening in endpoint.openings.lock().unwrap().iter() {
            let after = opening.at.saturating_duration_since(at);
            // Endpoints go on serving for some seconds after DrainMs; 16 s are counted at most.
            let in_touch = site.in_touch(opening.machine, opening.at, contact);
            if in_touch && after > bound && after < Duration::from_secs(16) {
                let after = after.as_secs_f64();
                site.record.line(&format!(
                    "DRAIN: a flow was opened at {} through {} {after:.2} s after the acknowledgement",
                    endpoint.name, opening.machine
                ));
                late.push(after);
            }
        }
    }
    site.record.tell(&format!(
        "DRAIN: {} flows were opened at draining endpoints through machines in touch later than {bound:?} after the \
         acknowledgement, the last {:.2} s after it",
        late.len(),
        late.iter().copied().fold(0.0, f64::max)
    ));
    site.end(i32::from(!late.is_empty()))
}

/// The machine that reads the store for its zone freezes right after it has adopted a configuration. Reads with
/// `Serializable` return data that is 5.5 s old.
fn frozen_reader(mut site: Site, trouble: bool) -> ! {
    let lag = env::var("LAG_MS").ok().and_then(|lag| lag.parse().ok()).unwrap_or(5_500);
    site.configure(7, &[(1, "dispatch"), (2, "manifests"), (3, "dispatch")]);
    sleep(lag as f64 / 1_000.0);
    site.store.set_lags(&[Duration::from_millis(lag)]);
    site.record.tell(&format!("reads with Serializable return data that is {lag} ms old"));
    begin_with(&mut site, USUAL_PAUSE);
    // The daemons find each other by lists of their entries, 3 s and 33 s after their start.
    sleep(34.0);
    let drained = Arc::clone(&site.endpoints[0]);
    let drain_acknowledged = drained.drain(&site.store);
    site.record.tell(&format!("the store acknowledged that {} is draining", drained.name));
    let acknowledged = site.configure(8, &[(1, "dispatch"), (2, "manifests"), (4, "dispatch")]);
    sleep(0.3);
    if trouble {
        site.signal(0, "-STOP");
    }
    let results = open_often(&site, Instant::now() + Duration::from_secs(4));
    if trouble {
        site.signal(0, "-CONT");
    }
    sleep(2.0);
    let frozen = site.routers.fronts[0].datagrams.into();
    judge_config(&mut site, &results, acknowledged, &drained, drain_acknowledged, Some(frozen))
}

/// Entries of another writer are as large as the store allows; tells the memory of the daemons, which a machine of the
/// small sites limits to 260 MB.
fn foreign_size(mut site: Site, trouble: bool) -> ! {
    begin(&mut site, USUAL_PAUSE);
    let count = env::var("COUNT").ok().and_then(|count| count.parse().ok()).unwrap_or(10);
    for number in 0..count {
        if trouble {
            let list = vec!["0"; 524_000].join(",");
            site.store.put("servers", &format!("i-{:010x}", 0xa0 + number), &format!("{{\"Service\":[{list}]}}"));
        }
        sleep(1.0);
    }
    site.record.tell(&format!("another writer wrote {count} entries of 1 MB; the peak of memory is {:?} kB", site.peaks()));
    site.roll(&[0, 3, 6]);
    sleep(4.0);
    site.record.tell(&format!("after a restart of three daemons the peak of memory is {:?} kB", site.peaks()));
    let most = site.peaks().into_iter().max().unwrap_or_default();
    site.end(i32::from(most > 260_000))
}
