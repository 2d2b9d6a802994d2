//! Streams whose origin no host knows go on at the version that the declarations of hosts prove, and
//! are refused if they prove none.

use {
    super::{
        ADAPTERS, CallerStream, assert_no_problems, begin_at_both, begin_stream, begin_streams,
        check_refused, kill_all, start_deployment, start_edges, start_engine, wait_until_usable,
    },
    crate::{
        routes::start_slow_relay,
        support::{Deployment, EdgeProcess, wait_until},
    },
    egret_standin::platform::{Target, TargetFault},
    nix::sys::signal::Signal,
    std::{
        slice,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

const DECLARATIONS: &str = "keyed.begin-declarations";

/// Time within which hosts write declarations again after the store came back from a copy.
const DECLARED_AGAIN: Duration = Duration::from_secs(3);

fn declarations(d: &Deployment) -> Vec<String> {
    d.store.keys(DECLARATIONS).iter().filter_map(|key| d.store.newest(DECLARATIONS, key)).collect()
}

async fn start_v1_engines(d: &Deployment) -> Vec<Target> {
    vec![start_engine(d, "e-1", "v1", &ADAPTERS).await, start_engine(d, "e-2", "v1", &[]).await]
}

/// Begins streams at host 1 of three, which stands still before engines of a second version appear.
async fn freeze_before_second_version(
    d: &Deployment,
) -> (Vec<Target>, Vec<EdgeProcess>, Vec<CallerStream>) {
    let mut engines = start_v1_engines(d).await;
    let edges = start_edges(d, 3, &engines).await;
    let streams = begin_streams(&edges[0], 2).await;
    edges[0].signal(Signal::SIGSTOP);
    engines.push(start_engine(d, "e-3", "v2", &ADAPTERS).await);
    let declared = || declarations(d).iter().filter(|text| text.contains("v2")).count();
    wait_until("second version declared", || declared() == 2).await;
    (engines, edges, streams)
}

async fn check_all_refused(
    streams: &[CallerStream],
    edge: &EdgeProcess,
    engines: &[Target],
) -> Vec<Result<(), String>> {
    let mut results = Vec::new();
    for stream in streams {
        results.push(check_refused(edge, engines, stream.resume_request()).await);
    }
    results
}

// The origin of a stream was known to its own host alone until that host saw a second version. A host
// that stood still meanwhile left all of its streams refused at the others.
#[tokio::test]
async fn resume_stream_of_frozen_host() {
    let d = start_deployment().await;
    let (engines, edges, streams) = freeze_before_second_version(&d).await;
    let mut results = Vec::new();
    for (stream, edge) in streams.iter().zip(edges[1..].iter().cycle()) {
        results.push(stream.resume(edge, &engines).await);
    }
    edges[0].signal(Signal::SIGCONT);
    assert_no_problems(results);
}

// All hosts were killed before they saw the second version.
#[tokio::test]
async fn resume_after_kill_second_version_appeared_meanwhile() {
    let d = start_deployment().await;
    let mut engines = start_v1_engines(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    let streams = begin_at_both(&edges).await;
    kill_all(edges);
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    let edges = start_edges(&d, 2, &engines).await;
    let mut results = Vec::new();
    for (stream, edge) in streams.iter().zip(edges.iter().cycle()) {
        results.push(stream.resume_elsewhere(edge, &engines).await);
    }
    assert_no_problems(results);
}

// A host of an earlier release declares nothing, and may have begun the stream at any version.
#[tokio::test]
async fn refuse_resume_beside_host_without_declaration() {
    let d = start_deployment().await;
    let record = "{\"address\":\"127.0.0.1:9\",\"data_centre\":\"dc-1\",\"incarnation\":5}";
    d.store.write("keyed.egretshore", "host/host-9", Some(record));
    let (engines, edges, streams) = freeze_before_second_version(&d).await;
    let results = check_all_refused(&streams, &edges[1], &engines).await;
    edges[0].signal(Signal::SIGCONT);
    assert_no_problems(results);
}

// The store came back from a copy that may lack what the host that stands still has declared.
#[tokio::test]
async fn refuse_resume_after_restore_with_frozen_host() {
    let d = start_deployment().await;
    let (engines, edges, streams) = freeze_before_second_version(&d).await;
    d.store.restore(d.store.copy());
    tokio::time::sleep(DECLARED_AGAIN).await;
    let results = check_all_refused(&streams, &edges[1], &engines).await;
    edges[0].signal(Signal::SIGCONT);
    assert_no_problems(results);
    // once it goes on it answers itself
    let mut results = Vec::new();
    for stream in &streams {
        results.push(stream.resume(&edges[2], &engines).await);
    }
    assert_no_problems(results);
}

// While the host that writes the record of versions for all was cut off from the store, no host began
// streams at a version that appeared.
#[tokio::test]
async fn begin_at_second_version_without_store() {
    let mut d = start_deployment().await;
    let mut engines = start_v1_engines(&d).await;
    let _reader = d.start_ready_edge(2).await;
    let is_cut = Arc::new(AtomicBool::new(false));
    d.store_address = start_slow_relay(d.store.address(), 100_000_000, is_cut.clone()).await;
    let edge = d.start_ready_edge(1).await;
    wait_until_usable(slice::from_ref(&edge), &engines, &engines).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    is_cut.store(true, Ordering::Relaxed);
    engines.push(start_engine(&d, "e-3", "v2", &ADAPTERS).await);
    for engine in &engines[..2] {
        engine.set_fault(TargetFault::Full);
    }
    let stream = begin_stream(&edge, "a1", 1).await;
    assert_eq!(stream.origin(&engines).1, "v2");
    let by_first = d.store.keys(DECLARATIONS).into_iter().filter(|key| key.starts_with("host-1/"));
    let texts: Vec<String> =
        by_first.filter_map(|key| d.store.newest(DECLARATIONS, &key)).collect();
    assert!(texts.iter().any(|text| text.contains("v2")), "{texts:?}");
}

// The store would be called for each stream, or each second.
#[tokio::test]
async fn declarations_one_for_each_process() {
    let d = start_deployment().await;
    let engines = start_v1_engines(&d).await;
    let edges = start_edges(&d, 2, &engines).await;
    wait_until_usable(&edges, &engines, &engines).await;
    assert_eq!(d.store.keys(DECLARATIONS).len(), 2, "{:?}", declarations(&d));
}
