//! Answers that are streams of events.

use {
    super::{
        attempt::{self, Answering, Health, health},
        crash,
        request::{Outgoing, Shared},
        serve::{Sender, done, finish},
    },
    crate::{
        front::{Answer, BodyError},
        state::{Edge, Open},
    },
    bytes::Bytes,
    egret_core::{EventSplitter, SendDecision, SendEnd, Time},
    egret_platform::forwarded_answer_headers,
    egret_runtime::{events, now, read_incoming, with_deadline},
    faststr::FastStr,
    futures::stream::unfold,
    http::Response,
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::sync::Arc,
};

/// A pause between events longer than its aim times this factor, in tenths, means that the
/// stream goes on elsewhere if it may.
const PAUSE_TENTHS: u64 = 45;

/// Longest wait for the first event after the head, in multiples of the aim in tenths.
const FIRST_TENTHS: u64 = 18;

/// Largest failure answer of an engine, in bytes.
const FAILURE_BYTES_MAX: usize = 1024 * 1024;

/// Serves a request whose answer is a stream.
pub(crate) async fn serve(edge: &Arc<Edge>, out: Shared, mut sender: Sender, open: Open) -> Answer {
    let answering = match sender.next(None).await {
        Ok(answering) => answering,
        Err((end, reason)) => return finish(edge, &out, end, reason),
    };
    if !answering.status.is_success() {
        return failure(edge, &out, answering).await;
    }
    let (status, headers) = (answering.status, forwarded_answer_headers(&answering.headers));
    let state = Events {
        edge: edge.clone(),
        cutter: EventSplitter::resuming_after(out.head.last_event_id),
        out,
        sender,
        answering: Some(answering),
        begun: false,
        patient: false,
        _open: open,
    };
    let events = unfold(state, |mut state| async move {
        let next = state.next().await?;
        Some((next.map(Frame::data), state))
    });
    let mut answer = Response::new(StreamBody::new(Box::pin(events)).boxed_unsync());
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

// an engine's own failure, which is passed on as it is
async fn failure(edge: &Edge, out: &Outgoing, answering: Answering) -> Answer {
    let read = with_deadline(out.deadline, read_incoming(answering.body, FAILURE_BYTES_MAX)).await;
    let Some(Ok(body)) = read else {
        return finish(edge, out, egret_core::FinalAnswer::Unknown, "answer broke off");
    };
    attempt::keep(edge, out, &answering.target, answering.conn, &answering.headers);
    let mut answer = crate::front::plain(answering.status, body);
    *answer.headers_mut() = forwarded_answer_headers(&answering.headers);
    done(edge, out, answering.status, &answering.target.id);
    answer
}

struct Events {
    edge: Arc<Edge>,
    out: Shared,
    sender: Sender,
    answering: Option<Answering>,
    cutter: EventSplitter,
    begun: bool,
    // set once a silence could not be left: what comes is waited for
    patient: bool,
    _open: Open,
}

impl Events {
    // the next whole events; none once the stream is complete
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let by = self.event_by();
            let answering = self.answering.as_mut()?;
            let moved = match with_deadline(by, answering.body.frame()).await {
                Some(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.cutter.push(&data) {
                        Ok(whole) if whole.is_empty() => continue,
                        Ok(whole) => {
                            self.first_part();
                            return Some(Ok(whole));
                        }
                        Err(e) => self.broke_off(&e.to_string()).await,
                    }
                }
                Some(None) if self.cutter.is_at_boundary() => {
                    self.complete();
                    return None;
                }
                Some(None) => self.broke_off("ended within an event").await,
                Some(Some(Err(e))) => {
                    if let Some(answering) = &self.answering {
                        crash::broke(&self.edge, &self.out, &answering.target);
                    }
                    self.broke_off(&e.to_string()).await
                }
                None if now() >= self.out.deadline => self.broke_off("its time is over").await,
                None => self.silent().await,
            };
            if let Err(e) = moved {
                return Some(Err(e));
            }
        }
    }

    // silence alone is no reason to end an answer that nobody else can go on with
    async fn silent(&mut self) -> Result<(), BodyError> {
        let target = self.answering.as_ref().map(|answering| answering.target.id.clone());
        let Some(target) = target.filter(|target| self.sender.leave_silent(target)) else {
            self.patient = true;
            return Ok(());
        };
        self.leave("silent");
        self.go_on(&target, "silent").await
    }

    fn first_part(&mut self) {
        if !self.begun {
            self.begun = true;
            #[allow(clippy::cast_precision_loss)]
            self.edge.counts.first_part_ms.observe(now().ms_since(self.out.arrived) as f64);
        }
    }

    fn complete(&mut self) {
        let Some(answering) = self.answering.take() else {
            return;
        };
        health(&self.edge, &answering.target, Health::Good);
        self.edge.suspects.lock().clear(self.out.content);
        done(&self.edge, &self.out, answering.status, &answering.target.id);
        let Answering { target, conn, headers, .. } = answering;
        attempt::keep(&self.edge, &self.out, &target, conn, &headers);
    }

    // goes on at another engine after the last whole event
    async fn broke_off(&mut self, problem: &str) -> Result<(), BodyError> {
        let target = self.answering.as_ref().map(|answering| answering.target.id.clone());
        let target = target.ok_or("stream is over")?;
        self.leave(problem);
        match self.sender.ended(&target, SendEnd::Lost) {
            SendDecision::RetryElsewhere => self.go_on(&target, problem).await,
            SendDecision::GiveUp(_) => Err(self.given_up(&target, problem)),
        }
    }

    // closes the connection, so that the engine stops before another one goes on
    fn leave(&mut self, problem: &str) {
        if let Some(answering) = self.answering.take() {
            health(&self.edge, &answering.target, Health::Bad);
            attempt::failed(&self.edge, &self.out, &answering.target, SendEnd::Lost, problem);
        }
    }

    async fn go_on(&mut self, left: &FastStr, problem: &str) -> Result<(), BodyError> {
        if self.begun {
            self.sender.broke_off();
        }
        let moved = self.sender.next(self.cutter.last_number()).await.ok();
        let Some(answering) = moved.filter(|answering| answering.status.is_success()) else {
            return Err(self.given_up(left, problem));
        };
        events::STREAM_MOVED.info(format_args!(
            "request={} from={left} to={} reason={problem} last_event={:?}",
            self.out.head.id,
            answering.target.id,
            self.cutter.last_number()
        ));
        self.cutter.discard_partial();
        self.answering = Some(answering);
        Ok(())
    }

    fn given_up(&self, target: &FastStr, problem: &str) -> BodyError {
        events::REQUEST_UNKNOWN.info(format_args!(
            "request={} target={target} reason={problem} last_event={:?} ms={}",
            self.out.head.id,
            self.cutter.last_number(),
            now().ms_since(self.out.arrived)
        ));
        let outcome = vec![("outcome", "broken_off".to_owned())];
        self.edge.counts.answers.get_or_create(&outcome).inc();
        problem.to_owned().into()
    }

    fn event_by(&self) -> Time {
        if self.patient || !self.sender.may_move() {
            return self.out.deadline;
        }
        let route = &self.out.selected.route;
        let wait = if self.begun {
            route.event_gap_max_ms * PAUSE_TENTHS / 10
        } else {
            route.latency_goal_ms * FIRST_TENTHS / 10
        };
        now().after_ms(wait).min(self.out.deadline)
    }
}
