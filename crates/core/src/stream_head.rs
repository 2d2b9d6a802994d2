//! What the head of an answer says of the stream that it begins or goes on with.

use faststr::FastStr;

/// Head of an answer that is an event stream, as far as an answer that goes on with it has to match.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamHead {
    status: u16,
    // lower case, without parameters
    media_type: Option<FastStr>,
}

impl StreamHead {
    /// Reads the status of an answer and its `Content-Type`, if it has one.
    #[must_use]
    pub fn new(status: u16, content_type: Option<&str>) -> Self {
        let media_type = content_type.and_then(|value| value.split(';').next());
        let media_type = media_type.map(|text| FastStr::from(text.trim().to_ascii_lowercase()));
        Self { status, media_type }
    }

    /// True if an answer with the head `next` may go on with this stream: an error page or an empty answer
    /// is no part of it, whatever its status.
    #[must_use]
    pub fn is_continued_by(&self, next: &Self) -> bool {
        self == next
    }
}
