//! Relays an engine's event stream to the caller and checks each part.

use {
    super::{
        labels::{ExpectedLabels, PartCheck},
        sse::{SseDecoder, SseEvent, event_data},
    },
    crate::{keepers::OpenTicket, state::Entry},
    bytes::Bytes,
    egret_core::{AttemptEnd, Outcome, Reason},
    egret_runtime::{ErrorResponse, error_json, events},
    futures::Stream,
    http::StatusCode,
    http_body_util::BodyExt,
    std::{collections::VecDeque, io, sync::Arc, time::Duration},
    volo_http::{body::Body, response::Response},
};

/// Time for sending the error event before the connection is aborted, in milliseconds.
const ERROR_EVENT_FLUSH_MS: u64 = 50;

/// Reason why a stream ended before its end marker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamFailure {
    /// No data arrived in time.
    TimedOut,
    /// The connection failed or was closed.
    ConnectionLost,
    /// A part was malformed or did not belong to this answer.
    Mismatch,
}

/// An engine's event stream, from the first part to the end marker.
pub(crate) struct EngineStream {
    entry: Arc<Entry>,
    expected: ExpectedLabels,
    body: Body,
    decoder: SseDecoder,
    ready_parts: VecDeque<Bytes>,
    next_index: u64,
    done: bool,
    ticket: OpenTicket,
}

impl EngineStream {
    /// Reads and checks the first part. Until this succeeds, another attempt can replace this one.
    pub(super) async fn await_first_part(
        entry: &Arc<Entry>,
        expected: ExpectedLabels,
        response: Response,
        ticket: OpenTicket,
    ) -> Result<Self, AttemptEnd> {
        let mut stream = Self {
            entry: entry.clone(),
            expected,
            body: response.into_body(),
            decoder: SseDecoder::default(),
            ready_parts: VecDeque::new(),
            next_index: 0,
            done: false,
            ticket,
        };
        let timeout = Duration::from_millis(entry.cfg.times.first_part_ms);
        match stream.read_next(timeout).await {
            Ok(()) => Ok(stream),
            Err(failure) => {
                let reason = match failure {
                    StreamFailure::TimedOut => Reason::TargetFailed,
                    StreamFailure::ConnectionLost => {
                        stream.ticket.report_broken().await;
                        Reason::TargetFailed
                    }
                    StreamFailure::Mismatch => Reason::BadAnswer,
                };
                Err(AttemptEnd::Broken(reason))
            }
        }
    }

    /// Returns the events for the caller. A failed stream ends with an error event, without an end
    /// marker, and its body is aborted. `on_end` is called with true if the stream is complete.
    pub(super) fn relay<F>(self, on_end: F) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync
    where
        F: FnOnce(bool) + Send + Sync + 'static,
    {
        let state = Some((self, Some(on_end)));
        futures::stream::unfold((state, false), |(state, aborted)| async move {
            if aborted {
                // The error event must be sent before the connection is aborted.
                tokio::time::sleep(Duration::from_millis(ERROR_EVENT_FLUSH_MS)).await;
                return Some((Err(io::Error::other("answer stream failed")), (None, false)));
            }
            let (mut stream, mut on_end) = state?;
            if let Some(part) = stream.ready_parts.pop_front() {
                return Some((Ok(part), (Some((stream, on_end)), false)));
            }
            let timeout = Duration::from_millis(stream.entry.cfg.times.silence_ms);
            match stream.read_next(timeout).await {
                Ok(()) if stream.ready_parts.is_empty() => {
                    stream.ticket.mark_done();
                    report_end(&mut on_end, true);
                    None
                }
                Ok(()) => {
                    let part = stream.ready_parts.pop_front().unwrap_or_default();
                    Some((Ok(part), (Some((stream, on_end)), false)))
                }
                Err(failure) => {
                    let part = stream.error_event(failure);
                    if failure == StreamFailure::ConnectionLost {
                        stream.ticket.report_broken().await;
                    }
                    report_end(&mut on_end, false);
                    Some((Ok(part), (None, true)))
                }
            }
        })
    }

    /// Reads at least one more part, or the end marker.
    async fn read_next(&mut self, timeout: Duration) -> Result<(), StreamFailure> {
        while self.ready_parts.is_empty() && !self.done {
            let frame = tokio::time::timeout(timeout, self.body.frame()).await;
            let frame = frame.map_err(|_| StreamFailure::TimedOut)?;
            let Some(Ok(frame)) = frame else {
                return Err(StreamFailure::ConnectionLost);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !self.decoder.push(&data) {
                return Err(StreamFailure::Mismatch);
            }
            self.process_events()?;
        }
        Ok(())
    }

    fn process_events(&mut self) -> Result<(), StreamFailure> {
        while let Some(event) = self.decoder.next_event() {
            match event {
                SseEvent::Done => {
                    self.ready_parts.push_back(Bytes::from_static(b"data: [DONE]\n\n"));
                    self.done = true;
                    return Ok(());
                }
                SseEvent::Data(bytes) => self.accept_part(bytes)?,
            }
        }
        Ok(())
    }

    fn accept_part(&mut self, event: Bytes) -> Result<(), StreamFailure> {
        let value =
            serde_json::from_slice(event_data(&event)).map_err(|_| StreamFailure::Mismatch)?;
        match self.expected.check_part(&value, self.next_index) {
            PartCheck::Next => {
                self.next_index += 1;
                self.ready_parts.push_back(event);
                Ok(())
            }
            PartCheck::Duplicate => {
                self.entry.counts.answers_dropped.inc();
                Ok(())
            }
            PartCheck::Mismatch => {
                self.entry.counts.answers_dropped.inc();
                events::ANSWER_DROPPED.warn(format_args!(
                    "request={} labels of a stream part do not match",
                    self.expected.request_id
                ));
                Err(StreamFailure::Mismatch)
            }
        }
    }

    fn error_event(&self, failure: StreamFailure) -> Bytes {
        let answer = ErrorResponse {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason: if failure == StreamFailure::Mismatch {
                Reason::BadAnswer
            } else {
                Reason::TargetFailed
            },
            message: "the answer broke off; what came so far is not the whole".to_owned(),
            retry_after_ms: Some(1000),
            request: self.expected.request_id.clone(),
        };
        Bytes::from(format!("data: {}\n\n", error_json(&answer)))
    }
}

fn report_end<F: FnOnce(bool)>(on_end: &mut Option<F>, is_complete: bool) {
    if let Some(on_end) = on_end.take() {
        on_end(is_complete);
    }
}
