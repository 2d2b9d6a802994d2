//! Hosts whose links to all targets are cut while callers and the other hosts still reach them.

use {
    crate::support::{Deployment, EdgeProcess, request, stream_request, wait_until, whole_stream},
    egret_standin::platform::{Target, TargetFault},
    http::Method,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
};

/// Time from a cut until the callers of the host have to be served like others (`contact_ms`).
const CONTACT_MS: u64 = 4000;

struct CutDeployment {
    d: Deployment,
    targets: [Target; 4],
    edges: [EdgeProcess; 2],
}

impl CutDeployment {
    async fn start() -> Self {
        let d = Deployment::new().await;
        d.configure(7);
        let targets = [
            d.start_plain_target("p-1").await,
            d.start_plain_target("p-2").await,
            d.start_engine("e-1", 3).await,
            d.start_engine("e-2", 3).await,
        ];
        let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
        for edge in &edges {
            edge.call_until(200, || stream_request("stream", "a1")).await;
            edge.call_until(200, || request(Method::GET, "/safe/a", &[])).await;
        }
        Self { d, targets, edges }
    }

    fn cut_off(&self, edges: &[&EdgeProcess]) {
        let processes: Vec<u32> = edges.iter().map(|edge| edge.process.id()).collect();
        for target in &self.targets {
            target.cut_off(&processes);
        }
    }

    // calls that fail while the cut is found out
    async fn wait_until_known(&self, edge: &EdgeProcess, host: u64) {
        let began = Instant::now();
        while !self.d.log(host).contains("connection from this host service=plain") {
            assert!(began.elapsed() < Duration::from_millis(CONTACT_MS), "cut not noticed");
            let _ = edge.call(request(Method::GET, "/safe/a", &[])).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

// A host whose links to the targets were cut refused its callers, or let them wait, until the links
// were back.
#[tokio::test]
async fn cut_off_host_serves_through_another() {
    let c = CutDeployment::start().await;
    let [cut, _other] = &c.edges;
    c.cut_off(&[cut]);
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(CONTACT_MS) {
        let _ = cut.call(request(Method::GET, "/safe/a", &[])).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let executed = |c: &CutDeployment| -> Vec<String> {
        let all = c.targets.iter().flat_map(Target::executed_requests);
        all.map(|executed| executed.request_id).collect()
    };
    let before = executed(&c).len();
    for _ in 0..20 {
        for method in [Method::GET, Method::POST] {
            let path = if method == Method::GET { "/safe/a" } else { "/once/a" };
            let req = request(method, path, &[]);
            let id = req.headers()["request-id"].to_str().unwrap().to_owned();
            let answer = cut.call(req).await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body, format!("answer to {id}"));
        }
        let answer = cut.call(stream_request("stream", "a1")).await.unwrap();
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, whole_stream());
    }
    let after = executed(&c);
    assert_eq!(after.len() - before, 60, "each request has run once");
    assert_eq!(after.iter().collect::<HashSet<_>>().len(), after.len());
}

// Where no target takes a connection, the requests on them were taken for the cause: the parts that all
// requests share were refused everywhere.
#[tokio::test]
async fn unreached_targets_are_no_crashes() {
    let d = Deployment::new().await;
    d.configure(7);
    let engines = [d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await];
    let edge = d.start_ready_edge(1).await;
    for adapter in ["a1", "a2", "a3", "a4"] {
        edge.call_until(200, || stream_request("stream", adapter)).await;
    }
    for engine in &engines {
        engine.set_fault(TargetFault::NoAnswer);
    }
    let streams =
        ["a1", "a2", "a3", "a4"].map(|adapter| edge.call(stream_request("stream", adapter)));
    let streams = futures::future::join_all(streams);
    let lost = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        drop(engines);
    };
    let (answers, ()) = tokio::join!(streams, lost);
    assert!(answers.iter().flatten().all(|answer| answer.status != 200));
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert!(!d.log(1).contains("E1222"), "contents became crash suspects");
}

// Requests waited for connections that could not be opened, one after the other.
#[tokio::test]
async fn cut_off_hosts_refuse_at_once() {
    let c = CutDeployment::start().await;
    let [a, b] = &c.edges;
    c.cut_off(&[a, b]);
    c.wait_until_known(a, 1).await;
    c.wait_until_known(b, 2).await;
    for edge in [a, b] {
        for _ in 0..10 {
            let began = Instant::now();
            let answer = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
            assert_eq!(answer.status, 503);
            assert!(answer.header("retry-after").is_some());
            assert!(began.elapsed() < Duration::from_millis(300), "{:?}", began.elapsed());
        }
    }
    // and both serve again once the links are back
    c.cut_off(&[]);
    for host in [1, 2] {
        wait_until("links are back", || {
            c.d.log(host).contains("from this host again service=plain")
        })
        .await;
    }
    for edge in [a, b] {
        edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
    }
}
