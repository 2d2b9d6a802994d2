//! Client side of a link.

use {
    super::{
        codec,
        message::{Body, Frame, Hello, StatusMsg},
    },
    crate::web::with_deadline,
    bytes::Bytes,
    egret_core::Time,
    futures::{SinkExt, StreamExt},
    indexmap::IndexMap,
    parking_lot::Mutex,
    prost::Message,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
    thiserror::Error,
    tokio::{
        net::{
            TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{mpsc, oneshot},
        task::JoinHandle,
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// Limit of frames queued for writing.
const WRITE_QUEUE_FRAMES: usize = 4096;

/// Reason why a request on a link failed.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum LinkError {
    /// No connection was opened: the peer can't have seen the request.
    #[error("not connected")]
    NotConnected,
    /// The link broke or was closed; the peer may have seen the request.
    #[error("the link is broken or closed")]
    Broken,
    /// The deadline passed; the peer may have seen the request.
    #[error("no answer before the deadline")]
    TimedOut,
}

type PendingCalls = Mutex<IndexMap<u64, oneshot::Sender<Body>>>;

#[derive(Debug)]
struct LinkState {
    pending_calls: PendingCalls,
    closed: AtomicBool,
    next_id: AtomicU64,
    // time of the last message sent, in milliseconds
    used_at: AtomicU64,
}

#[derive(Debug)]
struct QueuedFrame {
    bytes: Bytes,
    // notified once the frame is written
    written: Option<oneshot::Sender<()>>,
}

impl QueuedFrame {
    fn new(id: u64, body: Body) -> Self {
        let bytes = Bytes::from(Frame { id, body: Some(body) }.encode_to_vec());
        Self { bytes, written: None }
    }
}

/// An open link to a peer. Dropping it closes the connection.
#[derive(Debug)]
pub struct Link {
    state: Arc<LinkState>,
    tx: mpsc::Sender<QueuedFrame>,
    tasks: [JoinHandle<()>; 2],
}

impl Link {
    /// Connects to `address` and sends `hello`.
    ///
    /// # Errors
    ///
    /// When the link is not open by `deadline`.
    pub async fn connect(
        address: SocketAddr,
        hello: &Hello,
        deadline: Time,
    ) -> Result<Self, LinkError> {
        let connected = with_deadline(deadline, TcpStream::connect(address)).await;
        let stream =
            connected.ok_or(LinkError::NotConnected)?.map_err(|_| LinkError::NotConnected)?;
        // small frames must not wait for the acknowledgement of earlier ones
        stream.set_nodelay(true).map_err(|_| LinkError::NotConnected)?;
        let (read, write) = stream.into_split();
        let state = Arc::new(LinkState {
            pending_calls: Mutex::default(),
            closed: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
            used_at: AtomicU64::new(crate::now().as_millis()),
        });
        let (tx, rx) = mpsc::channel(WRITE_QUEUE_FRAMES);
        let tasks = [
            tokio::spawn(write_frames(FramedWrite::new(write, codec()), rx, state.clone())),
            tokio::spawn(read_frames(FramedRead::new(read, codec()), state.clone())),
        ];
        let link = Self { state, tx, tasks };
        link.call(Body::Hello(hello.clone()), deadline).await?;
        Ok(link)
    }

    /// Returns true once the connection has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::Acquire)
    }

    /// Number of frames that wait to be written.
    #[must_use]
    pub fn queued_frames(&self) -> usize {
        self.tx.max_capacity() - self.tx.capacity()
    }

    /// Time of the last message on this link.
    #[must_use]
    pub fn last_used_at(&self) -> Time {
        Time::from_millis(self.state.used_at.load(Ordering::Relaxed))
    }

    fn next_id(&self) -> u64 {
        self.state.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn record_use(&self) {
        self.state.used_at.store(crate::now().as_millis(), Ordering::Relaxed);
    }

    /// Sends a request and waits for the answer until `deadline`.
    ///
    /// # Errors
    ///
    /// When no answer arrives.
    pub async fn call(&self, body: Body, deadline: Time) -> Result<Body, LinkError> {
        self.record_use();
        self.request(body, deadline).await
    }

    /// Returns true if the peer answers a status request before `deadline`. This does not count as a
    /// use of the link.
    pub async fn answers(&self, deadline: Time) -> bool {
        let request = Body::Status(StatusMsg { json: String::new() });
        self.request(request, deadline).await.is_ok()
    }

    async fn request(&self, body: Body, deadline: Time) -> Result<Body, LinkError> {
        let id = self.next_id();
        let (answer_tx, answer_rx) = oneshot::channel();
        self.state.pending_calls.lock().insert(id, answer_tx);
        let guard = PendingCallGuard { state: &self.state, id };
        if self.is_closed() {
            return Err(LinkError::Broken);
        }
        self.tx.try_send(QueuedFrame::new(id, body)).map_err(|_| LinkError::Broken)?;
        let answer = with_deadline(deadline, answer_rx).await.ok_or(LinkError::TimedOut)?;
        drop(guard);
        answer.map_err(|_| LinkError::Broken)
    }

    /// Sends a one-way message, without waiting for an answer.
    pub fn notify(&self, body: Body) {
        let _ = self.try_notify(body);
    }

    /// Sends a one-way message. Returns false if it was certainly not sent.
    #[must_use]
    pub fn try_notify(&self, body: Body) -> bool {
        self.record_use();
        let id = self.next_id();
        self.tx.try_send(QueuedFrame::new(id, body)).is_ok()
    }

    /// Sends a one-way message and waits until it is written to the connection, so that it reaches
    /// the peer even if this process is killed then. Returns false if it is not written by
    /// `deadline`; it may be written later.
    pub async fn notify_written(&self, body: Body, deadline: Time) -> bool {
        self.record_use();
        let id = self.next_id();
        let (written_tx, written_rx) = oneshot::channel();
        let frame = QueuedFrame { written: Some(written_tx), ..QueuedFrame::new(id, body) };
        let is_queued = self.tx.try_send(frame).is_ok();
        is_queued && matches!(with_deadline(deadline, written_rx).await, Some(Ok(())))
    }

    /// Closes the connection, for instance because the peer does not answer.
    pub fn close(&self) {
        self.state.close();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.close();
    }
}

// removes a call from the pending calls when it ends
struct PendingCallGuard<'a> {
    state: &'a LinkState,
    id: u64,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        self.state.pending_calls.lock().swap_remove(&self.id);
    }
}

impl LinkState {
    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        self.pending_calls.lock().clear();
    }
}

async fn write_frames(
    mut sink: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    mut rx: mpsc::Receiver<QueuedFrame>,
    state: Arc<LinkState>,
) {
    while let Some(frame) = rx.recv().await {
        if sink.send(frame.bytes).await.is_err() {
            break;
        }
        if let Some(written) = frame.written {
            // a sender that no longer waits needs no notice
            let _ = written.send(());
        }
    }
    state.close();
}

async fn read_frames(
    mut source: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    state: Arc<LinkState>,
) {
    while let Some(Ok(bytes)) = source.next().await {
        let Ok(Frame { id, body }) = Frame::decode(bytes) else {
            break;
        };
        // an answer whose call has ended is dropped, and one of a kind that is not known ends its call
        let pending = state.pending_calls.lock().swap_remove(&id);
        if let (Some(answer_tx), Some(body)) = (pending, body) {
            let _ = answer_tx.send(body);
        }
    }
    state.close();
}
