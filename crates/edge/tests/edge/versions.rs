//! Streams while engines of two software versions serve: a stream goes on only at the version that
//! began it, within one answer and over the attempts of its caller.

mod declared;
mod restarts;

use {
    crate::{
        routes::start_slow_relay,
        support::{Deployment, EdgeProcess, stream_request, wait_until, whole_stream},
    },
    bytes::{Bytes, BytesMut},
    egret_runtime::{Conn, HttpError, Reply, now, with_deadline},
    egret_standin::platform::{self, StoreFault, Target, TargetFault},
    futures::future::join_all,
    http::{HeaderValue, Request},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    indexmap::IndexSet,
    nix::sys::signal::Signal,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time between two events, long enough for a caller to leave midway.
const EVENT_INTERVAL: Duration = Duration::from_millis(120);

/// How long a caller repeats a refused attempt.
const CALLER_PATIENCE: Duration = Duration::from_secs(8);

/// Longest time until the refusal of a stream that no engine can resume.
const REFUSAL_MAX_MS: u64 = 1000;

/// Adapters that one engine of each software version holds.
pub(crate) const ADAPTERS: [&str; 3] = ["a1", "a2", "a3"];

/// Adapter that all engines hold once the hosts use them.
const COMMON_ADAPTER: &str = "common";

/// A stream whose caller has received some events.
struct CallerStream {
    adapter: &'static str,
    /// Id of the attempt that brought the first event.
    request_id: String,
    last_event: u64,
}

/// An answer that is being read.
struct OpenAnswer {
    request_id: String,
    body: Incoming,
    // closing it ends the answer
    _conn: Conn,
}

pub(crate) async fn start_deployment() -> Deployment {
    let d = Deployment::new().await;
    let config = platform::config(7, 8000, 8, 8);
    d.store.write("keyed.op", "config", Some(&config.to_string()));
    d
}

pub(crate) async fn start_engine(
    d: &Deployment,
    id: &str,
    version: &str,
    adapters: &[&str],
) -> Target {
    d.start_engine_of_version(id, version, adapters, EVENT_INTERVAL).await
}

/// Starts two engines of each of two software versions. One of each holds [`ADAPTERS`]: when it is
/// unavailable, only the engine of the other version needs no load.
async fn start_two_versions(d: &Deployment) -> Vec<Target> {
    vec![
        start_engine(d, "e-1", "v1", &ADAPTERS).await,
        start_engine(d, "e-2", "v1", &[]).await,
        start_engine(d, "e-3", "v2", &ADAPTERS).await,
        start_engine(d, "e-4", "v2", &[]).await,
    ]
}

/// Starts edge hosts 1 to `hosts` and waits until each of them can use each engine.
pub(crate) async fn start_edges(
    d: &Deployment,
    hosts: u64,
    engines: &[Target],
) -> Vec<EdgeProcess> {
    let edges: Vec<EdgeProcess> = (1..=hosts).map(|host| d.start_edge(host)).collect();
    for edge in &edges {
        edge.wait_until_ready().await;
    }
    wait_until_usable(&edges, engines, engines).await;
    edges
}

/// Waits until each host can use each of `awaited`, which are some of `engines`, and until their
/// owners can load adapters there.
async fn wait_until_usable(edges: &[EdgeProcess], engines: &[Target], awaited: &[Target]) {
    for engine in awaited {
        for other in engines {
            other.set_fault(TargetFault::Full);
        }
        engine.set_fault(TargetFault::None);
        join_all(edges.iter().map(|edge| begin_stream(edge, COMMON_ADAPTER, 1))).await;
    }
    for engine in engines {
        engine.set_fault(TargetFault::None);
    }
}

/// Sends `request`, after a refusal repeatedly, until its answer begins. Each attempt has a new
/// request id, and `request_ids` collects them.
async fn open_answer(
    edge: &EdgeProcess,
    request: impl Fn() -> Request<Full<Bytes>>,
    request_ids: &mut Vec<String>,
) -> Result<OpenAnswer, String> {
    let deadline = Instant::now() + CALLER_PATIENCE;
    loop {
        let request = request();
        let request_id = request.headers()["request-id"].to_str().unwrap().to_owned();
        request_ids.push(request_id.clone());
        let mut conn = edge.connect().await;
        let head = conn.send(request, now().after_ms(6000)).await.map_err(|e| e.to_string())?;
        match head.status().as_u16() {
            200 => return Ok(OpenAnswer { request_id, body: head.into_body(), _conn: conn }),
            503 if Instant::now() < deadline => {
                let retry_after = head.headers()["retry-after"].to_str().unwrap();
                let pause = Duration::from_secs_f64(retry_after.parse().unwrap());
                tokio::time::sleep(pause).await;
            }
            status => return Err(format!("status {status}")),
        }
    }
}

impl OpenAnswer {
    /// Reads until `events` events have arrived. Returns the number of events received.
    async fn read_events(&mut self, events: u64) -> u64 {
        let deadline = now().after_ms(6000);
        let mut received = BytesMut::new();
        let mut count = 0;
        while count < events {
            let frame = with_deadline(deadline, self.body.frame()).await.expect("an event in time");
            let frame = frame.expect("the stream goes on").expect("the stream is not cut");
            received.extend_from_slice(frame.data_ref().expect("a stream has no trailers"));
            count = received.windows(2).filter(|bytes| bytes == b"\n\n").count() as u64;
        }
        assert!(count < 6, "the stream was complete before its caller left");
        count
    }

    async fn read_to_end(self) -> Result<Bytes, String> {
        let read = egret_runtime::read_incoming(self.body, 4096);
        let body = with_deadline(now().after_ms(8000), read).await;
        body.ok_or("the stream stalled")?.map_err(|e: HttpError| e.to_string())
    }
}

/// Begins a stream whose caller leaves after `events` events.
async fn begin_stream(edge: &EdgeProcess, adapter: &'static str, events: u64) -> CallerStream {
    let request = || stream_request("stream", adapter);
    let mut answer = open_answer(edge, request, &mut Vec::new()).await.unwrap();
    let last_event = answer.read_events(events).await;
    CallerStream { adapter, request_id: answer.request_id, last_event }
}

async fn begin_streams(edge: &EdgeProcess, events: u64) -> Vec<CallerStream> {
    join_all(ADAPTERS.map(|adapter| begin_stream(edge, adapter, events))).await
}

/// Builds a request that takes up a stream after its event `last_event`.
pub(crate) fn resume_request(
    adapter: &str,
    resumes: Option<&str>,
    last_event: u64,
) -> Request<Full<Bytes>> {
    let mut request = stream_request("stream", adapter);
    request.headers_mut().insert("last-event-id", HeaderValue::from(last_event));
    if let Some(id) = resumes {
        request.headers_mut().insert("resumes", HeaderValue::from_str(id).unwrap());
    }
    request
}

impl CallerStream {
    fn resume_request(&self) -> Request<Full<Bytes>> {
        resume_request(self.adapter, Some(&self.request_id), self.last_event)
    }

    /// The engine that began the stream, and its software version at that time.
    fn origin<'a>(&self, engines: &'a [Target]) -> (&'a Target, String) {
        let found = engines.iter().find_map(|engine| {
            let runs = engine.executed_requests();
            let run = runs.into_iter().find(|run| run.request_id == self.request_id)?;
            Some((engine, run.software_version))
        });
        found.expect("an engine ran the stream")
    }

    /// Resumes the stream at `edge` and reads the rest of it. Returns the problem, if any.
    async fn resume(&self, edge: &EdgeProcess, engines: &[Target]) -> Result<(), String> {
        let (versions, body) = read_stream(edge, engines, || self.resume_request()).await;
        self.check_versions(engines, &versions)?;
        let body = body.map_err(|problem| format!("{}: {problem}", self.adapter))?;
        self.check_rest(&body)
    }

    /// Resumes the stream like [`Self::resume`], while the engine that began it refuses requests.
    async fn resume_elsewhere(&self, edge: &EdgeProcess, engines: &[Target]) -> Result<(), String> {
        let (origin, _) = self.origin(engines);
        origin.set_fault(TargetFault::Full);
        let resumed = self.resume(edge, engines).await;
        origin.set_fault(TargetFault::None);
        resumed
    }

    /// Checks that `versions` holds no other software version than that which began the stream.
    fn check_versions(
        &self,
        engines: &[Target],
        versions: &IndexSet<String>,
    ) -> Result<(), String> {
        let (_, version) = self.origin(engines);
        match versions.iter().find(|other| **other != version) {
            None => Ok(()),
            Some(other) => {
                Err(format!("{}: began at {version} and went on at {other}", self.adapter))
            }
        }
    }

    fn check_rest(&self, body: &[u8]) -> Result<(), String> {
        if body == events_after(self.last_event).as_bytes() {
            return Ok(());
        }
        Err(format!("{}: not the rest of the stream: {body:?}", self.adapter))
    }
}

/// Software versions of the engines that ran any of the requests `ids`.
pub(crate) fn versions_run(engines: &[Target], ids: &[String]) -> IndexSet<String> {
    let runs = engines.iter().flat_map(Target::executed_requests);
    runs.filter(|run| ids.contains(&run.request_id)).map(|run| run.software_version).collect()
}

fn events_after(last: u64) -> String {
    let events = whole_stream();
    let rest = events.split_inclusive("\n\n").skip(usize::try_from(last).unwrap());
    rest.collect()
}

fn is_refusal(reply: &Reply) -> bool {
    reply.status == 503 && reply.header("retry-after").is_some()
}

/// Checks that a request to resume a stream is refused at once and runs nowhere.
async fn check_refused(
    edge: &EdgeProcess,
    engines: &[Target],
    request: Request<Full<Bytes>>,
) -> Result<(), String> {
    let headers = request.headers().clone();
    let ids = [headers["request-id"].to_str().unwrap().to_owned()];
    let sent_at = now();
    let answer = edge.call(request).await;
    let took_ms = now().ms_since(sent_at);
    let versions = versions_run(engines, &ids);
    if !versions.is_empty() {
        return Err(format!("resumes {:?}: ran at {versions:?}", headers.get("resumes")));
    }
    match answer {
        Ok(reply) if !is_refusal(&reply) => Err(format!("status {}", reply.status)),
        Ok(_) if took_ms > REFUSAL_MAX_MS => Err(format!("refused after {took_ms} ms")),
        Ok(_) => Ok(()),
        Err(e) => Err(e.to_string()),
    }
}

/// Sends a request for a stream and reads the answer to its end. Returns the software versions at
/// which it ran, and the answer.
async fn read_stream(
    edge: &EdgeProcess,
    engines: &[Target],
    request: impl Fn() -> Request<Full<Bytes>>,
) -> (IndexSet<String>, Result<Bytes, String>) {
    let mut ids = Vec::new();
    let body = match open_answer(edge, request, &mut ids).await {
        Ok(answer) => answer.read_to_end().await,
        Err(problem) => Err(problem),
    };
    (versions_run(engines, &ids), body)
}

/// Checks that a stream of `adapter` is complete and ran at a single software version.
async fn check_whole_stream(
    edge: &EdgeProcess,
    engines: &[Target],
    adapter: &str,
) -> Result<(), String> {
    let request = || stream_request("stream", adapter);
    match read_stream(edge, engines, request).await {
        (versions, _) if versions.len() != 1 => Err(format!("{adapter}: ran at {versions:?}")),
        (_, Ok(body)) if body == whole_stream() => Ok(()),
        (_, other) => Err(format!("{adapter}: {other:?}")),
    }
}

/// Checks that a stream is cut and ran at a single software version.
async fn check_cut_stream(
    edge: &EdgeProcess,
    engines: &[Target],
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<(), String> {
    let model = request().headers()["model"].to_str().unwrap().to_owned();
    match read_stream(edge, engines, request).await {
        (versions, _) if versions.len() != 1 => Err(format!("{model}: ran at {versions:?}")),
        (_, Ok(body)) => Err(format!("{model}: not cut: {body:?}")),
        (_, Err(_)) => Ok(()),
    }
}

fn assert_no_problems(results: Vec<Result<(), String>>) {
    let count = results.len();
    let problems: Vec<String> = results.into_iter().filter_map(Result::err).collect();
    assert!(problems.is_empty(), "{} of {count}: {problems:#?}", problems.len());
}

#[tokio::test]
async fn resume_only_at_same_software_version() {
    // a stream is cut, and the host moves it to the engine that holds its adapter, although that
    // engine runs another software version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 1, &engines).await;
    for engine in &engines {
        engine.set_fault(TargetFault::CutUnresumedAfter(3));
    }
    let mut results = Vec::new();
    for adapter in [&ADAPTERS[..], &[COMMON_ADAPTER; 3]].concat() {
        results.push(check_whole_stream(&edges[0], &engines, adapter).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_silent_stream_at_same_software_version() {
    // a stream falls silent, and the host moves it to the engine that holds its adapter, although
    // that engine runs another software version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 1, &engines).await;
    for engine in &engines {
        engine.set_fault(TargetFault::StallUnresumedAfter(3));
    }
    let mut results = Vec::new();
    for adapter in ADAPTERS {
        results.push(check_whole_stream(&edges[0], &engines, adapter).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn keep_silent_stream_without_same_version_engine() {
    // a stream falls silent, and the host moves it to another software version because no other
    // engine is left
    let d = start_deployment().await;
    let engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v2", &ADAPTERS).await,
    ];
    let edges = start_edges(&d, 1, &engines).await;
    for engine in &engines {
        engine.set_fault(TargetFault::StallUnresumedAfter(3));
    }
    // longer than the silence after which a stream is moved
    let request = |adapter| {
        let mut request = stream_request("stream", adapter);
        request.headers_mut().insert("deadline-ms", HeaderValue::from_static("3000"));
        request
    };
    let mut results = Vec::new();
    for adapter in ADAPTERS {
        results.push(check_cut_stream(&edges[0], &engines, || request(adapter)).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn cut_stream_without_same_version_engine() {
    // a stream is cut, and the host moves it to another software version because no other engine
    // is left
    let d = start_deployment().await;
    let engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v2", &ADAPTERS).await,
    ];
    let edges = start_edges(&d, 1, &engines).await;
    for engine in &engines {
        engine.set_fault(TargetFault::CutAfter(3));
    }
    let mut results = Vec::new();
    for adapter in ADAPTERS {
        let request = || stream_request("stream", adapter);
        results.push(check_cut_stream(&edges[0], &engines, request).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_by_caller_at_same_host() {
    // the second attempt of a caller is placed like a new request, so it runs at any version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 1, &engines).await;
    let mut results = Vec::new();
    for _ in 0..2 {
        for stream in begin_streams(&edges[0], 2).await {
            results.push(stream.resume_elsewhere(&edges[0], &engines).await);
        }
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_by_caller_at_other_host() {
    // the host of the second attempt has not seen the first one and does not know its version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 3, &engines).await;
    let mut results = Vec::new();
    for edge in &edges[1..] {
        for stream in begin_streams(&edges[0], 2).await {
            results.push(stream.resume_elsewhere(edge, &engines).await);
        }
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_twice_by_caller() {
    // the third attempt names the first, which neither its host nor that of the second attempt has
    // served
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 3, &engines).await;
    let mut results = Vec::new();
    for mut stream in begin_streams(&edges[0], 2).await {
        let mut ids = Vec::new();
        let (origin, _) = stream.origin(&engines);
        origin.set_fault(TargetFault::Full);
        match open_answer(&edges[1], || stream.resume_request(), &mut ids).await {
            Ok(mut answer) => stream.last_event += answer.read_events(1).await,
            Err(problem) => results.push(Err(problem)),
        }
        origin.set_fault(TargetFault::None);
        results.push(stream.check_versions(&engines, &versions_run(&engines, &ids)));
        results.push(stream.resume_elsewhere(&edges[2], &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_by_caller_after_host_kill() {
    // the only host that knows the version of a stream is killed right after the first event
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let mut edges = start_edges(&d, 3, &engines).await;
    let begun = join_all(ADAPTERS.map(|adapter| {
        let edge = &edges[0];
        async move {
            let request = || stream_request("stream", adapter);
            let mut answer = open_answer(edge, request, &mut Vec::new()).await.unwrap();
            let last_event = answer.read_events(1).await;
            let request_id = answer.request_id.clone();
            (CallerStream { adapter, request_id, last_event }, answer)
        }
    }))
    .await;
    // the answers are open until the host is killed
    edges[0].process.kill();
    let streams: Vec<CallerStream> = begun.into_iter().map(|(stream, _)| stream).collect();
    let mut results = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        results.push(stream.resume_elsewhere(&edges[1 + number % 2], &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn refuse_resume_of_unknown_stream() {
    // a stream of unknown version is continued at some version, or kept waiting
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let mut results = Vec::new();
    for edge in &edges {
        for resumes in [Some("unknown-1"), Some("unknown-2"), None] {
            let request = resume_request("a1", resumes, 2);
            results.push(check_refused(edge, &engines, request).await);
        }
    }
    assert_no_problems(results);
    // streams from their first event are served
    let whole = edges[0].call(stream_request("stream", "a1")).await.unwrap();
    assert_eq!(whole.body, whole_stream());
}

#[tokio::test]
async fn refuse_resume_without_same_version_engine() {
    // all engines of the version that began a stream leave, and the host that served it continues
    // it at the only version left
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 1, &engines).await;
    let streams = begin_streams(&edges[0], 2).await;
    let (_, version) = streams[0].origin(&engines);
    for engine in engines.iter().filter(|engine| engine.software_version() == version) {
        engine.register(&d.store, "draining");
    }
    wait_until("engines leave", || d.log(1).matches("target leaves target=").count() == 2).await;
    let mut results = Vec::new();
    for stream in &streams {
        if stream.origin(&engines).1 == version {
            let request = stream.resume_request();
            results.push(check_refused(&edges[0], &engines, request).await);
        }
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_with_single_software_version() {
    // streams are refused because their version is unknown, although all engines run the same one
    let d = start_deployment().await;
    let engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &ADAPTERS).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    for edge in &edges {
        for resumes in [Some("unknown"), None] {
            let answer = edge.call(resume_request("a1", resumes, 2)).await.unwrap();
            assert_eq!(answer.status, 200, "resumes {resumes:?}");
            assert_eq!(answer.body, events_after(2), "resumes {resumes:?}");
        }
    }
    for stream in begin_streams(&edges[0], 2).await {
        stream.resume_elsewhere(&edges[1], &engines).await.unwrap();
    }
    for engine in &engines {
        engine.set_fault(TargetFault::CutUnresumedAfter(3));
    }
    let whole = edges[0].call(stream_request("stream", "a1")).await.unwrap();
    assert_eq!(whole.body, whole_stream());
}

#[tokio::test]
async fn resume_after_release() {
    // streams begin while there is a single software version, so that no host records it, and are
    // resumed once there are two
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_streams(&edges[0], 2).await;
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    engines.push(start_engine(&d, "e-4", "v2", &ADAPTERS).await);
    wait_until_usable(&edges, &engines, &engines[2..]).await;
    let mut results = Vec::new();
    for stream in &streams {
        results.push(stream.resume_elsewhere(&edges[1], &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_after_engine_upgrade() {
    // the engine that began a stream restarts under its id with another software version, and the
    // host continues the stream there
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 1, &engines).await;
    let streams = begin_streams(&edges[0], 2).await;
    let claims = || d.log(1).matches("engine=e-1 held=true").count();
    wait_until("engine claimed", || claims() == 1).await;
    engines[0].restart(&d.store, "v2").await.unwrap();
    wait_until("restart known", || claims() == 2).await;
    wait_until_usable(&edges, &engines, &engines[..1]).await;
    let mut results = Vec::new();
    for stream in &streams {
        results.push(stream.resume(&edges[0], &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts() {
    // all hosts lose what they know of a stream: it is refused, or continued at any version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let mut edges = start_edges(&d, 2, &engines).await;
    let mut streams = Vec::new();
    for _ in 0..2 {
        streams.extend(begin_streams(&edges[0], 2).await);
        streams.extend(begin_streams(&edges[1], 2).await);
    }
    for edge in &mut edges {
        edge.process.kill();
    }
    let edges = start_edges(&d, 2, &engines).await;
    let mut results = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        results.push(stream.resume_elsewhere(&edges[number % 2], &engines).await);
    }
    assert_no_problems(results);
}

fn kill_all(edges: Vec<EdgeProcess>) {
    for mut edge in edges {
        edge.process.kill();
    }
}

/// Begins two streams of each adapter at each of two hosts.
async fn begin_at_both(edges: &[EdgeProcess]) -> Vec<CallerStream> {
    let mut streams = Vec::new();
    for _ in 0..2 {
        for edge in &edges[..2] {
            streams.extend(begin_streams(edge, 2).await);
        }
    }
    streams
}

/// Resumes streams at two hosts. Those whose version is one of `gone` have to be refused, the others
/// to go on at their version.
async fn resume_or_refuse(
    streams: &[CallerStream],
    edges: &[EdgeProcess],
    engines: &[Target],
    gone: &[&str],
) -> Vec<Result<(), String>> {
    let mut results = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let edge = &edges[number % 2];
        let (_, version) = stream.origin(engines);
        let result = if gone.contains(&version.as_str()) {
            check_refused(edge, engines, stream.resume_request()).await
        } else {
            stream.resume_elsewhere(edge, engines).await
        };
        results.push(result);
    }
    results
}

/// Checks that a stream goes on at its version, or is refused.
async fn check_not_continued_elsewhere(
    stream: &CallerStream,
    edge: &EdgeProcess,
    engines: &[Target],
) -> Result<(), String> {
    let request = stream.resume_request();
    let ids = [request.headers()["request-id"].to_str().unwrap().to_owned()];
    let checked = match edge.call(request).await {
        Ok(reply) if reply.status == 200 => stream.check_rest(&reply.body),
        Ok(reply) if is_refusal(&reply) => Ok(()),
        other => Err(format!("{}: {other:?}", stream.adapter)),
    };
    stream.check_versions(engines, &versions_run(engines, &ids)).and(checked)
}

pub(crate) fn remove_version(d: &Deployment, engines: &[Target], ids: &[&str], version: &str) {
    for (engine, id) in engines.iter().zip(ids) {
        if engine.software_version() == version {
            d.store.write("keyed.servers", id, None);
        }
    }
}

const ENGINE_IDS: [&str; 4] = ["e-1", "e-2", "e-3", "e-4"];

#[tokio::test]
async fn resume_after_restart_of_all_hosts_old_version_gone_before() {
    // the targets of the old version leave right before all hosts are killed: its streams go on at
    // the only version left
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_at_both(&edges).await;
    remove_version(&d, &engines, &ENGINE_IDS, "v1");
    tokio::time::sleep(Duration::from_millis(700)).await;
    kill_all(edges);
    let edges = start_edges(&d, 2, &engines[2..]).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &["v1"]).await);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts_old_version_gone_meanwhile() {
    // the last targets of the old version leave while no host runs
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    remove_version(&d, &engines, &ENGINE_IDS, "v1");
    let edges = start_edges(&d, 2, &engines[2..]).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &["v1"]).await);
}

#[tokio::test]
async fn resume_after_rollback_during_restart_of_all_hosts() {
    // a release is rolled back while no host runs, and streams that began at the new version go on at
    // the old one
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    let mut streams = begin_streams(&edges[0], 2).await;
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    engines.push(start_engine(&d, "e-4", "v2", &[]).await);
    wait_until_usable(&edges, &engines, &engines[2..]).await;
    streams.extend(begin_at_both(&edges).await);
    kill_all(edges);
    remove_version(&d, &engines, &ENGINE_IDS, "v2");
    let edges = start_edges(&d, 2, &engines[..2]).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &["v2"]).await);
}

#[tokio::test]
async fn kill_of_all_hosts_in_the_middle_of_a_release() {
    // streams begin at a new version before it is recorded; after a kill and a rollback the record
    // has a single, wrong version
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    wait_until("versions recorded", || {
        d.store.newest("keyed.egretshore", "versions").unwrap_or_default().contains("v1")
    })
    .await;
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    engines.push(start_engine(&d, "e-4", "v2", &[COMMON_ADAPTER]).await);
    // only the new version has room, so streams begin there as soon as that is possible
    engines[0].set_fault(TargetFault::Full);
    engines[1].set_fault(TargetFault::Full);
    let streams = begin_streams(&edges[0], 1).await;
    kill_all(edges);
    for engine in &engines {
        engine.set_fault(TargetFault::None);
    }
    assert!(streams.iter().all(|stream| stream.origin(&engines).1 == "v2"));
    remove_version(&d, &engines, &ENGINE_IDS, "v2");
    let edges = start_edges(&d, 2, &engines[..2]).await;
    let mut results = Vec::new();
    for stream in &streams {
        for edge in &edges {
            results.push(check_refused(edge, &engines, stream.resume_request()).await);
        }
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts_three_versions() {
    // records of more than two versions are confused
    let d = start_deployment().await;
    let mut engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let mut streams = begin_at_both(&edges).await;
    engines.push(start_engine(&d, "e-5", "v3", &ADAPTERS).await);
    engines.push(start_engine(&d, "e-6", "v3", &[]).await);
    // a route tries fewer engines than there are, so hosts are not waited for with one after the
    // other; only engines of v3 have room
    for engine in &engines[..4] {
        engine.set_fault(TargetFault::Full);
    }
    streams.extend(begin_at_both(&edges).await);
    for engine in &engines {
        engine.set_fault(TargetFault::None);
    }
    let versions: IndexSet<String> =
        streams.iter().map(|stream| stream.origin(&engines).1).collect();
    assert!(versions.contains("v3") && versions.len() >= 2, "{versions:?}");
    kill_all(edges);
    let edges = start_edges(&d, 2, &[]).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &[]).await);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts_store_unavailable() {
    // hosts that start while the store is unavailable never read the origins
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    d.store.set_fault(StoreFault::Refuse(503));
    let edges: Vec<EdgeProcess> = (1..=2).map(|host| d.start_edge(host)).collect();
    tokio::time::sleep(Duration::from_millis(1500)).await;
    d.store.set_fault(StoreFault::None);
    for edge in &edges {
        edge.wait_until_ready().await;
    }
    wait_until_usable(&edges, &engines, &engines).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &[]).await);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts_store_slow() {
    // a host decides on a resumed stream before it has read the origins
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    d.store.set_fault(StoreFault::Slow(300));
    let edges = start_edges(&d, 2, &engines).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &[]).await);
}

#[tokio::test]
async fn resume_after_restart_of_all_hosts_store_restored() {
    // the store comes back from an older copy: origins in the copy are not used, or streams whose
    // origins are lost go on at any version
    let d = start_deployment().await;
    let engines = start_two_versions(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let copied = begin_at_both(&edges).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let copy = d.store.copy();
    let lost = begin_at_both(&edges).await;
    kill_all(edges);
    d.store.restore(copy);
    let edges = start_edges(&d, 2, &engines).await;
    let mut results = resume_or_refuse(&copied, &edges, &engines, &[]).await;
    for (number, stream) in lost.iter().enumerate() {
        let edge = &edges[number % 2];
        results.push(check_not_continued_elsewhere(stream, edge, &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn refuse_resume_after_restore_without_new_version() {
    // the copy has a record of the old version only, and the new one has left: streams that began
    // there go on at the old one
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    wait_until("versions recorded", || {
        d.store.newest("keyed.egretshore", "versions").unwrap_or_default().contains("v1")
    })
    .await;
    let copy = d.store.copy();
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    engines.push(start_engine(&d, "e-4", "v2", &[]).await);
    wait_until_usable(&edges, &engines, &engines[2..]).await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    d.store.restore(copy);
    let edges = start_edges(&d, 2, &engines[..2]).await;
    let mut results = Vec::new();
    for (number, stream) in streams.iter().enumerate() {
        let edge = &edges[number % 2];
        results.push(check_not_continued_elsewhere(stream, edge, &engines).await);
    }
    assert_no_problems(results);
}

#[tokio::test]
async fn no_origins_in_store_with_single_version() {
    // calls are made although the version of each stream is clear
    let d = start_deployment().await;
    let engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    wait_until("versions recorded", || {
        d.store.newest("keyed.egretshore", "versions").unwrap_or_default().contains("v1")
    })
    .await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    let edges = start_edges(&d, 2, &engines).await;
    assert_no_problems(resume_or_refuse(&streams, &edges, &engines, &[]).await);
    assert!(d.store.keys("keyed.stream-origins").is_empty());
    assert!(!d.log(1).contains("E1133") && !d.log(2).contains("E1133"));
}

// A host stood still while a new software version joined, and then reached neither the store nor another host.
// It took the version that it knew for the only one, and streams of the new one went on there.
#[tokio::test]
async fn refuse_resume_at_host_out_of_step() {
    let mut d = start_deployment().await;
    let engines = vec![start_engine(&d, "e-1", "v1", &ADAPTERS).await];
    let other = d.start_ready_edge(2).await;
    let is_cut = Arc::new(AtomicBool::new(false));
    d.store_address = start_slow_relay(d.store.address(), 100_000_000, is_cut.clone()).await;
    let behind = d.start_ready_edge(1).await;
    wait_until_usable(std::slice::from_ref(&behind), &engines, &engines).await;
    wait_until_usable(std::slice::from_ref(&other), &engines, &engines).await;
    behind.signal(Signal::SIGSTOP);
    is_cut.store(true, Ordering::Relaxed);
    let newer = start_engine(&d, "e-3", "v2", &ADAPTERS).await;
    engines[0].set_fault(TargetFault::Full);
    let stream = begin_stream(&other, "a1", 2).await;
    engines[0].set_fault(TargetFault::None);
    tokio::time::sleep(Duration::from_millis(1300)).await;
    other.signal(Signal::SIGKILL);
    drop(other);
    assert!(!newer.executed_requests().is_empty());
    behind.signal(Signal::SIGCONT);
    for _ in 0..10 {
        let request = resume_request("a1", Some(&stream.request_id), stream.last_event);
        let reply = behind.call(request).await.unwrap();
        assert!(is_refusal(&reply), "went on at another version: {reply:?}");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

#[tokio::test]
async fn no_stream_begins_at_unrecorded_version() {
    // streams begin at a version that no record contains, so that a kill of all hosts and a rollback
    // leave a single, wrong version
    let d = start_deployment().await;
    let mut engines = vec![
        start_engine(&d, "e-1", "v1", &ADAPTERS).await,
        start_engine(&d, "e-2", "v1", &[]).await,
    ];
    let edges = start_edges(&d, 2, &engines).await;
    let record = || d.store.newest("keyed.egretshore", "versions").unwrap_or_default();
    wait_until("versions recorded", || record().contains("v1")).await;
    // longer than this part of the test
    d.store.set_fault(StoreFault::AppendsLate(60_000));
    for engine in &engines {
        engine.set_fault(TargetFault::Full);
    }
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        let reply = edges[0].call(stream_request("stream", "a1")).await.unwrap();
        assert!(is_refusal(&reply), "status {}", reply.status);
    }
    assert!(!record().contains("v2"), "{}", record());
    assert!(engines[2].executed_requests().is_empty());
    d.store.set_fault(StoreFault::None);
    let stream = begin_stream(&edges[0], "a1", 1).await;
    assert_eq!(stream.origin(&engines).1, "v2");
    assert!(record().contains("v2"), "{}", record());
}
