//! Decodes a byte stream into server-sent events.

use bytes::{Bytes, BytesMut};

/// Size limit of the decoder's buffer, in bytes.
const BUFFER_BYTES_MAX: usize = 1024 * 1024;

/// Incremental decoder that buffers the bytes of an incomplete event.
#[derive(Debug, Default)]
pub(crate) struct SseDecoder {
    buf: BytesMut,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SseEvent {
    /// The end marker, `[DONE]`.
    Done,
    /// A data event, with all its bytes including the field name.
    Data(Bytes),
}

impl SseDecoder {
    /// Appends bytes. Returns false if the buffer exceeds [`BUFFER_BYTES_MAX`].
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= BUFFER_BYTES_MAX
    }

    /// Removes and returns the next complete event.
    pub(crate) fn next_event(&mut self) -> Option<SseEvent> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let event = self.buf.split_to(end + 2).freeze();
        let done = event_data(&event) == b"[DONE]";
        Some(if done { SseEvent::Done } else { SseEvent::Data(event) })
    }
}

/// Returns the data of an event without its field name.
pub(crate) fn event_data(event: &[u8]) -> &[u8] {
    let data = event.strip_prefix(b"data:").unwrap_or(event);
    data.trim_ascii()
}
