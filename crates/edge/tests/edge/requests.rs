//! Requests and their answers: answers are complete and reach the right caller, and requests that
//! may not be repeated run at most once.

use {
    crate::support::{Deployment, EdgeProcess, request, stream_request, wait_until, whole_stream},
    bytes::Bytes,
    egret_runtime::{HttpError, now},
    egret_standin::platform::{ROUTE_HOST, StoreFault, StreamFraming, Target, TargetFault},
    http::Method,
    http_body_util::Full,
    std::time::{Duration, Instant},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

#[tokio::test]
async fn serve_each_kind() {
    let d = Deployment::new().await;
    d.configure(7);
    let plain = d.start_plain_target("p-1").await;
    let engine = d.start_engine("e-1", 3).await;
    let edge = d.start_ready_edge(1).await;
    let safe = edge.call(request(Method::GET, "/safe/a?b=c", &[])).await.unwrap();
    assert_eq!(safe.status, 200);
    assert!(safe.header("server-seal").is_some());
    assert_eq!(plain.executed_requests()[0].path, "/safe/a?b=c");
    let once = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
    assert_eq!(once.status, 200);
    assert_eq!(plain.executed_requests()[1].body, b"body");
    let streamed = edge.call_until(200, || stream_request("stream", "a1")).await;
    assert_eq!(streamed.body, whole_stream());
    assert_eq!(engine.adapters(), ["a1"]);
    assert!(!engine.is_overfilled());
}

#[tokio::test]
async fn serve_without_configuration() {
    let d = Deployment::new().await;
    let edge = d.start_edge(1);
    wait_until("listening", || std::net::TcpStream::connect(edge.caller_address).is_ok()).await;
    let refused = edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!(edge.readiness_status().await, Some(503));
}

#[tokio::test]
async fn serve_unknown_route() {
    let d = Deployment::new().await;
    d.configure(7);
    let _plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    let unknown = edge.call(request(Method::GET, "/nowhere/a", &[])).await.unwrap();
    assert_eq!(unknown.status, 404);
    let no_id = request(Method::GET, "/safe/a", &[]).map(|body| body);
    let mut no_id = no_id;
    no_id.headers_mut().remove("request-id");
    assert_eq!(edge.call(no_id).await.unwrap().status, 400);
}

#[tokio::test]
async fn serve_no_target() {
    let d = Deployment::new().await;
    d.configure(7);
    let edge = d.start_ready_edge(1).await;
    let before = now();
    let refused = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    // refused at once, not shortly before the deadline
    assert!(now().ms_since(before) < 2000);
}

#[tokio::test]
async fn replace_internal_headers() {
    let d = Deployment::new().await;
    d.configure(7);
    let _plain = d.start_plain_target("p-1").await;
    let engine = d.start_engine("e-1", 3).await;
    let edge = d.start_ready_edge(1).await;
    let forged = || {
        let mut req = stream_request("stream", "a1");
        for (name, value) in [
            ("hold", "h1"),
            ("pin-ms", "900"),
            ("kv-backup", "1.2.3.4:5"),
            ("kv-from", "1.2.3.4:5/x"),
            ("kv-fetch", "1.2.3.4:5"),
            ("request-priority", "0"),
            ("expect-version", "99"),
            ("expect-instance", "other"),
            ("length-hint", "12"),
            ("connection", "model, x-hop"),
            ("x-hop", "1"),
        ] {
            req.headers_mut().insert(name, value.parse().unwrap());
        }
        req
    };
    edge.call_until(200, forged).await;
    let run = engine.executed_requests().pop().unwrap();
    for name in ["hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch", "expect-version", "x-hop"] {
        assert!(run.headers.get(name).is_none(), "{name} was passed on");
    }
    assert_eq!(run.headers["expect-instance"], "e-1");
    assert_eq!(run.headers["request-priority"], "1");
    assert_eq!(run.headers["model"], "base/a1");
    assert_eq!(run.headers["token-count"], "10,6");
    assert_eq!(run.headers["length-hint"], "12");
    let left: u64 = run.headers["deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!(left <= 6000);
}

#[tokio::test]
async fn once_request_not_repeated_after_lost_answer() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for fault in [TargetFault::LoseAnswer, TargetFault::CutAfter(0), TargetFault::UnframedReset] {
        a.set_fault(fault);
        b.set_fault(fault);
        let runs_before = a.executed_requests().len() + b.executed_requests().len();
        let answer = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
        // the answer does not claim that the request was not run, and it is not run again
        assert_eq!(answer.status, 502, "{fault:?}");
        assert_eq!(
            a.executed_requests().len() + b.executed_requests().len(),
            runs_before + 1,
            "{fault:?}"
        );
    }
}

#[tokio::test]
async fn once_request_moves_after_refusal() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    a.set_fault(TargetFault::Full);
    // the second target runs the request, since the first one's refusal proves that it did not
    for _ in 0..4 {
        assert_eq!(edge.call(request(Method::POST, "/once/a", &[])).await.unwrap().status, 200);
    }
    assert_eq!((a.executed_requests().len(), b.executed_requests().len()), (0, 4));
    b.set_fault(TargetFault::Full);
    let refused = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
    assert_eq!(refused.status, 503);
    assert!(refused.header("retry-after").is_some());
    assert_eq!((a.executed_requests().len(), b.executed_requests().len()), (0, 4));
}

#[tokio::test]
async fn once_request_moves_after_early_refusal() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    a.set_fault(TargetFault::RefuseEarly);
    for number in 0..6 {
        // longer than what the connection buffers before the target reads
        let mut long = request(Method::POST, "/once/a", &[]);
        *long.body_mut() = Full::new(Bytes::from(vec![b'x'; 60_000]));
        let answer = edge.call(long).await.unwrap();
        assert_eq!(answer.status, 200, "request {number}");
    }
    assert_eq!((a.executed_requests().len(), b.executed_requests().len()), (0, 6));
    b.set_fault(TargetFault::RefuseEarly);
    let refused = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
    assert_eq!(refused.status, 503);
}

#[tokio::test]
async fn once_request_times_out_at_silent_target() {
    let d = Deployment::new().await;
    let slow = crate::support::config(7, 700);
    d.store.write("keyed.op", "config", Some(&slow.to_string()));
    let plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    plain.set_fault(TargetFault::NoAnswer);
    let before = now();
    let late = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
    assert_eq!(late.status, 504);
    let took = now().ms_since(before);
    assert!((700..1200).contains(&took), "answered after {took} ms");
    // the request is cancelled at the target
    wait_until("abandoned", || plain.executed_requests()[0].abandoned).await;
}

#[tokio::test]
async fn safe_request_moves_after_any_fault() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for fault in [
        TargetFault::LoseAnswer,
        TargetFault::CutAfter(0),
        TargetFault::UnframedReset,
        TargetFault::WrongRequestId,
        TargetFault::Unsealed,
        TargetFault::Garbled,
        TargetFault::RefuseEarly,
        TargetFault::Error,
    ] {
        a.set_fault(fault);
        for _ in 0..3 {
            let req = request(Method::GET, "/safe/a", &[]);
            let id = req.headers()["request-id"].to_str().unwrap().to_owned();
            let answer = edge.call(req).await.unwrap();
            assert_eq!(answer.status, 200, "{fault:?}");
            assert!(answer.header("server-seal").is_some(), "{fault:?}");
            assert_eq!(answer.body, format!("answer to {id}"), "{fault:?}");
        }
    }
    assert!(b.executed_requests().len() >= 24);
}

// A target wrote an earlier refusal once more on a kept connection, and the request that it ran was said not to
// have run.
#[tokio::test]
async fn late_refusal_on_kept_connection() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for status in [503, 421, 429] {
        for target in [&a, &b] {
            target.set_fault(TargetFault::None);
        }
        use_connections(&edge, [&a, &b]).await;
        for target in [&a, &b] {
            target.set_fault(TargetFault::RefusalInFront(status));
        }
        let runs = || a.executed_requests().len() + b.executed_requests().len();
        let before = runs();
        let answer = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
        assert_eq!(runs() - before, 1, "late {status}: ran at one target");
        assert_eq!(answer.status, 502, "late {status}");
    }
}

// Sends requests until each target has got one on a connection that the host keeps and soon uses again. The
// ids of requests decide between targets, so any few of them may go to one target alone.
async fn use_connections(edge: &EdgeProcess, targets: [&Target; 2]) {
    const USED_WITHIN: Duration = Duration::from_millis(500);
    const WAIT_MAX: Duration = Duration::from_secs(20);
    let give_up_at = Instant::now() + WAIT_MAX;
    while Instant::now() < give_up_at {
        let started = Instant::now();
        let before = targets.map(|target| target.executed_requests().len());
        let are_used = || {
            let now = targets.map(|target| target.executed_requests().len());
            now.iter().zip(before).all(|(now, before)| *now > before)
        };
        while !are_used() && started.elapsed() < USED_WITHIN {
            edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
        }
        if are_used() && started.elapsed() < USED_WITHIN {
            return;
        }
    }
    panic!("the targets are not used");
}

#[tokio::test]
async fn reject_crossed_or_doubled_answers() {
    let d = Deployment::new().await;
    d.configure(7);
    let plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    plain.set_fault(TargetFault::DuplicateAnswer);
    for _ in 0..5 {
        let req = request(Method::GET, "/safe/a", &[]);
        let id = req.headers()["request-id"].to_str().unwrap().to_owned();
        let answer = edge.call(req).await.unwrap();
        // whatever the status, the body is never that of another answer
        if answer.status == 200 {
            assert_eq!(answer.body, format!("answer to {id}"));
        }
    }
    for fault in [TargetFault::WrongRequestId, TargetFault::Unsealed] {
        plain.set_fault(fault);
        let answer = edge.call(request(Method::POST, "/once/a", &[])).await.unwrap();
        assert_eq!(answer.status, 502, "{fault:?}");
    }
}

#[tokio::test]
async fn resume_cut_stream_at_other_engine() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await);
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a1")).await;
    let serving = if a.executed_requests().is_empty() { &b } else { &a };
    for events in [0, 2, 6] {
        serving.set_fault(TargetFault::CutAfter(events));
        let answer = edge.call(stream_request("stream", "a1")).await.unwrap();
        assert_eq!(answer.body, whole_stream(), "cut after {events}");
    }
    assert!(d.log(1).contains("stream goes on at another target"));
}

// a target that asked for a pause got further requests
#[tokio::test]
async fn pause_requests_to_full_target() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for target in [&a, &b] {
        target.set_fault(TargetFault::FullFor(2000));
    }
    let call = || edge.call(request(Method::GET, "/safe/a", &[]));
    assert_eq!(call().await.unwrap().status, 503);
    assert_eq!((a.refused_requests(), b.refused_requests()), (1, 1));
    for target in [&a, &b] {
        target.set_fault(TargetFault::None);
    }
    for _ in 0..5 {
        assert_eq!(call().await.unwrap().status, 503);
    }
    assert!(a.executed_requests().is_empty() && b.executed_requests().is_empty());
    edge.call_until(200, || request(Method::GET, "/safe/a", &[])).await;
}

// A request that had waited for an adapter was sent to its engine although the engine had asked for a
// pause meanwhile.
#[tokio::test]
async fn pause_requests_that_waited_for_a_load() {
    let d = Deployment::new().await;
    d.configure(7);
    let engine = d.start_engine("e-1", 8).await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a0")).await;
    engine.set_fault(TargetFault::FullFor(3000));
    let call = |adapter| edge.call(stream_request("stream", adapter));
    // the load takes 60 ms, and the refusal a few
    let (waited, refused) = tokio::join!(call("a1"), async {
        tokio::time::sleep(Duration::from_millis(15)).await;
        call("a0").await
    });
    assert_eq!(waited.unwrap().status, 503);
    assert_eq!(refused.unwrap().status, 503);
    assert!(engine.adapters().contains(&"a1".to_owned()), "the load was not awaited");
    assert_eq!(engine.refused_requests(), 1);
}

// a target that said in its answers that it leaves got further requests
#[tokio::test]
async fn leave_out_target_whose_answer_says_so() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    a.set_fault(TargetFault::Leaving);
    for _ in 0..10 {
        assert_eq!(edge.call(request(Method::POST, "/once/a", &[])).await.unwrap().status, 200);
    }
    assert!(a.executed_requests().len() <= 1);
    assert!(b.executed_requests().len() >= 9);
}

#[tokio::test]
async fn break_off_unresumable_stream() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await);
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("frail", "a1")).await;
    a.set_fault(TargetFault::CutAfter(3));
    b.set_fault(TargetFault::CutAfter(3));
    let runs_before = a.executed_requests().len() + b.executed_requests().len();
    let cut = edge.call(stream_request("frail", "a1")).await;
    // the stream is not run again, and its end does not look complete
    assert!(matches!(cut, Err(HttpError::Broken(_))), "{cut:?}");
    assert_eq!(a.executed_requests().len() + b.executed_requests().len(), runs_before + 1);
}

// The end of a stream without length or chunks within an event must not look like that of the answer.
#[tokio::test]
async fn break_off_unframed_stream_cut_within_event() {
    let d = Deployment::new().await;
    d.configure(7);
    let engine = d.start_engine("e-1", 3).await;
    engine.set_framing(StreamFraming::UntilClose);
    let edge = d.start_ready_edge(1).await;
    let whole = edge.call_until(200, || stream_request("frail", "a1")).await;
    assert_eq!(whole.body, whole_stream());
    engine.set_fault(TargetFault::CutAfter(2));
    let cut = edge.call(stream_request("frail", "a1")).await;
    assert!(matches!(cut, Err(HttpError::Broken(_))), "{cut:?}");
}

#[tokio::test]
async fn cancel_at_target_when_caller_disconnects() {
    let d = Deployment::new().await;
    d.configure(7);
    let engine = d.start_engine("e-1", 3).await;
    let plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("frail", "a1")).await;
    let mut conn = edge.connect().await;
    let head = conn.send(stream_request("frail", "a1"), now().after_ms(5000)).await.unwrap();
    assert_eq!(head.status(), 200);
    drop((head, conn));
    wait_until("stream abandoned", || engine.executed_requests().last().unwrap().abandoned).await;
    // the same applies before the target has sent anything
    plain.set_fault(TargetFault::NoAnswer);
    let mut conn = edge.connect().await;
    let sent = conn.send(request(Method::POST, "/once/a", &[]), now().after_ms(300)).await;
    assert!(matches!(sent, Err(HttpError::TimedOut)));
    drop(conn);
    wait_until("call abandoned", || {
        plain.executed_requests().last().is_some_and(|run| run.abandoned)
    })
    .await;
}

#[tokio::test]
async fn reject_ambiguous_framing() {
    let d = Deployment::new().await;
    d.configure(7);
    let plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    let hidden = "GET /safe/hidden HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: hidden\r\n\r\n";
    let head = |framing: &str| {
        format!("POST /safe/a HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: outer\r\n{framing}\r\n")
    };
    let length = hidden.len() + 5;
    let cases = [
        format!(
            "{}0\r\n\r\n{hidden}",
            head(&format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n"))
        ),
        format!(
            "{}0\r\n\r\n{hidden}",
            head(&format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n"))
        ),
        format!("{}{hidden}", head("Content-Length: 0\r\nContent-Length: 5\r\n")),
        format!("{}0\r\n\r\n{hidden}", head("Transfer-Encoding: chunked, identity\r\n")),
        format!("{}{hidden}", head("X-A: b\r\n folded\r\nContent-Length: 0\r\n")),
        format!("{}{hidden}", head("X-A: b\rX-B: c\r\nContent-Length: 0\r\n")),
        format!("{}{hidden}", head("Content-Length: +0\r\n")),
    ];
    for case in cases {
        let mut raw = TcpStream::connect(edge.caller_address).await.unwrap();
        raw.write_all(case.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        // a connection with ambiguous framing carries no further request
        let read = tokio::time::timeout(Duration::from_secs(5), raw.read_to_end(&mut answer));
        read.await.expect("the connection is closed").ok();
        let hidden_ran = plain.executed_requests().iter().any(|run| run.request_id == "hidden");
        assert!(!hidden_ran, "ran the request hidden in {case:?}");
    }
    assert_eq!(edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap().status, 200);
}

#[tokio::test]
async fn reject_oversized_requests() {
    let d = Deployment::new().await;
    d.configure(7);
    let plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    let mut large = request(Method::POST, "/once/a", &[]);
    *large.body_mut() = http_body_util::Full::new(vec![b'x'; 65_537].into());
    assert_eq!(edge.call(large).await.unwrap().status, 413);
    let long = "x".repeat(20_000);
    let head = edge.call(request(Method::GET, "/safe/a", &[("x-long", &long)])).await.unwrap();
    assert_eq!(head.status, 431);
    assert!(plain.executed_requests().is_empty());
}

// The host closed the connection with unread bytes, and the reset dropped its answer at the caller.
#[tokio::test]
async fn early_refusals_reach_callers_that_still_send() {
    let d = Deployment::new().await;
    d.configure(7);
    let _plain = d.start_plain_target("p-1").await;
    let edge = d.start_ready_edge(1).await;
    let filler = "x".repeat(2_000_000);
    let head = format!("GET /safe/a HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: r-e1\r\n");
    let body = "Content-Length: 2000000\r\n\r\n";
    for (status, first) in [
        ("431", format!("{head}X-Large: {}", &filler[..100_000])),
        ("413", format!("{head}{body}{}", &filler[..100_000])),
        ("404", format!("{}{body}", head.replace("/safe/", "/none/"))),
        ("400", format!("{}{body}", head.replace("Request-Id", "Other"))),
    ] {
        let mut stream = TcpStream::connect(edge.caller_address).await.unwrap();
        stream.write_all(first.as_bytes()).await.unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        stream.write_all(&filler.as_bytes()[..1_500_000]).await.expect(status);
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect(status);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    }
}

// Bytes without end filled the host's memory, as far as each request's limit and deadline allowed.
#[tokio::test]
async fn endless_answers_are_bounded() {
    // what docs/CAPACITY.md allows a host for its state
    const MEMORY_KB_MAX: u64 = 64_000;
    const REQUESTS: usize = 24;
    let d = Deployment::new().await;
    d.configure(7);
    let plain = d.start_plain_target("p-1").await;
    let engine = d.start_engine("e-1", 3).await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a1")).await;
    for fault in [TargetFault::EndlessHead, TargetFault::EndlessBody] {
        plain.set_fault(fault);
        engine.set_fault(fault);
        let mut calls = Vec::new();
        for number in 0..REQUESTS {
            let mut conn = edge.connect().await;
            let req = match number % 3 {
                0 => stream_request("frail", "a1"),
                1 => stream_request("stream", "a1"),
                _ => request(Method::POST, "/once/a", &[]),
            };
            calls.push(tokio::spawn(async move { conn.call(req, now().after_ms(12_000)).await }));
        }
        for call in calls {
            let answer = call.await.unwrap();
            assert!(!answer.is_ok_and(|reply| reply.status == 200), "{fault:?}");
        }
    }
    let memory_kb = edge.process.peak_memory_kb();
    assert!(memory_kb < MEMORY_KB_MAX, "{memory_kb} KB");
    plain.set_fault(TargetFault::None);
    edge.call_until(200, || request(Method::POST, "/once/a", &[])).await;
}

#[tokio::test]
async fn serve_during_store_outage() {
    let d = Deployment::new().await;
    d.configure(7);
    let _plain = d.start_plain_target("p-1").await;
    let engine = d.start_engine("e-1", 3).await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a1")).await;
    for fault in [StoreFault::Silent, StoreFault::Refuse(503), StoreFault::Reset] {
        d.store.set_fault(fault);
        let calls = d.store.calls();
        wait_until("store called", || d.store.calls() > calls).await;
        let plain = edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
        assert_eq!(plain.status, 200, "{fault:?}");
        // the load of a new adapter does not wait for the store either
        let adapter = format!("cold-{}", engine.accepted_orders());
        let cold = edge.call(stream_request("stream", &adapter)).await.unwrap();
        assert_eq!(cold.status, 200, "{fault:?}");
    }
    d.store.set_fault(StoreFault::None);
    d.store.write("keyed.op", "config", Some(&crate::support::config(8, 8000).to_string()));
    wait_until("new routes", || d.log(1).contains("revision=8")).await;
}

#[tokio::test]
async fn resume_late_cut_stream_after_load() {
    let d = Deployment::new().await;
    d.configure(7);
    let slow = Duration::from_millis(400);
    let (a, b) = (d.start_slow_engine("e-1", slow).await, d.start_slow_engine("e-2", slow).await);
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("frail", "a1")).await;
    // the stream breaks off after more than three times the route's latency goal, and the other
    // engine lacks the adapter
    let serving = if a.executed_requests().is_empty() { &b } else { &a };
    serving.set_fault(TargetFault::CutAfter(4));
    let answer = edge.call(stream_request("stream", "a1")).await.unwrap();
    assert_eq!(answer.body, whole_stream());
}

#[tokio::test]
async fn refuse_content_that_crashes_engines() {
    let d = Deployment::new().await;
    d.configure(7);
    let mut engines = vec![d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await];
    engines.push(d.start_engine("e-3", 3).await);
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a1")).await;
    for engine in &engines {
        engine.set_fault(TargetFault::NoAnswer);
    }
    let poison = |id: &str| {
        let mut req = stream_request("stream", "a1");
        req.headers_mut().insert("prompt-prefix", "77:10".parse().unwrap());
        req.headers_mut().insert("request-id", id.parse().unwrap());
        req
    };
    let runs = |engine: &egret_standin::platform::Target, id: &str| {
        engine.executed_requests().iter().any(|run| run.request_id == id)
    };
    // the request crashes the first engine that runs it, moves to another one and crashes that too
    let mut conn = edge.connect().await;
    let first = tokio::spawn(async move { conn.call(poison("p-1"), now().after_ms(9000)).await });
    for _ in 0..2 {
        wait_until("poison runs", || engines.iter().any(|engine| runs(engine, "p-1"))).await;
        engines.retain(|engine| !runs(engine, "p-1"));
    }
    let _ = first.await;
    // another request finds the second engine down
    let _ = edge.call(stream_request("stream", "a1")).await;
    wait_until("suspect", || d.log(1).matches("contents became crash suspects").count() > 1).await;
    let refused = edge.call(poison("p-2")).await.unwrap();
    assert_eq!(refused.status, 503);
    assert!(!runs(&engines[0], "p-2"));
}

#[tokio::test]
async fn keep_share_of_target_connections() {
    let d = Deployment::new().await;
    // the service accepts 50 connections from all callers together
    d.configure(7);
    let engine = d.start_engine("e-1", 3).await;
    let edge = d.start_ready_edge(1).await;
    edge.call_until(200, || stream_request("stream", "a1")).await;
    let calls = (0..30).map(|_| edge.call(stream_request("stream", "a1")));
    let answers = futures::future::join_all(calls).await;
    let statuses: Vec<u16> = answers.iter().map(|a| a.as_ref().unwrap().status.as_u16()).collect();
    assert_eq!(statuses, [200; 30]);
    // one more connection carries orders
    wait_until("surplus connections closed", || engine.open_connections() <= 26).await;
    assert!(engine.open_connections() > 20, "{} connections are kept", engine.open_connections());
}
