//! Bodies that arrive slowly, or not to their end.

use {
    crate::{
        raw::RawCaller,
        support::{Deployment, EdgeProcess, config, request},
    },
    egret_standin::platform::{ROUTE_HOST, Target},
    http::Method,
    std::time::Duration,
};

/// Longest idle time of a caller's connection.
const IDLE_MS: u64 = 1000;

/// Far beyond that, and within the time limit of the request.
const WAIT: Duration = Duration::from_secs(20);

/// Largest body that callers may send. It fits into the buffer of a connection.
const BODY_MAX: usize = 2000;

async fn start() -> (Deployment, Target, EdgeProcess) {
    let d = Deployment::new().await;
    let mut routes = config(7, 60_000);
    routes["limits"]["idle_timeout_ms"] = IDLE_MS.into();
    routes["limits"]["max_body_bytes"] = BODY_MAX.into();
    d.store.write("keyed.op", "config", Some(&routes.to_string()));
    let target = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
    (d, target, edge)
}

fn head(id: &str, framing: &str) -> String {
    format!(
        "POST /once/a HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
}

// A caller that stopped within a body kept its connection and memory until the time limit of the request,
// which it had chosen itself.
#[tokio::test]
async fn stopped_body_is_refused() {
    let (_d, target, edge) = start().await;
    for (id, framing, part) in [
        ("slow-1", "Content-Length: 20", "ten bytes."),
        ("slow-2", "Content-Length: 20", ""),
        ("slow-3", "Transfer-Encoding: chunked", "4\r\nbody\r\n"),
    ] {
        let mut caller = RawCaller::connect(edge.caller_address).await.unwrap();
        assert!(caller.send(format!("{}{part}", head(id, framing)).as_bytes()).await);
        let answer = caller.read_answer(WAIT).await;
        assert_eq!(answer.status(), 408, "{id}");
        assert!(!target.executed_requests().iter().any(|executed| executed.request_id == id));
    }
}

// a body whose pauses stay within the limit is served, however long it takes
#[tokio::test]
async fn body_with_pauses_is_served() {
    let (_d, _target, edge) = start().await;
    let mut caller = RawCaller::connect(edge.caller_address).await.unwrap();
    assert!(caller.send(head("steady-1", "Content-Length: 20").as_bytes()).await);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(IDLE_MS / 2)).await;
        assert!(caller.send(b"xx").await);
    }
    assert_eq!(caller.read_answer(WAIT).await.status(), 200);
}

// A client whose body was refused went on to the requests that it had sent behind it, and a crowd of such
// clients took the places of all callers.
#[tokio::test]
async fn request_behind_refused_body_is_not_served() {
    let (_d, target, edge) = start().await;
    let mut bytes = head("large", &format!("Content-Length: {}", BODY_MAX + 1)).into_bytes();
    bytes.resize(bytes.len() + BODY_MAX + 1, b'x');
    bytes.extend_from_slice(head("behind", "Content-Length: 4").as_bytes());
    bytes.extend_from_slice(b"body");
    let mut caller = RawCaller::connect(edge.caller_address).await.unwrap();
    assert!(caller.send(&bytes).await);
    let answer = caller.read_answer(WAIT).await;
    assert_eq!(answer.status(), 413);
    assert_eq!(caller.read_answer(WAIT).await.status(), 0);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(!target.executed_requests().iter().any(|executed| executed.request_id == "behind"));
}
