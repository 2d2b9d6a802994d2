//! HTTP client; each call takes its address and its deadline.

use {
    super::{
        client_pool::{ClientPool, PooledBody},
        conn::{Conn, HttpError},
        server::read_limited,
    },
    bytes::Bytes,
    egret_core::Time,
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header},
    http_body_util::Full,
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    thiserror::Error,
    volo_http::{body::Body, response::Response},
};

/// Headers in an engine's answer that identify the request it belongs to.
pub const ENGINE_ECHO_HEADERS: [&str; 4] =
    ["x-request-id", "x-attempt", "x-adapter", "x-engine-epoch"];

/// Idle connections that a pooled client keeps to one address.
const IDLE_CONNECTIONS_MAX: usize = 64;

/// Size limit of an answer that is read into memory, in bytes.
const REPLY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Reason why a call failed.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection was opened: the target can't have seen the request.
    #[error("could not connect: {0}")]
    NotConnected(String),
    /// The deadline passed before the answer arrived.
    #[error("no answer before the deadline")]
    TimedOut,
    /// The connection broke: the target may have seen the request.
    #[error("connection broke: {0}")]
    Broken(String),
    /// The status is not that of a final answer. The target may have run the request.
    #[error("status {0} is not that of an answer")]
    InvalidStatus(u16),
}

impl From<HttpError> for CallError {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::NotSent(text) => Self::NotConnected(text),
            HttpError::InvalidStatus(status) => Self::InvalidStatus(status),
            HttpError::TimedOut => Self::TimedOut,
            HttpError::Broken(_) | HttpError::Incomplete(_) => Self::Broken(e.to_string()),
        }
    }
}

impl CallError {
    /// Returns true if the target can't have seen the request.
    #[must_use]
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::NotConnected(_))
    }
}

/// An answer whose body was read completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns a header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Decodes the body as JSON.
    ///
    /// # Errors
    ///
    /// When the body is not JSON of type `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

/// An HTTP client that follows no redirects and never retries.
#[derive(Clone, Debug)]
pub struct HttpClient {
    pool: Arc<ClientPool>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections for later calls.
    #[must_use]
    pub fn pooled() -> Self {
        Self { pool: Arc::new(ClientPool::new(IDLE_CONNECTIONS_MAX)) }
    }

    /// Creates a client that opens a new connection for each call. Calls that may not be repeated
    /// need one: on an idle connection that the target is closing, the outcome of a call would be
    /// unknown.
    #[must_use]
    pub fn unpooled() -> Self {
        Self { pool: Arc::new(ClientPool::new(0)) }
    }

    /// Sends a request and returns the answer once its head has arrived.
    ///
    /// # Errors
    ///
    /// When no answer head arrives before `deadline`, or its status is not that of a final answer.
    pub async fn send_request(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        deadline: Time,
    ) -> Result<Response, CallError> {
        let uri: Uri =
            path.parse().map_err(|_| CallError::NotConnected("invalid path".to_owned()))?;
        let host = HeaderValue::from_str(&address.to_string())
            .map_err(|e| CallError::NotConnected(e.to_string()))?;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers.clone();
        request.headers_mut().entry(header::HOST).or_insert(host);
        let mut conn = match self.pool.take(address) {
            Some(conn) => conn,
            None => Conn::open(address, deadline).await?,
        };
        let (head, body) = conn.send(request, deadline).await?.into_parts();
        let body = PooledBody::new(body, conn, address, self.pool.clone());
        Ok(Response::from_parts(head, Body::from_body(body)))
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// When the answer is not complete before `deadline`.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        deadline: Time,
    ) -> Result<Reply, CallError> {
        let response = self.send_request(address, method, path, headers, body, deadline).await?;
        let (head, body) = response.into_parts();
        let read = with_deadline(deadline, read_limited(body, REPLY_BYTES_MAX)).await;
        let body =
            read.ok_or(CallError::TimedOut)?.map_err(|e| CallError::Broken(e.to_string()))?;
        Ok(Reply { status: head.status, headers: head.headers, body })
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn get(
        &self,
        address: SocketAddr,
        path: &str,
        deadline: Time,
    ) -> Result<Reply, CallError> {
        self.call(address, Method::GET, path, &HeaderMap::new(), Bytes::new(), deadline).await
    }

    /// Sends a POST request with `value` as JSON.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn post_json<T: serde::Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
        deadline: Time,
    ) -> Result<Reply, CallError> {
        let mut headers = HeaderMap::new();
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
        self.call(address, Method::POST, path, &headers, body, deadline).await
    }
}

/// Runs `work` until `deadline`. Returns `None` if the deadline passes first.
pub async fn with_deadline<F: Future>(deadline: Time, work: F) -> Option<F::Output> {
    let remaining = Duration::from_millis(crate::now().ms_until(deadline));
    tokio::time::timeout(remaining, work).await.ok()
}
