//! Handles messages from other hosts, and sends requests for adapter loads to engine owners.

use {
    super::{
        allowances, begin_declarations, gossip, links, paces, places, rate_limits,
        recorded_origins, routes, spread, stream_origins, target_changes, view_age,
    },
    crate::{
        dispatch,
        orders::{self, AdapterRequest},
        state::Edge,
    },
    egret_runtime::{Body, Hello, LoadAdapterMsg, StatusMsg, events, now, serve_links},
    faststr::FastStr,
    futures::future::{BoxFuture, ready},
    std::sync::Arc,
};

/// Serves links from other hosts.
pub(crate) async fn serve(edge: Arc<Edge>) {
    let address = edge.cfg.listen.links;
    let handler = {
        let edge = edge.clone();
        move |hello: Arc<Hello>, body: Body| handle_message(edge.clone(), hello, body)
    };
    if let Err(e) = serve_links(address, String::new(), Arc::new(handler)).await {
        events::LINK_REFUSED.error(format_args!("address={address} problem={e}"));
    }
}

fn handle_message(
    edge: Arc<Edge>,
    hello: Arc<Hello>,
    body: Body,
) -> BoxFuture<'static, Option<Body>> {
    // rows have to be applied in the order of the messages, which tasks do not keep
    let body = match body {
        Body::Spread(message) => {
            spread::receive(&edge, &hello, message);
            return Box::pin(ready(None));
        }
        Body::TargetChanges(message) => {
            target_changes::receive(&edge, &hello.host, message);
            return Box::pin(ready(None));
        }
        // a place may be given back right after it was taken
        Body::TakePlace(message) => return places::answer_take(&edge, &hello.host, message),
        Body::OpenPlaces(message) => {
            return Box::pin(ready(places::apply_open(&edge, &hello.host, message)));
        }
        body => body,
    };
    Box::pin(async move {
        match body {
            Body::AskProgress(_) => Some(spread::own_progress(&edge)),
            Body::Progress(message) => {
                spread::resync(&edge, &hello.host, message);
                None
            }
            Body::TargetLoads(message) => {
                paces::apply_samples(&edge, message.samples);
                edge.peers.lock().apply_loads(&hello.host, message.loads);
                None
            }
            Body::Suspects(message) => {
                dispatch::apply_suspects(&edge, &hello.host, &message);
                None
            }
            Body::PlatformSnapshot(message) => {
                gossip::apply_update(&edge, &hello.host, &message);
                None
            }
            Body::LoadAdapter(message) => {
                let adapter = FastStr::from_string(message.adapter);
                if message.reported_missing {
                    orders::record_missing_adapter(&edge, &message.engine, &adapter);
                    return None;
                }
                let request = AdapterRequest {
                    adapter: adapter.clone(),
                    min_version: (message.min_version > 0).then_some(message.min_version),
                    due_at: now().after_ms(message.latency_target_ms),
                    deadline: now().after_ms(message.remaining_ms),
                };
                let loaded = orders::load_on_own_engine(&edge, &message.engine, &request).await;
                events::ADAPTER_LOAD_REQUESTED.debug(format_args!(
                    "peer={} engine={} adapter={adapter} loaded={loaded}",
                    hello.host, message.engine
                ));
                Some(if loaded { Body::Ok(Hello::default()) } else { refusal_message() })
            }
            Body::StreamOrigins(message) if message.is_for_store => {
                recorded_origins::accept(&edge, message);
                Some(Body::Ok(Hello::default()))
            }
            Body::StreamOrigins(message) => {
                stream_origins::merge_origins(&edge, message);
                None
            }
            Body::FetchRoutes(message) => Some(routes::answer_fetch(&edge, &hello.host, &message)),
            Body::FetchTargets(message) => {
                Some(target_changes::answer_fetch(&edge, &hello.host, message))
            }
            Body::FindStreamOrigin(message) => Some(stream_origins::answer_find(&edge, message)),
            Body::WriteDeclaration(message) => {
                let answer = begin_declarations::answer_write(&edge, message).await;
                Some(answer.unwrap_or_else(refusal_message))
            }
            Body::TakeToken(message) => {
                let answer = rate_limits::answer_take(&edge, &hello.host, message);
                Some(answer.unwrap_or_else(refusal_message))
            }
            Body::AskViewAge(message) => Some(view_age::answer(&edge, message)),
            Body::TakeAllowance(message) => allowances::answer_take(&edge, &hello.host, message),
            // message types of other programs
            _ => Some(refusal_message()),
        }
    })
}

pub(super) fn refusal_message() -> Body {
    Body::Status(StatusMsg { json: String::new() })
}

/// Asks `host` to load an adapter on an engine that it owns. Returns true once the adapter is
/// loaded.
pub(crate) async fn request_load(
    edge: &Edge,
    host: &str,
    engine: &str,
    request: &AdapterRequest,
) -> bool {
    let message = LoadAdapterMsg {
        engine: engine.to_owned(),
        adapter: request.adapter.to_string(),
        min_version: request.min_version.unwrap_or(0),
        latency_target_ms: now().ms_until(request.due_at),
        remaining_ms: now().ms_until(request.deadline),
        reported_missing: false,
    };
    let answer = links::call(edge, host, Body::LoadAdapter(message), request.deadline).await;
    matches!(answer, Ok(Body::Ok(_)))
}

/// Notifies `host` that an engine which it owns lacks an adapter that it should have.
pub(crate) fn notify_missing_adapter(edge: &Edge, host: &str, engine: &str, adapter: &FastStr) {
    let message = LoadAdapterMsg {
        engine: engine.to_owned(),
        adapter: adapter.to_string(),
        reported_missing: true,
        ..LoadAdapterMsg::default()
    };
    links::notify(edge, host, Body::LoadAdapter(message));
}
