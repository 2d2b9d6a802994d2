//! One attempt at a completion: acquires a ticket, calls the engine and checks its answer.

use {
    super::{labels::ExpectedLabels, parse::ModelRequest, stream::EngineStream},
    crate::{
        keepers::{OpenTicket, TicketRecord},
        state::Entry,
    },
    egret_core::{
        AttemptEnd, PlacementRequest, Reason, RequestAttempts, RunPolicy, Time, choose_engine,
    },
    egret_runtime::{
        AcquireMsg, AnswerReadError, AttemptKeyMsg, Body, CallError, LinkError, RefuseMsg,
        WholeAnswer, discard_body, events, now,
    },
    faststr::FastStr,
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    volo_http::response::Response,
};

/// Size limit of an answer that is not streamed, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Bytes of an error answer that are read, so that its connection can be used again.
const ERROR_BYTES_MAX: usize = 64 * 1024;

/// Time after a request's deadline that the keeper has for refusing the ticket, in milliseconds.
const ACQUIRE_GRACE_MS: u64 = 500;

/// Body of an engine's answer.
pub(crate) enum AnswerBody {
    /// A complete JSON answer whose labels match the attempt.
    Complete(WholeAnswer),
    /// An event stream whose first part matches the attempt.
    Stream(Box<EngineStream>),
}

/// An engine's answer, and the attempt that got it.
pub(crate) struct EngineAnswer {
    pub(crate) answer_body: AnswerBody,
    pub(crate) target: FastStr,
    pub(crate) attempt: u32,
    pub(crate) stall_ms: u64,
}

/// One attempt to run a request on an engine.
pub(crate) struct Attempt<'a> {
    pub(crate) entry: &'a Arc<Entry>,
    pub(crate) req: &'a ModelRequest,
    pub(crate) request_id: &'a FastStr,
    pub(crate) caller: &'a FastStr,
    pub(crate) number: u32,
    pub(crate) suspect: bool,
}

struct GrantedTicket {
    ticket: OpenTicket,
    stall_ms: u64,
}

impl Attempt<'_> {
    /// Selects an engine. Returns `None` if no known engine can take the request.
    pub(crate) fn select_engine(&self, attempts: &RequestAttempts) -> Option<FastStr> {
        let entry = self.entry;
        let run_policy = entry.suspects.lock().run_policy(now(), self.req.fingerprint);
        let runs_alone = self.suspect || run_policy != RunPolicy::Unrestricted;
        let placement_request = PlacementRequest {
            model: &self.req.model,
            tried: attempts.excluded_targets(),
            data_centre: &entry.cfg.data_centre,
            remote_cost_ms: entry.cfg.routing.far_ms,
            suspect: runs_alone.then_some(self.req.fingerprint.0),
            seed: egret_core::mix_hashes(self.req.fingerprint.0, now().as_millis()),
        };
        let routing = &entry.cfg.routing;
        let mut views = entry.views.lock();
        let engine = choose_engine(routing.policy, &routing.weights, &views, &placement_request)?;
        views.record_sent(&engine, &self.req.model);
        Some(engine)
    }

    /// Acquires a ticket and runs the request on `engine`.
    pub(crate) async fn run(&self, engine: &FastStr) -> Result<EngineAnswer, AttemptEnd> {
        let granted = self.acquire(engine).await?;
        let config = self.entry.config.current();
        let Some(spec) = config.manifest.engines.get(engine) else {
            return Err(AttemptEnd::Moved);
        };
        let answer_body = self.dispatch(spec.address, granted.ticket, engine).await?;
        Ok(EngineAnswer {
            answer_body,
            target: engine.clone(),
            attempt: self.number,
            stall_ms: granted.stall_ms,
        })
    }

    async fn acquire(&self, engine: &FastStr) -> Result<GrantedTicket, AttemptEnd> {
        if !self.entry.ticket_gate.is_open() {
            return Err(AttemptEnd::Moved);
        }
        let (keeper, resident_copies) = {
            let views = self.entry.views.lock();
            let keeper = views.get(engine).map(|v| v.keeper.clone()).ok_or(AttemptEnd::Moved)?;
            (keeper, views.engines_with(&self.req.model).len())
        };
        let message = AcquireMsg {
            key: AttemptKeyMsg { request: self.request_id.to_string(), attempt: self.number },
            engine: engine.to_string(),
            model: self.req.model.to_string(),
            caller: self.caller.to_string(),
            class: self.req.class.as_str().to_owned(),
            remaining_ms: now().ms_until(self.req.deadline),
            fingerprint: self.req.fingerprint.0,
            suspect: self.suspect,
            resident_copies: u32::try_from(resident_copies).unwrap_or(u32::MAX),
        };
        let deadline = self.req.deadline.after_ms(ACQUIRE_GRACE_MS);
        match self.entry.links.call(&keeper, Body::Acquire(message), deadline).await {
            Ok(Body::Grant(grant)) => {
                let ticket =
                    OpenTicket::new(self.entry, self.ticket_record(engine, grant.fencing_token));
                let ticket = ticket.ok_or(AttemptEnd::Moved)?;
                Ok(GrantedTicket { ticket, stall_ms: grant.stall_ms })
            }
            Ok(Body::Refuse(refusal)) => Err(end_from_refusal(&refusal)),
            // Nothing was sent to the engine. If a grant was in flight, its ticket is missing from
            // the list of open tickets, so the keeper releases it.
            Ok(_) | Err(LinkError::NotConnected | LinkError::Broken) => Err(AttemptEnd::Moved),
            Err(LinkError::TimedOut) => {
                Err(AttemptEnd::NoTicket { reason: Reason::Deadline, retry_after_ms: 1000 })
            }
        }
    }

    fn ticket_record(&self, engine: &FastStr, fencing_token: u64) -> TicketRecord {
        TicketRecord {
            request_id: self.request_id.clone(),
            attempt: self.number,
            engine: engine.clone(),
            fencing_token,
            model: self.req.model.clone(),
            caller: self.caller.clone(),
            fingerprint: self.req.fingerprint,
        }
    }

    async fn dispatch(
        &self,
        address: SocketAddr,
        mut ticket: OpenTicket,
        engine: &FastStr,
    ) -> Result<AnswerBody, AttemptEnd> {
        let expected = ExpectedLabels::new(self.request_id, self.number, &self.req.model);
        let deadline = self.head_deadline();
        ticket.mark_sent();
        let path = self.req.endpoint.path();
        let headers = Self::request_headers(&expected);
        let body = self.req.body.clone();
        let client = &self.entry.engine_client;
        let opened =
            client.send_request(address, Method::POST, path, &headers, body, deadline).await;
        let response = match opened {
            Ok(response) => response,
            Err(e) => return Err(Self::handle_call_error(ticket, &e).await),
        };
        if !response.status().is_success() {
            return Err(self.handle_error_status(&mut ticket, response, engine).await);
        }
        if !expected.matches_head(response.headers()) {
            self.entry.counts.answers_dropped.inc();
            events::ANSWER_DROPPED.warn(format_args!(
                "request={} target={engine} labels of the response head do not match",
                self.request_id
            ));
            return Err(AttemptEnd::Broken(Reason::BadAnswer));
        }
        if self.req.is_streaming {
            let stream =
                EngineStream::await_first_part(self.entry, expected, response, ticket).await?;
            return Ok(AnswerBody::Stream(Box::new(stream)));
        }
        self.read_complete_answer(&expected, response, ticket).await
    }

    /// Deadline for the response head. An engine starts a stream with the first part, but sends a
    /// complete answer only when the request has finished.
    fn head_deadline(&self) -> Time {
        let first_part_deadline = now().after_ms(self.entry.cfg.times.first_part_ms);
        if self.req.is_streaming {
            first_part_deadline
        } else {
            self.req.deadline.max(first_part_deadline)
        }
    }

    fn request_headers(expected: &ExpectedLabels) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let json = HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
        for (name, value) in
            [("x-request-id", expected.request_id.as_str()), ("x-attempt", &expected.attempt)]
        {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        headers
    }

    async fn handle_call_error(mut ticket: OpenTicket, error: &CallError) -> AttemptEnd {
        match error {
            CallError::NotConnected(_) => {
                ticket.mark_unused();
                AttemptEnd::NotConnected
            }
            CallError::TimedOut => AttemptEnd::Broken(Reason::TargetFailed),
            CallError::InvalidStatus(_) => AttemptEnd::Broken(Reason::BadAnswer),
            CallError::Broken(_) => {
                ticket.report_broken().await;
                AttemptEnd::Broken(Reason::TargetFailed)
            }
        }
    }

    async fn handle_error_status(
        &self,
        ticket: &mut OpenTicket,
        response: Response,
        engine: &FastStr,
    ) -> AttemptEnd {
        let status = response.status();
        let _ = tokio::time::timeout(
            Duration::from_millis(self.entry.cfg.times.silence_ms),
            discard_body(response.into_body(), ERROR_BYTES_MAX),
        )
        .await;
        match status {
            StatusCode::NOT_FOUND => {
                ticket.mark_not_resident();
                self.entry.views.lock().record_missing(engine, &self.req.model);
                AttemptEnd::Refused
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                ticket.mark_unused();
                AttemptEnd::Refused
            }
            // The request may have run partly.
            _ => AttemptEnd::Broken(Reason::TargetFailed),
        }
    }

    async fn read_complete_answer(
        &self,
        expected: &ExpectedLabels,
        response: Response,
        mut ticket: OpenTicket,
    ) -> Result<AnswerBody, AttemptEnd> {
        let silence = Duration::from_millis(self.entry.cfg.times.silence_ms);
        let read =
            WholeAnswer::read(&self.entry.held_answers, response.into_body(), ANSWER_BYTES_MAX);
        let Ok(read) = tokio::time::timeout(silence, read).await else {
            return Err(AttemptEnd::Broken(Reason::TargetFailed));
        };
        let body = match read {
            Ok(body) => body,
            Err(AnswerReadError::NoRoom) => return Err(AttemptEnd::Broken(Reason::Overloaded)),
            Err(AnswerReadError::Incomplete) => {
                ticket.report_broken().await;
                return Err(AttemptEnd::Broken(Reason::BadAnswer));
            }
        };
        if !expected.matches_body(body.reader()) {
            self.entry.counts.answers_dropped.inc();
            events::ANSWER_DROPPED.warn(format_args!(
                "request={} labels of the answer do not match",
                self.request_id
            ));
            return Err(AttemptEnd::Broken(Reason::BadAnswer));
        }
        ticket.mark_done();
        Ok(AnswerBody::Complete(body))
    }
}

fn end_from_refusal(refusal: &RefuseMsg) -> AttemptEnd {
    match Reason::from_code(&refusal.reason) {
        Some(reason) => AttemptEnd::NoTicket { reason, retry_after_ms: refusal.retry_after_ms },
        None => AttemptEnd::Moved,
    }
}
