//! Passes on answers that are event streams, and resumes broken streams on other targets.

use {
    super::{
        attempt::{self, HealthSignal, TargetAnswer, record_health},
        crash_suspects,
        event_reader::{NextEvents, read_events},
        request::{OutgoingRequest, SharedRequest},
        resumption,
        serve::{ANSWER_BYTES_MAX, BodyEnd, RequestSender, finish_unanswered, record_answer},
        silence::{ResumePoint, SilenceEnd},
    },
    crate::{
        peers,
        server::{Answer, BodyError},
        state::{Edge, OpenRequest},
    },
    bytes::Bytes,
    egret_core::{
        CutReason, EndMark, EventSplitter, EventWait, FinalAnswer, PaceSource, STREAM_SAMPLE_MS,
        SendDecision, SendEnd, StreamHead, Target, Time,
    },
    egret_platform::forwarded_answer_headers,
    egret_runtime::{AnswerReadError, EventId, WholeAnswer, events, now, with_deadline},
    futures::stream::unfold,
    http::{HeaderMap, Response, header},
    http_body::{Body, Frame},
    http_body_util::{BodyExt, StreamBody},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Another target is asked to resume a stream, if it may be, when no event arrives for this multiple
/// (in tenths) of the route's longest event gap.
const EVENT_GAP_TENTHS: u64 = 45;

/// Longest wait for the first event after the head, as a multiple (in tenths) of the route's
/// latency goal.
const FIRST_EVENT_GOAL_TENTHS: u64 = 18;

/// Shortest time between events of which the end of a stream is still a sample of its target's pace.
const STREAM_SAMPLE_MIN_MS: u64 = 100;

/// Serves a request whose answer is an event stream.
pub(crate) async fn serve(
    edge: &Arc<Edge>,
    out: SharedRequest,
    mut sender: RequestSender,
    open: OpenRequest,
) -> Answer {
    let target_answer = match sender.next_answer(None).await {
        Ok(target_answer) => target_answer,
        Err((end, reason)) => return sender.finish_unsent(end, reason, open).await,
    };
    if !target_answer.status.is_success() {
        return forward_failure(edge, &out, target_answer).await;
    }
    let (status, headers) =
        (target_answer.status, forwarded_answer_headers(&target_answer.headers));
    let end_mark = end_mark(&target_answer.headers, &target_answer.body);
    let wait = EventWait::new(silent_at(&sender, &out, false), out.deadline);
    let state = EventStream {
        edge: edge.clone(),
        splitter: EventSplitter::resuming_after(out.head.last_event_id),
        head: target_answer.stream_head(),
        out,
        sender,
        target_answer: Some(target_answer),
        end_mark,
        has_sent_events: false,
        wait,
        pace: PaceSpan::default(),
        _open: open,
    };
    let events = unfold(state, |mut state| async move {
        let next = state.next_events().await?;
        Some((next.map(Frame::data), state))
    });
    let mut answer = Response::new(StreamBody::new(Box::pin(events)).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

// passes on an engine's error answer unchanged
async fn forward_failure(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    target_answer: TargetAnswer,
) -> Answer {
    let end_mark = end_mark(&target_answer.headers, &target_answer.body);
    let read = WholeAnswer::read(&edge.held_answers, target_answer.body, ANSWER_BYTES_MAX);
    let read = with_deadline(out.deadline, read).await;
    let is_cut = match &read {
        Some(Ok(_)) if !end_mark.is_framed() => {
            crash_suspects::find_cut(edge, out, &target_answer.target, false).await.is_some()
        }
        _ => false,
    };
    let mut body = match read.filter(|_| !is_cut) {
        Some(Ok(body)) => body,
        Some(Err(AnswerReadError::NoRoom)) => {
            return finish_unanswered(edge, out, FinalAnswer::Unknown, "no memory for the answer");
        }
        Some(Err(AnswerReadError::Incomplete)) | None => {
            return finish_unanswered(edge, out, FinalAnswer::Unknown, "answer broke off");
        }
    };
    attempt::keep_connection(
        edge,
        out,
        &target_answer.target,
        target_answer.conn,
        &target_answer.headers,
    );
    body.set_reader(&out.cut_caller);
    let mut answer = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *answer.status_mut() = target_answer.status;
    *answer.headers_mut() = forwarded_answer_headers(&target_answer.headers);
    let end = BodyEnd { mark: end_mark, events: None };
    record_answer(edge, out, target_answer.status, &target_answer.target, end);
    answer
}

// What marks the end of a body that was not read yet. An answer that can have no body has the length 0.
pub(super) fn end_mark(headers: &HeaderMap, body: &Incoming) -> EndMark {
    let codings = headers.get_all(header::TRANSFER_ENCODING).into_iter().next_back();
    let last_coding = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    if body.size_hint().exact().is_some() {
        EndMark::Length
    } else if last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked")) {
        EndMark::Chunks
    } else {
        EndMark::Connection
    }
}

struct EventStream {
    edge: Arc<Edge>,
    out: SharedRequest,
    sender: RequestSender,
    target_answer: Option<TargetAnswer>,
    // what marks the end of `target_answer`
    end_mark: EndMark,
    // of the answer that the caller gets
    head: StreamHead,
    splitter: EventSplitter,
    has_sent_events: bool,
    wait: EventWait,
    pace: PaceSpan,
    _open: OpenRequest,
}

// the events since the last sample of the target's pace; the wait for the first one is left out
#[derive(Default)]
struct PaceSpan {
    started_at: Option<Time>,
    events_before: u64,
    // time in which this host waited for the target, and not for the caller
    waited_ms: u64,
    last_event_at: Option<Time>,
    // milliseconds for each event, by arrival
    event_ms: Vec<f64>,
}

impl PaceSpan {
    fn starting(at: Time, events_before: u64) -> Self {
        Self { started_at: Some(at), events_before, last_event_at: Some(at), ..Self::default() }
    }
}

impl EventStream {
    // returns the next complete events, or none at the end of the stream
    async fn next_events(&mut self) -> Option<Result<Bytes, BodyError>> {
        self.wait.resume(now());
        loop {
            let wait_started_at = now();
            let target_answer = self.target_answer.as_mut()?;
            let content_before = self.splitter.content_count();
            let mut next =
                read_events(&mut target_answer.body, &mut self.splitter, self.wait, false).await;
            if matches!(next, NextEvents::Silent) {
                let Some(later) = self.wait_while_silent().await else {
                    continue;
                };
                next = later;
            }
            self.pace.waited_ms += now().ms_since(wait_started_at);
            let handled = match next {
                NextEvents::Complete(complete) => {
                    if self.splitter.content_count() > content_before {
                        self.record_pace(STREAM_SAMPLE_MS);
                        self.record_first_event().await;
                        self.wait.restart(self.silent_at());
                    }
                    self.wait.pause(now());
                    return Some(Ok(complete));
                }
                NextEvents::Invalid(e) => self.handle_break(&e.to_string()).await,
                NextEvents::Ended { is_whole: true } => match self.find_cut().await {
                    None => {
                        self.finish_complete();
                        return None;
                    }
                    Some(problem) => self.handle_break(problem).await,
                },
                NextEvents::Ended { is_whole: false } => {
                    self.record_broken_end();
                    // the end of a stream without length or chunks is that of its connection
                    self.check_for_crash().await;
                    self.handle_break("stream ended within an event").await
                }
                NextEvents::Broken(e) => {
                    self.record_broken_end();
                    self.check_for_crash().await;
                    self.handle_break(&e.to_string()).await
                }
                NextEvents::Silent | NextEvents::DeadlinePassed => {
                    self.handle_break("deadline exceeded").await
                }
            };
            if let Err(e) = handled {
                return Some(Err(e));
            }
        }
    }

    // Takes a sample of the target's pace if its events span `span_min_ms`: the median time for an
    // event, which prompts that the target reads in between do not change.
    fn record_pace(&mut self, span_min_ms: u64) {
        let events_now = self.splitter.event_count();
        let arrived_at = now();
        let (Some(started_at), Some(last_event_at)) =
            (self.pace.started_at, self.pace.last_event_at)
        else {
            self.pace = PaceSpan::starting(arrived_at, events_now);
            return;
        };
        let events = events_now - self.pace.events_before;
        if events > 0 {
            #[allow(clippy::cast_precision_loss)]
            self.pace.event_ms.push(arrived_at.ms_since(last_event_at) as f64 / events as f64);
            self.pace.events_before = events_now;
            self.pace.last_event_at = Some(arrived_at);
        }
        let span_ms = arrived_at.ms_since(started_at);
        if span_ms < span_min_ms || self.pace.event_ms.is_empty() {
            return;
        }
        // a caller that reads slowly delays the events
        if let Some(answer) =
            self.target_answer.as_ref().filter(|_| self.pace.waited_ms * 2 > span_ms)
        {
            self.pace.event_ms.sort_unstable_by(f64::total_cmp);
            let ms = self.pace.event_ms[self.pace.event_ms.len() / 2];
            let work = &self.out.selected.service.name;
            let source = PaceSource::Events;
            peers::record_sample(&self.edge, work, &answer.target, source, ms, span_ms);
        }
        self.pace = PaceSpan::starting(arrived_at, events_now);
    }

    // Waits until the silent target goes on, or another one resumes the stream. Returns what comes next
    // of the silent target, if it came first.
    async fn wait_while_silent(&mut self) -> Option<NextEvents> {
        if self.has_sent_events {
            self.sender.reset_wait();
        }
        let last_event = self.splitter.last_number();
        let silent = self.target_answer.as_mut()?;
        let target = silent.target.clone();
        let wait = EventWait::new(Time::NEVER, self.out.deadline);
        let next = read_events(&mut silent.body, &mut self.splitter, wait, true);
        // the end of a connection may be that of the target, which is checked if no other one answers
        let is_framed = self.end_mark.is_framed();
        let failed_end = |next: &NextEvents| match next {
            NextEvents::Complete(_) => None,
            NextEvents::Ended { is_whole } if *is_whole && is_framed => None,
            _ => Some(SendEnd::Lost),
        };
        let resume_point = ResumePoint::Stream(self.head.clone(), last_event);
        match self.sender.wait_or_move(&target, resume_point, next, failed_end).await {
            SilenceEnd::Answered(next) => Some(next),
            SilenceEnd::Moved { answer, failure } => {
                if let Some(NextEvents::Broken(_) | NextEvents::Ended { .. }) = failure {
                    crash_suspects::handle_broken_connection(&self.edge, &self.out, &target).await;
                }
                self.resume_from(*answer, &target, "silent");
                None
            }
        }
    }

    // Called before the first events are passed on. From then on the stream stays at the software
    // version that wrote them.
    async fn record_first_event(&mut self) {
        if self.has_sent_events {
            return;
        }
        self.has_sent_events = true;
        #[allow(clippy::cast_precision_loss)]
        self.edge.counts.first_part_ms.observe(now().ms_since(self.out.arrived_at) as f64);
        let Some(target) = self.target_answer.as_ref().map(|answer| answer.target.clone()) else {
            return;
        };
        self.sender.restrict_to_version(target.software_version.clone());
        let has_several_versions = resumption::record_origin(&self.edge, &self.out, &target).await;
        // a host that is killed leaves no other line about its open streams
        let log = if has_several_versions { EventId::info } else { EventId::debug };
        log(
            events::STREAM_BEGAN,
            format_args!(
                "request={} route={} adapter={} target={} version={}{} end={}",
                self.out.head.id,
                self.out.selected.route.name,
                self.out.head.adapter.as_deref().unwrap_or("-"),
                target.id,
                target.software_version,
                self.out.resumption(),
                self.end_mark
            ),
        );
    }

    fn finish_complete(&mut self) {
        self.record_pace(STREAM_SAMPLE_MIN_MS);
        let Some(target_answer) = self.target_answer.take() else {
            return;
        };
        record_health(&self.edge, &target_answer.target, HealthSignal::Success);
        crash_suspects::record_sound(&self.edge, &self.out);
        let end = self.body_end();
        record_answer(&self.edge, &self.out, target_answer.status, &target_answer.target, end);
        let TargetAnswer { target, conn, headers, .. } = target_answer;
        attempt::keep_connection(&self.edge, &self.out, &target, conn, &headers);
    }

    fn body_end(&self) -> BodyEnd {
        BodyEnd { mark: self.end_mark, events: Some(self.splitter.event_count()) }
    }

    fn record_broken_end(&self) {
        if !self.end_mark.is_framed() {
            self.edge.counts.record_unframed_end(true, "broken");
        }
    }

    // returns true if the target is down
    async fn check_for_crash(&self) -> bool {
        let Some(answer) = &self.target_answer else {
            return false;
        };
        crash_suspects::handle_broken_connection(&self.edge, &self.out, &answer.target).await
    }

    // Returns why the stream is not whole although its body has ended between two events: a crash there
    // looks like the end of a stream that only its connection ends.
    async fn find_cut(&self) -> Option<&'static str> {
        let target = &self.target_answer.as_ref()?.target;
        if self.end_mark.is_framed() {
            return None;
        }
        let seems_down = self.check_for_crash().await;
        let cut = crash_suspects::find_cut(&self.edge, &self.out, target, seems_down).await?;
        Some(match cut {
            CutReason::TargetDown => "target went down at the end of the stream",
            CutReason::Unproven => "nothing shows that the stream is whole",
        })
    }

    // resumes on another engine after the last complete event, if the request may be repeated
    async fn handle_break(&mut self, problem: &str) -> Result<(), BodyError> {
        let target = self.target_answer.as_ref().map(|target_answer| target_answer.target.clone());
        let target = target.ok_or("stream has already ended")?;
        self.abandon_answer(problem);
        match self.sender.record_end(&target.id, SendEnd::Lost) {
            SendDecision::RetryElsewhere => self.resume_elsewhere(&target, problem).await,
            SendDecision::GiveUp(_) => Err(self.fail_stream(&target, problem, "not allowed")),
        }
    }

    // closes the connection, so that the engine stops before another one resumes the stream
    fn abandon_answer(&mut self, problem: &str) {
        if let Some(target_answer) = self.target_answer.take() {
            record_health(&self.edge, &target_answer.target, HealthSignal::Failure);
            attempt::record_failure(
                &self.edge,
                &self.out,
                &target_answer.target,
                SendEnd::Lost,
                problem,
            );
        }
    }

    async fn resume_elsewhere(&mut self, from: &Target, problem: &str) -> Result<(), BodyError> {
        if self.has_sent_events {
            self.sender.reset_wait();
        }
        let target_answer = match self.sender.next_answer(self.splitter.last_number()).await {
            Ok(next) if self.head.is_continued_by(&next.stream_head()) => next,
            Ok(_) => return Err(self.fail_stream(from, problem, "the next target failed")),
            Err((_, reason)) => return Err(self.fail_stream(from, problem, reason)),
        };
        self.resume_from(target_answer, from, problem);
        Ok(())
    }

    fn resume_from(&mut self, target_answer: TargetAnswer, from: &Target, problem: &str) {
        events::STREAM_MOVED.info(format_args!(
            "request={} from={} from_version={} to={} to_version={} reason={problem} last_event={:?}{}",
            self.out.head.id,
            from.id,
            from.software_version,
            target_answer.target.id,
            target_answer.target.software_version,
            self.splitter.last_number(),
            self.body_end()
        ));
        self.splitter.discard_partial();
        self.splitter.require_number();
        self.pace = PaceSpan::default();
        self.wait.restart(self.silent_at());
        self.end_mark = end_mark(&target_answer.headers, &target_answer.body);
        self.target_answer = Some(target_answer);
    }

    // `no_resumption` is the reason why the stream does not go on at another target
    fn fail_stream(&self, target: &Target, problem: &str, no_resumption: &str) -> BodyError {
        self.out.mark_finished();
        events::REQUEST_UNKNOWN.info(format_args!(
            "request={} route={} revision={} adapter={} target={} version={} reason={problem} \
             no_resumption={no_resumption}{} last_event={:?}{} ms={}",
            self.out.head.id,
            self.out.selected.route.name,
            self.out.revision,
            self.out.head.adapter.as_deref().unwrap_or("-"),
            target.id,
            target.software_version,
            self.out.resumption(),
            self.splitter.last_number(),
            self.body_end(),
            now().ms_since(self.out.arrived_at)
        ));
        let outcome = vec![("outcome", "broken_off".to_owned())];
        self.edge.counts.answers.get_or_create(&outcome).inc();
        self.edge.counts.record_account_answer(self.out.account.as_deref(), "broken_off");
        problem.to_owned().into()
    }

    // time at which the target counts as silent if it writes no event from now on
    fn silent_at(&self) -> Time {
        silent_at(&self.sender, &self.out, self.has_sent_events)
    }
}

fn silent_at(sender: &RequestSender, out: &OutgoingRequest, has_sent_events: bool) -> Time {
    if !sender.can_reroute() {
        return Time::NEVER;
    }
    let route = &out.selected.route;
    let wait_ms = if has_sent_events {
        route.event_gap_max_ms * EVENT_GAP_TENTHS / 10
    } else {
        route.latency_goal_ms * FIRST_EVENT_GOAL_TENTHS / 10
    };
    now().after_ms(wait_ms)
}
