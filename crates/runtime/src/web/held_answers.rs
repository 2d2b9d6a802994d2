//! Answers that are held whole until their callers have read them.
//!
//! All of them share a part of the host's memory. The system's buffers for a caller are bounded, so a
//! caller that does not read leaves its answer here. If there is no room for another answer, callers that
//! have read nothing for a while are cut off.

use {
    super::pieces::Pieces,
    crate::clock::now,
    bytes::{Buf, Bytes},
    egret_core::Time,
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        convert::Infallible,
        io::{self, Read},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::Duration,
    },
    thiserror::Error,
    tokio::sync::Notify,
};

/// Part of each answer that does not count for the memory that all of them share, so that answers
/// without end from some targets do not keep out those of others. The system's buffers take it.
const ANSWER_BYTES_FREE: usize = 64 * 1024;

/// Time without progress after which a caller may be cut off to make room.
const SLOW_READER_MS: u64 = 5000;

/// Pause after callers were cut off, in which their answers are dropped.
const CUT_PAUSE: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Reader {
    progress_at: Time,
    // notified to cut the connection
    cut: Arc<Notify>,
}

/// The memory of answers that are held, and who has to read them.
#[derive(Debug)]
pub struct HeldAnswers {
    bytes_max: usize,
    taken: AtomicUsize,
    next_reader: AtomicU64,
    readers: Mutex<IndexMap<u64, Reader>>,
}

impl HeldAnswers {
    /// Answers that share `bytes_max` beyond the first 64 KB of each.
    #[must_use]
    pub fn new(bytes_max: usize) -> Arc<Self> {
        Arc::new(Self {
            bytes_max,
            taken: AtomicUsize::new(0),
            next_reader: AtomicU64::new(0),
            readers: Mutex::default(),
        })
    }

    // cuts off the callers that have read nothing for a while; returns false if there are none
    fn cut_slow_readers(&self) -> bool {
        let readers = self.readers.lock();
        let is_slow = |reader: &&Reader| now() >= reader.progress_at.after_ms(SLOW_READER_MS);
        let slow = readers.values().filter(is_slow);
        slow.map(|reader| reader.cut.notify_one()).count() > 0
    }
}

/// Reason why an answer was not read.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum AnswerReadError {
    /// It broke off, or is too large.
    #[error("the answer broke off or is too large")]
    Incomplete,
    /// There is no memory for it.
    #[error("no memory for the answer")]
    NoRoom,
}

// the part of the shared memory that an answer takes
#[derive(Debug)]
struct HeldBytes {
    answers: Arc<HeldAnswers>,
    taken: usize,
    reader: Option<u64>,
}

impl HeldBytes {
    // returns false if there is no room for an answer of this length
    fn take(&mut self, length: usize) -> bool {
        let more = length.saturating_sub(ANSWER_BYTES_FREE).saturating_sub(self.taken);
        let held = &self.answers;
        if more == 0 {
            return true;
        }
        if held.taken.fetch_add(more, Ordering::Relaxed) + more > held.bytes_max {
            held.taken.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.taken += more;
        true
    }

    // gives back what an answer of this length no longer needs
    fn shrink(&mut self, length: usize) {
        let needed = length.saturating_sub(ANSWER_BYTES_FREE).min(self.taken);
        self.answers.taken.fetch_sub(self.taken - needed, Ordering::Relaxed);
        self.taken = needed;
    }

    async fn take_or_cut(&mut self, length: usize) -> bool {
        if self.take(length) {
            return true;
        }
        if !self.answers.cut_slow_readers() {
            return false;
        }
        tokio::time::sleep(CUT_PAUSE).await;
        self.take(length)
    }

    // called when the caller begins to read
    fn set_reader(&mut self, cut: Arc<Notify>) {
        if self.taken > 0 {
            let held = &self.answers;
            let id = held.next_reader.fetch_add(1, Ordering::Relaxed);
            held.readers.lock().insert(id, Reader { progress_at: now(), cut });
            self.reader = Some(id);
        }
    }

    fn record_progress(&self) {
        let mut readers = self.answers.readers.lock();
        if let Some(reader) = self.reader.and_then(|id| readers.get_mut(&id)) {
            reader.progress_at = now();
        }
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = &self.answers;
        held.taken.fetch_sub(self.taken, Ordering::Relaxed);
        if let Some(id) = self.reader {
            held.readers.lock().swap_remove(&id);
        }
    }
}

/// A whole answer, as the body of that to the caller.
#[derive(Debug)]
pub struct WholeAnswer {
    pieces: VecDeque<Bytes>,
    // bytes of all pieces
    length: usize,
    held: HeldBytes,
}

impl WholeAnswer {
    /// Reads the body of an answer, of `bytes_max` at most.
    ///
    /// # Errors
    ///
    /// If it is not complete or too large, or if there is no memory for it.
    pub async fn read<B>(
        answers: &Arc<HeldAnswers>,
        body: B,
        bytes_max: usize,
    ) -> Result<Self, AnswerReadError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut body = body;
        let held = HeldBytes { answers: answers.clone(), taken: 0, reader: None };
        let mut this = Self { pieces: VecDeque::new(), length: 0, held };
        let mut pieces = Pieces::default();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| AnswerReadError::Incomplete)?.into_data() {
                let length = this.length + data.len();
                if length > bytes_max {
                    return Err(AnswerReadError::Incomplete);
                }
                if !this.held.take_or_cut(length).await {
                    return Err(AnswerReadError::NoRoom);
                }
                this.length = length;
                let remaining = body.size_hint().exact().map(|rest| rest + data.len() as u64);
                pieces.push(&data, remaining);
            }
        }
        this.pieces = pieces.into_pieces();
        Ok(this)
    }

    /// Names what cuts off the caller that has to read it.
    pub fn set_reader(&mut self, cut: &Arc<Notify>) {
        self.held.set_reader(cut.clone());
    }

    /// All bytes in one buffer, if there are no more than `bytes_max`.
    #[must_use]
    pub fn small_bytes(&self, bytes_max: usize) -> Option<Bytes> {
        (self.length <= bytes_max).then(|| self.pieces.iter().flatten().copied().collect())
    }

    /// Reads the bytes without taking them.
    #[must_use]
    pub fn reader(&self) -> impl Read {
        PiecesReader { pieces: self.pieces.iter().cloned().collect() }
    }
}

// reads pieces one after another
struct PiecesReader {
    pieces: VecDeque<Bytes>,
}

impl Read for PiecesReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let Some(piece) = self.pieces.front_mut() else {
            return Ok(0);
        };
        let length = piece.len().min(buf.len());
        piece.copy_to_slice(&mut buf[..length]);
        if piece.is_empty() {
            self.pieces.pop_front();
        }
        Ok(length)
    }
}

impl Body for WholeAnswer {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let piece = this.pieces.pop_front();
        this.length -= piece.as_ref().map_or(0, Bytes::len);
        this.held.record_progress();
        this.held.shrink(this.length);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}
