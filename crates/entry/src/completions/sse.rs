//! Splitting a stream of bytes into server-sent events.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes.
const EVENT_BYTES_MAX: usize = 1024 * 1024;

/// Bytes that do not make a whole event yet.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buf: BytesMut,
}

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SseEvent {
    /// The end marker.
    Done,
    /// Data, with the bytes of the whole event.
    Data(Bytes),
}

impl SseDecoder {
    /// Adds bytes. False when an event grows beyond all bounds.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_BYTES_MAX
    }

    /// The next whole event.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buf.split_to(end + 2).freeze();
        let done = event_data(&event) == b"[DONE]";
        Some(if done { SseEvent::Done } else { SseEvent::Data(event) })
    }
}

/// The data of an event without its field name.
pub(crate) fn event_data(event: &[u8]) -> &[u8] {
    let data = event.strip_prefix(b"data:").unwrap_or(event);
    data.trim_ascii()
}
