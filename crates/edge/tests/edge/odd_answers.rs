//! Targets in trouble that send statuses of no answer, or bytes without an end.

use {
    crate::{
        raw::{
            End, RawAnswer, Script, ScriptedTarget, Scripts, call_raw, header, raw_request,
            stream_headers,
        },
        support::{Deployment, EdgeProcess},
    },
    futures::future::join_all,
    std::time::{Duration, Instant},
};

/// Deadline of the requests, in milliseconds.
const DEADLINE_MS: u64 = 2000;

/// Time after its deadline at which a request has ended: callers expect that after 0.5 s, the rest is
/// that of a busy machine.
const END_MAX: Duration = Duration::from_millis(DEADLINE_MS + 1500);

/// Longer than any of that.
const WAIT: Duration = Duration::from_secs(20);

/// Requests at a time to a target that sends bytes without an end.
const CROWD: usize = 20;

/// Longest time of an ordinary request beside them.
const ORDINARY_MAX: Duration = Duration::from_secs(1);

/// Memory that a host may take beside them, in kilobytes. Hosts of the users have 260 MB and more.
const MEMORY_MAX_KB: u64 = 128 * 1024;

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

/// Bytes that go on without an end behind a head.
struct Endless {
    name: &'static str,
    head: fn(&str) -> String,
    bytes: &'static [u8],
}

const BLOCK: [u8; 4096] = [b'a'; 4096];

fn chunked(id: &str) -> String {
    format!("{}Transfer-Encoding: chunked\r\n\r\n", head(id, "200"))
}

const ENDLESS: [Endless; 10] = [
    Endless { name: "status line", head: |_| "HTTP/1.1 200 ".to_owned(), bytes: &BLOCK },
    Endless { name: "header", head: |id| format!("{}X: ", head(id, "200")), bytes: &BLOCK },
    Endless { name: "headers", head: |id| head(id, "200"), bytes: b"Aaaa: bbbb\r\n" },
    Endless {
        name: "interim answers",
        head: |_| String::new(),
        bytes: b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
    },
    Endless { name: "chunk size", head: chunked, bytes: b"0000000000000000" },
    Endless { name: "chunk extension", head: |id| chunked(id) + "1;", bytes: &BLOCK },
    Endless { name: "trailers", head: |id| chunked(id) + "0\r\n", bytes: b"Aaaa: bbbb\r\n" },
    Endless { name: "body in chunks", head: chunked, bytes: b"4\r\naaaa\r\n" },
    Endless { name: "body of single bytes", head: chunked, bytes: b"1\r\na\r\n" },
    Endless {
        name: "body until the end",
        head: |id| format!("{}Connection: close\r\n\r\n", head(id, "200")),
        bytes: &BLOCK,
    },
];

// the slowest of some requests to a sound plain target, where there is one
async fn slowest_ordinary(edge: &EdgeProcess, has_plain: bool) -> Duration {
    let mut slowest = Duration::ZERO;
    for _ in 0..if has_plain { 40 } else { 0 } {
        let (answer, took) = send(edge, "/safe/a").await;
        assert!(is_whole_success(&answer), "{answer:?}");
        slowest = slowest.max(took);
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    slowest
}

async fn check_endless(path: &'static str, is_engine: bool) {
    let (d, scripts, _target, edge) = start(is_engine).await;
    let _plain = if is_engine { Some(d.start_plain_target("p-1").await) } else { None };
    while is_engine && !is_whole_success(&send(&edge, "/safe/a").await.0) {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for case in &ENDLESS {
        wait_until_sound(&edge, &scripts, path).await;
        scripts.set(move |request, _| Script {
            bytes: (case.head)(&request_id(request)).into_bytes(),
            end: End::Repeat(case.bytes, Duration::ZERO),
        });
        let crowd = join_all((0..CROWD).map(|_| send(&edge, path)));
        let (crowd, slowest) = tokio::join!(crowd, slowest_ordinary(&edge, is_engine));
        assert!(slowest < ORDINARY_MAX, "{}: {slowest:?} beside it", case.name);
        for (answer, took) in crowd {
            let context = format!("{path} {} after {took:?}: {}", case.name, answer.head);
            assert!(!is_whole_success(&answer), "{context}");
            assert!(took < END_MAX, "{context}");
        }
        assert!(scripts.received().len() >= CROWD / 2, "{} was not sent", case.name);
        let peak_kb = edge.process.peak_memory_kb();
        assert!(peak_kb > 0 && peak_kb < MEMORY_MAX_KB, "{}: {peak_kb} KB", case.name);
    }
}

#[tokio::test]
async fn bytes_without_end_plain() {
    check_endless("/once/a", false).await;
}

// Chunks of one byte that are no event held a stream beyond its deadline.
#[tokio::test]
async fn bytes_without_end_streams() {
    check_endless("/frail/a", true).await;
}

// A byte, a comment or half an event now and then counted as life: the stream was not moved to the second
// target, and ended at its deadline with nothing.
#[tokio::test]
async fn dripping_stream_is_moved() {
    const DRIP: Duration = Duration::from_millis(300);
    let d = Deployment::new().await;
    d.configure(7);
    let scripts = Scripts::new();
    let _targets = [
        ScriptedTarget::start(&d, "t-1", true, &scripts).await,
        ScriptedTarget::start(&d, "t-2", true, &scripts).await,
    ];
    let edge = d.start_ready_edge(1).await;
    wait_until_sound(&edge, &scripts, "/stream/a").await;
    for (begun, drip) in [
        ("", &b"1\r\nx\r\n"[..]),
        ("", b"3\r\n: c\r\n"),
        ("", b"5\r\n: c\n\n\r\n"),
        ("", b"6\r\nid: 1\n\r\n"),
        ("10\r\nid: 1\ndata: a\n\n\r\n", b"5\r\n: c\n\n\r\n"),
        ("10\r\nid: 1\ndata: a\n\n\r\n", b"1\r\nx\r\n"),
    ] {
        scripts.set(move |request, times| {
            let id = request_id(request);
            if times == 0 {
                let bytes = format!("{}{begun}", chunked(&id)).into_bytes();
                return Script { bytes, end: End::Repeat(drip, DRIP) };
            }
            let after = header(request, "last-event-id").map_or(0, |last| last.parse().unwrap());
            let rest: String = EVENTS.split_inclusive("\n\n").skip(after).collect();
            let bytes = format!("{}Content-Length: {}\r\n\r\n{rest}", head(&id, "200"), rest.len());
            Script { bytes: bytes.into_bytes(), end: End::Close }
        });
        let deadline = "8000";
        let mut headers = vec![("Deadline-Ms", deadline), ("Connection", "close")];
        headers.extend(stream_headers());
        let request = raw_request("/stream/a", &headers).0;
        let answer = call_raw(edge.caller_address, &request, WAIT).await;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let events: String =
            body.split_inclusive("\n\n").filter(|event| !event.starts_with(':')).collect();
        let drip = String::from_utf8_lossy(drip);
        assert!(is_whole_success(&answer), "{drip:?}: {answer:?}");
        assert_eq!(events, EVENTS, "{drip:?}");
        assert_eq!(scripts.received().len(), 2, "{drip:?}");
    }
}
