//! Connections of the HTTP client, which are kept for later calls once an answer is read to its end.

use {
    super::conn::Conn,
    bytes::Bytes,
    egret_core::Time,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
};

/// Time for which an idle connection is kept.
const IDLE_MAX_MS: u64 = 15_000;

#[derive(Debug)]
struct IdleConn {
    conn: Conn,
    expires_at: Time,
}

/// Idle connections by address.
#[derive(Debug)]
pub(super) struct ClientPool {
    idle_max: usize,
    idle: Mutex<IndexMap<SocketAddr, Vec<IdleConn>>>,
}

impl ClientPool {
    /// Creates a pool that keeps up to `idle_max` connections to an address.
    pub(super) fn new(idle_max: usize) -> Self {
        Self { idle_max, idle: Mutex::default() }
    }

    /// The last connection to `address` that was put back and is still usable.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock();
        let conns = idle.get_mut(&address)?;
        while let Some(IdleConn { conn, expires_at }) = conns.pop() {
            if crate::now() < expires_at && conn.can_send() {
                return Some(conn);
            }
        }
        None
    }

    fn put_back(&self, address: SocketAddr, conn: Conn) {
        if self.idle_max == 0 {
            return;
        }
        let now = crate::now();
        let mut idle = self.idle.lock();
        for conns in idle.values_mut() {
            conns.retain(|idle| now < idle.expires_at && !idle.conn.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
        let conns = idle.entry(address).or_default();
        if conns.len() < self.idle_max {
            conns.push(IdleConn { conn, expires_at: now.after_ms(IDLE_MAX_MS) });
        }
    }
}

/// The body of an answer. Its connection is closed when it is dropped before its end.
#[derive(Debug)]
pub(super) struct PooledBody {
    body: Incoming,
    conn: Option<Conn>,
    address: SocketAddr,
    pool: Arc<ClientPool>,
}

impl PooledBody {
    pub(super) fn new(
        body: Incoming,
        conn: Conn,
        address: SocketAddr,
        pool: Arc<ClientPool>,
    ) -> Self {
        Self { body, conn: Some(conn), address, pool }
    }

    fn put_back(&mut self) {
        if let Some(conn) = self.conn.take() {
            self.pool.put_back(self.address, conn);
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.put_back();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PooledBody {
    // an answer without a body, or of which the last frame was taken, may not be polled again
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.put_back();
        }
    }
}
