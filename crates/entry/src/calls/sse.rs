//! Splitting a stream of bytes into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Bytes that do not make a whole event yet.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buf: BytesMut,
}

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Event {
    /// The end marker.
    Done,
    /// Data, with the bytes of the whole event.
    Data(Bytes),
}

impl Events {
    /// Adds bytes. False when an event grows beyond all bounds.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_BYTES_MAX
    }

    /// The next whole event.
    pub(crate) fn next(&mut self) -> Option<Event> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buf.split_to(end + 2).freeze();
        let done = payload(&event) == b"[DONE]";
        Some(if done { Event::Done } else { Event::Data(event) })
    }
}

/// The data of an event without its field name.
pub(crate) fn payload(event: &[u8]) -> &[u8] {
    let data = event.strip_prefix(b"data:").unwrap_or(event);
    data.trim_ascii()
}
