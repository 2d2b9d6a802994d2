//! Splits a stream of server-sent events into complete events.

use {
    bytes::{Bytes, BytesMut},
    thiserror::Error,
};

/// Largest event, in bytes. A target in trouble may send bytes without end.
const EVENT_BYTES_MAX: usize = 256 * 1024;

/// Why bytes are no part of a stream.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum EventError {
    /// The number of an event does not follow the one before it.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Number of the event before it.
        last: u64,
        /// Number of the event.
        found: u64,
    },
    /// An event without a number is the first one after a resumption.
    #[error("event without a number after a resumption")]
    Unnumbered,
    /// An event is too long, or has no end.
    #[error("event of more than {EVENT_BYTES_MAX} bytes")]
    TooLong,
}

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) at the ends of events, so that
/// a stream that breaks off within an event can be resumed at another target.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial_event: BytesMut,
    // its bytes that were searched for the end of the event, and whether they end with an empty line so
    // far
    searched: usize,
    is_line_empty: bool,
    last_number: Option<u64>,
    event_count: u64,
    // events other than comments and reconnection times
    content_count: u64,
    // true from a resumption to the first event after it
    awaits_number: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream of which the caller already has the events up to `last`.
    #[must_use]
    pub fn resuming_after(last: Option<u64>) -> Self {
        Self { last_number: last, ..Self::default() }
    }

    /// Number of the last complete event.
    #[must_use]
    pub fn last_number(&self) -> Option<u64> {
        self.last_number
    }

    /// Number of events received.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Number of events received, without comments and reconnection times.
    #[must_use]
    pub fn content_count(&self) -> u64 {
        self.content_count
    }

    /// True when the bytes so far end with a complete event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.partial_event.is_empty()
    }

    /// Discards the beginning of an event that will not be completed.
    pub fn discard_partial(&mut self) {
        self.partial_event.clear();
        self.restart_search();
    }

    /// Rejects the next event unless it has a number, since it comes from another target.
    pub fn require_number(&mut self) {
        self.awaits_number = true;
    }

    /// Adds bytes and returns the events that are complete now, which may be none.
    ///
    /// # Errors
    ///
    /// Fails when the number of an event is not one above the number before it, the first event after a
    /// resumption has none, or an event is too long. No event of these bytes counts as received then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        self.partial_event.extend_from_slice(bytes);
        let taken = self.take_complete();
        if taken.is_err() {
            self.restart_search();
        }
        taken
    }

    fn take_complete(&mut self) -> Result<Bytes, EventError> {
        let mut complete_len = 0;
        let mut last_number = self.last_number;
        let mut event_count = self.event_count;
        let mut content_count = self.content_count;
        let mut awaits_number = self.awaits_number;
        while let Some(end) = self.find_end(complete_len) {
            let event = &self.partial_event[complete_len..end];
            let is_without_content = is_without_content(event);
            if let Some(found) = event_number(event) {
                match last_number {
                    Some(last) if found != last + 1 => {
                        return Err(EventError::OutOfOrder { last, found });
                    }
                    _ => last_number = Some(found),
                }
                awaits_number = false;
            } else if awaits_number && !is_without_content {
                return Err(EventError::Unnumbered);
            }
            complete_len = end;
            event_count += 1;
            content_count += u64::from(!is_without_content);
        }
        if self.partial_event.len() - complete_len > EVENT_BYTES_MAX {
            return Err(EventError::TooLong);
        }
        self.last_number = last_number;
        self.event_count = event_count;
        self.content_count = content_count;
        self.searched -= complete_len;
        self.awaits_number = awaits_number;
        Ok(self.partial_event.split_to(complete_len).freeze())
    }

    // The end of the event that begins at `from`: the position after its blank line. Bytes of it that were
    // searched before are not searched again.
    fn find_end(&mut self, from: usize) -> Option<usize> {
        let start = from.max(self.searched);
        for (i, byte) in self.partial_event[start..].iter().enumerate() {
            match byte {
                b'\n' if self.is_line_empty => {
                    self.searched = start + i + 1;
                    self.is_line_empty = false;
                    return Some(self.searched);
                }
                b'\n' => self.is_line_empty = true,
                b'\r' => {}
                _ => self.is_line_empty = false,
            }
        }
        self.searched = self.partial_event.len();
        None
    }

    fn restart_search(&mut self) {
        self.searched = 0;
        self.is_line_empty = false;
    }
}

// true for comments and reconnection times, which are no events
fn is_without_content(event: &[u8]) -> bool {
    let mut lines = event.split(|b| *b == b'\n').map(<[u8]>::trim_ascii_end);
    lines.all(|line| line.is_empty() || line.starts_with(b":") || line.starts_with(b"retry:"))
}

fn event_number(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
