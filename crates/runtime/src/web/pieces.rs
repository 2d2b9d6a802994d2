//! Bytes of a body that arrive in parts of any size.

use {
    bytes::{Bytes, BytesMut},
    std::collections::VecDeque,
};

/// Size of the first piece, in bytes.
const FIRST_PIECE_BYTES: usize = 1024;

/// Size of the largest piece, in bytes.
const PIECE_BYTES_MAX: usize = 16 * 1024;

/// The bytes of a body, in pieces of this process's own. Parts are copied, since a part of a connection's
/// buffer would keep the whole of it, and a single buffer that grows would take up to three times the length.
#[derive(Debug, Default)]
pub struct Pieces {
    full: VecDeque<Bytes>,
    last: BytesMut,
    len: usize,
    capacity: usize,
}

impl Pieces {
    /// Number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// True if there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Memory to take before `push` is called with `part`, in bytes. `remaining` is the number of bytes that
    /// are still to come, if it is known, with those of `part`.
    #[must_use]
    pub fn growth(&self, part: &[u8], remaining: Option<u64>) -> usize {
        let mut missing = part.len().saturating_sub(self.room());
        let mut remaining = remaining.map(|n| self.beyond_room(n));
        let mut capacity = self.capacity;
        while missing > 0 {
            let piece = piece_bytes(capacity, remaining);
            capacity += piece;
            missing = missing.saturating_sub(piece);
            remaining = remaining.map(|n| n.saturating_sub(piece));
        }
        capacity - self.capacity
    }

    /// Appends a part. `remaining` is as in `growth`.
    pub fn push(&mut self, part: &[u8], remaining: Option<u64>) {
        let mut remaining = remaining.map(|n| self.beyond_room(n));
        let mut rest = part;
        while !rest.is_empty() {
            if self.room() == 0 {
                let piece = piece_bytes(self.capacity, remaining);
                let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(piece));
                if !full.is_empty() {
                    self.full.push_back(full.freeze());
                }
                self.capacity += piece;
                remaining = remaining.map(|n| n.saturating_sub(piece));
            }
            let (now, later) = rest.split_at(rest.len().min(self.room()));
            self.last.extend_from_slice(now);
            self.len += now.len();
            rest = later;
        }
    }

    /// All bytes in one buffer. Until it is filled, the body takes its memory twice at most.
    #[must_use]
    pub fn into_bytes(mut self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.len);
        while let Some(piece) = self.full.pop_front() {
            bytes.extend_from_slice(&piece);
        }
        bytes.extend_from_slice(&self.last);
        bytes.freeze()
    }

    /// The pieces, in their order.
    #[must_use]
    pub fn into_pieces(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.full.push_back(self.last.freeze());
        }
        self.full
    }

    // bytes that fit into the last piece
    fn room(&self) -> usize {
        self.last.capacity() - self.last.len()
    }

    // how many of these bytes do not fit into the last piece
    fn beyond_room(&self, bytes: u64) -> usize {
        usize::try_from(bytes).unwrap_or(usize::MAX).saturating_sub(self.room())
    }
}

// size of the next piece: they grow with the body, and the last one has no spare room if its end is known
fn piece_bytes(capacity: usize, remaining: Option<usize>) -> usize {
    let size = capacity.clamp(FIRST_PIECE_BYTES, PIECE_BYTES_MAX);
    remaining.map_or(size, |remaining| remaining.clamp(1, size))
}
