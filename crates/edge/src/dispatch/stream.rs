//! Answers that are streams of events.

use {
    super::{
        attempt::{self, Answering, Health, health},
        request::{Outgoing, Shared},
        serve::{Sender, done, finish},
    },
    crate::{
        front::{Answer, BodyError},
        state::{Edge, Open},
    },
    bytes::Bytes,
    egret_core::{EventCutter, SendEnd, Step, Time},
    egret_platform::answer_headers,
    egret_runtime::{before, events, now, read_whole},
    futures::stream::unfold,
    http::Response,
    http_body::Frame,
    http_body_util::{BodyExt, StreamBody},
    std::sync::Arc,
};

/// A pause between events longer than its aim times this factor, in tenths, means that the
/// stream goes on elsewhere if it may.
const PAUSE_TENTHS: u64 = 30;

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
    let (status, headers) = (answering.status, answer_headers(&answering.headers));
    let state = Events {
        edge: edge.clone(),
        cutter: EventCutter::after(out.head.last_event),
        out,
        sender,
        answering: Some(answering),
        begun: false,
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
    let read = before(out.deadline, read_whole(answering.body, FAILURE_BYTES_MAX)).await;
    let Some(Ok(body)) = read else {
        return finish(edge, out, egret_core::Final::Unknown, "answer broke off");
    };
    edge.pool.keep(&answering.target.id, answering.conn, &answering.headers);
    let mut answer = crate::front::plain(answering.status, body);
    *answer.headers_mut() = answer_headers(&answering.headers);
    done(edge, out, answering.status, &answering.target.id);
    answer
}

struct Events {
    edge: Arc<Edge>,
    out: Shared,
    sender: Sender,
    answering: Option<Answering>,
    cutter: EventCutter,
    begun: bool,
    _open: Open,
}

impl Events {
    // the next whole events; none once the stream is complete
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let answering = self.answering.as_mut()?;
            let frame =
                before(event_by(&self.out, &self.sender, self.begun), answering.body.frame());
            let problem = match frame.await {
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
                        Err(e) => e.to_string(),
                    }
                }
                Some(None) if self.cutter.at_boundary() => {
                    self.complete();
                    return None;
                }
                Some(None) => "ended within an event".to_owned(),
                Some(Some(Err(e))) => e.to_string(),
                None => "silent".to_owned(),
            };
            if let Err(e) = self.move_on(&problem).await {
                return Some(Err(e));
            }
        }
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
        done(&self.edge, &self.out, answering.status, &answering.target.id);
        self.edge.pool.keep(&answering.target.id, answering.conn, &answering.headers);
    }

    // goes on at another engine after the last whole event
    async fn move_on(&mut self, problem: &str) -> Result<(), BodyError> {
        // closes the connection, so that the engine stops before another one goes on
        let target = self.answering.take().map(|answering| answering.target.clone());
        let Some(target) = target else {
            return Err("stream is over".into());
        };
        health(&self.edge, &target, Health::Bad);
        attempt::failed(&self.edge, &self.out, &target, SendEnd::Lost, problem);
        let step = self.sender.ended(&target.id, SendEnd::Lost);
        let moved = match step {
            Step::Again => self.sender.next(self.cutter.last()).await.ok(),
            Step::End(_) => None,
        };
        let Some(answering) = moved.filter(|answering| answering.status.is_success()) else {
            events::REQUEST_UNKNOWN.info(format_args!(
                "request={} target={} reason={problem} last_event={:?} ms={}",
                self.out.head.id,
                target.id,
                self.cutter.last(),
                now().ms_since(self.out.arrived)
            ));
            let outcome = vec![("outcome", "broken_off".to_owned())];
            self.edge.counts.answers.get_or_create(&outcome).inc();
            return Err(problem.to_owned().into());
        };
        events::STREAM_MOVED.info(format_args!(
            "request={} from={} to={} last_event={:?}",
            self.out.head.id,
            target.id,
            answering.target.id,
            self.cutter.last()
        ));
        self.cutter.drop_part();
        self.answering = Some(answering);
        Ok(())
    }
}

fn event_by(out: &Outgoing, sender: &Sender, begun: bool) -> Time {
    if !sender.may_move() {
        return out.deadline;
    }
    let route = &out.selected.route;
    let wait =
        if begun { route.pause_ms * PAUSE_TENTHS / 10 } else { route.aim_ms * FIRST_TENTHS / 10 };
    now().after_ms(wait).min(out.deadline)
}
