//! Finds the account of a request by its caller's key, and checks the key again before each send.

use {
    super::request::{OutgoingRequest, id_text, retry_after_ms},
    crate::{
        peers,
        server::{Answer, refusal},
        state::Edge,
    },
    egret_core::{Account, ApiKeyDigest, Route, Routing, Time, request_units},
    egret_platform::{ForwardedAccount, RequestHead},
    egret_runtime::{events, now},
    http::{HeaderMap, HeaderValue, StatusCode, header},
    std::sync::Arc,
};

/// Scheme that the answer to a request without a valid key names (RFC 9110, section 11.6.1).
const CHALLENGE: HeaderValue = HeaderValue::from_static("Bearer");

/// Reason of an answer to a request beyond the allowance of its account.
pub(super) const OVER_ALLOWANCE: &str = "its account has used its allowance";

/// The account of a caller and the digest of its key; both none if no key is needed.
#[derive(Debug, Default)]
pub(super) struct Caller {
    pub(super) account: Option<Arc<Account>>,
    pub(super) key: Option<ApiKeyDigest>,
}

/// Reason why a request is refused because of its key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Refusal {
    /// The request has no key, or one that belongs to no account.
    InvalidKey,
    /// The key is unknown, but may have been added recently.
    Unconfirmed,
    /// Keys may have been revoked that are valid as far as this host knows.
    ViewTooOld,
}

impl Refusal {
    /// One line of text for people.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::InvalidKey => "the request needs the key of an account",
            Self::Unconfirmed => "its key is unknown here and the keys are not confirmed",
            Self::ViewTooOld => "the keys have not been confirmed for too long",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::Unconfirmed | Self::ViewTooOld => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    const fn outcome(self) -> &'static str {
        match self {
            Self::InvalidKey => "invalid_key",
            Self::Unconfirmed => "unconfirmed_key",
            Self::ViewTooOld => "keys_too_old",
        }
    }
}

/// Finds the account of a request that has just arrived. If there are accounts, the key is removed
/// from `headers`, so that nothing after this can send or log it.
pub(super) fn authenticate(
    edge: &Edge,
    routing: &Routing,
    route: &Route,
    headers: &mut HeaderMap,
) -> Result<Caller, Refusal> {
    if routing.accounts.is_empty() {
        return Ok(Caller::default());
    }
    let key = RequestHead::take_key(headers);
    if route.is_public {
        return Ok(Caller::default());
    }
    let key = key.ok_or(Refusal::InvalidKey)?;
    if edge.key_view.lock().is_too_old(now()) {
        return Err(Refusal::ViewTooOld);
    }
    match routing.accounts.find_by_key(&key) {
        Some(account) => Ok(Caller { account: Some(account.clone()), key: Some(key) }),
        None if peers::confirms_keys(edge) => Err(Refusal::InvalidKey),
        None => Err(Refusal::Unconfirmed),
    }
}

/// Answers a request that [`authenticate`] refuses.
pub(super) fn refuse(
    edge: &Edge,
    head: &RequestHead,
    route: &Route,
    id: Option<&HeaderValue>,
    problem: Refusal,
) -> Answer {
    let (status, reason) = (problem.status(), problem.reason());
    events::KEY_REFUSED.info(format_args!(
        "request={} route={} status={} reason={reason} confirmed_ms={:?}{}",
        id_text(id),
        route.name,
        status.as_u16(),
        edge.key_view.lock().age_ms(now()),
        if head.last_event_id.is_some() { " resumes a stream" } else { "" }
    ));
    edge.counts.record_key_refusal(problem.outcome());
    let retry_ms = (status == StatusCode::SERVICE_UNAVAILABLE).then(|| retry_after_ms(id));
    let mut answer = refusal(status, id, retry_ms, reason);
    if status == StatusCode::UNAUTHORIZED {
        add_challenge(&mut answer);
    }
    answer
}

/// Adds to an answer with status 401 what such an answer has to name.
pub(super) fn add_challenge(answer: &mut Answer) {
    answer.headers_mut().insert(header::WWW_AUTHENTICATE, CHALLENGE);
}

/// Checks that the key of a request is still that of its account, and that this host would know if
/// it were not.
pub(super) fn check_before_send(edge: &Edge, out: &OutgoingRequest) -> Result<(), Refusal> {
    // the view is taken before the accounts, which then are at least as new
    let is_too_old = edge.key_view.lock().is_too_old(now());
    let routing = edge.routing();
    if routing.accounts.is_empty() || out.selected.route.is_public {
        return Ok(());
    }
    if is_too_old {
        return Err(Refusal::ViewTooOld);
    }
    let account = out.key.as_ref().and_then(|key| routing.accounts.find_by_key(key));
    let is_same = |now: &&Arc<Account>| out.account.as_ref().is_some_and(|a| a.name == now.name);
    account.filter(is_same).map(|_| ()).ok_or(Refusal::InvalidKey)
}

/// The account that a target is told about with a request.
pub(super) fn forwarded<'a>(edge: &Edge, out: &'a OutgoingRequest) -> ForwardedAccount<'a> {
    match &out.account {
        Some(account) => ForwardedAccount::Named(&account.name),
        None if edge.routing().accounts.is_empty() && !out.has_accounts => {
            ForwardedAccount::Undeclared
        }
        None => ForwardedAccount::Anonymous,
    }
}

/// Charges a request to the allowance of its account, however often it is sent.
///
/// # Errors
///
/// If the account has used its allowance; the time is the one at which the caller may come back.
pub(super) async fn charge(edge: &Edge, out: &OutgoingRequest) -> Result<(), Time> {
    let Some(account) = &out.account else {
        return Ok(());
    };
    let Some(allowance) = &account.allowance else {
        return Ok(());
    };
    let units = request_units(allowance, out.head.token_count);
    let charge = peers::charge(edge, account, units).await?;
    out.record_charge(charge);
    Ok(())
}
