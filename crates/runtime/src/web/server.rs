//! HTTP server with one handler and a graceful stop.

use {
    super::{
        answer_body::AnswerBody,
        connections::{ConnectionPlace, Connections},
        linger::{EndsWithConnection, LingeringStream, lingering_connections},
        listen::{SocketBuffers, listen},
    },
    bytes::{Bytes, BytesMut},
    futures::future::BoxFuture,
    http::Version,
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{
        net::TcpStream,
        signal::unix::{SignalKind, signal},
        sync::watch,
        task::JoinSet,
    },
    volo::net::Address,
    volo_http::{body::Body, request::Request, response::Response},
};

/// Largest head of a request, in bytes.
const HEAD_BYTES_MAX: usize = 16 * 1024;

/// Buffers of the system for each client. Those for received bytes do not grow, since a client may send
/// while its request is served and nothing is read.
const CLIENT_BUFFERS: SocketBuffers = SocketBuffers { send: None, receive: Some(32 * 1024) };

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest wait at a stop for connections to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(28);

/// Interval of checks at a stop whether connections still linger.
const LINGER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ReadLimitedError {
    /// The body exceeds the limit.
    #[error("the body exceeds {limit} bytes")]
    TooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body is incomplete.
    #[error("the body broke off")]
    Broken,
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// When the body is longer or incomplete.
pub async fn read_limited(body: Body, limit: usize) -> Result<Bytes, ReadLimitedError> {
    let mut body = body;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadLimitedError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(ReadLimitedError::TooLarge { limit });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Reads and discards a body up to `limit` bytes.
pub async fn discard_body(body: Body, limit: usize) {
    let mut body = body;
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > limit {
            return;
        }
    }
}

/// Limits on what clients of a server may make it hold.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Open connections. At the limit, the one that has waited longest for its client makes way.
    pub connections: usize,
}

/// Serves HTTP on `address` until SIGTERM, SIGINT or SIGHUP. The handler gets the peer's address and
/// the request. On the signal `drain` runs while the server still answers requests; once it
/// returns, connections are closed after their open requests.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve_http<H, D>(
    address: SocketAddr,
    limits: HttpLimits,
    handler: H,
    drain: D,
) -> std::io::Result<()>
where
    H: Fn(Address, Request) -> BoxFuture<'static, Response> + Clone + Send + Sync + 'static,
    D: FnOnce() -> BoxFuture<'static, ()> + Send + 'static,
{
    let listener = listen(address, CLIENT_BUFFERS).await?;
    let connections = Connections::new("http", limits.connections);
    let (closing_tx, closing) = watch::channel(false);
    let mut conns = JoinSet::new();
    let mut stop = pin!(async {
        wait_for_stop_signal().await?;
        drain().await;
        Ok::<(), std::io::Error>(())
    });
    loop {
        tokio::select! {
            stopped = stop.as_mut() => {
                stopped?;
                break;
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let place = connections.open();
                    let (handler, closing) = (handler.clone(), closing.clone());
                    conns.spawn(serve_connection(stream, peer, place, handler, closing));
                }
                // file descriptors may have run out
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
        }
        while conns.try_join_next().is_some() {}
    }
    drop(listener);
    closing_tx.send_replace(true);
    let closed = async {
        while conns.join_next().await.is_some() {}
        while lingering_connections() > 0 {
            tokio::time::sleep(LINGER_POLL_INTERVAL).await;
        }
    };
    // connections that are still open then break off
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closed).await;
    Ok(())
}

async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = int.recv() => {}
        _ = hup.recv() => {}
        _ = term.recv() => {}
    }
    Ok(())
}

async fn serve_connection<H>(
    stream: TcpStream,
    peer: SocketAddr,
    place: ConnectionPlace,
    handler: H,
    mut closing: watch::Receiver<bool>,
) where
    H: Fn(Address, Request) -> BoxFuture<'static, Response>,
{
    let ends_with_connection = EndsWithConnection::default();
    let place = Arc::new(place);
    let service = service_fn(|mut req: http::Request<Incoming>| {
        if req.version() == Version::HTTP_10 {
            ends_with_connection.set();
        }
        req.extensions_mut().insert(place.clone());
        let place = place.clone();
        let answer = handler(Address::from(peer), req.map(Body::from_incoming));
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(AnswerBody::wrap(answer, place))
        }
    });
    let stream = LingeringStream::new(stream, ends_with_connection.clone(), place.clone());
    let mut builder = http1::Builder::new();
    // hyper's time limit for a head needs a timer
    builder.timer(TokioTimer::new()).max_buf_size(HEAD_BYTES_MAX);
    let mut conn = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let is_closing = async move {
        // an error means that the server has ended
        let _ = closing.wait_for(|closing| *closing).await;
    };
    // errors of a peer's connection need no handling
    tokio::select! {
        _ = conn.as_mut() => {}
        () = place.wait_until_cut() => {}
        () = is_closing => {
            conn.as_mut().graceful_shutdown();
            let _ = conn.await;
        }
    }
}
