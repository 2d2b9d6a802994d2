//! The connection to a target, as the HTTP library reads it. A target in trouble may send bytes without
//! an end, and the library reads on for as long as they come.

use {
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Bytes that a target may send up to the end of the head of an answer: interim answers, the head, and
/// what the library reads ahead of the body.
const HEAD_BYTES_MAX: usize = 256 * 1024;

/// Bytes after which other tasks of the process get their turn.
const TURN_BYTES_MAX: usize = 128 * 1024;

/// Room for the bytes of the answer that is awaited.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerRoom(Arc<AtomicUsize>);

impl AnswerRoom {
    /// Limits the bytes until the head of the next answer has arrived.
    pub(super) fn await_head(&self) {
        self.0.store(HEAD_BYTES_MAX, Ordering::Release);
    }

    /// Ends the limit, since the reader of the body bounds what it takes.
    pub(super) fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Release);
    }

    // returns false if there is no room for so many bytes
    fn take(&self, bytes: usize) -> bool {
        let taken = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |room| {
            if room == usize::MAX { Some(room) } else { room.checked_sub(bytes) }
        });
        taken.is_ok()
    }
}

/// A connection whose bytes have a limit up to the head of an answer, and that takes turns with other
/// tasks.
#[derive(Debug)]
pub(super) struct AnswerStream {
    stream: TcpStream,
    room: AnswerRoom,
    // bytes read in this turn
    turn_bytes: usize,
}

impl AnswerStream {
    pub(super) fn new(stream: TcpStream, room: AnswerRoom) -> Self {
        Self { stream, room, turn_bytes: 0 }
    }
}

impl AsyncRead for AnswerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.turn_bytes >= TURN_BYTES_MAX {
            this.turn_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut this.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        this.turn_bytes = if read.is_pending() { 0 } else { this.turn_bytes + bytes };
        if !this.room.take(bytes) {
            let problem = "no answer within the limit of bytes";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, problem)));
        }
        read
    }
}

impl AsyncWrite for AnswerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
