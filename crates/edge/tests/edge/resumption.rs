//! Callers that resume streams at hosts that have just started: these have no records of streams
//! and do not know yet which software versions have served.

use {
    crate::support::{Deployment, EdgeProcess, stream_request, wait_until, whole_stream},
    bytes::Bytes,
    http::{HeaderValue, Request},
    http_body_util::Full,
    std::time::Duration,
};

const EVENT_INTERVAL: Duration = Duration::from_millis(15);

const UNKNOWN_VERSION: &str = "the software version of the stream is unknown";

/// Builds a request that resumes a stream of another process after its second event.
fn resume_request() -> Request<Full<Bytes>> {
    let mut request = stream_request("stream", "a1");
    request.headers_mut().insert("last-event-id", HeaderValue::from_static("2"));
    request.headers_mut().insert("resumes", HeaderValue::from_static("earlier"));
    request
}

fn rest_of_stream() -> String {
    whole_stream().split_inclusive("\n\n").skip(2).collect()
}

async fn assert_resumed_at_once(d: &Deployment, host: u64, edge: &EdgeProcess) {
    let reply = edge.call_until(200, resume_request).await;
    assert_eq!(reply.body, rest_of_stream());
    assert!(!d.log(host).contains(UNKNOWN_VERSION), "{}", d.log(host));
}

fn version_record(d: &Deployment) -> String {
    d.store.newest("keyed.egretshore", "versions").unwrap_or_default()
}

#[tokio::test]
async fn resume_single_version_after_host_restart() {
    // a host that was killed refuses streams although the other host has seen a single version only
    let d = Deployment::new().await;
    d.configure(7);
    let _engine = d.start_engine_of_version("e-1", "v1", &["a1"], EVENT_INTERVAL).await;
    let mut edge = d.start_ready_edge(1).await;
    let _other = d.start_ready_edge(2).await;
    let both_known =
        || d.store.keys("keyed.egretshore").iter().filter(|k| k.starts_with("host/")).count() == 2;
    wait_until("hosts announced", both_known).await;
    edge.process.kill();
    drop(edge);
    let edge = d.start_ready_edge(1).await;
    assert_resumed_at_once(&d, 1, &edge).await;
}

#[tokio::test]
async fn resume_single_version_after_restart_of_all_hosts() {
    // all hosts refuse streams after a restart although there has been a single version only
    let d = Deployment::new().await;
    d.configure(7);
    let _engine = d.start_engine_of_version("e-1", "v1", &["a1"], EVENT_INTERVAL).await;
    let mut edges = vec![d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    wait_until("versions recorded", || version_record(&d).contains("v1")).await;
    for edge in &mut edges {
        edge.process.kill();
    }
    drop(edges);
    let edges = [d.start_edge(1), d.start_edge(2)];
    for (host, edge) in (1..).zip(&edges) {
        edge.wait_until_ready().await;
        assert_resumed_at_once(&d, host, edge).await;
    }
}

#[tokio::test]
async fn refuse_resume_after_restart_with_version_gone() {
    // a stream whose software version has left is continued at the only one that hosts find after
    // their restart
    let d = Deployment::new().await;
    d.configure(7);
    let _old = d.start_engine_of_version("e-1", "v1", &["a1"], EVENT_INTERVAL).await;
    let new = d.start_engine_of_version("e-2", "v2", &["a1"], EVENT_INTERVAL).await;
    let mut edge = d.start_ready_edge(1).await;
    let is_recorded = || version_record(&d).contains("v1") && version_record(&d).contains("v2");
    wait_until("versions recorded", is_recorded).await;
    d.store.write("keyed.servers", "e-1", None);
    wait_until("end of v1 recorded", || version_record(&d).contains("GoneSince")).await;
    edge.process.kill();
    drop(edge);
    let edge = d.start_ready_edge(1).await;
    for _ in 0..3 {
        assert_eq!(edge.call(resume_request()).await.unwrap().status, 503);
    }
    assert_eq!(d.log(1).matches(UNKNOWN_VERSION).count(), 3);
    assert!(new.executed_requests().is_empty());
    edge.call_until(200, || stream_request("stream", "a1")).await;
}

#[tokio::test]
async fn record_of_versions_written_again() {
    // the store comes back from an older copy that lacks the record of versions
    let d = Deployment::new().await;
    d.configure(7);
    let _engine = d.start_engine_of_version("e-1", "v1", &["a1"], EVENT_INTERVAL).await;
    let _edge = d.start_ready_edge(1).await;
    wait_until("versions recorded", || version_record(&d).contains("v1")).await;
    d.store.write("keyed.egretshore", "versions", None);
    wait_until("versions recorded again", || version_record(&d).contains("v1")).await;
}

#[tokio::test]
async fn refuse_repeated_resumes() {
    // a request that names two streams is continued as one of them
    let d = Deployment::new().await;
    d.configure(7);
    let _engine = d.start_engine_of_version("e-1", "v1", &["a1"], EVENT_INTERVAL).await;
    let edge = d.start_ready_edge(1).await;
    let mut request = resume_request();
    request.headers_mut().append("resumes", HeaderValue::from_static("other"));
    assert_eq!(edge.call(request).await.unwrap().status, 400);
}
