//! Serves one request: sends it until there is an answer for its caller.

use {
    super::{
        attempt::{self, Answering, Health, health},
        crash,
        place::{self, Placed, place},
        request::{Outgoing, Shared},
        stream,
    },
    crate::{
        front::{Answer, plain, refusal},
        state::{Edge, Open},
    },
    egret_core::{FinalAnswer, RequestSends, RunPolicy, SendDecision, SendEnd, Time},
    egret_platform::forwarded_answer_headers,
    egret_runtime::{events, now, read_incoming, with_deadline},
    faststr::FastStr,
    http::{Request, StatusCode},
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc},
};

/// Largest answer of a plain service, in bytes; it is read whole before its caller gets it, so
/// that one that breaks off is not passed on.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A stream whose first event has not come after its aim times this factor, in tenths, goes on
/// elsewhere if it may.
const FIRST_EVENT_TENTHS: u64 = 18;

/// A request that may be repeated is given up at a target after its aim times this factor.
const MOVE_AIMS: u64 = 3;

/// Serves a request.
pub(crate) async fn serve(edge: &Arc<Edge>, req: Request<Incoming>, _peer: SocketAddr) -> Answer {
    let open = Open::new(edge);
    let out = match Outgoing::read(edge, req).await {
        Ok(out) => Arc::new(out),
        Err(answer) => return *answer,
    };
    let standing = edge.suspects.lock().run_policy(now(), out.content);
    if let RunPolicy::Refused(_) = standing {
        return finish(edge, &out, FinalAnswer::NotRun, "its content crashed targets");
    }
    edge.first_send(&out.selected.service.name);
    let mut sender = Sender::new(edge, &out);
    if out.kind().is_stream() {
        return stream::serve(edge, out, sender, open).await;
    }
    let answer = loop {
        match sender.next(None).await {
            Ok(answering) => match whole(edge, &out, answering, &mut sender).await {
                Ok(answer) => break answer,
                Err(SendDecision::RetryElsewhere) => {}
                Err(SendDecision::GiveUp(end)) => break finish(edge, &out, end, "no whole answer"),
            },
            Err((end, reason)) => break finish(edge, &out, end, reason),
        }
    };
    drop(open);
    answer
}

/// Sends one request to target after target.
pub(crate) struct Sender {
    edge: Arc<Edge>,
    out: Shared,
    state: RequestSends,
    tried: Vec<FastStr>,
    // since when its caller has waited for the next part of the answer
    since: Time,
}

impl Sender {
    pub(crate) fn new(edge: &Arc<Edge>, out: &Shared) -> Self {
        let route = &out.selected.route;
        let state = RequestSends::new(route.kind, route.targets_max, out.deadline);
        let since = out.arrived;
        Self { edge: edge.clone(), out: out.clone(), state, tried: Vec::new(), since }
    }

    /// The head of the first answer that its caller can be given.
    ///
    /// # Errors
    ///
    /// The final answer when there is none, and why.
    pub(crate) async fn next(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<Answering, (FinalAnswer, &'static str)> {
        loop {
            if now() >= self.out.deadline {
                return Err((self.state.final_answer(now()), "its time is over"));
            }
            let placed = place(&self.edge, &self.out, &self.tried, self.since).await;
            let target = match placed {
                Placed::At(target) => target,
                // the engine or the host that orders it is gone, or busy
                Placed::NotLoaded(engine) if now() < place::load_by(&self.out, self.since) => {
                    self.tried.push(engine);
                    continue;
                }
                Placed::NotLoaded(_) => {
                    return Err((
                        self.state.final_answer(now()),
                        "its adapter could not be loaded",
                    ));
                }
                Placed::Nowhere => {
                    return Err((self.state.final_answer(now()), "no target takes it"));
                }
            };
            let id = target.id.clone();
            let sent =
                attempt::send(&self.edge, &self.out, target, last_event, self.head_by()).await;
            match sent {
                Ok(answering) if self.worth_another(&answering) => {
                    health(&self.edge, &answering.target, Health::Bad);
                    let step = self.ended(&answering.target.id, SendEnd::Failed);
                    if step != SendDecision::RetryElsewhere {
                        return Ok(answering);
                    }
                }
                Ok(answering) => return Ok(answering),
                Err(end) => {
                    if let SendDecision::GiveUp(end) = self.ended(&id, end) {
                        return Err((end, "no target answered"));
                    }
                }
            }
        }
    }

    /// Notes how a send ended.
    pub(crate) fn ended(&mut self, target: &FastStr, end: SendEnd) -> SendDecision {
        self.tried.push(target.clone());
        let service = &self.out.selected.service.name;
        self.state.decide_after_send(now(), end, || self.edge.take_retry(service))
    }

    /// Notes that a stream which had begun has broken off.
    pub(crate) fn broke_off(&mut self) {
        self.since = now();
    }

    pub(crate) fn may_move(&self) -> bool {
        self.state.can_reroute()
    }

    /// Gives up the send to `target`, which is silent, if it can go on elsewhere; false when it
    /// has to wait on.
    pub(crate) fn leave_silent(&mut self, target: &FastStr) -> bool {
        let service = &self.out.selected.service.name;
        self.tried.push(target.clone());
        let leaves = self.state.can_reroute()
            && now() < self.out.deadline
            && place::elsewhere(&self.edge, &self.out, &self.tried)
            && self.edge.take_retry(service);
        if leaves {
            self.state.record_abandoned_send();
        } else {
            self.tried.pop();
        }
        leaves
    }

    // an answer that says that the target failed; another one may do better
    fn worth_another(&self, answering: &Answering) -> bool {
        answering.status.is_server_error() && self.state.can_reroute()
    }

    // when the head must be there; a request that can't go elsewhere waits to its end
    fn head_by(&self) -> Time {
        let route = &self.out.selected.route;
        if !self.state.can_reroute() {
            return self.out.deadline;
        }
        let wait = if route.kind.is_stream() {
            route.latency_goal_ms * FIRST_EVENT_TENTHS / 10
        } else {
            route.latency_goal_ms * MOVE_AIMS
        };
        now().after_ms(wait).min(self.out.deadline)
    }
}

async fn whole(
    edge: &Arc<Edge>,
    out: &Outgoing,
    answering: Answering,
    sender: &mut Sender,
) -> Result<Answer, SendDecision> {
    let target = answering.target.clone();
    let read = with_deadline(out.deadline, read_incoming(answering.body, ANSWER_BYTES_MAX)).await;
    let Some(Ok(body)) = read else {
        health(edge, &target, Health::Bad);
        crash::broke(edge, out, &target);
        attempt::failed(edge, out, &target, SendEnd::Lost, "answer broke off");
        return Err(sender.ended(&target.id, SendEnd::Lost));
    };
    if !answering.status.is_server_error() {
        health(edge, &target, Health::Good);
    }
    edge.crashes.lock().mark_alive(&target.id);
    edge.suspects.lock().clear(out.content);
    attempt::keep(edge, out, &target, answering.conn, &answering.headers);
    let mut answer = plain(answering.status, body);
    *answer.headers_mut() = forwarded_answer_headers(&answering.headers);
    done(edge, out, answering.status, &target.id);
    Ok(answer)
}

/// Logs and counts an answer that a target made.
pub(crate) fn done(edge: &Edge, out: &Outgoing, status: StatusCode, target: &str) {
    events::REQUEST_DONE.info(format_args!(
        "request={} route={} adapter={} status={} target={target} ms={}",
        out.head.id,
        out.selected.route.name,
        out.head.adapter.as_deref().unwrap_or("-"),
        status.as_u16(),
        now().ms_since(out.arrived)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", "done".to_owned())]).inc();
}

/// The final answer of our own to a request that no target answered.
pub(crate) fn finish(edge: &Edge, out: &Outgoing, end: FinalAnswer, reason: &str) -> Answer {
    let (status, retry, outcome) = match end {
        FinalAnswer::NotRun => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(out.retry_after_ms()), "not_run")
        }
        FinalAnswer::Unknown => (StatusCode::BAD_GATEWAY, None, "unknown"),
        FinalAnswer::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, None, "late"),
    };
    let event = match end {
        FinalAnswer::NotRun => events::REQUEST_REFUSED,
        FinalAnswer::Unknown | FinalAnswer::DeadlinePassed => events::REQUEST_UNKNOWN,
    };
    event.info(format_args!(
        "request={} route={} adapter={} status={} reason={reason} ms={}",
        out.head.id,
        out.selected.route.name,
        out.head.adapter.as_deref().unwrap_or("-"),
        status.as_u16(),
        now().ms_since(out.arrived)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", outcome.to_owned())]).inc();
    refusal(status, Some(&out.id), retry, reason)
}
