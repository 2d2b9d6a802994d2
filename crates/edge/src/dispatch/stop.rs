//! Requests that are still unanswered when a planned stop ends.

use {
    super::{
        request::{FinishedMark, id_text},
        serve::serve,
    },
    crate::{
        server::{Answer, refusal},
        state::Edge,
    },
    egret_platform::RequestHead,
    egret_runtime::{events, now},
    http::{HeaderValue, Request, StatusCode},
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc},
};

const REASON: &str = "this host has stopped";

/// Serves a request and returns the answer to its caller, shortly before the end of a planned stop at the
/// latest.
pub(crate) async fn serve_until_stop(
    edge: &Arc<Edge>,
    mut req: Request<Incoming>,
    peer: SocketAddr,
) -> Answer {
    let id = RequestHead::id_header(req.headers()).cloned();
    let arrived_at = now();
    let finished = FinishedMark::default();
    req.extensions_mut().insert(finished.clone());
    let stopped = async {
        edge.wait_until_stop_ends().await;
        finished.set();
    };
    tokio::select! {
        biased;
        answer = serve(edge, req, peer) => answer,
        () = stopped => {
            events::REQUEST_UNKNOWN.info(format_args!(
                "request={} status={} reason={REASON} ms={}",
                id_text(id.as_ref()),
                StatusCode::BAD_GATEWAY.as_u16(),
                now().ms_since(arrived_at)
            ));
            end_unanswered(edge, id.as_ref())
        }
    }
}

// a target may have run the request
fn end_unanswered(edge: &Edge, id: Option<&HeaderValue>) -> Answer {
    edge.counts.answers.get_or_create(&vec![("outcome", "unknown".to_owned())]).inc();
    refusal(StatusCode::BAD_GATEWAY, id, None, REASON)
}
