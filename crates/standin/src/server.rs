//! Shared by all stand-ins: a server that can crash, JSON requests and responses, fault counters.

use {
    egret_runtime::{HttpLimits, json_response, read_limited, serve_http},
    futures::future::BoxFuture,
    http::StatusCode,
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{runtime::Runtime, sync::Notify},
    volo::net::Address,
    volo_http::{body::Body, request::Request, response::Response},
};

/// A stand-in serves only the processes of its test.
pub(crate) const STANDIN_LIMITS: HttpLimits = HttpLimits { connections: usize::MAX };

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Interval at which a crashed server looks for connections to break.
const BREAK_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Serves until SIGTERM, on the runtime's default number of threads.
pub(crate) fn serve<H>(address: SocketAddr, handler: H) -> std::io::Result<()>
where
    H: Fn(Address, Request) -> BoxFuture<'static, Response> + Clone + Send + Sync + 'static,
{
    let runtime = Runtime::new()?;
    runtime.block_on(serve_http(address, STANDIN_LIMITS, handler, || Box::pin(async {})))
}

/// Serves until SIGTERM and simulates crashes. Each (re)start calls `start` with a notifier that
/// triggers a crash: all connections break, and no request is read for `restart_ms`. Connections are
/// accepted and broken for the first `break_ms` milliseconds of that time, refused afterwards.
pub(crate) fn serve_with_restarts<H>(
    address: SocketAddr,
    restart_ms: u64,
    break_ms: impl Fn() -> u64,
    start: impl Fn(Arc<Notify>) -> H,
) -> std::io::Result<()>
where
    H: Fn(Address, Request) -> BoxFuture<'static, Response> + Clone + Send + Sync + 'static,
{
    loop {
        let runtime = Runtime::new()?;
        let crash = Arc::new(Notify::new());
        let served = runtime.block_on(async {
            let handler = start(crash.clone());
            tokio::select! {
                result = serve_http(address, STANDIN_LIMITS, handler, || Box::pin(async {})) => Some(result),
                () = crash.notified() => None,
            }
        });
        runtime.shutdown_background();
        if let Some(result) = served {
            return result;
        }
        let restarts_at = Instant::now() + Duration::from_millis(restart_ms);
        break_connections(address, Duration::from_millis(break_ms().min(restart_ms)));
        std::thread::sleep(restarts_at.saturating_duration_since(Instant::now()));
    }
}

/// Accepts connections and closes them unanswered, for `duration`.
fn break_connections(address: SocketAddr, duration: Duration) {
    let ends_at = Instant::now() + duration;
    let mut listener = None;
    while Instant::now() < ends_at {
        if listener.is_none() {
            // binding fails until the crashed server has closed its listener
            listener =
                TcpListener::bind(address).and_then(|l| l.set_nonblocking(true).map(|()| l)).ok();
        }
        while listener.as_ref().is_some_and(|l| l.accept().is_ok()) {}
        std::thread::sleep(BREAK_POLL_INTERVAL);
    }
}

/// Reads a JSON body.
pub(crate) async fn read_json<T: DeserializeOwned>(body: Body) -> Result<T, Response> {
    let bytes =
        read_limited(body, BODY_BYTES_MAX).await.map_err(|e| bad_request(&e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| bad_request(&e.to_string()))
}

/// A response of status 400.
pub(crate) fn bad_request(problem: &str) -> Response {
    json_response(StatusCode::BAD_REQUEST, &json!({ "error": problem }))
}

/// A response of status 200 with a JSON body.
pub(crate) fn ok(value: &Value) -> Response {
    json_response(StatusCode::OK, value)
}

/// A response of status 404.
pub(crate) fn not_found() -> Response {
    json_response(StatusCode::NOT_FOUND, &json!({ "error": "no such path" }))
}

/// Keeps the request open without an answer.
pub(crate) async fn never_answer() -> Response {
    futures::future::pending().await
}

/// A parameter of the query string.
pub(crate) fn query_param<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = req.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}

/// Decrements a fault counter. Returns true if the fault applies.
pub(crate) fn take_fault(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}
