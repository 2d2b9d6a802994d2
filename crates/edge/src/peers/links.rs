//! Messages to single hosts, over links that are opened when they are needed.

use {
    crate::{counts::Counts, state::Edge},
    egret_core::Time,
    egret_runtime::{Body, Link, LinkError, now, with_deadline},
    faststr::FastStr,
    std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration},
};

/// Time without a message after which a link to a host that is no contact is closed.
const IDLE_MAX_MS: u64 = 10_000;

/// Pause after a failed attempt to open a link to a host.
const RECONNECT_PAUSE_MS: u64 = 400;

/// Time after which the link of a call without an answer is probed.
const SLOW_CALL_MS: u64 = 400;

/// Messages that may wait on the link to a contact before it gets no further rows and updates. What is
/// new then is sent later, in one message, and departures and crashes do not wait behind it.
pub(super) const QUEUED_MAX: usize = 8;

/// A link that does not answer a probe within this time is closed.
const PROBE_TIMEOUT_MS: u64 = 900;

// address of a host, and whether it is in this data centre
fn address(edge: &Edge, host: &str) -> Option<(SocketAddr, bool)> {
    let peers = edge.peers.lock();
    let record = &peers.all().get(host)?.record;
    Some((record.address, record.data_centre == edge.cfg.data_centre))
}

/// The link to `host`, which is opened if needed. None if the host has no record, or cannot be
/// reached by `deadline`.
pub(super) async fn link_to(edge: &Edge, host: &FastStr, deadline: Time) -> Option<Arc<Link>> {
    if let Some(link) = edge.links.get(host) {
        return Some(link);
    }
    let (address, _) = address(edge, host)?;
    with_deadline(deadline, edge.links.get_or_connect(host, address)).await.flatten()
}

/// Sends a request to `host` and waits for the answer until `deadline`.
///
/// # Errors
///
/// If the host cannot be reached, or does not answer.
pub(super) async fn call(
    edge: &Edge,
    host: &str,
    body: Body,
    deadline: Time,
) -> Result<Body, LinkError> {
    let link = link_to(edge, &FastStr::new(host), deadline).await.ok_or(LinkError::NotConnected)?;
    record_sent(edge, host, &body);
    let mut answer = pin!(link.call(body, deadline));
    if let Some(answer) = with_deadline(now().after_ms(SLOW_CALL_MS), answer.as_mut()).await {
        return answer;
    }
    // if the link is silent, the call ends with the probe
    probe(edge, FastStr::new(host));
    answer.await
}

/// Sends a one-way message to `host`. It is lost if the host cannot be reached.
pub(crate) fn notify(edge: &Edge, host: &str, body: Body) {
    record_sent(edge, host, &body);
    if let Some(link) = edge.links.get(host) {
        link.notify(body);
        return;
    }
    let Some((address, _)) = address(edge, host) else {
        return;
    };
    let (links, host) = (edge.links.clone(), FastStr::new(host));
    tokio::spawn(async move {
        if let Some(link) = links.get_or_connect(&host, address).await {
            link.notify(body);
        }
    });
}

/// True if so many messages wait on the link to `host` that what can be sent later is to wait.
pub(super) fn is_busy(edge: &Edge, host: &FastStr) -> bool {
    edge.links.get(host).is_some_and(|link| link.queued_frames() >= QUEUED_MAX)
}

/// Counts the bytes of a message to `host`.
pub(super) fn record_sent(edge: &Edge, host: &str, body: &Body) {
    let is_local = address(edge, host).is_none_or(|(_, is_local)| is_local);
    edge.counts.record_link_bytes(Counts::kind_of(body), is_local, body.encoded_len());
}

/// Opens the link to `host`, in a task of its own so that an unreachable host does not delay the
/// messages to the others.
pub(super) fn open(edge: &Arc<Edge>, host: FastStr) {
    let Some((address, _)) = address(edge, &host) else {
        return;
    };
    if !edge.connecting.lock().insert(host.clone()) {
        return;
    }
    let edge = edge.clone();
    tokio::spawn(async move {
        if edge.links.get_or_connect(&host, address).await.is_none() {
            edge.peers.lock().record_unreachable(&host);
            tokio::time::sleep(Duration::from_millis(RECONNECT_PAUSE_MS)).await;
        }
        edge.connecting.lock().swap_remove(&host);
    });
}

/// Closes the link to `host` if it does not answer: it may deliver nothing without an error.
pub(super) fn probe(edge: &Edge, host: FastStr) {
    let links = edge.links.clone();
    tokio::spawn(async move {
        links.close_if_unresponsive(&host, now().after_ms(PROBE_TIMEOUT_MS)).await;
    });
}

/// Closes links that have not been used for a while, except those to contacts.
pub(super) fn close_idle(edge: &Edge, is_contact: impl Fn(&str) -> bool) {
    edge.links
        .retain(|host, link| is_contact(host) || now() < link.last_used_at().after_ms(IDLE_MAX_MS));
}
