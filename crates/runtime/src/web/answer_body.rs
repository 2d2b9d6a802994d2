//! Body of an answer, whose connection waits for its client once it has ended.

use {
    super::connections::ConnectionPlace,
    bytes::Bytes,
    http::{HeaderValue, Response, header},
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Body of an answer on a connection that has a place.
#[derive(Debug)]
pub struct AnswerBody<B> {
    body: B,
    place: Arc<ConnectionPlace>,
}

impl<B> AnswerBody<B> {
    /// The answer on the connection with this place. It announces the end of the connection, if it is the last.
    #[must_use]
    pub fn wrap(mut answer: Response<B>, place: Arc<ConnectionPlace>) -> Response<Self> {
        if place.closes_after_answer() {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer.map(|body| Self { body, place })
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.place.record_wait();
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for AnswerBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
