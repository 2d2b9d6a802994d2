//! Requests that may not be repeated: at most once, by the journal.

use {
    super::call::{ServiceAnswer, ServiceCall, service_answer},
    crate::state::{AdmissionGuard, Entry},
    egret_core::{
        Attempt, IntentDecision, Journal, JournalRecord, KeyDigest, KeyRejection, Lookup, Outcome,
        Reason, RecordedAnswer, Time, hex_digest,
    },
    egret_runtime::{ErrorResponse, Reply, events, now, unix_ms},
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
};

/// When a caller is told to come back for the outcome of a request that is open, in milliseconds.
const RETRY_AFTER_MS: u64 = 1000;

/// Shortest time left for reading an intent back, in milliseconds.
const READ_BACK_MIN_MS: u64 = 200;

/// Longest wait for an answer to get into the journal before its caller gets it, in milliseconds.
const RECORD_TIMEOUT_MS: u64 = 300;

/// Longest look into the journal for a request that is refused anyway, in milliseconds.
const VERIFY_TIMEOUT_MS: u64 = 500;

/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// What a caller said of a request that may not be repeated.
pub(super) struct KeyedRequest {
    pub(super) service: FastStr,
    pub(super) caller: FastStr,
    pub(super) headers: HeaderMap,
}

/// The key of a request, read from its headers.
struct IdempotencyKey {
    digest: KeyDigest,
    expires_unix_ms: u64,
}

/// Sends a request that may not be repeated. The work goes on when the caller hangs up, so that
/// what happened gets into the journal.
pub(super) async fn send_at_most_once(
    call: ServiceCall,
    asked: KeyedRequest,
    admitted: AdmissionGuard,
) -> Result<ServiceAnswer, ErrorResponse> {
    let key = parse_key(&call, &asked)?;
    let request = call.request_id.clone();
    let work = tokio::spawn(async move {
        let served = execute(&call, &key).await;
        drop(admitted);
        served
    });
    work.await.unwrap_or_else(|_| {
        Err(ErrorResponse {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            outcome: Outcome::Unknown,
            reason: Reason::TargetFailed,
            message: "whether the request ran is not known".to_owned(),
            retry_after_ms: Some(RETRY_AFTER_MS),
            request,
        })
    })
}

/// Makes a refusal true for a request with a key: it says "not run" only if the journal, read to
/// its end after the request came, does not know the key.
pub(super) async fn verify_refusal(
    entry: &Entry,
    asked: &KeyedRequest,
    mut answer: ErrorResponse,
) -> ErrorResponse {
    let text = |name: &str| asked.headers.get(name).and_then(|v| v.to_str().ok());
    let Some(key) = text("idempotency-key") else {
        return answer;
    };
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let digest = KeyDigest::new(&asked.caller, &asked.service, key);
    let read = entry.journal.read_to_end(entry, now().after_ms(VERIFY_TIMEOUT_MS)).await;
    let free = entry
        .journal
        .with_replica(|j| j.check_expiry(unix_ms(), expires).is_ok() && !j.is_in_use(&digest));
    if !(read && free) {
        answer.outcome = Outcome::Unknown;
        answer.message.push_str("; an earlier request with this key may have run");
    }
    answer
}

fn parse_key(call: &ServiceCall, asked: &KeyedRequest) -> Result<IdempotencyKey, ErrorResponse> {
    let bad = |message: &str| ErrorResponse {
        status: StatusCode::BAD_REQUEST,
        message: message.to_owned(),
        retry_after_ms: None,
        ..call.failure_answer(Outcome::NotRun, Reason::BadRequest, 0)
    };
    let text = |name: &str| asked.headers.get(name).and_then(|v| v.to_str().ok());
    let key = text("idempotency-key").filter(|k| (1..=KEY_BYTES_MAX).contains(&k.len()));
    let key = key.ok_or_else(|| bad("Idempotency-Key must hold 1 to 256 characters"))?;
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok());
    let expires_unix_ms =
        expires.ok_or_else(|| bad("Idempotency-Expires must be milliseconds of Unix time"))?;
    let digest = KeyDigest::new(&asked.caller, &asked.service, key);
    Ok(IdempotencyKey { digest, expires_unix_ms })
}

async fn execute(call: &ServiceCall, key: &IdempotencyKey) -> Result<ServiceAnswer, ErrorResponse> {
    check_key(call, key)?;
    let body = request_digest(call);
    let journal = &call.entry.journal;
    let settle_by = now().after_ms(call.entry.cfg.journal.settle_ms);
    // a key that looks free or open may have been settled through another host
    let mut lookup = journal.with_replica(|j| j.lookup(&key.digest, &body));
    if lookup == Lookup::Open && journal.read_to_end(&call.entry, settle_by).await {
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
    match write_intent(call, key, &body, &attempt, settle_by).await {
        None => send_to_targets(call, key, &attempt).await,
        Some(answer) => answer,
    }
}

fn request_digest(call: &ServiceCall) -> FastStr {
    let outgoing = &call.outgoing;
    let head = format!("{} {}\n", outgoing.method, outgoing.path);
    let whole = [head.as_bytes(), &outgoing.body].concat();
    FastStr::from_string(hex_digest(&whole))
}

/// Refuses a key that can't be begun.
fn check_key(call: &ServiceCall, key: &IdempotencyKey) -> Result<(), ErrorResponse> {
    let journal = &call.entry.journal;
    if !journal.is_caught_up() {
        return Err(call.failure_answer(Outcome::Unknown, Reason::NotReady, RETRY_AFTER_MS));
    }
    let begun = journal.with_replica(|j| j.check_expiry(unix_ms(), key.expires_unix_ms));
    begun.map_err(|e| {
        let (outcome, reason, after_ms) = match e {
            KeyRejection::Expired => (Outcome::Unknown, Reason::KeyExpired, 0),
            // such a key was never begun anywhere
            KeyRejection::ExpiryTooFar { .. } => (Outcome::NotRun, Reason::BadRequest, 0),
            KeyRejection::Incomplete { retry_after_ms } => {
                (Outcome::Unknown, Reason::NotReady, retry_after_ms)
            }
        };
        let mut answer = call.failure_answer(outcome, reason, after_ms);
        answer.message = format!("{}: {e}", answer.message);
        answer.retry_after_ms = (after_ms > 0).then_some(after_ms);
        if reason == Reason::BadRequest {
            answer.status = StatusCode::BAD_REQUEST;
        }
        answer
    })
}

/// The final answer of a request that is not sent.
fn unsent_answer(call: &ServiceCall, next: IntentDecision) -> Result<ServiceAnswer, ErrorResponse> {
    match next {
        IntentDecision::Replay(answer) => Ok(replayed_answer(call, answer)),
        IntentDecision::Refuse(outcome, reason) => {
            let mut answer = call.failure_answer(outcome, reason, RETRY_AFTER_MS);
            if reason == Reason::KeyReused {
                answer.retry_after_ms = None;
            }
            Err(answer)
        }
        IntentDecision::Send => unreachable!("only a request that may not be sent comes here"),
    }
}

fn replayed_answer(call: &ServiceCall, answer: RecordedAnswer) -> ServiceAnswer {
    call.entry.traces.add_step(&call.request_id, "repeats the recorded answer".to_owned());
    let kept = answer.body.is_some();
    let body = answer.body.unwrap_or_else(|| {
        FastStr::from_static_str("{\"outcome\":\"done\",\"body\":\"too long to be kept\"}")
    });
    let content_type =
        if kept { answer.content_type.to_string() } else { "application/json".to_owned() };
    ServiceAnswer {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type,
        body: bytes::Bytes::from(body.to_string()),
        target: answer.target,
        is_replay: true,
    }
}

/// Writes the intent. Returns none once it was read back as the first for its key, and
/// otherwise the final answer.
async fn write_intent(
    call: &ServiceCall,
    key: &IdempotencyKey,
    body: &FastStr,
    attempt: &Attempt,
    settle_by: Time,
) -> Option<Result<ServiceAnswer, ErrorResponse>> {
    let (entry, journal) = (&call.entry, &call.entry.journal);
    let intent = JournalRecord::Intent {
        key: key.digest.clone(),
        body: body.clone(),
        attempt: attempt.clone(),
        expires_unix_ms: key.expires_unix_ms,
    };
    let written = journal.append_intent(intent).await;
    let read_by = settle_by.max(now().after_ms(READ_BACK_MIN_MS));
    let reached_end = journal.read_to_end(entry, read_by).await;
    let (next, take_back) = journal
        .with_replica(|j| j.decide_after_intent(&key.digest, body, attempt, written, reached_end));
    if take_back {
        record_not_sent(call, key, attempt);
    }
    match next {
        IntentDecision::Send => None,
        other => Some(unsent_answer(call, other)),
    }
}

fn record_not_sent(call: &ServiceCall, key: &IdempotencyKey, attempt: &Attempt) {
    call.entry
        .journal
        .settle(JournalRecord::NotSent { key: key.digest.clone(), attempt: attempt.clone() });
}

/// Sends the request to the first target that can be connected to.
async fn send_to_targets(
    call: &ServiceCall,
    key: &IdempotencyKey,
    attempt: &Attempt,
) -> Result<ServiceAnswer, ErrorResponse> {
    let entry = &call.entry;
    let deadline = now().after_ms(entry.cfg.times.service_ms);
    for host in &call.targets {
        // a process that was paused must not send under a key that others count as expired
        if unix_ms() >= key.expires_unix_ms || now() >= deadline {
            break;
        }
        entry.traces.add_step(&call.request_id, format!("sent to {}", host.name));
        match call.outgoing.send(entry, host, deadline).await {
            Ok(reply) => {
                record_answer(call, key, attempt, &reply, &host.name).await;
                return Ok(service_answer(reply, host));
            }
            Err(e) if e.is_unsent() => {}
            Err(e) => {
                events::JOURNAL_UNSETTLED
                    .warn(format_args!("request={} target={} {e}", call.request_id, host.name));
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

async fn record_answer(
    call: &ServiceCall,
    key: &IdempotencyKey,
    attempt: &Attempt,
    reply: &Reply,
    target: &FastStr,
) {
    let short = reply.body.len() <= call.entry.cfg.journal.answer_bytes;
    let text = short.then(|| std::str::from_utf8(&reply.body).ok()).flatten();
    let answer = RecordedAnswer {
        status: reply.status.as_u16(),
        content_type: FastStr::new(reply.header("content-type").unwrap_or("text/plain")),
        body: text.map(FastStr::new),
        target: target.clone(),
    };
    let done = JournalRecord::Done { key: key.digest.clone(), attempt: attempt.clone(), answer };
    // a repeat through another entry then finds the answer; without the log the caller does
    // not wait for it
    call.entry.journal.settle_and_wait(done, now().after_ms(RECORD_TIMEOUT_MS)).await;
}
