//! Tokens for requests to targets that limit their rate: asks the issuer of a target for them, and
//! issues them to other hosts.

use {
    super::{gossip, links, peer_table::time_from_age},
    crate::state::Edge,
    egret_core::{HostCounts, Target, TargetRateLimit, Time, TokenAnswer},
    egret_runtime::{Body, RateLimitMsg, TokenMsg, events, now},
    faststr::FastStr,
};

/// Longest wait for an issuer's answer. A request that waits for it is still in time.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Pause before an issuer that did not answer is asked again, so that not every request waits.
const ASK_PAUSE_MS: u64 = 400;

/// The limits that were named within this time are told to the other hosts.
const REPEAT_MS: u64 = 1000;

/// Highest number of limits that are told.
const REPEATED_MAX: usize = 64;

/// A limit that changes by less than one part in this many is not logged again.
const LOG_PARTS: u64 = 4;

/// Records the limit that a target has named, or none, in an answer to this host.
pub(crate) fn observe_limit(edge: &Edge, target: &Target, milli_per_s: Option<u64>) {
    let limit = TargetRateLimit {
        target: target.id.clone(),
        started_unix_ms: target.started_unix_ms,
        milli_per_s,
        named_at: now(),
    };
    observe(edge, "answer", limit);
}

fn observe(edge: &Edge, source: &str, limit: TargetRateLimit) {
    let (target, started) = (limit.target.clone(), limit.started_unix_ms);
    let milli_per_s = limit.milli_per_s;
    let Some(before) = edge.rate_limits.lock().observe(now(), limit) else {
        return;
    };
    let before = before.filter(|l| l.started_unix_ms == started).and_then(|l| l.milli_per_s);
    let is_logged = match (before, milli_per_s) {
        (None, None) => false,
        (Some(before), Some(limit)) => before.abs_diff(limit) * LOG_PARTS > before,
        (Some(_), None) | (None, Some(_)) => true,
    };
    if is_logged {
        events::TARGET_LIMITED.info(format_args!(
            "target={target} started={started} milli_per_s={milli_per_s:?} before={before:?} \
             source={source}"
        ));
    }
}

/// Takes a token for a request to `target`, if it limits its rate. Returns false if there is none:
/// the target is then exhausted for a while.
pub(crate) async fn take_token(edge: &Edge, target: &Target) -> bool {
    let limit = edge.rate_limits.lock().limit(&target.id, target.started_unix_ms).cloned();
    let Some(limit) = limit else {
        return true;
    };
    let (answer, issuer) = match gossip::first_other_host(edge, &target.id) {
        None => (issue_to_self(edge, target), "self"),
        Some(issuer) => match ask_if_due(edge, &issuer, &limit).await {
            Some(answer) => (answer, "other"),
            None => (take_own_token(edge, target), "none"),
        },
    };
    let is_granted = answer == TokenAnswer::Granted;
    edge.counts.record_token(issuer, is_granted);
    is_granted
}

fn issue_to_self(edge: &Edge, target: &Target) -> TokenAnswer {
    let hosts = host_counts(edge);
    let mut limits = edge.rate_limits.lock();
    let answer = limits.issue_token(now(), &target.id, &edge.cfg.host, hosts);
    limits.record_answer(&target.id, answer);
    answer
}

fn take_own_token(edge: &Edge, target: &Target) -> TokenAnswer {
    let hosts = host_counts(edge);
    edge.rate_limits.lock().take_own_token(now(), &target.id, hosts)
}

/// Looks up of which targets this host is the issuer now.
pub(crate) fn observe_issuers(edge: &Edge) {
    let targets: Vec<FastStr> = edge.rate_limits.lock().targets().cloned().collect();
    for target in targets {
        let is_self = gossip::first_other_host(edge, &target).is_none();
        edge.rate_limits.lock().record_issuer(now(), &target, is_self);
    }
}

async fn ask_if_due(edge: &Edge, issuer: &str, limit: &TargetRateLimit) -> Option<TokenAnswer> {
    if !edge.rate_limits.lock().may_ask(now(), &limit.target) {
        return None;
    }
    let answer = ask(edge, issuer, limit).await;
    let mut limits = edge.rate_limits.lock();
    match answer {
        Some(answer) => limits.record_answer(&limit.target, answer),
        None => limits.record_silence(&limit.target, now().after_ms(ASK_PAUSE_MS)),
    }
    answer
}

// none if the issuer does not answer, or is not the issuer in its own view
async fn ask(edge: &Edge, issuer: &str, limit: &TargetRateLimit) -> Option<TokenAnswer> {
    let question = Body::TakeToken(message(limit));
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    match links::call(edge, issuer, question, deadline).await {
        Ok(Body::Token(TokenMsg { wait_ms: 0 })) => Some(TokenAnswer::Granted),
        Ok(Body::Token(TokenMsg { wait_ms })) => {
            Some(TokenAnswer::Denied { until: now().after_ms(wait_ms) })
        }
        Ok(_) | Err(_) => None,
    }
}

/// Answers another host's question for a token; none if this host is not the issuer.
pub(super) fn answer_take(edge: &Edge, host: &str, message: RateLimitMsg) -> Option<Body> {
    let limit = limit_from_message(message);
    let target = limit.target.clone();
    observe(edge, host, limit);
    if gossip::first_other_host(edge, &target).is_some() {
        return None;
    }
    let (host, hosts) = (FastStr::new(host), host_counts(edge));
    let wait_ms = match edge.rate_limits.lock().issue_token(now(), &target, &host, hosts) {
        TokenAnswer::Granted => 0,
        TokenAnswer::Denied { until } => now().ms_until(until).max(1),
    };
    Some(Body::Token(TokenMsg { wait_ms }))
}

// a host that has not read the host log yet knows of no other one
pub(super) fn host_counts(edge: &Edge) -> HostCounts {
    let is_first_read = edge.host_log_position.lock().caught_up_at == Time::ZERO;
    let peers = edge.peers.lock();
    let live = peers.all().keys().filter(|host| peers.is_live(host)).count() as u64 + 1;
    let known = if is_first_read { HostCounts::UNKNOWN } else { peers.budget_host_count() + 1 };
    HostCounts { live, known: known.max(live) }
}

/// Limits that were named lately, for the other hosts.
pub(super) fn recent(edge: &Edge) -> Vec<RateLimitMsg> {
    let since = Time::from_millis(now().as_millis().saturating_sub(REPEAT_MS));
    edge.rate_limits.lock().named_after(since).take(REPEATED_MAX).map(message).collect()
}

/// Records the limits that `host` has told.
pub(super) fn observe_messages(edge: &Edge, host: &str, messages: Vec<RateLimitMsg>) {
    for message in messages {
        observe(edge, host, limit_from_message(message));
    }
}

fn message(limit: &TargetRateLimit) -> RateLimitMsg {
    RateLimitMsg {
        target: limit.target.to_string(),
        started_unix_ms: limit.started_unix_ms,
        milli_per_s: limit.milli_per_s,
        age_ms: now().ms_since(limit.named_at),
    }
}

fn limit_from_message(message: RateLimitMsg) -> TargetRateLimit {
    TargetRateLimit {
        target: FastStr::from_string(message.target),
        started_unix_ms: message.started_unix_ms,
        milli_per_s: message.milli_per_s,
        named_at: time_from_age(message.age_ms),
    }
}
