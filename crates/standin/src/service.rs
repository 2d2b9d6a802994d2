//! A plain service that records every effect.

use {
    crate::{
        cli::ServiceArgs,
        server::{never_answer, not_found, ok, read_json, serve_with_restarts, take_fault},
    },
    bytes::Bytes,
    egret_runtime::{json_response, read_limited},
    http::{Method, StatusCode, Version},
    http_body::Frame,
    http_body_util::StreamBody,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{collections::VecDeque, io, sync::Arc, time::Duration},
    tokio::sync::Notify,
    volo_http::{body::Body, request::Request, response::Response},
};

/// Time between the first half of an answer and a crash within it.
const CRASH_PAUSE: Duration = Duration::from_millis(20);

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Number of requests that take effect but get no answer.
    lose_answers: u32,
    /// Number of requests that crash the service after they take effect.
    crash_after_effect: u32,
    /// Number of requests whose answers end with their connections.
    unframed_answers: u32,
    /// Number of requests that crash the service within such an answer.
    crash_within_answer: u32,
    /// Number of requests that crash the service before they take effect.
    crash_before_effect: u32,
    /// Extra duration of each request, in milliseconds.
    slow_ms: u64,
    /// Bytes that each answer has in addition.
    answer_bytes: usize,
}

#[derive(Clone, Debug, Serialize)]
struct Effect {
    key: String,
    path: String,
    body: String,
}

#[derive(Default)]
struct Service {
    work_ms: u64,
    effects: Mutex<Vec<Effect>>,
    faults: Mutex<Faults>,
}

/// Runs the service until SIGTERM. The recorded effects outlive crashes.
pub(crate) fn run(args: &ServiceArgs) -> std::io::Result<()> {
    let service = Arc::new(Service { work_ms: args.work_ms, ..Service::default() });
    serve_with_restarts(
        args.listen,
        args.restart_ms,
        || 0,
        move |crash: Arc<Notify>| {
            let service = service.clone();
            move |_, req| {
                let (service, crash) = (service.clone(), crash.clone());
                Box::pin(async move { service.handle_request(req, &crash).await })
            }
        },
    )
}

impl Service {
    async fn handle_request(&self, req: Request, crash: &Arc<Notify>) -> Response {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => ok(&json!({})),
            (&Method::GET, "/stats") => {
                let effects = self.effects.lock();
                ok(&json!({ "effects": *effects }))
            }
            (&Method::POST, "/faults") => match read_json(req.into_body()).await {
                Ok(faults) => {
                    *self.faults.lock() = faults;
                    ok(&json!({}))
                }
                Err(response) => response,
            },
            (&Method::POST | &Method::PUT, _) => self.perform(req, crash).await,
            (&Method::GET, _) => ok(&json!({ "status": "on air" })),
            _ => not_found(),
        }
    }

    async fn perform(&self, req: Request, crash: &Arc<Notify>) -> Response {
        let key = req.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.unwrap_or_default().to_owned();
        let path = req.uri().path().to_owned();
        let Ok(body) = read_limited(req.into_body(), BODY_BYTES_MAX).await else {
            return json_response(StatusCode::BAD_REQUEST, &json!({ "error": "bad body" }));
        };
        let slow_ms = self.faults.lock().slow_ms;
        tokio::time::sleep(Duration::from_millis(self.work_ms + slow_ms)).await;
        if take_fault(&mut self.faults.lock().crash_before_effect) {
            crash.notify_one();
            return never_answer().await;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let number = {
            let mut effects = self.effects.lock();
            effects.push(Effect { key, path, body });
            effects.len()
        };
        if take_fault(&mut self.faults.lock().crash_after_effect) {
            crash.notify_one();
            return never_answer().await;
        }
        if take_fault(&mut self.faults.lock().lose_answers) {
            return never_answer().await;
        }
        let answer_bytes = self.faults.lock().answer_bytes;
        let answer = match answer_bytes {
            0 => json!({ "effect": number }),
            bytes => json!({ "effect": number, "filler": "x".repeat(bytes) }),
        };
        if take_fault(&mut self.faults.lock().crash_within_answer) {
            return unframed_answer(&answer, Some(crash.clone()));
        }
        if take_fault(&mut self.faults.lock().unframed_answers) {
            return unframed_answer(&answer, None);
        }
        ok(&answer)
    }
}

// the answer ends with its connection, after one half of it if there is a crash
fn unframed_answer(answer: &Value, crash: Option<Arc<Notify>>) -> Response {
    let text = answer.to_string();
    let (first, second) = text.split_at(text.len() / 2);
    let parts = VecDeque::from([first.to_owned(), second.to_owned()]);
    let frames = futures::stream::unfold((parts, crash), |(mut parts, crash)| async move {
        if parts.len() == 1
            && let Some(crash) = &crash
        {
            // the first half is written before
            tokio::time::sleep(CRASH_PAUSE).await;
            crash.notify_one();
            std::future::pending::<()>().await;
        }
        let part = Bytes::from(parts.pop_front()?);
        Some((Ok::<_, io::Error>(Frame::data(part)), (parts, crash)))
    });
    let mut response = Response::new(Body::from_body(StreamBody::new(frames)));
    // a server of HTTP/1.0 sends no chunks
    *response.version_mut() = Version::HTTP_10;
    response
}
