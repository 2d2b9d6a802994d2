//! Hosts of an earlier build beside those of this one, while machines are replaced one after the
//! other.

use {
    crate::{
        support::{Deployment, EdgeProcess, readiness_status, stream_request, wait_until},
        versions::{
            ADAPTERS, resume_request, start_deployment, start_edges, start_engine, versions_run,
        },
    },
    bytes::BytesMut,
    egret_core::{recorder_key, rendezvous_weight},
    egret_runtime::{
        Body, Conn, Hello, Link, SourceDeltaMsg, SpreadMsg, StreamOriginMsg, StreamOriginReportMsg,
        now, serve_links, with_deadline,
    },
    egret_standin::platform::{Target, TargetFault},
    faststr::FastStr,
    futures::future::{BoxFuture, join_all, ready},
    http_body_util::BodyExt,
    nix::sys::signal::Signal,
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

const HOSTS: usize = 4;

/// Callers at once.
const CALLERS: usize = 40;

/// How long a caller tries to resume a stream.
const CALLER_PATIENCE: Duration = Duration::from_secs(6);

/// Longest wait for the next event.
const EVENT_TIMEOUT_MS: u64 = 3000;

/// Events of a stream.
const EVENTS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Build {
    Old,
    New,
}

struct Host {
    build: Build,
    edge: Option<EdgeProcess>,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Seen {
    whole_at_once: usize,
    resumed: usize,
    given_up: usize,
    not_begun: usize,
    // streams that broke rule ORDER
    broken: Vec<String>,
}

/// A deployment whose hosts and engines are replaced while callers use it.
struct Upgrade {
    d: Deployment,
    old_program: PathBuf,
    hosts: Mutex<Vec<Host>>,
    engines: Mutex<Vec<Target>>,
    seen: Mutex<Seen>,
    is_over: AtomicBool,
}

/// Part of an answer: its status, its events and whether it ended as whole.
struct Part {
    status: u16,
    retry_after: Duration,
    ids: Vec<u64>,
    is_ended: bool,
}

impl Upgrade {
    fn program(&self, build: Build) -> PathBuf {
        match build {
            Build::Old => self.old_program.clone(),
            Build::New => PathBuf::from(env!("CARGO_BIN_EXE_egret-edge")),
        }
    }

    fn start_host(&self, index: usize, build: Build) {
        let edge = self.d.start_edge_of(index as u64 + 1, &self.program(build));
        self.hosts.lock()[index] = Host { build, edge: Some(edge) };
    }

    async fn stop_host(&self, index: usize, signal: Signal) {
        let Some(mut edge) = self.hosts.lock()[index].edge.take() else {
            return;
        };
        edge.signal(signal);
        let ended = tokio::task::spawn_blocking(move || {
            edge.process.wait_for_exit(Duration::from_secs(10)).is_some()
        });
        assert!(ended.await.unwrap(), "host {index} did not stop");
    }

    fn any_host(&self, rng: &mut ChaCha8Rng) -> Option<(usize, Build, SocketAddr)> {
        let hosts = self.hosts.lock();
        let running: Vec<_> = hosts
            .iter()
            .enumerate()
            .filter_map(|(i, host)| Some((i, host.build, host.edge.as_ref()?.caller_address)))
            .collect();
        running.choose(rng).copied()
    }

    /// Reads an answer up to `events` events.
    async fn read_part(
        address: SocketAddr,
        request: http::Request<http_body_util::Full<bytes::Bytes>>,
        events: usize,
    ) -> Option<Part> {
        let mut conn = Conn::open(address, now().after_ms(1000)).await.ok()?;
        let head = conn.send(request, now().after_ms(6000)).await.ok()?;
        let retry_after = head.headers().get("retry-after").and_then(|v| v.to_str().ok());
        let retry_after = retry_after.and_then(|v| v.parse().ok()).unwrap_or(0.2);
        let mut part = Part {
            status: head.status().as_u16(),
            retry_after: Duration::from_secs_f64(retry_after),
            ids: Vec::new(),
            is_ended: false,
        };
        if part.status != 200 {
            return Some(part);
        }
        let mut body = head.into_body();
        let mut received = BytesMut::new();
        while part.ids.len() < events {
            let deadline = now().after_ms(EVENT_TIMEOUT_MS);
            match with_deadline(deadline, body.frame()).await {
                Some(Some(Ok(frame))) => {
                    received.extend_from_slice(frame.data_ref().unwrap());
                    let text = String::from_utf8_lossy(&received);
                    let whole =
                        text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n"));
                    part.ids = whole
                        .map(|event| event[4..event.find('\n').unwrap()].parse().unwrap())
                        .collect();
                }
                Some(None) => {
                    part.is_ended = true;
                    break;
                }
                Some(Some(Err(_))) | None => break,
            }
        }
        Some(part)
    }

    async fn run_caller(&self, mut rng: ChaCha8Rng) {
        while !self.is_over.load(Ordering::Relaxed) {
            self.run_stream(&mut rng).await;
        }
    }

    // begins a stream and resumes it until it is whole or its caller gives up
    async fn run_stream(&self, rng: &mut ChaCha8Rng) {
        let adapter = *ADAPTERS.choose(rng).unwrap();
        let mut first_id: Option<String> = None;
        let mut ids = Vec::new();
        let mut events: Vec<u64> = Vec::new();
        let mut history = Vec::new();
        let begun_at = Instant::now();
        let mut ended = false;
        while !ended && events.len() < EVENTS && begun_at.elapsed() < CALLER_PATIENCE {
            let Some((host, build, address)) = self.any_host(rng) else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let request = match &first_id {
                None => stream_request("stream", adapter),
                Some(id) => resume_request(adapter, Some(id), events.len() as u64),
            };
            let id = request.headers()["request-id"].to_str().unwrap().to_owned();
            let wanted = if rng.random_bool(0.6) { rng.random_range(1..4) } else { EVENTS + 1 };
            let at = begun_at.elapsed().as_millis();
            let part = Self::read_part(address, request, wanted).await;
            history.push(format!(
                "{at}: {id} host {} {build:?} -> {:?}",
                host + 1,
                part.as_ref().map(|p| (p.status, &p.ids, p.is_ended))
            ));
            let Some(part) = part else {
                if first_id.is_some() {
                    ids.push(id);
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
                continue;
            };
            if first_id.is_none() && part.ids.is_empty() && !part.is_ended {
                tokio::time::sleep(part.retry_after).await;
                continue;
            }
            first_id.get_or_insert(id.clone());
            ids.push(id);
            ended = part.is_ended;
            events.extend(&part.ids);
            if part.status != 200 {
                tokio::time::sleep(part.retry_after).await;
            } else if rng.random_bool(0.5) {
                let pause = rng.random_range(0..2500);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
        let versions = versions_run(&self.engines.lock(), &ids);
        let is_in_order = events.iter().copied().eq(1..=events.len() as u64);
        let is_whole = !ended || events.len() == EVENTS;
        let mut seen = self.seen.lock();
        if versions.len() > 1 || !is_in_order || !is_whole {
            seen.broken.push(format!("{versions:?} {events:?} {history:#?}"));
        }
        match (events.len(), ids.len()) {
            (0, _) => seen.not_begun += 1,
            (EVENTS, 1) => seen.whole_at_once += 1,
            (EVENTS, _) => seen.resumed += 1,
            _ => seen.given_up += 1,
        }
    }

    fn set_full(&self, is_full: impl Fn(&str) -> bool) {
        for engine in &*self.engines.lock() {
            let full = is_full(&engine.software_version());
            engine.set_fault(if full { TargetFault::Full } else { TargetFault::None });
        }
    }

    async fn add_version(&self, version: &str) {
        for number in 1..=2 {
            let id = format!("e-{version}-{number}");
            let engine = start_engine(&self.d, &id, version, &ADAPTERS).await;
            self.engines.lock().push(engine);
        }
    }

    fn remove_version(&self, version: &str) {
        for number in 1..=2 {
            self.d.store.write("keyed.servers", &format!("e-{version}-{number}"), None);
        }
    }

    // replaces hosts and versions of the engines at random until `end`
    async fn replace(&self, rng: &mut ChaCha8Rng, end: Instant) {
        let mut versions = vec!["v1".to_owned()];
        let mut last_version = 1;
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(rng.random_range(200..2500))).await;
            match rng.random_range(0..10) {
                0..=3 => {
                    let index = rng.random_range(0..HOSTS);
                    let signal =
                        if rng.random_bool(0.5) { Signal::SIGKILL } else { Signal::SIGTERM };
                    let build = if rng.random_bool(0.5) { Build::Old } else { Build::New };
                    self.stop_host(index, signal).await;
                    self.start_host(index, build);
                }
                4 => {
                    let build = if rng.random_bool(0.3) { Build::Old } else { Build::New };
                    let stops = (0..HOSTS).map(|index| self.stop_host(index, Signal::SIGKILL));
                    join_all(stops).await;
                    if versions.len() > 1 && rng.random_bool(0.5) {
                        self.remove_version(&versions.remove(rng.random_range(0..versions.len())));
                    }
                    (0..HOSTS).for_each(|index| self.start_host(index, build));
                }
                5 | 6 if versions.len() < 2 => {
                    last_version += 1;
                    versions.push(format!("v{last_version}"));
                    self.add_version(versions.last().unwrap()).await;
                }
                5 | 6 => {
                    self.remove_version(&versions.remove(rng.random_range(0..versions.len())));
                }
                7 | 8 => {
                    let full = versions.choose(rng).unwrap().clone();
                    self.set_full(|version| version == full);
                }
                _ => self.set_full(|_| false),
            }
        }
    }
}

async fn wait_until_ready(address: SocketAddr) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while readiness_status(address).await != Some(200) {
        assert!(Instant::now() < deadline, "host is not ready");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().map_or(default, |value| value.parse().unwrap())
}

fn old_program() -> PathBuf {
    std::env::var("EGRET_OLD_PROGRAM").expect("EGRET_OLD_PROGRAM names a program").into()
}

/// Starts hosts of the earlier build and engines of one version.
async fn start_upgrade() -> Upgrade {
    let upgrade = Upgrade {
        d: start_deployment().await,
        old_program: old_program(),
        hosts: Mutex::new((0..HOSTS).map(|_| Host { build: Build::Old, edge: None }).collect()),
        engines: Mutex::default(),
        seen: Mutex::default(),
        is_over: AtomicBool::new(false),
    };
    upgrade.add_version("v1").await;
    (0..HOSTS).for_each(|index| upgrade.start_host(index, Build::Old));
    for index in 0..HOSTS {
        let address = upgrade.hosts.lock()[index].edge.as_ref().unwrap().readiness_address;
        wait_until_ready(address).await;
    }
    upgrade
}

impl Upgrade {
    /// Has callers use the hosts until `replacement` has ended. Returns what they saw.
    async fn run_beside(&self, seed: u64, replacement: impl Future<Output = ()>) -> Seen {
        let callers = (0..CALLERS)
            .map(|number| self.run_caller(ChaCha8Rng::seed_from_u64(seed * 1000 + number as u64)));
        let replacement = async {
            replacement.await;
            self.is_over.store(true, Ordering::Relaxed);
        };
        futures::join!(replacement, join_all(callers));
        let outcome = std::mem::take(&mut *self.seen.lock());
        println!(
            "seed {seed}: {} at once, {} resumed, {} given up, {} not begun, {} broken",
            outcome.whole_at_once,
            outcome.resumed,
            outcome.given_up,
            outcome.not_begun,
            outcome.broken.len()
        );
        outcome
    }
}

/// Run by hand: `EGRET_OLD_PROGRAM` is the path of the earlier build's program, `EGRET_SEED` the first
/// seed, `EGRET_SEEDS` the number of seeds and `EGRET_SECONDS` the time of each.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "needs the program of an earlier build"]
async fn streams_while_hosts_are_replaced() {
    let first = number_from_env("EGRET_SEED", 1);
    let mut broken = Vec::new();
    for seed in first..first + number_from_env("EGRET_SEEDS", 1) {
        let upgrade = start_upgrade().await;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = Instant::now() + Duration::from_secs(number_from_env("EGRET_SECONDS", 60));
        let seen = upgrade.run_beside(seed, upgrade.replace(&mut rng, end)).await;
        broken.extend(seen.broken.into_iter().map(|stream| format!("seed {seed}: {stream}")));
    }
    assert!(broken.is_empty(), "{} streams: {}", broken.len(), broken.join("\n"));
}

/// Time between two replacements of hosts.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(4);

// Hosts of the two builds did not count what the others know, and refused streams of the only version.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
#[ignore = "needs the program of an earlier build"]
async fn streams_of_one_version_while_hosts_are_replaced_in_turn() {
    let upgrade = start_upgrade().await;
    let replacement = async {
        for index in 0..HOSTS {
            tokio::time::sleep(REPLACEMENT_INTERVAL).await;
            upgrade.stop_host(index, Signal::SIGTERM).await;
            upgrade.start_host(index, Build::New);
        }
        tokio::time::sleep(REPLACEMENT_INTERVAL).await;
    };
    let seen = upgrade.run_beside(number_from_env("EGRET_SEED", 1), replacement).await;
    assert!(seen.broken.is_empty(), "{}", seen.broken.join("\n"));
    assert!(seen.resumed > 9 * seen.given_up, "{} given up", seen.given_up);
}

// Hosts of an earlier build begin streams at a version of the engines that their record lacks. Once they
// were killed, the hosts of this build took the recorded version for the only one.
#[tokio::test]
#[ignore = "needs the program of an earlier build"]
async fn kill_of_earlier_hosts_in_the_middle_of_a_release() {
    let old_program = old_program();
    let d = start_deployment().await;
    let mut engines = vec![start_engine(&d, "e-1", "v1", &ADAPTERS).await];
    let start = |host| d.start_edge_of(host, &old_program);
    let mut old = [start(1), start(2)];
    let record = || d.store.newest("keyed.egretshore", "versions").unwrap_or_default();
    wait_until("versions recorded", || record().contains("v1")).await;
    engines.push(start_engine(&d, "e-2", "v2", &ADAPTERS).await);
    engines[0].set_fault(TargetFault::Full);
    let begun_by = Instant::now() + Duration::from_secs(10);
    let mut ids = Vec::new();
    while ids.is_empty() {
        assert!(Instant::now() < begun_by, "no stream began");
        let request = stream_request("stream", ADAPTERS[0]);
        let id = request.headers()["request-id"].to_str().unwrap().to_owned();
        let part = Upgrade::read_part(old[0].caller_address, request, 1).await;
        if part.is_some_and(|part| !part.ids.is_empty()) {
            ids.push(id);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for edge in &mut old {
        edge.process.kill();
    }
    println!("record at the kill: {}", record());
    engines[0].set_fault(TargetFault::None);
    d.store.write("keyed.servers", "e-2", None);
    let new = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    for edge in &new {
        let request = resume_request(ADAPTERS[0], Some(&ids[0]), 1);
        let answer = edge.call(request).await.unwrap();
        assert_eq!(answer.status, 503, "went on at another version");
    }
}

/// Record of versions as releases before that of origins in the store wrote it: their hosts began streams
/// at versions that it did not have yet.
const EARLIER_RECORD: &str = r#"{"by_service":{"engines":{"v1":"Present"}}}"#;

// The same with what the earlier build leaves in the store.
#[tokio::test]
async fn refuse_resume_after_record_of_earlier_release() {
    let d = start_deployment().await;
    let engines = [start_engine(&d, "e-1", "v1", &ADAPTERS).await];
    d.store.write("keyed.egretshore", "versions", Some(EARLIER_RECORD));
    for host in 1..=2 {
        let record = r#"{"address":"127.0.0.1:1","data_centre":"dc-1","incarnation":1}"#;
        d.store.write("keyed.egretshore", &format!("host/host-{host}"), Some(record));
    }
    let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    for edge in &edges {
        let answer = edge.call(resume_request(ADAPTERS[0], Some("begun-at-v2"), 1)).await.unwrap();
        assert_eq!(answer.status, 503, "went on at another version");
    }
    assert!(engines[0].executed_requests().is_empty());
    // streams begin meanwhile, and are resumed at the hosts that know them
    edges[0].call_until(200, || stream_request("stream", ADAPTERS[0])).await;
    let begun = engines[0].executed_requests().pop().unwrap().request_id;
    let resumed = resume_request(ADAPTERS[0], Some(&begun), 1);
    assert_eq!(edges[0].call(resumed).await.unwrap().status, 200);
}

/// Serves links like a host of an earlier release, of which hosts of this one get no rows. It has begun the
/// stream `request_id` at v2.
async fn serve_earlier_links(address: SocketAddr, request_id: &'static str) {
    let handler = move |_: Arc<Hello>, body: Body| -> BoxFuture<'static, Option<Body>> {
        let Body::FindStreamOrigin(question) = body else {
            return Box::pin(ready(None));
        };
        let origin = StreamOriginMsg {
            request_id: request_id.to_owned(),
            service: "engines".to_owned(),
            software_version: "v2".to_owned(),
            remaining_ms: 10_000,
        };
        let report = StreamOriginReportMsg {
            origin: (question.request_id == request_id).then_some(origin),
            versions: vec!["v1".to_owned(), "v2".to_owned()],
            is_complete: true,
            denied_by: 0,
        };
        Box::pin(ready(Some(Body::StreamOriginReport(report))))
    };
    serve_links(address, String::new(), Arc::new(handler)).await.unwrap();
}

// Hosts of the two builds got no heartbeats from each other. Once a second host of this build had started,
// those of the earlier one were no longer asked, and streams that they had begun were refused.
#[tokio::test]
async fn resume_stream_begun_at_host_of_earlier_release() {
    let d = start_deployment().await;
    let address = d.address(8, 7002);
    let earlier = tokio::spawn(serve_earlier_links(address, "begun-earlier"));
    let record = format!(r#"{{"address":"{address}","data_centre":"dc-1","incarnation":1}}"#);
    d.store.write("keyed.egretshore", "host/host-8", Some(&record));
    let engines = [
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v2", &ADAPTERS).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    // longer than a host without a heartbeat counts as live
    tokio::time::sleep(Duration::from_millis(2600)).await;
    for edge in &edges {
        let request = resume_request(ADAPTERS[0], Some("begun-earlier"), 1);
        let id = request.headers()["request-id"].to_str().unwrap().to_owned();
        assert_eq!(edge.call(request).await.unwrap().status, 200);
        assert_eq!(versions_run(&engines, &[id]), ["v2".to_owned()].into());
        let unknown = edge.call(resume_request(ADAPTERS[0], Some("unknown"), 1)).await.unwrap();
        assert_eq!(unknown.status, 503);
    }
    earlier.abort();
}

/// Sends heartbeats to `address` like host `name` of a release that did not state any.
async fn send_earlier_beats(address: SocketAddr, name: FastStr) {
    let hello = Hello { host: name.to_string(), incarnation: 1, secret: String::new(), release: 0 };
    let link = Link::connect(address, &hello, now().after_ms(2000)).await.unwrap();
    for beat in 1.. {
        let source =
            SourceDeltaMsg { host: name.to_string(), epoch: 1, beat, ..SourceDeltaMsg::default() };
        link.notify(Body::Spread(SpreadMsg { sources: vec![source], ..SpreadMsg::default() }));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

// Origins of streams were sent to a host of an earlier release, which does not write them to the store.
#[tokio::test]
async fn origins_written_beside_host_of_earlier_release() {
    let d = start_deployment().await;
    let address = d.address(8, 7002);
    let weight = |host: &str| rendezvous_weight(&recorder_key(0), host);
    let names = (0..).map(|number| FastStr::from_string(format!("earlier-{number}")));
    let name = names.into_iter().find(|name| weight(name) > weight("host-1")).unwrap();
    let record = format!(r#"{{"address":"{address}","data_centre":"dc-1","incarnation":1}}"#);
    d.store.write("keyed.egretshore", &format!("host/{name}"), Some(&record));
    let engines = [
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v2", &ADAPTERS).await,
    ];
    let edge = d.start_ready_edge(1).await;
    let earlier = [
        tokio::spawn(serve_earlier_links(address, "begun-earlier")),
        tokio::spawn(send_earlier_beats(d.address(1, 7002), name)),
    ];
    tokio::time::sleep(Duration::from_secs(1)).await;
    edge.call_until(200, || stream_request("stream", ADAPTERS[0])).await;
    assert!(engines.iter().any(|engine| !engine.executed_requests().is_empty()));
    wait_until("origins written", || !d.store.keys("keyed.stream-origins").is_empty()).await;
    for task in earlier {
        task.abort();
    }
}
