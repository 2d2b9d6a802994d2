//! Passes requests on to another host while this one reaches no target.
//!
//! The other host serves such a request as if its caller had sent it there: it checks the key, charges the
//! account, chooses targets and repeats sends. This host passes the answer back as it arrives.

use {
    super::{request::SharedRequest, serve::finish_unanswered, stream::end_mark},
    crate::{
        server::Answer,
        state::{Edge, OpenRequest},
    },
    egret_core::{FinalAnswer, Time, rendezvous_weight},
    egret_platform::{forwarded_answer_headers, relayed_request_headers},
    egret_runtime::{Conn, HttpError, events, now, with_deadline},
    faststr::FastStr,
    futures::stream::unfold,
    http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header},
    http_body_util::{BodyExt, Full, StreamBody},
    hyper::body::{Frame, Incoming},
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
};

/// Tells a host that another one has passed the request on: `first`, or `repeat` if that one has counted
/// it as a first send.
const RELAYED: HeaderName = HeaderName::from_static("egret-relayed");

/// In the refusal of a host that reaches no target either.
const CUT_OFF: HeaderName = HeaderName::from_static("egret-cut-off");

/// Hosts that are tried for one request.
const TRIED_MAX: usize = 3;

/// Time for which a host that reaches no target, or takes no connection, is left out.
const LEFT_OUT_MS: u64 = 1000;

/// Time in which another host has to take a connection.
const CONNECT_TIMEOUT_MS: u64 = 500;

/// Longest idle time of a connection to another host.
const IDLE_MAX_MS: u64 = 1000;

/// Idle connections kept to another host.
const KEPT_MAX: usize = 16;

/// Time after the request's deadline in which the other host's answer may still come.
const ANSWER_MARGIN_MS: u64 = 150;

/// How a request came from another host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Relayed {
    /// It has not been counted as a first send.
    First,
    /// The other host has counted it.
    Repeat,
}

impl Relayed {
    /// Removes the mark of a relayed request from its headers.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        let mark = headers.remove(&RELAYED)?;
        Some(if mark == "repeat" { Self::Repeat } else { Self::First })
    }

    fn value(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::First => "first",
            Self::Repeat => "repeat",
        })
    }
}

/// Connections to other hosts, and hosts that are left out for a while.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    idle: Mutex<IndexMap<FastStr, Vec<(Conn, Time)>>>,
    // by host, and by service if the host reaches no target of it
    left_out_until: Mutex<IndexMap<(FastStr, Option<FastStr>), Time>>,
}

impl Relays {
    fn take_idle(&self, host: &FastStr) -> Option<Conn> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(host)?;
        while let Some((conn, expires_at)) = kept.pop() {
            if now() < expires_at && conn.can_send() {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, host: &FastStr, conn: Conn) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(host.clone()).or_default();
        kept.retain(|(_, expires_at)| now() < *expires_at);
        if kept.len() < KEPT_MAX {
            kept.push((conn, now().after_ms(IDLE_MAX_MS)));
        }
    }

    fn leave_out(&self, host: &FastStr, service: Option<&FastStr>) {
        let key = (host.clone(), service.cloned());
        self.left_out_until.lock().insert(key, now().after_ms(LEFT_OUT_MS));
    }

    fn left_out(&self, service: &FastStr) -> Vec<FastStr> {
        let mut left_out_until = self.left_out_until.lock();
        left_out_until.retain(|_, until| now() < *until);
        let applies = |of: &Option<FastStr>| of.as_ref().is_none_or(|of| of == service);
        let hosts = left_out_until.keys().filter(|(_, of)| applies(of));
        hosts.map(|(host, _)| host.clone()).collect()
    }

    /// Closes idle connections, which are of no use while this host reaches targets.
    pub(crate) fn close(&self) {
        self.idle.lock().clear();
    }
}

/// Refuses a relayed request, since this host reaches no target either.
pub(super) fn refuse_cut_off(edge: &Edge, out: &SharedRequest) -> Answer {
    let mut answer = finish_unanswered(edge, out, FinalAnswer::NotRun, "no target is reached");
    answer.headers_mut().insert(CUT_OFF, HeaderValue::from_static("1"));
    answer
}

/// Passes a request on to another host, and its answer back.
pub(super) async fn relay(
    edge: &Arc<Edge>,
    out: &SharedRequest,
    mark: Relayed,
    open: OpenRequest,
) -> Answer {
    let mut mark = mark;
    let mut unanswered = FinalAnswer::NotRun;
    let mut tried = Vec::new();
    while tried.len() < TRIED_MAX {
        let Some((host, address)) = choose_host(edge, out, &tried) else {
            break;
        };
        tried.push(host.clone());
        match send(edge, out, &host, address, mark).await {
            Ok(relayed) if relayed.head.headers.contains_key(&CUT_OFF) => {
                edge.relays.leave_out(&host, Some(&out.selected.service.name));
            }
            Ok(relayed) => {
                out.mark_finished();
                events::REQUEST_RELAYED.info(format_args!(
                    "request={} route={} host={host} status={} ms={}",
                    out.head.id,
                    out.selected.route.name,
                    relayed.head.status.as_u16(),
                    now().ms_since(out.arrived_at)
                ));
                edge.counts.record_relayed("answered");
                return relayed.into_answer(edge.clone(), host, out.deadline, open);
            }
            Err(HttpError::NotSent(_)) => edge.relays.leave_out(&host, None),
            Err(e) => {
                edge.counts.record_relayed("lost");
                events::RELAY_FAILED
                    .info(format_args!("request={} host={host} problem={e}", out.head.id));
                if let Some(end) = repeat(edge, out) {
                    return finish_unanswered(edge, out, end, "the other host did not answer");
                }
                unanswered = FinalAnswer::Unknown;
                mark = Relayed::Repeat;
            }
        }
    }
    edge.counts.record_relayed("refused");
    finish_unanswered(edge, out, unanswered, "no target is reached, by no host")
}

// the final answer after a lost one, unless the request may be sent once more
fn repeat(edge: &Arc<Edge>, out: &SharedRequest) -> Option<FinalAnswer> {
    if now() >= out.deadline {
        return Some(FinalAnswer::DeadlinePassed);
    }
    let permit =
        out.kind().is_repeatable().then(|| edge.reserve_repeat(&out.selected.service.name));
    let is_allowed = permit.flatten().is_some_and(|permit| permit.spend());
    (!is_allowed).then_some(FinalAnswer::Unknown)
}

// spread by the request's id over the live hosts
fn choose_host(
    edge: &Edge,
    out: &SharedRequest,
    tried: &[FastStr],
) -> Option<(FastStr, SocketAddr)> {
    let left_out = edge.relays.left_out(&out.selected.service.name);
    let peers = edge.peers.lock();
    let hosts = peers.all().iter().filter_map(|(host, peer)| {
        let is_eligible = peers.is_live(host) && !tried.contains(host) && !left_out.contains(host);
        Some((host, peer.record.callers.filter(|_| is_eligible)?))
    });
    let chosen = hosts.max_by_key(|(host, _)| rendezvous_weight(&out.head.id, host));
    chosen.map(|(host, address)| (host.clone(), address))
}

struct RelayedAnswer {
    head: http::response::Parts,
    body: Incoming,
    conn: Conn,
}

async fn send(
    edge: &Edge,
    out: &SharedRequest,
    host: &FastStr,
    address: SocketAddr,
    mark: Relayed,
) -> Result<RelayedAnswer, HttpError> {
    let mut conn = if let Some(conn) = edge.relays.take_idle(host) {
        conn
    } else {
        let connect_deadline = now().after_ms(CONNECT_TIMEOUT_MS).min(out.deadline);
        Conn::open(address, connect_deadline).await?
    };
    let mut request = Request::new(Full::new(out.body.clone()));
    *request.method_mut() = out.method.clone();
    *request.uri_mut() = out.uri.clone();
    *request.headers_mut() = relayed_request_headers(&out.headers, now().ms_until(out.deadline));
    if let Some(credentials) = &out.credentials {
        request.headers_mut().insert(header::AUTHORIZATION, credentials.clone());
    }
    request.headers_mut().insert(RELAYED, mark.value());
    let answer = conn.send(request, out.deadline.after_ms(ANSWER_MARGIN_MS)).await?;
    let (head, body) = answer.into_parts();
    Ok(RelayedAnswer { head, body, conn })
}

impl RelayedAnswer {
    fn into_answer(
        self,
        edge: Arc<Edge>,
        host: FastStr,
        deadline: Time,
        open: OpenRequest,
    ) -> Answer {
        let mut answer = Response::new(());
        *answer.status_mut() = self.head.status;
        *answer.headers_mut() = forwarded_answer_headers(&self.head.headers);
        if let Some(length) = self.head.headers.get(header::CONTENT_LENGTH) {
            answer.headers_mut().insert(header::CONTENT_LENGTH, length.clone());
        }
        let is_framed = end_mark(&self.head.headers, &self.body).is_framed();
        let keeps_open = self.head.headers.get(header::CONNECTION).is_none();
        let state = (Some((self.body, self.conn)), edge, host, open);
        let frames = unfold(state, move |(mut source, edge, host, open)| async move {
            let (body, _) = source.as_mut()?;
            let next = with_deadline(deadline.after_ms(ANSWER_MARGIN_MS), body.frame()).await;
            let frame = match next {
                Some(Some(Ok(frame))) => Ok(Frame::data(frame.into_data().unwrap_or_default())),
                // hosts mark the ends of their answers, so the end of a connection cuts an answer
                Some(None) if !is_framed => Err("connection closed before the end".into()),
                Some(None) => {
                    let (_, conn) = source.take()?;
                    if keeps_open {
                        edge.relays.keep(&host, conn);
                    }
                    return None;
                }
                Some(Some(Err(e))) => Err(e.into()),
                None => Err("deadline exceeded".into()),
            };
            if frame.is_err() {
                source = None;
            }
            Some((frame, (source, edge, host, open)))
        });
        answer.map(|()| StreamBody::new(Box::pin(frames)).boxed_unsync())
    }
}
