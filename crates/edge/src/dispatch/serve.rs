//! Serves one request: sends it until there is an answer for its caller.

use {
    super::{
        attempt::{self, HealthSignal, TargetAnswer, record_health},
        crash_suspects,
        placement::{self, Placement, select_target},
        request::{OutgoingRequest, SharedRequest},
        stream,
    },
    crate::{
        server::{Answer, full_answer, refusal},
        state::{Edge, OpenRequest},
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
const STREAM_HEAD_AIM_TENTHS: u64 = 18;

/// A request that may be repeated is given up at a target after its aim times this factor.
const PLAIN_HEAD_AIMS: u64 = 3;

/// Serves a request.
pub(crate) async fn serve(edge: &Arc<Edge>, req: Request<Incoming>, _peer: SocketAddr) -> Answer {
    let open = OpenRequest::new(edge);
    let out = match OutgoingRequest::read_from_caller(edge, req).await {
        Ok(out) => Arc::new(out),
        Err(answer) => return *answer,
    };
    let standing = edge.suspects.lock().run_policy(now(), out.content_fingerprint);
    if let RunPolicy::Refused(_) = standing {
        return finish_unanswered(edge, &out, FinalAnswer::NotRun, "its content crashed targets");
    }
    edge.record_first_send(&out.selected.service.name);
    let mut sender = RequestSender::new(edge, &out);
    if out.kind().is_stream() {
        return stream::serve(edge, out, sender, open).await;
    }
    let answer = loop {
        match sender.next_answer(None).await {
            Ok(answering) => match read_whole_answer(edge, &out, answering, &mut sender).await {
                Ok(answer) => break answer,
                Err(SendDecision::RetryElsewhere) => {}
                Err(SendDecision::GiveUp(end)) => {
                    break finish_unanswered(edge, &out, end, "no whole answer");
                }
            },
            Err((end, reason)) => break finish_unanswered(edge, &out, end, reason),
        }
    };
    drop(open);
    answer
}

/// Sends one request to target after target.
pub(crate) struct RequestSender {
    edge: Arc<Edge>,
    out: SharedRequest,
    attempts: RequestSends,
    tried_targets: Vec<FastStr>,
    // since when its caller has waited for the next part of the answer
    waiting_since: Time,
}

impl RequestSender {
    pub(crate) fn new(edge: &Arc<Edge>, out: &SharedRequest) -> Self {
        let route = &out.selected.route;
        let state = RequestSends::new(route.kind, route.targets_max, out.deadline);
        let since = out.arrived_at;
        Self {
            edge: edge.clone(),
            out: out.clone(),
            attempts: state,
            tried_targets: Vec::new(),
            waiting_since: since,
        }
    }

    /// The head of the first answer that its caller can be given.
    ///
    /// # Errors
    ///
    /// The final answer when there is none, and why.
    pub(crate) async fn next_answer(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<TargetAnswer, (FinalAnswer, &'static str)> {
        loop {
            if now() >= self.out.deadline {
                return Err((self.attempts.final_answer(now()), "its time is over"));
            }
            let placed =
                select_target(&self.edge, &self.out, &self.tried_targets, self.waiting_since).await;
            let target = match placed {
                Placement::Target(target) => target,
                // the engine or the host that orders it is gone, or busy
                Placement::AdapterNotLoaded(engine)
                    if now() < placement::load_deadline(&self.out, self.waiting_since) =>
                {
                    self.tried_targets.push(engine);
                    continue;
                }
                Placement::AdapterNotLoaded(_) => {
                    return Err((
                        self.attempts.final_answer(now()),
                        "its adapter could not be loaded",
                    ));
                }
                Placement::NoTarget => {
                    return Err((self.attempts.final_answer(now()), "no target takes it"));
                }
            };
            let id = target.id.clone();
            let sent =
                attempt::send(&self.edge, &self.out, target, last_event, self.head_deadline())
                    .await;
            match sent {
                Ok(answering) if self.should_retry(&answering) => {
                    record_health(&self.edge, &answering.target, HealthSignal::Failure);
                    let step = self.record_end(&answering.target.id, SendEnd::Failed);
                    if step != SendDecision::RetryElsewhere {
                        return Ok(answering);
                    }
                }
                Ok(answering) => return Ok(answering),
                Err(end) => {
                    if let SendDecision::GiveUp(end) = self.record_end(&id, end) {
                        return Err((end, "no target answered"));
                    }
                }
            }
        }
    }

    /// Notes how a send ended.
    pub(crate) fn record_end(&mut self, target: &FastStr, end: SendEnd) -> SendDecision {
        self.tried_targets.push(target.clone());
        let service = &self.out.selected.service.name;
        self.attempts.decide_after_send(now(), end, || self.edge.try_take_retry(service))
    }

    /// Notes that a stream which had begun has broken off.
    pub(crate) fn reset_wait(&mut self) {
        self.waiting_since = now();
    }

    pub(crate) fn can_move(&self) -> bool {
        self.attempts.can_reroute()
    }

    /// Gives up the send to `target`, which is silent, if it can go on elsewhere; false when it
    /// has to wait on.
    pub(crate) fn abandon_silent_target(&mut self, target: &FastStr) -> bool {
        let service = &self.out.selected.service.name;
        self.tried_targets.push(target.clone());
        let leaves = self.attempts.can_reroute()
            && now() < self.out.deadline
            && placement::has_alternative(&self.edge, &self.out, &self.tried_targets)
            && self.edge.try_take_retry(service);
        if leaves {
            self.attempts.record_abandoned_send();
        } else {
            self.tried_targets.pop();
        }
        leaves
    }

    // an answer that says that the target failed; another one may do better
    fn should_retry(&self, answering: &TargetAnswer) -> bool {
        answering.status.is_server_error() && self.attempts.can_reroute()
    }

    // when the head must be there; a request that can't go elsewhere waits to its end
    fn head_deadline(&self) -> Time {
        let route = &self.out.selected.route;
        if !self.attempts.can_reroute() {
            return self.out.deadline;
        }
        let wait = if route.kind.is_stream() {
            route.latency_goal_ms * STREAM_HEAD_AIM_TENTHS / 10
        } else {
            route.latency_goal_ms * PLAIN_HEAD_AIMS
        };
        now().after_ms(wait).min(self.out.deadline)
    }
}

async fn read_whole_answer(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    answering: TargetAnswer,
    sender: &mut RequestSender,
) -> Result<Answer, SendDecision> {
    let target = answering.target.clone();
    let read = with_deadline(out.deadline, read_incoming(answering.body, ANSWER_BYTES_MAX)).await;
    let Some(Ok(body)) = read else {
        record_health(edge, &target, HealthSignal::Failure);
        crash_suspects::record_broken_connection(edge, out, &target);
        attempt::record_failure(edge, out, &target, SendEnd::Lost, "answer broke off");
        return Err(sender.record_end(&target.id, SendEnd::Lost));
    };
    if !answering.status.is_server_error() {
        record_health(edge, &target, HealthSignal::Success);
    }
    edge.crashes.lock().mark_alive(&target.id);
    edge.suspects.lock().clear(out.content_fingerprint);
    attempt::keep_connection(edge, out, &target, answering.conn, &answering.headers);
    let mut answer = full_answer(answering.status, body);
    *answer.headers_mut() = forwarded_answer_headers(&answering.headers);
    record_answer(edge, out, answering.status, &target.id);
    Ok(answer)
}

/// Logs and counts an answer that a target made.
pub(crate) fn record_answer(edge: &Edge, out: &OutgoingRequest, status: StatusCode, target: &str) {
    events::REQUEST_DONE.info(format_args!(
        "request={} route={} adapter={} status={} target={target} ms={}",
        out.head.id,
        out.selected.route.name,
        out.head.adapter.as_deref().unwrap_or("-"),
        status.as_u16(),
        now().ms_since(out.arrived_at)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", "done".to_owned())]).inc();
}

/// The final answer of our own to a request that no target answered.
pub(crate) fn finish_unanswered(
    edge: &Edge,
    out: &OutgoingRequest,
    end: FinalAnswer,
    reason: &str,
) -> Answer {
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
        now().ms_since(out.arrived_at)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", outcome.to_owned())]).inc();
    refusal(status, Some(&out.id), retry, reason)
}
