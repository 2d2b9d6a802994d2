//! Closes connections so that an answer sent before the end of a request reaches its caller.
//!
//! Closing a socket that has unread bytes, or gets some later, resets the connection, and the reset
//! drops an answer that the peer has not read yet. So once the server has shut down its sending
//! side, what still comes is read and discarded for a while (RFC 9112, section 9.6).
//!
//! An answer whose end nothing but the end of its connection marks is broken off with a reset, also by
//! the system when the process is killed, since it would look whole otherwise.

use {
    super::connections::ConnectionPlace,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
        net::TcpStream,
        runtime::Handle,
    },
};

/// Time for which input is discarded.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Input that is discarded of one connection, in bytes.
const LINGER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Connections whose input is discarded at the same time. Further ones are closed at once.
const LINGERING_MAX: usize = 256;

/// Buffer for input that is discarded.
const DISCARD_BYTES: usize = 16 * 1024;

static LINGERING: AtomicUsize = AtomicUsize::new(0);

/// Number of connections whose input is discarded. A process that ends resets them.
#[must_use]
pub fn lingering_connections() -> usize {
    LINGERING.load(Ordering::Acquire)
}

/// Says that nothing but the end of a connection marks the ends of its answers, as for callers that
/// know no chunks (HTTP/1.0).
#[derive(Clone, Debug, Default)]
pub struct EndsWithConnection(Arc<AtomicBool>);

impl EndsWithConnection {
    /// Sets it for all further answers of the connection.
    pub fn set(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// A connection of a server. When it is dropped after its sending side was shut down, its input is
/// discarded for a while before it is closed.
#[derive(Debug)]
pub struct LingeringStream {
    // `None` only while it is dropped
    stream: Option<TcpStream>,
    ends_with_connection: EndsWithConnection,
    // true if the system resets the connection when it is closed
    resets: bool,
    is_shut_down: bool,
    peer_has_closed: bool,
    // also while its input is discarded
    place: Arc<ConnectionPlace>,
}

impl LingeringStream {
    /// Wraps a connection that was accepted and has this place among those of its listener.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        ends_with_connection: EndsWithConnection,
        place: Arc<ConnectionPlace>,
    ) -> Self {
        Self {
            place,
            stream: Some(stream),
            ends_with_connection,
            resets: false,
            is_shut_down: false,
            peer_has_closed: false,
        }
    }

    // called before an answer is written
    fn prepare_reset(&mut self) -> io::Result<()> {
        if !self.resets && self.ends_with_connection.0.load(Ordering::Acquire) {
            self.inner().set_zero_linger()?;
            self.resets = true;
        }
        Ok(())
    }

    // called once an answer is whole
    fn cancel_reset(&mut self) -> io::Result<()> {
        if self.resets {
            #[expect(deprecated, reason = "without a linger time nothing blocks")]
            self.inner().set_linger(None)?;
            self.resets = false;
        }
        Ok(())
    }

    fn inner(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("the stream is taken only on drop"))
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, has_room) = (buf.filled().len(), buf.remaining() > 0);
        let polled = self.inner().poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) && has_room && buf.filled().len() == filled {
            self.peer_has_closed = true;
        }
        polled
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_reset()?;
        self.inner().poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_reset()?;
        self.inner().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.cancel_reset()?;
        let polled = self.inner().poll_shutdown(cx);
        // a connection that is dropped without this breaks off an answer, which must not look whole
        self.is_shut_down |= matches!(polled, Poll::Ready(Ok(())));
        polled
    }
}

impl Drop for LingeringStream {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        if !self.is_shut_down || self.peer_has_closed {
            return;
        }
        let Some(linger_place) = LingerPlace::take() else {
            return;
        };
        let place = self.place.clone();
        runtime.spawn(async move {
            let discard = tokio::time::timeout(LINGER_TIME, discard_input(stream));
            tokio::select! {
                _ = discard => {}
                () = place.wait_until_cut() => {}
            }
            drop(linger_place);
        });
    }
}

async fn discard_input(mut stream: TcpStream) {
    let mut buf = vec![0; DISCARD_BYTES];
    let mut discarded = 0;
    while discarded < LINGER_BYTES_MAX {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(n) => discarded += n,
        }
    }
}

// one of the connections that may linger at the same time, until dropped
struct LingerPlace;

impl LingerPlace {
    fn take() -> Option<Self> {
        let taken = LINGERING.fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
            (count < LINGERING_MAX).then_some(count + 1)
        });
        taken.ok().map(|_| Self)
    }
}

impl Drop for LingerPlace {
    fn drop(&mut self) {
        LINGERING.fetch_sub(1, Ordering::AcqRel);
    }
}
