//! Places at brittle targets: asks the issuer of a target for them, and hands them out to other hosts.

use {
    super::{brittle_targets, gossip, links, loads, messages, rate_limits},
    crate::state::{Edge, RunningRequest},
    egret_core::{OpenRequests, PlaceAnswer, PlaceRequest, Target, Time},
    egret_runtime::{Body, OpenPlacesMsg, PlaceMsg, TakePlaceMsg, now, unix_ms},
    faststr::FastStr,
    futures::future::{BoxFuture, ready},
    indexmap::IndexSet,
    std::{pin::pin, sync::Arc, time::Duration},
};

/// Longest wait for an issuer's answer beyond the wait for a place.
const ANSWER_TIMEOUT_MS: u64 = 100;

/// Pause before an issuer that did not answer is asked again, so that not every request waits.
const ASK_PAUSE_MS: u64 = 400;

/// Interval at which a request in the line is looked at again if no place was given back.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after its start for which a target counts as cold, in milliseconds.
const COLD_MS: u64 = 10_000;

/// Takes a place at `target` for a request, if the target is brittle, and waits for one until
/// `waits_until`.
///
/// # Errors
///
/// If there is none, when one is expected.
pub(crate) async fn take_place(
    edge: &Arc<Edge>,
    target: &Target,
    running: &mut RunningRequest,
    urgency: u8,
    waits_until: Time,
) -> Result<(), Time> {
    let Some(refusals_max) = brittle_targets::refusals_max(edge, target) else {
        return Ok(());
    };
    let place = PlaceRequest {
        target: target.id.clone(),
        started_unix_ms: target.started_unix_ms,
        slots: target.slots,
        refusals_max,
        is_cold: unix_ms() < target.started_unix_ms.saturating_add(COLD_MS),
        host: edge.cfg.host.clone(),
        request: running.number(),
        urgency,
        waits_until,
    };
    // given back when `running` is dropped, also if this call is
    running.set_place(Some(target.started_unix_ms));
    let (answer, issuer) = match gossip::first_other_issuer(edge, &target.id) {
        None => (take_from_self(edge, &place).await, "self"),
        Some(issuer) => match ask_if_due(edge, &issuer, &place).await {
            Some(answer) => (answer, "other"),
            None => (take_own_part(edge, &place), "none"),
        },
    };
    let is_granted = answer == PlaceAnswer::Granted;
    edge.counts.record_place(issuer, is_granted);
    if is_granted {
        return Ok(());
    }
    if issuer != "none" {
        running.set_place(None);
    }
    edge.place_requester.lock().record_denial(now(), &target.id);
    Err(if let PlaceAnswer::Denied { until } = answer { until } else { now() })
}

async fn take_from_self(edge: &Arc<Edge>, place: &PlaceRequest) -> PlaceAnswer {
    let bound_until = edge.place_requester.lock().bound_until(&place.target);
    if now() < bound_until {
        return PlaceAnswer::Denied { until: bound_until };
    }
    match take(edge, place, &own_requests(edge, &place.target, now())) {
        PlaceAnswer::Waits => wait_in_line(edge, place).await,
        answer => answer,
    }
}

fn take(edge: &Edge, place: &PlaceRequest, open: &OpenRequests) -> PlaceAnswer {
    let (hosts, total) = (rate_limits::host_counts(edge), total_at(edge, &place.target));
    edge.rooms.lock().take(now(), place, open, hosts, total)
}

fn poll(edge: &Edge, place: &PlaceRequest) -> PlaceAnswer {
    let (hosts, total) = (rate_limits::host_counts(edge), total_at(edge, &place.target));
    edge.rooms.lock().poll(now(), place, hosts, total)
}

fn total_at(edge: &Edge, target: &FastStr) -> u64 {
    let own = edge.target_activity.lock().get(target).map_or(0, |entry| entry.running);
    loads::running_at(edge, target, u64::from(own))
}

// returns once the request has a place or waits no longer
async fn wait_in_line(edge: &Arc<Edge>, place: &PlaceRequest) -> PlaceAnswer {
    let guard = LineGuard { edge, place: Some(place) };
    loop {
        let mut changed = pin!(edge.rooms_changed.notified());
        changed.as_mut().enable();
        let waits_behind = edge.rooms.lock().waits_behind(now(), place);
        let answer = if waits_behind { PlaceAnswer::Waits } else { poll(edge, place) };
        if answer != PlaceAnswer::Waits {
            guard.finish();
            // the next one in the line may have a place as well
            edge.rooms_changed.notify_waiters();
            return answer;
        }
        let wait = Duration::from_millis(now().ms_until(place.waits_until).max(1));
        let _ = tokio::time::timeout(wait.min(POLL_INTERVAL), changed).await;
    }
}

// takes a request out of the line whose caller or host has gone
struct LineGuard<'a> {
    edge: &'a Edge,
    place: Option<&'a PlaceRequest>,
}

impl LineGuard<'_> {
    fn finish(mut self) {
        self.place = None;
    }
}

impl Drop for LineGuard<'_> {
    fn drop(&mut self) {
        if let Some(place) = self.place {
            let (target, started) = (&place.target, place.started_unix_ms);
            let mut rooms = self.edge.rooms.lock();
            rooms.release(now(), target, started, &place.host, place.request, false);
            drop(rooms);
            self.edge.rooms_changed.notify_waiters();
        }
    }
}

// none if the issuer does not answer, or is not the issuer in its own view
async fn ask_if_due(edge: &Edge, issuer: &FastStr, place: &PlaceRequest) -> Option<PlaceAnswer> {
    if !edge.place_requester.lock().may_ask(now(), &place.target) {
        return None;
    }
    // the first answer may bring the time that binds this host to the issuer
    for _ in 0..2 {
        let bound = edge.place_requester.lock().bind(now(), &place.target, issuer);
        let issuer_time = match bound {
            Ok(time) => time,
            Err(until) => return Some(PlaceAnswer::Denied { until }),
        };
        let Some(answer) = ask(edge, issuer, place, issuer_time).await else {
            let ask_at = now().after_ms(ASK_PAUSE_MS);
            edge.place_requester.lock().record_silence(&place.target, ask_at);
            return None;
        };
        let issuer_time = Time::from_millis(answer.issuer_ms);
        let mut requester = edge.place_requester.lock();
        requester.record_issuer_time(now(), &place.target, issuer, issuer_time);
        drop(requester);
        if !answer.is_unbound {
            let until = now().after_ms(answer.wait_ms);
            let denied = PlaceAnswer::Denied { until };
            return Some(if answer.is_granted { PlaceAnswer::Granted } else { denied });
        }
    }
    Some(PlaceAnswer::Denied { until: now() })
}

async fn ask(
    edge: &Edge,
    issuer: &str,
    place: &PlaceRequest,
    issuer_time: Option<Time>,
) -> Option<PlaceMsg> {
    let wait_ms = now().ms_until(place.waits_until);
    let question = TakePlaceMsg {
        target: place.target.to_string(),
        started_unix_ms: place.started_unix_ms,
        slots: place.slots,
        refusals_max: place.refusals_max,
        is_cold: place.is_cold,
        request: place.request,
        urgency: u32::from(place.urgency),
        wait_ms,
        open: own_numbers(edge, &place.target),
        issuer_ms: issuer_time.map(Time::as_millis),
    };
    let deadline = now().after_ms(wait_ms + ANSWER_TIMEOUT_MS);
    match links::call(edge, issuer, Body::TakePlace(question), deadline).await {
        Ok(Body::Place(answer)) => Some(answer),
        Ok(_) | Err(_) => None,
    }
}

fn take_own_part(edge: &Edge, place: &PlaceRequest) -> PlaceAnswer {
    let open = own_numbers(edge, &place.target).len();
    let (hosts, bounds) = (rate_limits::host_counts(edge), (place.slots, place.refusals_max));
    let mut requester = edge.place_requester.lock();
    if requester.take_own_part(now(), &place.target, bounds, open, hosts) {
        PlaceAnswer::Granted
    } else {
        PlaceAnswer::Denied { until: now().after_ms(ASK_PAUSE_MS) }
    }
}

/// Answers another host's question for a place, once it has one or waits no longer.
pub(super) fn answer_take(
    edge: &Arc<Edge>,
    host: &str,
    message: TakePlaceMsg,
) -> BoxFuture<'static, Option<Body>> {
    let target = FastStr::from_string(message.target);
    if gossip::first_other_issuer(edge, &target).is_some() {
        return Box::pin(ready(Some(messages::refusal_message())));
    }
    let place = PlaceRequest {
        target,
        started_unix_ms: message.started_unix_ms,
        slots: message.slots,
        refusals_max: message.refusals_max,
        is_cold: message.is_cold,
        host: FastStr::new(host),
        request: message.request,
        urgency: u8::try_from(message.urgency).unwrap_or(u8::MAX),
        waits_until: now().after_ms(message.wait_ms),
    };
    let unbound =
        PlaceMsg { is_unbound: true, issuer_ms: now().as_millis(), ..PlaceMsg::default() };
    let Some(issuer_ms) = message.issuer_ms else {
        return Box::pin(ready(Some(Body::Place(unbound))));
    };
    let open = OpenRequests { numbers: message.open, issuer_time: Time::from_millis(issuer_ms) };
    record_own_requests(edge, &place.target, place.started_unix_ms);
    let answer = take(edge, &place, &open);
    let edge = edge.clone();
    Box::pin(async move {
        let answer = match answer {
            PlaceAnswer::Waits => wait_in_line(&edge, &place).await,
            answer => answer,
        };
        let wait_ms = match answer {
            PlaceAnswer::Denied { until } => now().ms_until(until),
            PlaceAnswer::Granted | PlaceAnswer::Waits | PlaceAnswer::Unbound => 0,
        };
        Some(Body::Place(PlaceMsg {
            is_granted: answer == PlaceAnswer::Granted,
            wait_ms,
            issuer_ms: now().as_millis(),
            is_unbound: answer == PlaceAnswer::Unbound,
        }))
    })
}

/// Gives back the place of a request of this host.
pub(crate) fn release_place(
    edge: &Edge,
    target: &FastStr,
    started_unix_ms: u64,
    request: u64,
    is_refused: bool,
) {
    if is_refused {
        edge.place_requester.lock().record_refusal(now(), target);
    }
    let Some(issuer) = gossip::first_other_issuer(edge, target) else {
        let mut rooms = edge.rooms.lock();
        rooms.release(now(), target, started_unix_ms, &edge.cfg.host, request, is_refused);
        drop(rooms);
        edge.rooms_changed.notify_waiters();
        return;
    };
    let body = Body::OpenPlaces(OpenPlacesMsg {
        target: target.to_string(),
        started_unix_ms,
        open: Vec::new(),
        ended: Some(request),
        is_refused,
        issuer_ms: None,
    });
    // without a link, the next list of open requests says the same
    if let Some(link) = edge.links.get(&issuer) {
        links::record_sent(edge, &issuer, &body);
        link.notify(body);
    }
}

/// Records requests that another host has open at a target, or one that has ended. The answer to a list
/// tells this host's time, if it is the issuer.
pub(super) fn apply_open(edge: &Edge, host: &str, message: OpenPlacesMsg) -> Option<Body> {
    let (target, started) = (FastStr::from_string(message.target), message.started_unix_ms);
    let host = FastStr::new(host);
    if let Some(request) = message.ended {
        let mut rooms = edge.rooms.lock();
        rooms.release(now(), &target, started, &host, request, message.is_refused);
        drop(rooms);
        edge.rooms_changed.notify_waiters();
        return None;
    }
    if gossip::first_other_issuer(edge, &target).is_some() {
        return Some(messages::refusal_message());
    }
    if let Some(issuer_ms) = message.issuer_ms {
        let open =
            OpenRequests { numbers: message.open, issuer_time: Time::from_millis(issuer_ms) };
        edge.rooms.lock().record_open(now(), &target, started, &host, &open);
        edge.rooms_changed.notify_waiters();
    }
    let issuer_ms = now().as_millis();
    Some(Body::Place(PlaceMsg { issuer_ms, ..PlaceMsg::default() }))
}

fn own_numbers(edge: &Edge, target: &str) -> Vec<u64> {
    let activity = edge.target_activity.lock();
    activity.get(target).map_or_else(Vec::new, |entry| entry.open.iter().copied().collect())
}

fn own_requests(edge: &Edge, target: &str, issuer_time: Time) -> OpenRequests {
    OpenRequests { numbers: own_numbers(edge, target), issuer_time }
}

fn record_own_requests(edge: &Edge, target: &str, started_unix_ms: u64) {
    if now() < edge.place_requester.lock().bound_until(target) {
        return;
    }
    let open = own_requests(edge, target, now());
    edge.rooms.lock().record_open(now(), target, started_unix_ms, &edge.cfg.host, &open);
}

/// Targets of which this host is the issuer.
#[derive(Debug, Default)]
pub(super) struct IssuedTargets {
    issued: IndexSet<FastStr>,
    // targets of which another host was the issuer
    others: IndexSet<FastStr>,
}

/// Tells the issuers of brittle targets which requests this host has open there.
pub(super) fn report(edge: &Arc<Edge>, known: &mut IssuedTargets) {
    if edge.brittle_targets.lock().is_empty() {
        return;
    }
    let mut targets: Vec<Arc<Target>> = edge.fleet.read().all().cloned().collect();
    targets.retain(|target| brittle_targets::refusals_max(edge, target).is_some());
    let live: IndexSet<FastStr> = gossip::live_hosts(edge).into_iter().collect();
    let is_live = |host: &str| host == edge.cfg.host || live.contains(host);
    edge.rooms.lock().remove_expired(now(), is_live);
    for target in targets {
        if let Some(issuer) = gossip::first_other_issuer(edge, &target.id) {
            known.issued.swap_remove(&target.id);
            known.others.insert(target.id.clone());
            tokio::spawn(tell_open(edge.clone(), issuer, target));
            continue;
        }
        if known.issued.insert(target.id.clone()) && known.others.swap_remove(&target.id) {
            edge.rooms.lock().record_takeover(now(), &target.id);
        }
        record_own_requests(edge, &target.id, target.started_unix_ms);
    }
}

async fn tell_open(edge: Arc<Edge>, issuer: FastStr, target: Arc<Target>) {
    let bound = edge.place_requester.lock().bind(now(), &target.id, &issuer);
    // bound to the issuer before it
    let Ok(issuer_time) = bound else {
        return;
    };
    let body = Body::OpenPlaces(OpenPlacesMsg {
        target: target.id.to_string(),
        started_unix_ms: target.started_unix_ms,
        open: own_numbers(&edge, &target.id),
        ended: None,
        is_refused: false,
        issuer_ms: issuer_time.map(Time::as_millis),
    });
    let deadline = now().after_ms(ANSWER_TIMEOUT_MS);
    if let Ok(Body::Place(answer)) = links::call(&edge, &issuer, body, deadline).await {
        let issuer_time = Time::from_millis(answer.issuer_ms);
        let mut requester = edge.place_requester.lock();
        requester.record_issuer_time(now(), &target.id, &issuer, issuer_time);
    }
}
