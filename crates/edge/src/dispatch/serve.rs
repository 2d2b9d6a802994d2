//! Serves one request: sends it to one target after another until there is an answer for the
//! caller.

use {
    super::{
        accounts,
        attempt::{self, HealthSignal, TargetAnswer, record_health},
        crash_suspects,
        crash_test::CrashTest,
        placement::{self, BeginVersions, Eligibility, Placed, Placement, select_target},
        relay::{self, Relayed},
        request::{OutgoingRequest, SharedRequest},
        resumption,
        silence::{ResumePoint, SilenceEnd},
        stream::{self, end_mark},
    },
    crate::{
        peers,
        server::{Answer, refusal},
        state::{Edge, OpenRequest, RepeatPermit},
    },
    egret_core::{
        CrashVerdict, EndMark, FinalAnswer, PaceSource, RequestSends, SendDecision, SendEnd,
        Target, Time,
    },
    egret_platform::forwarded_answer_headers,
    egret_runtime::{AnswerReadError, WholeAnswer, events, now, with_deadline},
    faststr::FastStr,
    http::{Request, Response, StatusCode},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{fmt, net::SocketAddr, pin::pin, sync::Arc, time::Duration},
};

/// A stream whose answer head has not arrived after this multiple (in tenths) of the route's
/// latency goal is also sent to another target, if the request may be repeated.
const STREAM_HEAD_GOAL_TENTHS: u64 = 18;

/// Interval of checks whether a software version has been recorded at which a stream may begin.
const RECORD_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A plain request that may be repeated is also sent to another target if the answer head has not
/// arrived after this multiple of the route's latency goal.
const PLAIN_HEAD_GOALS: u64 = 3;

/// Reason of a refusal by a host that has just started.
const FINDINGS_UNKNOWN_REASON: &str = "what crashes targets is not known here yet";

/// Largest answer that is held whole. Answers of plain services are read completely before they are passed
/// on, so that the caller never gets a truncated one.
pub(super) const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;

/// Serves a request and returns the answer to its caller.
pub(crate) async fn serve(edge: &Arc<Edge>, req: Request<Incoming>, _peer: SocketAddr) -> Answer {
    let open = OpenRequest::new(edge);
    let mut out = match OutgoingRequest::read_from_caller(edge, req).await {
        Ok(out) => out,
        Err(answer) => return *answer,
    };
    if edge.is_cut_off(&out.selected.service.name) {
        return answer_cut_off(edge, &Arc::new(out), Relayed::First, open).await;
    }
    if out.has_prompt_parts() && !edge.knows_crash_findings() {
        return finish_unanswered(edge, &out, FinalAnswer::NotRun, FINDINGS_UNKNOWN_REASON);
    }
    match crash_suspects::judge(edge, &out) {
        CrashVerdict::Allowed => {}
        CrashVerdict::Test => out.crash_test = Some(CrashTest::new(edge, out.suspects.clone())),
        CrashVerdict::Refused(until) => return refuse_suspect(edge, &out, until),
    }
    if let Err(reason) = resumption::restrict_to_origin(edge, &mut out).await {
        return finish_unanswered(edge, &out, FinalAnswer::NotRun, reason);
    }
    if let Err(refusal) = accounts::check_before_send(edge, &out) {
        return finish_unanswered(edge, &out, FinalAnswer::NotRun, refusal.reason());
    }
    if let Err(until) = accounts::charge(edge, &out).await {
        return refuse_over_allowance(edge, &out, until);
    }
    let out = Arc::new(out);
    if out.relayed != Some(Relayed::Repeat) {
        edge.record_first_send(&out.selected.service.name);
    }
    let mut sender = RequestSender::new(edge, &out);
    if out.kind().is_stream() {
        return stream::serve(edge, out, sender, open).await;
    }
    let answer = loop {
        match sender.next_answer(None).await {
            Ok(target_answer) => {
                match read_whole_answer(edge, &out, target_answer, &mut sender).await {
                    Ok(answer) => break answer,
                    Err(SendDecision::RetryElsewhere) => {}
                    Err(SendDecision::GiveUp(end)) => {
                        break finish_unanswered(edge, &out, end, "no whole answer");
                    }
                }
            }
            Err((end, reason)) => return sender.finish_unsent(end, reason, open).await,
        }
    };
    drop(open);
    answer
}

// this host reaches no target; another one may, unless it has passed the request on itself
async fn answer_cut_off(
    edge: &Arc<Edge>,
    out: &SharedRequest,
    mark: Relayed,
    open: OpenRequest,
) -> Answer {
    match out.relayed {
        Some(_) => relay::refuse_cut_off(edge, out),
        None => relay::relay(edge, out, mark, open).await,
    }
}

/// Sends one request to one target after another.
pub(crate) struct RequestSender {
    pub(super) edge: Arc<Edge>,
    pub(super) out: SharedRequest,
    pub(super) sends: RequestSends,
    pub(super) tried_targets: Vec<FastStr>,
    // tried targets that proved that they did not run the request
    pub(super) refused_targets: Vec<FastStr>,
    // the only software version at which the stream goes on
    pub(super) software_version: Option<FastStr>,
    // start of the caller's wait for the next part of the answer
    pub(super) waiting_since: Time,
    // for the next send, if it is a repeated one
    permit: Option<Arc<RepeatPermit>>,
}

impl RequestSender {
    pub(crate) fn new(edge: &Arc<Edge>, out: &SharedRequest) -> Self {
        let route = &out.selected.route;
        let sends = RequestSends::new(route.kind, route.targets_max, out.deadline);
        let waiting_since = out.arrived_at;
        Self {
            edge: edge.clone(),
            out: out.clone(),
            sends,
            tried_targets: Vec::new(),
            refused_targets: Vec::new(),
            software_version: out.software_version.clone(),
            waiting_since,
            permit: None,
        }
    }

    /// Returns the head of the first answer that can be passed on to the caller.
    ///
    /// # Errors
    ///
    /// The final outcome and its reason, if no target gives such an answer.
    pub(crate) async fn next_answer(
        &mut self,
        last_event: Option<u64>,
    ) -> Result<TargetAnswer, (FinalAnswer, &'static str)> {
        loop {
            if now() >= self.out.deadline {
                return Err((self.sends.final_answer(now()), "its time is over"));
            }
            if let Err(refusal) = accounts::check_before_send(&self.edge, &self.out) {
                return Err((self.sends.final_answer(now()), refusal.reason()));
            }
            if self.edge.is_cut_off(&self.out.selected.service.name) {
                return Err((self.sends.final_answer(now()), "no target is reached"));
            }
            let placed = self.select_target(&self.tried_targets).await;
            let placed = match placed {
                Placement::Target(placed) => placed,
                // the engine or its owner is unreachable or busy; another engine is tried
                Placement::AdapterNotLoaded(engine)
                    if now() < placement::load_deadline(&self.out, self.waiting_since) =>
                {
                    self.tried_targets.push(engine);
                    continue;
                }
                Placement::AdapterNotLoaded(_) => {
                    return Err((
                        self.sends.final_answer(now()),
                        "its adapter could not be loaded",
                    ));
                }
                Placement::NoTarget => {
                    return Err((self.sends.final_answer(now()), self.record_no_target()));
                }
            };
            // it may have been refused while the request waited or broke off
            if crash_suspects::is_refused(&self.edge, &self.out, self.sends.was_sent()) {
                return Err((self.sends.final_answer(now()), crash_suspects::REFUSAL_REASON));
            }
            let id = placed.target.id.clone();
            match self.send(placed, last_event).await {
                Ok(target_answer) if self.should_retry(&target_answer) => {
                    record_health(&self.edge, &target_answer.target, HealthSignal::Failure);
                    let decision = self.record_end(&target_answer.target.id, SendEnd::Failed);
                    if decision != SendDecision::RetryElsewhere {
                        return Ok(target_answer);
                    }
                }
                Ok(target_answer) => return Ok(target_answer),
                Err(end) => {
                    if let SendDecision::GiveUp(end) = self.record_end(&id, end) {
                        let refusal = accounts::check_before_send(&self.edge, &self.out).err();
                        return Err((end, refusal.map_or("no target answered", |r| r.reason())));
                    }
                }
            }
        }
    }

    /// Answers a request for which no target gave an answer. Another host may serve it if this one has
    /// reached no target.
    pub(crate) async fn finish_unsent(
        &self,
        end: FinalAnswer,
        reason: &str,
        open: OpenRequest,
    ) -> Answer {
        let (edge, out) = (&self.edge, &self.out);
        let is_cut_off = edge.is_cut_off(&out.selected.service.name);
        if end == FinalAnswer::NotRun && is_cut_off && !self.sends.has_reached_target() {
            // the other host charges it again, and this one has counted its first send
            out.refund(edge);
            return answer_cut_off(edge, out, Relayed::Repeat, open).await;
        }
        finish_unanswered(edge, out, end, reason)
    }

    async fn select_target(&self, tried: &[FastStr]) -> Placement {
        let record_deadline = self.waiting_since.after_ms(self.out.selected.route.latency_goal_ms);
        loop {
            let begin_versions = resumption::begin_versions(&self.edge, &self.out);
            let eligibility = self.eligibility(tried, &begin_versions);
            let placed =
                select_target(&self.edge, &self.out, eligibility, self.waiting_since).await;
            let awaits_record = matches!(placed, Placement::NoTarget)
                && now() < record_deadline.min(self.out.deadline)
                && placement::has_unrecorded_target(&self.edge, &self.out, eligibility);
            if !awaits_record {
                return placed;
            }
            tokio::time::sleep(RECORD_CHECK_INTERVAL).await;
        }
    }

    fn eligibility<'a>(
        &'a self,
        tried: &'a [FastStr],
        begin_versions: &'a BeginVersions,
    ) -> Eligibility<'a> {
        Eligibility { tried, software_version: self.software_version.as_ref(), begin_versions }
    }

    /// True if another target can serve the request, now or after a load.
    pub(super) fn has_alternative(&self, tried: &[FastStr]) -> bool {
        let begin_versions = resumption::begin_versions(&self.edge, &self.out);
        let eligibility = self.eligibility(tried, &begin_versions);
        placement::has_alternative(&self.edge, &self.out, eligibility)
    }

    fn has_unrecorded_target(&self) -> bool {
        let begin_versions = resumption::begin_versions(&self.edge, &self.out);
        let eligibility = self.eligibility(&self.tried_targets, &begin_versions);
        placement::has_unrecorded_target(&self.edge, &self.out, eligibility)
    }

    // returns the reason why no target was chosen
    fn record_no_target(&self) -> &'static str {
        match &self.software_version {
            Some(version) if !placement::has_ready_target(&self.edge, &self.out, version) => {
                self.edge.counts.streams_without_target.inc();
                "no target of its software version"
            }
            None if self.has_unrecorded_target() => "no target of a recorded software version",
            _ if self.out.awaited_place() => "no target takes it, and brittle ones are full",
            _ if placement::has_exhausted_target(&self.edge, &self.out) => {
                "no target takes it, and some are at their rate limits"
            }
            _ => "no target takes it",
        }
    }

    /// Restricts all further sends to targets of this software version.
    pub(crate) fn restrict_to_version(&mut self, version: FastStr) {
        self.software_version = Some(version);
    }

    async fn send(
        &mut self,
        placed: Placed,
        last_event: Option<u64>,
    ) -> Result<TargetAnswer, SendEnd> {
        let (edge, out) = (self.edge.clone(), self.out.clone());
        let silent_at = self.head_deadline();
        let target = placed.target.clone();
        let attempt =
            attempt::send(&edge, &out, placed, last_event, silent_at, self.permit.clone());
        let mut attempt = pin!(attempt);
        if let Some(sent) = with_deadline(silent_at, attempt.as_mut()).await {
            return sent;
        }
        if now() >= out.deadline {
            return attempt.await;
        }
        let failed_end = |sent: &Result<TargetAnswer, SendEnd>| match sent {
            Ok(answer) => answer.status.is_server_error().then_some(SendEnd::Failed),
            Err(end) => Some(*end),
        };
        match self.wait_or_move(&target, ResumePoint::Head(last_event), attempt, failed_end).await {
            SilenceEnd::Answered(sent) => sent,
            SilenceEnd::Moved { answer, .. } => Ok(*answer),
        }
    }

    /// Records how an attempt ended and returns what to do next.
    pub(crate) fn record_end(&mut self, target: &FastStr, end: SendEnd) -> SendDecision {
        self.tried_targets.push(target.clone());
        if matches!(end, SendEnd::Refused) {
            self.refused_targets.push(target.clone());
        }
        let service = &self.out.selected.service.name;
        let permit = &mut self.permit;
        let decision = self.sends.decide_after_send(now(), end, || {
            *permit = self.edge.reserve_repeat(service).map(Arc::new);
            permit.is_some()
        });
        if let Some(test) = &self.out.crash_test
            && !self.sends.has_reached_target()
        {
            test.record_unsent();
        }
        decision
    }

    /// Restarts the caller's wait, after a break of a stream from which it has received events.
    pub(crate) fn reset_wait(&mut self) {
        self.waiting_since = now();
    }

    /// True if the request may be sent to another target while its target is silent.
    pub(crate) fn can_reroute(&self) -> bool {
        self.sends.can_reroute()
    }

    // a server error: another target may succeed
    fn should_retry(&self, target_answer: &TargetAnswer) -> bool {
        target_answer.status.is_server_error() && self.sends.can_reroute()
    }

    // time from which a target counts as silent; a request that cannot move to another target
    // waits until its deadline
    pub(super) fn head_deadline(&self) -> Time {
        let route = &self.out.selected.route;
        if !self.sends.can_reroute() {
            return self.out.deadline;
        }
        let wait_ms = if route.kind.is_stream() {
            route.latency_goal_ms * STREAM_HEAD_GOAL_TENTHS / 10
        } else {
            route.latency_goal_ms * PLAIN_HEAD_GOALS
        };
        now().after_ms(wait_ms).min(self.out.deadline)
    }
}

async fn read_whole_answer(
    edge: &Arc<Edge>,
    out: &OutgoingRequest,
    target_answer: TargetAnswer,
    sender: &mut RequestSender,
) -> Result<Answer, SendDecision> {
    let (target, sent_at) = (target_answer.target.clone(), target_answer.sent_at);
    let end_mark = end_mark(&target_answer.headers, &target_answer.body);
    let read = WholeAnswer::read(&edge.held_answers, target_answer.body, ANSWER_BYTES_MAX);
    let read = with_deadline(out.deadline, read).await;
    if let Some(Err(AnswerReadError::NoRoom)) = read {
        // the target has done nothing wrong
        attempt::record_failure(edge, out, &target, SendEnd::Lost, "no memory for the answer");
        return Err(sender.record_end(&target.id, SendEnd::Lost));
    }
    let is_cut = match &read {
        Some(Ok(_)) if !end_mark.is_framed() => {
            crash_suspects::find_cut(edge, out, &target, false).await.is_some()
        }
        _ => false,
    };
    if !end_mark.is_framed() && !matches!(read, Some(Ok(_))) {
        edge.counts.record_unframed_end(false, "broken");
    }
    let Some(Ok(mut body)) = read.filter(|_| !is_cut) else {
        record_health(edge, &target, HealthSignal::Failure);
        crash_suspects::handle_broken_connection(edge, out, &target).await;
        attempt::record_failure(edge, out, &target, SendEnd::Lost, "answer incomplete");
        return Err(sender.record_end(&target.id, SendEnd::Lost));
    };
    edge.broken_connections.lock().rule_out_crash(&target.id);
    if !target_answer.status.is_server_error() {
        record_health(edge, &target, HealthSignal::Success);
        record_plain_pace(edge, out, &target, sent_at);
        crash_suspects::record_sound(edge, out);
    }
    attempt::keep_connection(edge, out, &target, target_answer.conn, &target_answer.headers);
    body.set_reader(&out.cut_caller);
    let mut answer = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *answer.status_mut() = target_answer.status;
    *answer.headers_mut() = forwarded_answer_headers(&target_answer.headers);
    let end = BodyEnd { mark: end_mark, events: None };
    record_answer(edge, out, target_answer.status, &target, end);
    Ok(answer)
}

// answers of one route are compared, since routes differ in the work that they ask for
fn record_plain_pace(edge: &Edge, out: &OutgoingRequest, target: &Target, sent_at: Time) {
    let ms = now().ms_since(sent_at).max(1);
    let work = &out.selected.route.name;
    #[allow(clippy::cast_precision_loss)]
    peers::record_sample(edge, work, target, PaceSource::PlainAnswer, ms as f64, ms);
}

/// How the body of an answer ended, for log lines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyEnd {
    /// What marks its end.
    pub(crate) mark: EndMark,
    /// Events passed on, if it is a stream.
    pub(crate) events: Option<u64>,
}

impl fmt::Display for BodyEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, " end={}", self.mark)?;
        self.events.map_or(Ok(()), |events| write!(f, " events={events}"))
    }
}

/// Logs and counts an answer received from a target.
pub(crate) fn record_answer(
    edge: &Edge,
    out: &OutgoingRequest,
    status: StatusCode,
    target: &Target,
    end: BodyEnd,
) {
    out.mark_finished();
    events::REQUEST_DONE.info(format_args!(
        "request={} route={} revision={} adapter={} status={} target={} version={}{}{end} ms={}",
        out.head.id,
        out.selected.route.name,
        out.revision,
        out.head.adapter.as_deref().unwrap_or("-"),
        status.as_u16(),
        target.id,
        target.software_version,
        out.resumption(),
        now().ms_since(out.arrived_at)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", "done".to_owned())]).inc();
    edge.counts.record_account_answer(out.account.as_deref(), "done");
}

// refuses a request that may crash its target; others like it are refused until then as well
fn refuse_suspect(edge: &Edge, out: &OutgoingRequest, until: Time) -> Answer {
    let retry_ms = now().ms_until(until).max(out.retry_after_ms());
    finish(edge, out, FinalAnswer::NotRun, crash_suspects::REFUSAL_REASON, retry_ms)
}

// refuses a request beyond the allowance of its account
fn refuse_over_allowance(edge: &Edge, out: &OutgoingRequest, until: Time) -> Answer {
    let retry_ms = now().ms_until(until).max(1);
    finish(edge, out, FinalAnswer::NotRun, accounts::OVER_ALLOWANCE, retry_ms)
}

/// Logs and counts a request that no target answered, and builds the answer to its caller.
pub(crate) fn finish_unanswered(
    edge: &Edge,
    out: &OutgoingRequest,
    end: FinalAnswer,
    reason: &str,
) -> Answer {
    finish(edge, out, end, reason, out.retry_after_ms())
}

fn finish(
    edge: &Edge,
    out: &OutgoingRequest,
    end: FinalAnswer,
    reason: &str,
    retry_after_ms: u64,
) -> Answer {
    out.mark_finished();
    if end == FinalAnswer::NotRun {
        out.refund(edge);
    }
    let (status, retry, outcome) = match end {
        FinalAnswer::NotRun if reason == accounts::OVER_ALLOWANCE => {
            (StatusCode::TOO_MANY_REQUESTS, Some(retry_after_ms), "over_allowance")
        }
        // no retry can succeed with this key
        FinalAnswer::NotRun if reason == accounts::Refusal::InvalidKey.reason() => {
            (StatusCode::UNAUTHORIZED, None, "not_run")
        }
        FinalAnswer::NotRun => (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after_ms), "not_run"),
        FinalAnswer::Unknown => (StatusCode::BAD_GATEWAY, None, "unknown"),
        FinalAnswer::DeadlinePassed => (StatusCode::GATEWAY_TIMEOUT, None, "late"),
    };
    let event = match end {
        FinalAnswer::NotRun => events::REQUEST_REFUSED,
        FinalAnswer::Unknown | FinalAnswer::DeadlinePassed => events::REQUEST_UNKNOWN,
    };
    event.info(format_args!(
        "request={} route={} revision={} adapter={} status={} reason={reason}{} ms={}",
        out.head.id,
        out.selected.route.name,
        out.revision,
        out.head.adapter.as_deref().unwrap_or("-"),
        status.as_u16(),
        out.resumption(),
        now().ms_since(out.arrived_at)
    ));
    edge.counts.answers.get_or_create(&vec![("outcome", outcome.to_owned())]).inc();
    edge.counts.record_account_answer(out.account.as_deref(), outcome);
    let mut answer = refusal(status, Some(&out.id), retry, reason);
    if status == StatusCode::UNAUTHORIZED {
        accounts::add_challenge(&mut answer);
    }
    answer
}
