//! HTTP server with one handler and a graceful stop.

use {
    bytes::{Bytes, BytesMut},
    futures::future::BoxFuture,
    http_body_util::BodyExt,
    std::{convert::Infallible, net::SocketAddr},
    thiserror::Error,
    volo::net::Address,
    volo_http::{
        body::Body,
        request::Request,
        response::Response,
        server::{Router, Server},
    },
};

/// Reason why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum BodyReadError {
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
pub async fn read_limited(body: Body, limit: usize) -> Result<Bytes, BodyReadError> {
    let mut body = body;
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(BodyReadError::TooLarge { limit });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Serves HTTP on `address` until SIGTERM or SIGINT. The handler gets the peer's address and
/// the request. On the signal `drain` runs while the server still answers requests; once it
/// returns, idle connections are closed.
///
/// # Errors
///
/// When the address can't be bound.
pub async fn serve_http<H, D>(address: SocketAddr, handler: H, drain: D) -> std::io::Result<()>
where
    H: Fn(Address, Request) -> BoxFuture<'static, Response> + Clone + Send + Sync + 'static,
    D: FnOnce() -> BoxFuture<'static, ()> + Send + 'static,
{
    let handle = move |peer: Address, req: Request| {
        let answer = handler(peer, req);
        async move { Ok::<Response, Infallible>(answer.await) }
    };
    let app: Router = Router::new().fallback(handle);
    let server = Server::new(app).register_shutdown_hook(drain);
    let run = server.run(Address::from(address)).await;
    run.map_err(|e| std::io::Error::other(e.to_string()))
}
