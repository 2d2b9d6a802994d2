//! Single HTTP/1.1 connections. The code that sends a request owns the connection: it keeps it for
//! the next request, or drops it, which closes it at once and so cancels the request at the target.

use {
    super::{
        answer_stream::{AnswerRoom, AnswerStream},
        client::{Reply, with_deadline},
    },
    bytes::{Bytes, BytesMut},
    egret_core::{Time, is_final_status},
    http::{HeaderMap, HeaderValue, Method, Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::{Frame, Incoming},
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    parking_lot::Mutex,
    std::net::SocketAddr,
    thiserror::Error,
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Timeout for opening a connection, in milliseconds. The handshake of a busy target takes a few
/// milliseconds, and a lost first packet is sent again after one second.
const CONNECT_TIMEOUT_MS: u64 = 1200;

/// Size limit of an answer that is read into memory, in bytes.
const REPLY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Size limit of a large answer, in bytes.
const LARGE_REPLY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Longest pause within the body of a large answer, in milliseconds.
const BODY_PAUSE_MAX_MS: u64 = 1500;

/// Longest transfer of the body of a large answer, in milliseconds. A server whose answer does not
/// end is given up then.
const BODY_TRANSFER_MAX_MS: u64 = 20_000;

/// Largest buffer of a connection for bytes that were received and not taken yet, and of the head of
/// an answer.
const BUF_BYTES_MAX: usize = 64 * 1024;

/// Limit of idle connections in a pool.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Reason why a request failed.
#[derive(Debug, Error)]
pub enum HttpError {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection broke: the peer may have seen the request.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The status is not that of a final answer. The peer may have run the request.
    #[error("status {0} is not that of an answer")]
    InvalidStatus(u16),
    /// The deadline passed: the peer may have seen the request.
    #[error("no answer before the deadline")]
    TimedOut,
    /// The body of the answer did not arrive in time or ceased to arrive, after this many bytes.
    #[error("answer incomplete, {0} bytes received")]
    Incomplete(usize),
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Conn {
    tx: SendRequest<Full<Bytes>>,
    room: AnswerRoom,
    driver: JoinHandle<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Conn {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// When no connection is open by `deadline`.
    pub async fn open(address: SocketAddr, deadline: Time) -> Result<Self, HttpError> {
        let connect_deadline = deadline.min(crate::now().after_ms(CONNECT_TIMEOUT_MS));
        let connected = with_deadline(connect_deadline, TcpStream::connect(address)).await;
        let not_sent = |e: &dyn std::fmt::Display| HttpError::NotSent(e.to_string());
        let stream = connected
            .ok_or_else(|| not_sent(&"connecting timed out"))?
            .map_err(|e| not_sent(&e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
        let mut builder = http1::Builder::new();
        builder.title_case_headers(true).max_buf_size(BUF_BYTES_MAX);
        let room = AnswerRoom::default();
        let stream = TokioIo::new(AnswerStream::new(stream, room.clone()));
        let (tx, conn) = builder.handshake(stream).await.map_err(|e| not_sent(&e))?;
        // a connection error is reported to the request that is open on it
        let driver = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Self { tx, room, driver })
    }

    /// Returns true if the connection can take a request now.
    #[must_use]
    pub fn can_send(&self) -> bool {
        self.tx.is_ready() && !self.tx.is_closed()
    }

    /// Returns true if the peer has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.tx.is_closed()
    }

    /// Waits until the connection can take a request, after an answer has been read to its end. Returns
    /// false if it cannot take one by `deadline`.
    pub async fn wait_until_ready(&mut self, deadline: Time) -> bool {
        with_deadline(deadline, self.tx.ready()).await.is_some_and(|ready| ready.is_ok())
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// # Errors
    ///
    /// When no answer head arrives by `deadline`, or its status is not that of a final answer. The
    /// connection is unusable then.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<Incoming>, HttpError> {
        self.room.await_head();
        let result = with_deadline(deadline, self.tx.try_send_request(request)).await;
        let answer = result.ok_or(HttpError::TimedOut)?.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let text = e.into_error().to_string();
            if unsent { HttpError::NotSent(text) } else { HttpError::Broken(text) }
        })?;
        self.room.end_head();
        let status = answer.status().as_u16();
        if !is_final_status(status) {
            return Err(HttpError::InvalidStatus(status));
        }
        Ok(answer)
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// When the answer is not complete by `deadline`. The connection is unusable then.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Reply, HttpError> {
        self.call_with(request, deadline, BodyTimeout::Deadline).await
    }

    async fn call_with(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Time,
        timeout: BodyTimeout,
    ) -> Result<Reply, HttpError> {
        let (head, mut body) = self.send(request, deadline).await?.into_parts();
        let transfer_deadline = crate::now().after_ms(BODY_TRANSFER_MAX_MS);
        let mut received = BytesMut::new();
        loop {
            let (read_deadline, bytes_max) = match timeout {
                BodyTimeout::Deadline => (deadline, REPLY_BYTES_MAX),
                BodyTimeout::Pause => {
                    let pause_end = crate::now().after_ms(BODY_PAUSE_MAX_MS);
                    (pause_end.min(transfer_deadline), LARGE_REPLY_BYTES_MAX)
                }
            };
            let frame = with_deadline(read_deadline, body.frame()).await;
            match frame.ok_or(HttpError::Incomplete(received.len()))? {
                Some(frame) => push_frame(&mut received, frame, bytes_max)?,
                None => break,
            }
        }
        Ok(Reply { status: head.status, headers: head.headers, body: received.freeze() })
    }
}

/// Reads a body of at most `limit` bytes.
///
/// # Errors
///
/// When the body is longer or the connection breaks.
pub async fn read_incoming(mut body: Incoming, limit: usize) -> Result<Bytes, HttpError> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        push_frame(&mut bytes, frame, limit)?;
    }
    Ok(bytes.freeze())
}

fn push_frame(
    bytes: &mut BytesMut,
    frame: Result<Frame<Bytes>, hyper::Error>,
    limit: usize,
) -> Result<(), HttpError> {
    let frame = frame.map_err(|e| HttpError::Broken(e.to_string()))?;
    let Ok(data) = frame.into_data() else {
        return Ok(());
    };
    if bytes.len() + data.len() > limit {
        return Err(HttpError::Broken("answer too large".to_owned()));
    }
    bytes.extend_from_slice(&data);
    Ok(())
}

/// How long the body of an answer may take.
#[derive(Clone, Copy, Debug)]
enum BodyTimeout {
    /// It has to be complete by the deadline of the call.
    Deadline,
    /// It may take as long as it keeps arriving. A large answer that was cut off by a deadline would
    /// be begun again from its start, and never be complete on a slow link.
    Pause,
}

/// Pool of connections to one address, for calls whose answers are read completely. A connection
/// is closed when its call fails, and replaced when it broke while idle.
#[derive(Debug)]
pub struct ConnPool {
    address: SocketAddr,
    body_timeout: BodyTimeout,
    idle: Mutex<Vec<Conn>>,
}

impl ConnPool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, body_timeout: BodyTimeout::Deadline, idle: Mutex::default() }
    }

    /// Creates an empty pool for calls whose answers may be large. The deadline of a call applies to
    /// the head of the answer; the body may take longer as long as it keeps arriving.
    #[must_use]
    pub fn for_large_answers(address: SocketAddr) -> Self {
        Self { body_timeout: BodyTimeout::Pause, ..Self::new(address) }
    }

    /// Sends a request for `path` and reads the complete answer.
    ///
    /// # Errors
    ///
    /// When the answer is not complete by `deadline`.
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
        *request.uri_mut() =
            path.parse().map_err(|_| HttpError::NotSent("invalid path".to_owned()))?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.address.to_string());
        let host = host.map_err(|e| HttpError::NotSent(e.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        let reply = conn.call_with(request, deadline, self.body_timeout).await?;
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
