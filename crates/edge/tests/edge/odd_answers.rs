//! Targets in trouble that send statuses of no answer.

use {
    crate::{
        raw::{
            End, RawAnswer, Script, ScriptedTarget, Scripts, call_raw, header, raw_request,
            stream_headers,
        },
        support::{Deployment, EdgeProcess},
    },
    std::time::{Duration, Instant},
};

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 2000;

/// Longer than that.
const WAIT: Duration = Duration::from_secs(20);

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn head(id: &str, status: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nServer-Seal: s.1\r\n")
}

fn request_id(request: &str) -> String {
    header(request, "request-id").unwrap_or_default().to_owned()
}

fn body_of(path: &str) -> &'static str {
    if path.starts_with("/stream") || path.starts_with("/frail") { EVENTS } else { "answer" }
}

async fn send(edge: &EdgeProcess, path: &str) -> (RawAnswer, Duration) {
    let deadline = DEADLINE_MS.to_string();
    let mut headers = vec![("Deadline-Ms", deadline.as_str()), ("Connection", "close")];
    headers.extend(stream_headers());
    let started = Instant::now();
    let answer = call_raw(edge.caller_address, &raw_request(path, &headers).0, WAIT).await;
    (answer, started.elapsed())
}

fn is_whole_success(answer: &RawAnswer) -> bool {
    answer.is_whole && (200..300).contains(&answer.status())
}

async fn wait_until_sound(edge: &EdgeProcess, scripts: &Scripts, path: &'static str) {
    scripts.set(move |request, _| Script {
        bytes: format!(
            "{}Content-Length: {}\r\n\r\n{}",
            head(&request_id(request), "200"),
            body_of(path).len(),
            body_of(path)
        )
        .into_bytes(),
        end: End::Close,
    });
    while !is_whole_success(&send(edge, path).await.0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn start(is_engine: bool) -> (Deployment, Scripts, ScriptedTarget, EdgeProcess) {
    let d = Deployment::new().await;
    d.configure(7);
    let scripts = Scripts::new();
    let target = ScriptedTarget::start(&d, "t-1", is_engine, &scripts).await;
    let edge = d.start_ready_edge(1).await;
    (d, scripts, target, edge)
}

async fn check_statuses(paths: &[&'static str], is_engine: bool) {
    let (_d, scripts, _target, edge) = start(is_engine).await;
    for path in paths.iter().copied() {
        for status in ["000", "099", "101", "600", "999"] {
            for framing in 0..3 {
                wait_until_sound(&edge, &scripts, path).await;
                scripts.set(move |request, _| {
                    let (id, body) = (request_id(request), body_of(path));
                    let rest = match framing {
                        0 => format!("Content-Length: {}\r\n\r\n{body}", body.len()),
                        1 => format!(
                            "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
                            body.len()
                        ),
                        _ => format!("Connection: close\r\n\r\n{body}"),
                    };
                    let bytes = format!("{}{rest}", head(&id, status)).into_bytes();
                    Script { bytes, end: End::Close }
                });
                let (answer, _) = send(&edge, path).await;
                let context = format!("{path} {status} framing {framing}: {answer:?}");
                // it may have run
                assert!(matches!(answer.status(), 502 | 504), "{context}");
                assert_eq!(answer.header("server-seal"), None, "{context}");
                let sends = scripts.received().len();
                assert!(sends >= 1, "{context}");
                assert!(sends == 1 || !matches!(path, "/once/a" | "/frail/a"), "{context}");
            }
        }
    }
}

// 101 and 600 to 999 reached callers as answers of their targets.
#[tokio::test]
async fn statuses_of_no_answer_plain() {
    check_statuses(&["/once/a", "/safe/a"], false).await;
}

#[tokio::test]
async fn statuses_of_no_answer_streams() {
    check_statuses(&["/frail/a", "/stream/a"], true).await;
}
