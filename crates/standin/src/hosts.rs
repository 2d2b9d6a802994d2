//! The platform's host list.

use {
    crate::{
        cli::HostsArgs,
        server::{not_found, ok, read_json, serve},
    },
    egret_runtime::{HostEntry, json_response},
    http::{Method, StatusCode},
    parking_lot::Mutex,
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    volo_http::{request::Request, response::Response},
};

struct HostList {
    lag: Duration,
    // all lists so far, each with the time when it was set
    lists: Mutex<Vec<(Instant, Vec<HostEntry>)>>,
    outage: Mutex<bool>,
}

/// Serves the host list until SIGTERM.
pub(crate) fn run(args: &HostsArgs) -> std::io::Result<()> {
    let hosts = Arc::new(HostList {
        lag: Duration::from_millis(args.lag_ms),
        lists: Mutex::default(),
        outage: Mutex::new(false),
    });
    serve(args.listen, move |_, req| {
        let hosts = hosts.clone();
        Box::pin(async move { hosts.handle_request(req).await })
    })
}

impl HostList {
    async fn handle_request(&self, req: Request) -> Response {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => ok(&json!({})),
            (&Method::GET, "/v1/hosts") => self.list(),
            (&Method::PUT, "/v1/hosts") => self.replace(req).await,
            (&Method::POST, "/faults") => self.set_faults(req).await,
            _ => not_found(),
        }
    }

    fn list(&self) -> Response {
        if *self.outage.lock() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "outage" }));
        }
        let lists = self.lists.lock();
        let visible = lists.iter().rev().find(|(at, _)| at.elapsed() >= self.lag);
        // the first list is visible without a lag
        let list = visible.or(lists.first()).map(|(_, list)| list.clone()).unwrap_or_default();
        json_response(StatusCode::OK, &list)
    }

    async fn replace(&self, req: Request) -> Response {
        match read_json::<Vec<HostEntry>>(req.into_body()).await {
            Ok(list) => {
                self.lists.lock().push((Instant::now(), list));
                ok(&json!({}))
            }
            Err(response) => response,
        }
    }

    async fn set_faults(&self, req: Request) -> Response {
        match read_json::<serde_json::Value>(req.into_body()).await {
            Ok(faults) => {
                *self.outage.lock() = faults["outage"] == json!(true);
                ok(&json!({}))
            }
            Err(response) => response,
        }
    }
}
