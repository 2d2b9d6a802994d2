//! Passing a stream on, part by part, each checked.

use {
    super::{
        check::{Expected, Part},
        sse::{Event, Events, payload},
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

/// Time for the last event of a stream that is then cut, in milliseconds.
const LAST_EVENT_MS: u64 = 50;

/// Why a stream ended before its end marker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cut {
    /// Nothing came for too long.
    Silent,
    /// The connection broke or closed.
    Broken,
    /// A part did not belong to this answer.
    Foreign,
}

/// A stream from an engine, from its first part to its end marker.
pub(crate) struct EngineStream {
    entry: Arc<Entry>,
    expected: Expected,
    body: Body,
    events: Events,
    ready: VecDeque<Bytes>,
    next_index: u64,
    done: bool,
    ticket: OpenTicket,
}

impl EngineStream {
    /// Reads until the first part has come and was checked. Until then another attempt can
    /// still take its place.
    pub(super) async fn begin(
        entry: &Arc<Entry>,
        expected: Expected,
        response: Response,
        ticket: OpenTicket,
    ) -> Result<Self, AttemptEnd> {
        let mut stream = Self {
            entry: entry.clone(),
            expected,
            body: response.into_body(),
            events: Events::default(),
            ready: VecDeque::new(),
            next_index: 0,
            done: false,
            ticket,
        };
        let first_part = Duration::from_millis(entry.cfg.times.first_part_ms);
        match stream.fill(first_part).await {
            Ok(()) => Ok(stream),
            Err(cut) => {
                let reason = match cut {
                    Cut::Silent => Reason::TargetFailed,
                    Cut::Broken => {
                        stream.ticket.broken().await;
                        Reason::TargetFailed
                    }
                    Cut::Foreign => Reason::BadAnswer,
                };
                Err(AttemptEnd::Broken(reason))
            }
        }
    }

    /// The parts for the caller. A stream that breaks off ends with an error event, no end
    /// marker, and an aborted body. `finished` is told how it went.
    pub(super) fn relay<F>(self, finished: F) -> impl Stream<Item = io::Result<Bytes>> + Send + Sync
    where
        F: FnOnce(bool) + Send + Sync + 'static,
    {
        let state = Some((self, Some(finished)));
        futures::stream::unfold((state, false), |(state, aborted)| async move {
            if aborted {
                // time for the error event to leave before the connection is cut
                tokio::time::sleep(Duration::from_millis(LAST_EVENT_MS)).await;
                return Some((Err(io::Error::other("the answer broke off")), (None, false)));
            }
            let (mut stream, mut finished) = state?;
            if let Some(part) = stream.ready.pop_front() {
                return Some((Ok(part), (Some((stream, finished)), false)));
            }
            let silence = Duration::from_millis(stream.entry.cfg.times.silence_ms);
            match stream.fill(silence).await {
                Ok(()) if stream.ready.is_empty() => {
                    stream.ticket.done();
                    report(&mut finished, true);
                    None
                }
                Ok(()) => {
                    let part = stream.ready.pop_front().unwrap_or_default();
                    Some((Ok(part), (Some((stream, finished)), false)))
                }
                Err(cut) => {
                    let part = stream.cut_event(cut);
                    if cut == Cut::Broken {
                        stream.ticket.broken().await;
                    }
                    report(&mut finished, false);
                    Some((Ok(part), (None, true)))
                }
            }
        })
    }

    /// Waits for at least one more part, or for the end marker.
    async fn fill(&mut self, most: Duration) -> Result<(), Cut> {
        while self.ready.is_empty() && !self.done {
            let frame = tokio::time::timeout(most, self.body.frame()).await;
            let frame = frame.map_err(|_| Cut::Silent)?;
            let Some(Ok(frame)) = frame else {
                return Err(Cut::Broken);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if !self.events.push(&data) {
                return Err(Cut::Foreign);
            }
            self.take_events()?;
        }
        Ok(())
    }

    fn take_events(&mut self) -> Result<(), Cut> {
        while let Some(event) = self.events.next() {
            match event {
                Event::Done => {
                    self.ready.push_back(Bytes::from_static(b"data: [DONE]\n\n"));
                    self.done = true;
                    return Ok(());
                }
                Event::Data(bytes) => self.take_part(bytes)?,
            }
        }
        Ok(())
    }

    fn take_part(&mut self, event: Bytes) -> Result<(), Cut> {
        let value = serde_json::from_slice(payload(&event)).map_err(|_| Cut::Foreign)?;
        match self.expected.part(&value, self.next_index) {
            Part::Next => {
                self.next_index += 1;
                self.ready.push_back(event);
                Ok(())
            }
            Part::Repeated => {
                self.entry.counts.answers_dropped.inc();
                Ok(())
            }
            Part::Foreign => {
                self.entry.counts.answers_dropped.inc();
                events::ANSWER_DROPPED.warn(format_args!("request={}", self.expected.request));
                Err(Cut::Foreign)
            }
        }
    }

    fn cut_event(&self, cut: Cut) -> Bytes {
        let answer = ErrorResponse {
            status: StatusCode::BAD_GATEWAY,
            outcome: Outcome::Unknown,
            reason: if cut == Cut::Foreign { Reason::BadAnswer } else { Reason::TargetFailed },
            message: "the answer broke off; what came so far is not the whole".to_owned(),
            retry_after_ms: Some(1000),
            request: self.expected.request.clone(),
        };
        Bytes::from(format!("data: {}\n\n", error_json(&answer)))
    }
}

fn report<F: FnOnce(bool)>(finished: &mut Option<F>, whole: bool) {
    if let Some(finished) = finished.take() {
        finished(whole);
    }
}
