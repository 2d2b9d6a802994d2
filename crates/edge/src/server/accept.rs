//! Listeners and connections.

use {
    super::answer::{Answer, BodyError, full_answer},
    crate::{
        dispatch::{self, CutCaller},
        state::Edge,
    },
    bytes::Bytes,
    egret_runtime::{
        AnswerBody, ConnectionPlace, Connections, EndsWithConnection, LingeringStream,
        SocketBuffers, events, listen,
    },
    http::{HeaderValue, Request, Response, StatusCode, Version, header},
    http_body_util::combinators::UnsyncBoxBody,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Time for which a connection is kept beyond the idle timeout known to callers, so that a caller
/// that uses it just in time does not find it closed.
const IDLE_MARGIN_MS: u64 = 2000;

/// Smallest read buffer that the HTTP library accepts.
const BUF_BYTES_MIN: usize = 8192;

/// Buffers of the system for each caller. Those for received bytes do not grow, since a caller may send
/// while its request is served and nothing is read.
const CALLER_BUFFERS: SocketBuffers =
    SocketBuffers { send: Some(128 * 1024), receive: Some(32 * 1024) };

/// Connections for readiness checks at the same time.
const READINESS_CONNECTIONS_MAX: usize = 64;

/// Connections of metrics collectors at the same time. Each may hold an answer of some hundred kilobytes.
const METRICS_CONNECTIONS_MAX: usize = 16;

/// Buffers of the system for those connections.
const CHECK_BUFFERS: SocketBuffers = SocketBuffers { send: None, receive: Some(16 * 1024) };

/// Pause after a failed accept, since file descriptors may have run out.
const ACCEPT_PAUSE_MS: u64 = 20;

/// An answer on a caller's connection.
type CallerAnswer = Response<AnswerBody<UnsyncBoxBody<Bytes, BodyError>>>;

/// Bound listeners.
pub(crate) struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    metrics: TcpListener,
}

/// Binds all listeners.
///
/// # Errors
///
/// If an address cannot be bound.
pub(crate) async fn bind(edge: &Edge) -> std::io::Result<Listeners> {
    let addresses = &edge.cfg.listen;
    Ok(Listeners {
        callers: listen(addresses.callers, CALLER_BUFFERS).await?,
        readiness: listen(addresses.ready, CHECK_BUFFERS).await?,
        metrics: listen(addresses.metrics, CHECK_BUFFERS).await?,
    })
}

/// Starts accepting connections.
pub(crate) fn start(edge: &Arc<Edge>, listeners: Listeners) {
    let state = edge.clone();
    tokio::spawn(async move {
        let accept = accept_all(listeners.callers, |stream, peer| {
            let place = Arc::new(state.caller_connections.open());
            tokio::spawn(serve_caller(state.clone(), stream, peer, place));
        });
        // once the host closes connections, new ones are refused, so that callers know that their
        // requests were not read
        tokio::select! {
            () = accept => {}
            () = state.wait_until_closing() => {}
        }
    });
    let state = edge.clone();
    let checks = Connections::new("ready", READINESS_CONNECTIONS_MAX);
    tokio::spawn(accept_all(listeners.readiness, move |stream, _| {
        let state = state.clone();
        tokio::spawn(serve_simple(stream, checks.open(), move || readiness(&state)));
    }));
    let state = edge.clone();
    let collectors = Connections::new("metrics", METRICS_CONNECTIONS_MAX);
    tokio::spawn(accept_all(listeners.metrics, move |stream, _| {
        let state = state.clone();
        tokio::spawn(serve_simple(stream, collectors.open(), move || {
            full_answer(StatusCode::OK, Bytes::from(state.metrics.render()))
        }));
    }));
}

async fn accept_all(listener: TcpListener, serve: impl Fn(TcpStream, SocketAddr)) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(e) => {
                events::ACCEPT_FAILED.warn(format_args!("problem={e}"));
                tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

fn readiness(edge: &Edge) -> Answer {
    let status = if edge.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    full_answer(status, Bytes::new())
}

async fn serve_simple(stream: TcpStream, place: ConnectionPlace, answer: impl Fn() -> Answer) {
    let service = service_fn(|_: Request<Incoming>| {
        place.record_wait();
        let answer = answer();
        async move { Ok::<Answer, Infallible>(answer) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(BUF_BYTES_MIN);
    tokio::select! {
        // an error means that the client has disconnected, which needs no handling
        _ = builder.serve_connection(TokioIo::new(stream), service) => {}
        () = place.wait_until_cut() => {}
    }
}

async fn serve_caller(
    edge: Arc<Edge>,
    stream: TcpStream,
    peer: SocketAddr,
    place: Arc<ConnectionPlace>,
) {
    // Nagle's algorithm would delay small stream events to send them together
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let bounds = edge.routing().bounds;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(bounds.idle_ms + IDLE_MARGIN_MS))
        .max_buf_size(bounds.head_bytes.max(BUF_BYTES_MIN))
        .title_case_headers(true);
    let cut = CutCaller::default();
    let ends_with_connection = EndsWithConnection::default();
    let service = service_fn(|mut req: Request<Incoming>| {
        let edge = edge.clone();
        if req.version() == Version::HTTP_10 {
            ends_with_connection.set();
        }
        req.extensions_mut().insert(cut.clone());
        req.extensions_mut().insert(place.clone());
        let place = place.clone();
        async move {
            let answer = serve_request(edge, req, peer).await;
            Ok::<CallerAnswer, Infallible>(AnswerBody::wrap(answer, place))
        }
    });
    let stream = LingeringStream::new(stream, ends_with_connection.clone(), place.clone());
    let io = TokioIo::new(stream);
    let mut conn = pin!(builder.serve_connection(io, service));
    tokio::select! {
        // errors of a caller's connection need no handling
        _ = conn.as_mut() => {}
        () = cut.0.notified() => {}
        () = place.wait_until_cut() => {}
        () = edge.wait_until_closing() => {
            conn.as_mut().graceful_shutdown();
            tokio::select! {
                _ = conn => {}
                () = cut.0.notified() => {}
                () = place.wait_until_cut() => {}
            }
        }
    }
}

async fn serve_request(edge: Arc<Edge>, req: Request<Incoming>, peer: SocketAddr) -> Answer {
    let mut answer = dispatch::serve_until_stop(&edge, req, peer).await;
    if edge.is_stopping() || answer.status() == StatusCode::BAD_REQUEST {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}
