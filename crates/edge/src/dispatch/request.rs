//! Reads a request from its caller and selects its route.

use {
    super::{accounts, crash_test::CrashTest, relay::Relayed},
    crate::{
        peers::Charge,
        server::{Answer, refusal},
        state::Edge,
    },
    bytes::Bytes,
    egret_core::{
        Account, ApiKeyDigest, Fingerprint, RouteKind, RouteMatch, StreamOrigin, Suspect, Time,
        fingerprint, mix_hashes,
    },
    egret_platform::{HeadError, RequestHead},
    egret_runtime::{BodyBounds, BodyMemory, BodyReadError, ConnectionPlace, events, now},
    faststr::FastStr,
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header},
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{
        fmt,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// Shortest retry delay given to a refused caller.
const RETRY_AFTER_MIN_MS: u64 = 250;

/// Retries of callers that are refused at the same time are spread over this interval.
const RETRY_SPREAD_MS: u64 = 500;

/// Longest time that is added to the retry delay of a caller for whom there was no place.
const PLACE_RETRY_MAX_MS: u64 = 4000;

/// Time beyond the idle timeout known to callers for which a body may pause.
const BODY_PAUSE_MARGIN_MS: u64 = 2000;

/// Timeout of a caller that states no deadline. It is high, so that the route's timeout is the
/// limit.
const DEFAULT_TIMEOUT_MS: u64 = 600_000;

/// Notified to cut off the caller on whose connection a request came.
#[derive(Clone, Debug, Default)]
pub(crate) struct CutCaller(pub(crate) Arc<Notify>);

/// Set once the answer to a request has ended, completely or not.
#[derive(Clone, Debug, Default)]
pub(super) struct FinishedMark(Arc<AtomicBool>);

impl FinishedMark {
    pub(super) fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request to be sent to a target.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) head: RequestHead,
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    // the memory of the body, until the request ends
    _body_memory: Option<BodyMemory>,
    pub(crate) selected: RouteMatch,
    /// The only software version at which the request may run, if it resumes a stream.
    pub(crate) software_version: Option<FastStr>,
    /// How it came from another host that reaches no target.
    pub(crate) relayed: Option<Relayed>,
    /// The caller's credentials, which targets never get.
    pub(crate) credentials: Option<HeaderValue>,
    /// Account of the caller; none if the route is public, or if no accounts are declared.
    pub(crate) account: Option<Arc<Account>>,
    /// Digest of the key by which the caller was authenticated.
    pub(crate) key: Option<ApiKeyDigest>,
    /// True if accounts were declared when it arrived.
    pub(crate) has_accounts: bool,
    /// Priority of the request, 0 is the most urgent. That of its account goes before the route's.
    pub(crate) urgency: u8,
    /// What the request has taken of its account's allowance.
    charge: Mutex<Option<Charge>>,
    /// Revision of the routes by which the request was selected.
    pub(crate) revision: u64,
    /// What of it may crash the target that runs it.
    pub(crate) suspects: Arc<[Suspect]>,
    /// Set if it is sent although something of it is refused, to find out whether that still crashes
    /// targets.
    pub(crate) crash_test: Option<CrashTest>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    /// Notified to cut off the caller, if it does not read its answer.
    pub(crate) cut_caller: Arc<Notify>,
    // sends whose connections broke off
    broken_sends: AtomicU32,
    // when a place at a brittle target is expected, if none came in time
    place_expected_at: Mutex<Option<Time>>,
    finished: FinishedMark,
}

impl OutgoingRequest {
    /// Reads a request and selects its route.
    ///
    /// # Errors
    ///
    /// The answer to the caller if the request is refused.
    pub(crate) async fn read_from_caller(
        edge: &Edge,
        req: Request<Incoming>,
    ) -> Result<Self, Box<Answer>> {
        let arrived = now();
        let (mut parts, body) = req.into_parts();
        let id = RequestHead::id_header(&parts.headers).cloned();
        let refuse = |status: StatusCode, reason: &str| {
            let retry =
                (status == StatusCode::SERVICE_UNAVAILABLE).then(|| retry_after_ms(id.as_ref()));
            events::REQUEST_REFUSED.info(format_args!(
                "request={} status={} reason={reason}",
                id_text(id.as_ref()),
                status.as_u16()
            ));
            Box::new(refusal(status, id.as_ref(), retry, reason))
        };
        let routing = edge.routing();
        if !routing.is_known() {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration is known yet"));
        }
        let head = RequestHead::parse(&parts.headers)
            .map_err(|e: HeadError| refuse(StatusCode::BAD_REQUEST, &e.to_string()))?;
        let host = host_name(&parts.headers, &parts.uri)
            .ok_or_else(|| refuse(StatusCode::BAD_REQUEST, "a request needs one Host"))?;
        let selected = routing
            .select(host, parts.uri.path(), &head.id)
            .ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no route for this host and path"))?;
        let relayed = Relayed::take(&mut parts.headers);
        let credentials = parts.headers.get(header::AUTHORIZATION).cloned();
        let caller = accounts::authenticate(edge, &routing, &selected.route, &mut parts.headers)
            .map_err(|refusal| {
                Box::new(accounts::refuse(edge, &head, &selected.route, id.as_ref(), refusal))
            })?;
        let timeout_ms =
            head.caller_timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS).min(selected.route.timeout_ms);
        let deadline = arrived.after_ms(timeout_ms);
        let place = parts.extensions.remove::<Arc<ConnectionPlace>>();
        let read = read_body(edge, place.as_ref(), body, arrived, deadline).await;
        let (body, body_memory) = read.map_err(|e| {
            let status = match e {
                BodyReadError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                BodyReadError::Broken => StatusCode::BAD_REQUEST,
                BodyReadError::TimedOut => StatusCode::REQUEST_TIMEOUT,
                BodyReadError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            };
            refuse(status, &e.to_string())
        })?;
        if place.is_some_and(|place| !place.record_request()) {
            edge.counts.refused_busy.inc();
            return Err(refuse(
                StatusCode::SERVICE_UNAVAILABLE,
                "this host serves too many requests",
            ));
        }
        if !edge.admits_until(deadline) {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "this host stops"));
        }
        let urgency =
            routing.accounts.request_priority(caller.account.as_deref(), selected.route.urgency);
        let body_fingerprint = fingerprint(parts.uri.path(), &body);
        let header_hashes =
            RequestHead::content_headers(&parts.headers).map(|value| fingerprint("", value).0);
        let content = Fingerprint(header_hashes.fold(body_fingerprint.0, mix_hashes));
        let prompt_parts = head.shared_prompt_parts.iter();
        let prompt_parts = prompt_parts.map(|id| Suspect::Part(fingerprint("", id.as_bytes())));
        let suspects = prompt_parts.chain([Suspect::Content(content)]).collect();
        Ok(Self {
            id: id.expect("a head without an id is refused"),
            head,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            _body_memory: body_memory,
            selected,
            software_version: None,
            relayed,
            credentials,
            account: caller.account,
            key: caller.key,
            has_accounts: !routing.accounts.is_empty(),
            urgency,
            charge: Mutex::new(None),
            revision: routing.revision,
            suspects,
            crash_test: None,
            arrived_at: arrived,
            deadline,
            cut_caller: parts.extensions.remove::<CutCaller>().unwrap_or_default().0,
            broken_sends: AtomicU32::new(0),
            place_expected_at: Mutex::default(),
            finished: parts.extensions.remove::<FinishedMark>().unwrap_or_default(),
        })
    }

    /// Restricts the request to targets of the service and software version that began the stream
    /// which it resumes. Returns false if its route does not lead to that service.
    pub(crate) fn restrict_to(&mut self, edge: &Edge, origin: StreamOrigin) -> bool {
        if origin.service != self.selected.service.name {
            let is_on_route = self.selected.route.services().any(|name| *name == origin.service);
            let service = edge.routing().services().get(&origin.service).cloned();
            let Some(service) = service.filter(|_| is_on_route) else {
                return false;
            };
            self.selected.service = service;
        }
        self.software_version = Some(origin.software_version);
        true
    }

    /// Id of the request that brought the first event of the stream, this one or an earlier one.
    pub(crate) fn stream_id(&self) -> &FastStr {
        let resumed = self.head.resumed_request_id.as_ref();
        resumed.filter(|_| self.head.last_event_id.is_some()).unwrap_or(&self.head.id)
    }

    /// Counts a send whose connection broke off. Returns how many there are.
    pub(crate) fn record_broken_send(&self) -> u32 {
        self.broken_sends.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that the answer has ended, completely or not.
    pub(crate) fn mark_finished(&self) {
        self.finished.set();
    }

    /// Fields of log lines that tell which stream the request resumes; empty if it resumes none.
    pub(crate) fn resumption(&self) -> Resumption<'_> {
        Resumption(&self.head)
    }

    pub(crate) fn kind(&self) -> RouteKind {
        self.selected.route.kind
    }

    /// True if it has parts of a prompt that other requests may share.
    pub(crate) fn has_prompt_parts(&self) -> bool {
        self.suspects.iter().any(|suspect| matches!(suspect, Suspect::Part(_)))
    }

    /// Records what the request has taken of its account's allowance.
    pub(crate) fn record_charge(&self, charge: Charge) {
        *self.charge.lock() = Some(charge);
    }

    /// Gives back what a request that did not run has taken of its account's allowance.
    pub(crate) fn refund(&self, edge: &Edge) {
        let charge = self.charge.lock().take();
        if let Some(charge) = charge {
            charge.refund(edge);
        }
    }

    /// Records when a place at a brittle target is expected, since none came in time.
    pub(super) fn record_place_expected(&self, at: Time) {
        *self.place_expected_at.lock() = Some(at);
    }

    /// True if the request found no place at a brittle target in time.
    pub(super) fn awaited_place(&self) -> bool {
        self.place_expected_at.lock().is_some()
    }

    /// Delay after which the caller may retry.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let expected_ms = self.place_expected_at.lock().map_or(0, |at| now().ms_until(at));
        retry_after_ms(Some(&self.id)) + expected_ms.min(PLACE_RETRY_MAX_MS)
    }
}

impl Drop for OutgoingRequest {
    fn drop(&mut self) {
        if !self.finished.is_set() && !std::thread::panicking() {
            events::REQUEST_ABANDONED.info(format_args!(
                "request={} route={}{} ms={}",
                self.head.id,
                self.selected.route.name,
                self.resumption(),
                now().ms_since(self.arrived_at)
            ));
        }
    }
}

/// Fields of log lines that tell which stream a request resumes, with a space before each.
pub(crate) struct Resumption<'a>(&'a RequestHead);

impl fmt::Display for Resumption<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(id) = &self.0.resumed_request_id {
            write!(f, " resumes={id}")?;
        }
        if let Some(event) = self.0.last_event_id {
            write!(f, " resumed_after={event}")?;
        }
        Ok(())
    }
}

// spread by the request's id, so that callers do not retry at the same time
pub(super) fn retry_after_ms(id: Option<&HeaderValue>) -> u64 {
    let bytes = id.map_or(&[][..], HeaderValue::as_bytes);
    RETRY_AFTER_MIN_MS + fingerprint("", bytes).0 % RETRY_SPREAD_MS
}

pub(crate) fn id_text(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}

// reads the body of a request that arrived at `arrived`
async fn read_body(
    edge: &Edge,
    place: Option<&Arc<ConnectionPlace>>,
    body: Incoming,
    arrived: Time,
    deadline: Time,
) -> Result<(Bytes, Option<BodyMemory>), BodyReadError> {
    let record_part = || {
        if let Some(place) = place {
            place.record_wait();
        }
    };
    let caller_bounds = edge.routing().bounds;
    let bounds = BodyBounds {
        bytes_max: caller_bounds.body_bytes,
        pause_ms: caller_bounds.idle_ms + BODY_PAUSE_MARGIN_MS,
        slow_at: arrived.after_ms(caller_bounds.head_ms).min(deadline),
        deadline,
    };
    let read = edge.request_bodies.read(body, bounds, record_part).await;
    edge.record_received();
    if let Err(e) = &read {
        edge.counts.record_body_refusal(*e);
        if let Some(place) = place {
            place.close_after_answer();
        }
    }
    read
}

// none unless there is exactly one Host header and the URI names no host
fn host_name<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> Option<&'a str> {
    let mut hosts = headers.get_all(header::HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    if hosts.next().is_some() || uri.authority().is_some() {
        return None;
    }
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// A request, shared by its attempts and the body of its answer.
pub(crate) type SharedRequest = Arc<OutgoingRequest>;
