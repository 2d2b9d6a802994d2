//! Requests that may not be repeated: at most once, by the journal.

use {
    super::call::{Call, Served, served},
    crate::state::{Admitted, Entry},
    egret_core::{
        AfterIntent, Attempt, BeginError, Journal, JournalRecord, KeyDigest, Lookup, Outcome,
        Reason, RecordedAnswer, Time, digest,
    },
    egret_runtime::{ErrorResponse, Reply, events, now, unix_ms},
    faststr::FastStr,
    http::{HeaderMap, StatusCode},
};

/// When a caller is told to come back for the outcome of a request that is open, in milliseconds.
const OPEN_RETRY_MS: u64 = 1000;

/// Shortest time left for reading an intent back, in milliseconds.
const READ_BACK_MS: u64 = 200;

/// Longest wait for an answer to get into the journal before its caller gets it, in milliseconds.
const RECORD_MS: u64 = 300;

/// Longest look into the journal for a request that is refused anyway, in milliseconds.
const TRUTH_MS: u64 = 500;

/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 256;

/// What a caller said of a request that may not be repeated.
pub(super) struct Keyed {
    pub(super) service: FastStr,
    pub(super) caller: FastStr,
    pub(super) headers: HeaderMap,
}

/// The key of a request, read from its headers.
struct Key {
    digest: KeyDigest,
    expires_unix_ms: u64,
}

/// Sends a request that may not be repeated. The work goes on when the caller hangs up, so that
/// what happened gets into the journal.
pub(super) async fn keyed(
    call: Call,
    asked: Keyed,
    admitted: Admitted,
) -> Result<Served, ErrorResponse> {
    let key = read_key(&call, &asked)?;
    let request = call.request.clone();
    let work = tokio::spawn(async move {
        let served = run(&call, &key).await;
        drop(admitted);
        served
    });
    work.await.unwrap_or_else(|_| {
        Err(ErrorResponse {
            status: StatusCode::INTERNAL_SERVER_ERROR,
            outcome: Outcome::Unknown,
            reason: Reason::TargetFailed,
            message: "whether the request ran is not known".to_owned(),
            retry_after_ms: Some(OPEN_RETRY_MS),
            request,
        })
    })
}

/// Makes a refusal true for a request with a key: it says "not run" only if the journal, read to
/// its end after the request came, does not know the key.
pub(super) async fn truthful(
    entry: &Entry,
    asked: &Keyed,
    mut answer: ErrorResponse,
) -> ErrorResponse {
    let text = |name: &str| asked.headers.get(name).and_then(|v| v.to_str().ok());
    let Some(key) = text("idempotency-key") else {
        return answer;
    };
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let digest = KeyDigest::new(&asked.caller, &asked.service, key);
    let read = entry.journal.refresh(entry, now().after_ms(TRUTH_MS)).await;
    let free = entry.journal.with(|j| j.begin(unix_ms(), expires).is_ok() && !j.knows(&digest));
    if !(read && free) {
        answer.outcome = Outcome::Unknown;
        answer.message.push_str("; an earlier request with this key may have run");
    }
    answer
}

fn read_key(call: &Call, asked: &Keyed) -> Result<Key, ErrorResponse> {
    let bad = |message: &str| ErrorResponse {
        status: StatusCode::BAD_REQUEST,
        message: message.to_owned(),
        retry_after_ms: None,
        ..call.answer(Outcome::NotRun, Reason::BadRequest, 0)
    };
    let text = |name: &str| asked.headers.get(name).and_then(|v| v.to_str().ok());
    let key = text("idempotency-key").filter(|k| (1..=KEY_BYTES_MAX).contains(&k.len()));
    let key = key.ok_or_else(|| bad("Idempotency-Key must hold 1 to 256 characters"))?;
    let expires = text("idempotency-expires").and_then(|v| v.parse::<u64>().ok());
    let expires_unix_ms =
        expires.ok_or_else(|| bad("Idempotency-Expires must be milliseconds of Unix time"))?;
    let digest = KeyDigest::new(&asked.caller, &asked.service, key);
    Ok(Key { digest, expires_unix_ms })
}

async fn run(call: &Call, key: &Key) -> Result<Served, ErrorResponse> {
    begin(call, key)?;
    let body = body_digest(call);
    let journal = &call.entry.journal;
    let settle_by = now().after_ms(call.entry.cfg.journal.settle_ms);
    // a key that looks free or open may have been settled through another host
    let mut lookup = journal.with(|j| j.lookup(&key.digest, &body));
    if lookup == Lookup::Open && journal.refresh(&call.entry, settle_by).await {
        lookup = journal.with(|j| j.lookup(&key.digest, &body));
    }
    if lookup != Lookup::Free {
        return unsent(call, Journal::without_sending(lookup, true));
    }
    let attempt = Attempt {
        entry: call.entry.host.clone(),
        incarnation: call.entry.incarnation,
        number: journal.next_number(),
    };
    match win(call, key, &body, &attempt, settle_by).await {
        None => send(call, key, &attempt).await,
        Some(answer) => answer,
    }
}

fn body_digest(call: &Call) -> FastStr {
    let outgoing = &call.outgoing;
    let head = format!("{} {}\n", outgoing.method, outgoing.path);
    let whole = [head.as_bytes(), &outgoing.body].concat();
    FastStr::from_string(digest(&whole))
}

/// Refuses a key that can't be begun.
fn begin(call: &Call, key: &Key) -> Result<(), ErrorResponse> {
    let journal = &call.entry.journal;
    if !journal.ready() {
        return Err(call.answer(Outcome::Unknown, Reason::NotReady, OPEN_RETRY_MS));
    }
    let begun = journal.with(|j| j.begin(unix_ms(), key.expires_unix_ms));
    begun.map_err(|e| {
        let (outcome, reason, after_ms) = match e {
            BeginError::Expired => (Outcome::Unknown, Reason::KeyExpired, 0),
            // such a key was never begun anywhere
            BeginError::TooFar { .. } => (Outcome::NotRun, Reason::BadRequest, 0),
            BeginError::Incomplete { retry_after_ms } => {
                (Outcome::Unknown, Reason::NotReady, retry_after_ms)
            }
        };
        let mut answer = call.answer(outcome, reason, after_ms);
        answer.message = format!("{}: {e}", answer.message);
        answer.retry_after_ms = (after_ms > 0).then_some(after_ms);
        if reason == Reason::BadRequest {
            answer.status = StatusCode::BAD_REQUEST;
        }
        answer
    })
}

/// The final answer of a request that is not sent.
fn unsent(call: &Call, next: AfterIntent) -> Result<Served, ErrorResponse> {
    match next {
        AfterIntent::Answered(answer) => Ok(recorded(call, answer)),
        AfterIntent::Refuse(outcome, reason) => {
            let mut answer = call.answer(outcome, reason, OPEN_RETRY_MS);
            if reason == Reason::KeyReused {
                answer.retry_after_ms = None;
            }
            Err(answer)
        }
        AfterIntent::Send => unreachable!("only a request that may not be sent comes here"),
    }
}

fn recorded(call: &Call, answer: RecordedAnswer) -> Served {
    call.entry.traces.step(&call.request, "repeats the recorded answer".to_owned());
    let kept = answer.body.is_some();
    let body = answer.body.unwrap_or_else(|| {
        FastStr::from_static_str("{\"outcome\":\"done\",\"body\":\"too long to be kept\"}")
    });
    let content_type =
        if kept { answer.content_type.to_string() } else { "application/json".to_owned() };
    Served {
        status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK),
        content_type,
        body: bytes::Bytes::from(body.to_string()),
        target: answer.target,
        repeated: true,
    }
}

/// Writes the intent. Returns none once it was read back as the first for its key, and
/// otherwise the final answer.
async fn win(
    call: &Call,
    key: &Key,
    body: &FastStr,
    attempt: &Attempt,
    settle_by: Time,
) -> Option<Result<Served, ErrorResponse>> {
    let (entry, journal) = (&call.entry, &call.entry.journal);
    let intent = JournalRecord::Intent {
        key: key.digest.clone(),
        body: body.clone(),
        attempt: attempt.clone(),
        expires_unix_ms: key.expires_unix_ms,
    };
    let written = journal.write(intent).await;
    let read_by = settle_by.max(now().after_ms(READ_BACK_MS));
    let reached_end = journal.refresh(entry, read_by).await;
    let (next, take_back) =
        journal.with(|j| j.after_intent(&key.digest, body, attempt, written, reached_end));
    if take_back {
        give_back(call, key, attempt);
    }
    match next {
        AfterIntent::Send => None,
        other => Some(unsent(call, other)),
    }
}

fn give_back(call: &Call, key: &Key, attempt: &Attempt) {
    call.entry
        .journal
        .settle(JournalRecord::NotSent { key: key.digest.clone(), attempt: attempt.clone() });
}

/// Sends the request to the first target that can be connected to.
async fn send(call: &Call, key: &Key, attempt: &Attempt) -> Result<Served, ErrorResponse> {
    let entry = &call.entry;
    let deadline = now().after_ms(entry.cfg.times.service_ms);
    for host in &call.hosts {
        // a process that was paused must not send under a key that others count as expired
        if unix_ms() >= key.expires_unix_ms || now() >= deadline {
            break;
        }
        entry.traces.step(&call.request, format!("sent to {}", host.name));
        match call.outgoing.send(entry, host, deadline).await {
            Ok(reply) => {
                record(call, key, attempt, &reply, &host.name).await;
                return Ok(served(reply, host));
            }
            Err(e) if e.is_unsent() => {}
            Err(e) => {
                events::JOURNAL_UNSETTLED
                    .warn(format_args!("request={} target={} {e}", call.request, host.name));
                return Err(call.answer(Outcome::Unknown, Reason::TargetFailed, OPEN_RETRY_MS));
            }
        }
    }
    give_back(call, key, attempt);
    Err(call.answer(Outcome::NotRun, Reason::NoTarget, OPEN_RETRY_MS))
}

async fn record(call: &Call, key: &Key, attempt: &Attempt, reply: &Reply, target: &FastStr) {
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
    call.entry.journal.settle_by(done, now().after_ms(RECORD_MS)).await;
}
