//! The platform's weight store.

use {
    crate::{
        cli::WeightStoreArgs,
        server::{never_answer, not_found, ok, read_json, serve},
    },
    egret_runtime::json_response,
    http::{Method, StatusCode},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    volo_http::{request::Request, response::Response},
};

/// Time between two steps of a transfer.
const PROGRESS_INTERVAL_MS: u64 = 5;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// All loads fail.
    outage: bool,
    /// Loads get no answer.
    silent: bool,
    /// Factor on the duration of a load, in thousandths; 0 means 1000.
    slow_milli: u64,
}

#[derive(Debug, Default)]
struct State {
    in_transit: usize,
    in_transit_max: usize,
    loads: u64,
    first_started: Option<Instant>,
    last_started: Option<Instant>,
}

struct WeightStore {
    load_ms: u64,
    full_speed_loads: usize,
    state: Mutex<State>,
    faults: Mutex<Faults>,
}

/// Serves the weight store until SIGTERM.
pub(crate) fn run(args: &WeightStoreArgs) -> std::io::Result<()> {
    let store = Arc::new(WeightStore {
        load_ms: args.load_ms,
        full_speed_loads: args.full_speed_loads,
        state: Mutex::default(),
        faults: Mutex::default(),
    });
    serve(args.listen, move |_, req| {
        let store = store.clone();
        Box::pin(async move { store.handle_request(req).await })
    })
}

/// A transfer that counts as in transit until it is dropped.
struct Transfer<'a>(&'a WeightStore);

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        self.0.state.lock().in_transit -= 1;
    }
}

impl WeightStore {
    async fn handle_request(&self, req: Request) -> Response {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => ok(&json!({})),
            (&Method::GET, "/stats") => self.stats(),
            (&Method::POST, "/faults") => match read_json(req.into_body()).await {
                Ok(faults) => {
                    *self.faults.lock() = faults;
                    ok(&json!({}))
                }
                Err(response) => response,
            },
            (&Method::GET, path) if path.starts_with("/v1/weights/") => self.serve_load().await,
            _ => not_found(),
        }
    }

    fn stats(&self) -> Response {
        let state = self.state.lock();
        let span = state.first_started.zip(state.last_started).map(|(first, last)| last - first);
        ok(&json!({
            "loads": state.loads,
            "in_transit": state.in_transit,
            "in_transit_max": state.in_transit_max,
            "span_ms": span.unwrap_or_default().as_millis(),
        }))
    }

    fn begin_transfer(&self) -> Transfer<'_> {
        let mut state = self.state.lock();
        state.in_transit += 1;
        state.in_transit_max = state.in_transit_max.max(state.in_transit);
        state.loads += 1;
        state.first_started.get_or_insert_with(Instant::now);
        state.last_started = Some(Instant::now());
        drop(state);
        Transfer(self)
    }

    async fn serve_load(&self) -> Response {
        let faults = self.faults.lock().clone();
        if faults.outage {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "outage" }));
        }
        let transfer = self.begin_transfer();
        if faults.silent {
            return never_answer().await;
        }
        // in millionths of a load
        let mut left = 1_000_000_u64;
        while left > 0 {
            tokio::time::sleep(Duration::from_millis(PROGRESS_INTERVAL_MS)).await;
            left = left.saturating_sub(self.progress_per_interval());
        }
        drop(transfer);
        ok(&json!({ "weights": "" }))
    }

    /// Progress of one transfer per interval, in millionths of a load. More than `full_speed_loads`
    /// transfers share the bandwidth.
    fn progress_per_interval(&self) -> u64 {
        let slow_milli = match self.faults.lock().slow_milli {
            0 => 1000,
            factor => factor,
        };
        let concurrent = self.state.lock().in_transit.max(self.full_speed_loads);
        let at_full_speed = PROGRESS_INTERVAL_MS * 1_000_000 / self.load_ms.max(1);
        at_full_speed * self.full_speed_loads as u64 * 1000 / (concurrent as u64 * slow_milli)
    }
}
