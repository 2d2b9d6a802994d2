//! Body of an answer, whose connection waits for its caller once it has ended.

use {
    super::answer::BodyError,
    bytes::Bytes,
    egret_runtime::ConnectionPlace,
    http_body::{Body, Frame, SizeHint},
    http_body_util::combinators::UnsyncBoxBody,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Body of an answer on a caller's connection.
pub(super) struct AnswerBody {
    body: UnsyncBoxBody<Bytes, BodyError>,
    place: Arc<ConnectionPlace>,
}

impl AnswerBody {
    pub(super) fn new(body: UnsyncBoxBody<Bytes, BodyError>, place: Arc<ConnectionPlace>) -> Self {
        Self { body, place }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.place.record_wait();
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
