//! Single HTTP/1.1 connections. Whoever calls owns the connection: it can be kept for the next
//! call, or dropped, which closes it at once and thereby cancels what runs behind it.

use {
    super::client::{Reply, with_deadline},
    bytes::{Bytes, BytesMut},
    egret_core::Time,
    http::{HeaderMap, HeaderValue, Method, Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    std::net::SocketAddr,
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Longest time to open a connection, in milliseconds: the handshake of a busy target takes a
/// few, and a lost first packet is sent again after one second.
const CONNECT_TIMEOUT_MS: u64 = 1200;

/// Largest answer read into memory, in bytes.
const REPLY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Idle connections that a set keeps.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum HttpError {
    /// Nothing of it was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke: the other side may have seen the request.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The deadline passed: the other side may have seen the request.
    #[error("no answer before the deadline")]
    TimedOut,
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Conn {
    tx: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// When there is no connection by `deadline`.
    pub async fn open(address: SocketAddr, deadline: Time) -> Result<Self, HttpError> {
        let by = deadline.min(crate::now().after_ms(CONNECT_TIMEOUT_MS));
        let connecting = with_deadline(by, TcpStream::connect(address)).await;
        let not_sent = |e: &dyn std::fmt::Display| HttpError::NotSent(e.to_string());
        let stream = connecting
            .ok_or_else(|| not_sent(&"no connection in time"))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let mut builder = http1::Builder::new();
        builder.title_case_headers(true);
        let (tx, conn) = builder.handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
        // how it ends shows in the call that is open on it
        let driver = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self { tx, driver })
    }

    /// True when it can take a request now.
    #[must_use]
    pub fn can_send(&self) -> bool {
        self.tx.is_ready() && !self.tx.is_closed()
    }

    /// Sends a request and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// When there is no head by `deadline`. The connection is of no use then.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<Incoming>, HttpError> {
        let sent = with_deadline(deadline, self.tx.try_send_request(request)).await;
        sent.ok_or(HttpError::TimedOut)?.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let text = e.into_error().to_string();
            if unsent { HttpError::NotSent(text) } else { HttpError::Broken(text) }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When there is no whole answer by `deadline`. The connection is of no use then.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Reply, HttpError> {
        let (head, body) = self.send(request, deadline).await?.into_parts();
        let body = with_deadline(deadline, read_incoming(body, REPLY_BYTES_MAX)).await;
        let body = body.ok_or(HttpError::TimedOut)??;
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// When it is longer or breaks off.
pub async fn read_incoming(mut body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(HttpError::Broken("answer too large".to_owned()));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Connections to one address, for calls whose answers are read whole. A connection whose call
/// failed is closed; one that broke while it was idle is replaced.
#[derive(Debug)]
pub struct ConnPool {
    address: SocketAddr,
    idle: Mutex<Vec<Conn>>,
}

impl ConnPool {
    /// No connections yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    /// Calls `path` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When there is no whole answer by `deadline`.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        deadline: Time,
    ) -> Result<Reply, HttpError> {
        let mut conn = match self.take_idle() {
            Some(conn) => conn,
            None => Conn::open(self.address, deadline).await?,
        };
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| HttpError::NotSent("bad path".to_owned()))?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|e| HttpError::NotSent(e.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        let reply = conn.call(request, deadline).await?;
        let mut idle = self.idle.lock();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(conn);
        }
        Ok(reply)
    }

    fn take_idle(&self) -> Option<Conn> {
        let mut idle = self.idle.lock();
        while let Some(conn) = idle.pop() {
            if conn.can_send() {
                return Some(conn);
            }
        }
        None
    }
}
