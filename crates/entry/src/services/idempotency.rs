//! Runs requests with an idempotency key at most once, with the help of the journal.

use {
    super::{
        call::{AnswerBody, ServiceAnswer, ServiceCall, service_answer},
        target::{SendError, TargetReply},
    },
    crate::state::{AdmissionGuard, Entry},
    egret_core::{
        Attempt, IntentDecision, Journal, JournalRecord, KeyDigest, KeyRejection, Lookup, Outcome,
        Reason, RecordedAnswer, Time, hex_digest,
    },
    egret_runtime::{ErrorResponse, events, now, unix_ms},
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
};

/// Retry delay sent for requests that have no outcome yet, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Minimum time for reading an intent back, in milliseconds.
const READ_BACK_MIN_MS: u64 = 200;

/// Time for recording an answer in the journal before it is sent to the caller, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 300;

/// Time for reading the journal before a request is refused, in milliseconds.
const VERIFY_TIMEOUT_MS: u64 = 500;

/// Type that is recorded of an answer which names none.
const DEFAULT_CONTENT_TYPE: &str = "text/plain";

/// Length limit of an idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// Service, caller and headers of a request, which determine its idempotency key.
pub(super) struct KeyedRequest {
    pub(super) service: FastStr,
    pub(super) caller: FastStr,
    pub(super) headers: HeaderMap,
}

/// Idempotency key of a request.
struct IdempotencyKey {
    digest: KeyDigest,
    expires_unix_ms: u64,
}

/// Sends a request at most once. It runs to the end even if the caller disconnects, so that its
/// outcome is recorded in the journal.
pub(super) async fn send_at_most_once(
    call: ServiceCall,
    keyed_request: KeyedRequest,
    admission: AdmissionGuard,
) -> Result<ServiceAnswer, ErrorResponse> {
    let key = parse_key(&call, &keyed_request)?;
    let request_id = call.request_id.clone();
    let task = tokio::spawn(async move {
        let answer = execute(&call, &key).await;
        drop(admission);
        answer
    });
    task.await.unwrap_or_else(|_| {
        Err(ErrorResponse {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            outcome: Outcome::Unknown,
            reason: Reason::TargetFailed,
            message: "whether the request ran is not known".to_owned(),
            retry_after_ms: Some(RETRY_AFTER_MS),
            request: request_id,
        })
    })
}

/// Checks that the refusal of a request with an idempotency key may say "not run". It may only if
/// the journal, read to its end after the request arrived, does not hold the key. Otherwise the
/// outcome becomes unknown.
pub(super) async fn verify_refusal(
    entry: &Entry,
    keyed_request: &KeyedRequest,
    mut answer: ErrorResponse,
) -> ErrorResponse {
    let text = |name: &str| keyed_request.headers.get(name).and_then(|v| v.to_str().ok());
    let Some(key) = text("idempotency-key") else {
        return answer;
    };
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let digest = KeyDigest::new(&keyed_request.caller, &keyed_request.service, key);
    let reached_end = entry.journal.read_to_end(entry, now().after_ms(VERIFY_TIMEOUT_MS)).await;
    let is_free = entry
        .journal
        .with_replica(|j| j.check_expiry(unix_ms(), expires).is_ok() && !j.is_in_use(&digest));
    if !(reached_end && is_free) {
        answer.outcome = Outcome::Unknown;
        answer.message.push_str("; an earlier request with this key may have run");
    }
    answer
}

fn parse_key(
    call: &ServiceCall,
    keyed_request: &KeyedRequest,
) -> Result<IdempotencyKey, ErrorResponse> {
    let bad_request = |message: &str| ErrorResponse {
        status: StatusCode::BAD_REQUEST,
        message: message.to_owned(),
        retry_after_ms: None,
        ..call.failure_answer(Outcome::NotRun, Reason::BadRequest, 0)
    };
    let text = |name: &str| keyed_request.headers.get(name).and_then(|v| v.to_str().ok());
    let key = text("idempotency-key").filter(|k| (1..=KEY_BYTES_MAX).contains(&k.len()));
    let key = key.ok_or_else(|| bad_request("Idempotency-Key must hold 1 to 256 characters"))?;
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok());
    let expires_unix_ms = expires
        .ok_or_else(|| bad_request("Idempotency-Expires must be milliseconds of Unix time"))?;
    let digest = KeyDigest::new(&keyed_request.caller, &keyed_request.service, key);
    Ok(IdempotencyKey { digest, expires_unix_ms })
}

async fn execute(call: &ServiceCall, key: &IdempotencyKey) -> Result<ServiceAnswer, ErrorResponse> {
    check_key(call, key)?;
    let body = request_digest(call);
    let journal = &call.entry.journal;
    let settle_deadline = now().after_ms(call.entry.cfg.journal.settle_ms);
    // Another host may have settled a key that looks free or open here. An open key is read again
    // now, a free one after its intent has been appended.
    let mut lookup = journal.with_replica(|j| j.lookup(&key.digest, &body));
    if lookup == Lookup::Open && journal.read_to_end(&call.entry, settle_deadline).await {
        lookup = journal.with_replica(|j| j.lookup(&key.digest, &body));
    }
    if lookup != Lookup::Free {
        return unsent_answer(call, Journal::decide_unsent(lookup, true));
    }
    let attempt = Attempt {
        entry: call.entry.host.clone(),
        incarnation: call.entry.incarnation,
        number: journal.next_attempt_number(),
    };
    match write_intent(call, key, &body, &attempt, settle_deadline).await {
        None => send_to_targets(call, key, &attempt).await,
        Some(answer) => answer,
    }
}

fn request_digest(call: &ServiceCall) -> FastStr {
    let outgoing = &call.outgoing;
    let head = format!("{} {}\n", outgoing.method, outgoing.path);
    let bytes = [head.as_bytes(), &outgoing.body].concat();
    FastStr::from_string(hex_digest(&bytes))
}

/// Refuses a key that has expired or expires too late. Refuses any key until the journal has been
/// read to its end, and while older records that were missed may hold it.
fn check_key(call: &ServiceCall, key: &IdempotencyKey) -> Result<(), ErrorResponse> {
    let journal = &call.entry.journal;
    if !journal.is_caught_up() {
        return Err(call.failure_answer(Outcome::Unknown, Reason::NotReady, RETRY_AFTER_MS));
    }
    let checked = journal.with_replica(|j| j.check_expiry(unix_ms(), key.expires_unix_ms));
    checked.map_err(|e| {
        let (outcome, reason, retry_after_ms) = match e {
            KeyRejection::Expired => (Outcome::Unknown, Reason::KeyExpired, 0),
            // Every host refuses a key that expires so late, so the request has not run.
            KeyRejection::ExpiryTooFar { .. } => (Outcome::NotRun, Reason::BadRequest, 0),
            KeyRejection::Incomplete { retry_after_ms } => {
                (Outcome::Unknown, Reason::NotReady, retry_after_ms)
            }
        };
        let mut answer = call.failure_answer(outcome, reason, retry_after_ms);
        answer.message = format!("{}: {e}", answer.message);
        answer.retry_after_ms = (retry_after_ms > 0).then_some(retry_after_ms);
        if reason == Reason::BadRequest {
            answer.status = StatusCode::BAD_REQUEST;
        }
        answer
    })
}

/// Returns the final answer of a request that is not sent.
fn unsent_answer(
    call: &ServiceCall,
    decision: IntentDecision,
) -> Result<ServiceAnswer, ErrorResponse> {
    match decision {
        IntentDecision::Replay(answer) => Ok(replayed_answer(call, answer)),
        IntentDecision::Refuse(outcome, reason) => {
            let mut answer = call.failure_answer(outcome, reason, RETRY_AFTER_MS);
            if reason == Reason::KeyReused {
                answer.retry_after_ms = None;
            }
            Err(answer)
        }
        IntentDecision::Send => unreachable!("the request may be sent"),
    }
}

fn replayed_answer(call: &ServiceCall, answer: RecordedAnswer) -> ServiceAnswer {
    call.entry.traces.add_step(&call.request_id, "repeats the recorded answer".to_owned());
    let has_body = answer.body.is_some();
    let body = answer.body.unwrap_or_else(|| {
        FastStr::from_static_str("{\"outcome\":\"done\",\"body\":\"too long to be kept\"}")
    });
    let content_type =
        if has_body { answer.content_type.to_string() } else { "application/json".to_owned() };
    ServiceAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type,
        body: AnswerBody::Recorded(bytes::Bytes::from(body.to_string())),
        target: answer.target,
        is_replay: true,
    }
}

/// Appends the intent and reads it back. Returns `None` if it is the first intent for its key, or
/// the final answer otherwise.
async fn write_intent(
    call: &ServiceCall,
    key: &IdempotencyKey,
    body: &FastStr,
    attempt: &Attempt,
    settle_deadline: Time,
) -> Option<Result<ServiceAnswer, ErrorResponse>> {
    let (entry, journal) = (&call.entry, &call.entry.journal);
    let intent = JournalRecord::Intent {
        key: key.digest.clone(),
        body: body.clone(),
        attempt: attempt.clone(),
        expires_unix_ms: key.expires_unix_ms,
    };
    let written = journal.append_intent(intent).await;
    let read_deadline = settle_deadline.max(now().after_ms(READ_BACK_MIN_MS));
    let reached_end = journal.read_to_end(entry, read_deadline).await;
    let (decision, must_release) = journal
        .with_replica(|j| j.decide_after_intent(&key.digest, body, attempt, written, reached_end));
    if must_release {
        record_not_sent(call, key, attempt);
    }
    match decision {
        IntentDecision::Send => None,
        other => Some(unsent_answer(call, other)),
    }
}

fn record_not_sent(call: &ServiceCall, key: &IdempotencyKey, attempt: &Attempt) {
    call.entry
        .journal
        .settle(JournalRecord::NotSent { key: key.digest.clone(), attempt: attempt.clone() });
}

/// Sends the request to the first target that accepts a connection.
async fn send_to_targets(
    call: &ServiceCall,
    key: &IdempotencyKey,
    attempt: &Attempt,
) -> Result<ServiceAnswer, ErrorResponse> {
    let entry = &call.entry;
    let deadline = now().after_ms(entry.cfg.times.service_ms);
    for target in &call.targets {
        // After a pause of this process, other hosts may count the key as expired. The request must
        // not be sent then.
        if unix_ms() >= key.expires_unix_ms || now() >= deadline {
            break;
        }
        entry.traces.add_step(&call.request_id, format!("sent to {}", target.name));
        match call.outgoing.send(entry, target, deadline).await {
            Ok(reply) => {
                let answer = recorded_answer(call, &reply, &target.name);
                record_answer(call, key, attempt, answer).await;
                return Ok(service_answer(reply, target));
            }
            Err(SendError::NoRoom { status }) => {
                let answer = RecordedAnswer {
                    status: status.as_u16(),
                    content_type: FastStr::from_static_str(DEFAULT_CONTENT_TYPE),
                    body: None,
                    target: target.name.clone(),
                };
                record_answer(call, key, attempt, answer).await;
                return Err(call.unheld_answer());
            }
            Err(e) if e.is_unsent() => {}
            Err(e) => {
                events::JOURNAL_UNSETTLED
                    .warn(format_args!("request={} target={} {e}", call.request_id, target.name));
                return Err(call.failure_answer(
                    Outcome::Unknown,
                    Reason::TargetFailed,
                    RETRY_AFTER_MS,
                ));
            }
        }
    }
    record_not_sent(call, key, attempt);
    Err(call.failure_answer(Outcome::NotRun, Reason::NoTarget, RETRY_AFTER_MS))
}

// what the journal keeps of an answer
fn recorded_answer(call: &ServiceCall, reply: &TargetReply, target: &FastStr) -> RecordedAnswer {
    let bytes = reply.body.small_bytes(call.entry.cfg.journal.answer_bytes);
    let text = bytes.as_deref().and_then(|bytes| std::str::from_utf8(bytes).ok());
    let content_type = reply.header("content-type").unwrap_or(DEFAULT_CONTENT_TYPE);
    RecordedAnswer {
        status: reply.status.as_u16(),
        content_type: FastStr::new(content_type),
        body: text.map(FastStr::new),
        target: target.clone(),
    }
}

async fn record_answer(
    call: &ServiceCall,
    key: &IdempotencyKey,
    attempt: &Attempt,
    answer: RecordedAnswer,
) {
    let done = JournalRecord::Done { key: key.digest.clone(), attempt: attempt.clone(), answer };
    // The answer is recorded before it is returned, so that a repeat at another entry finds it. If
    // the log does not answer, the caller waits no longer than this.
    call.entry.journal.settle_and_wait(done, now().after_ms(RECORD_TIMEOUT_MS)).await;
}
