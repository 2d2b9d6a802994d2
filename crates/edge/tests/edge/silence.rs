//! Targets that fall silent for a while and then go on. A request leaves a silent target only for
//! another one that has taken it.

use {
    crate::support::{Deployment, EdgeProcess, request, stream_request, wait_until, whole_stream},
    egret_runtime::now,
    egret_standin::platform::{Target, TargetFault},
    http::Method,
    std::time::Duration,
};

/// Longer than any wait after which the edge looks for another target.
const PAUSE_MS: u64 = 2500;

// the engine that serves `adapter`, and the other one
async fn serving_first<'a>(
    edge: &EdgeProcess,
    adapter: &str,
    [a, b]: [&'a Target; 2],
) -> (&'a Target, &'a Target) {
    edge.call_until(200, || stream_request("stream", adapter)).await;
    if a.executed_requests().is_empty() { (b, a) } else { (a, b) }
}

// streams were cut when their engine paused and no other one took them
#[tokio::test]
async fn silent_stream_not_cut_without_alternative() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await);
    let edge = d.start_ready_edge(1).await;
    let (serving, other) = serving_first(&edge, "a1", [&a, &b]).await;
    let refusals = [TargetFault::Full, TargetFault::OrdersLate(60_000), TargetFault::LoseAnswer];
    for fault in refusals {
        for events in [0, 2, 5] {
            serving.set_fault(TargetFault::PauseAfter { events, ms: PAUSE_MS });
            other.set_fault(fault);
            let answer = edge.call(stream_request("stream", "a1")).await;
            let context = format!("pause after {events}, other {fault:?}");
            assert_eq!(answer.expect(&context).body, whole_stream(), "{context}");
        }
    }
}

// calls that may be repeated ended as 502 when their target paused and no other one took them
#[tokio::test]
async fn silent_call_not_given_up_without_alternative() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for (silent, other) in [(&a, &b), (&b, &a)] {
        silent.set_fault(TargetFault::PauseAfter { events: 0, ms: PAUSE_MS });
        for fault in [TargetFault::Full, TargetFault::LoseAnswer] {
            other.set_fault(fault);
            let runs_before = silent.executed_requests().len();
            let answer = edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
            assert_eq!(answer.status, 200, "other {fault:?}");
            assert_eq!(silent.executed_requests().len(), runs_before + 1, "other {fault:?}");
        }
    }
}

#[tokio::test]
async fn silent_stream_moves_once_taken_elsewhere() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await);
    let edge = d.start_ready_edge(1).await;
    let (serving, other) = serving_first(&edge, "a1", [&a, &b]).await;
    for events in [0, 2, 5] {
        serving.set_fault(TargetFault::PauseAfter { events, ms: 30_000 });
        let runs_before = other.executed_requests().len();
        let began = now();
        let answer = edge.call(stream_request("stream", "a1")).await.unwrap();
        assert_eq!(answer.body, whole_stream(), "pause after {events}");
        assert!(now().ms_since(began) < 4000, "pause after {events}");
        assert_eq!(other.executed_requests().len(), runs_before + 1);
        let last = || serving.executed_requests().last().cloned().unwrap();
        wait_until("silent engine released", || last().abandoned).await;
    }
}

#[tokio::test]
async fn silent_stream_goes_on_during_load_elsewhere() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_engine("e-1", 3).await, d.start_engine("e-2", 3).await);
    let edge = d.start_ready_edge(1).await;
    let (serving, other) = serving_first(&edge, "a1", [&a, &b]).await;
    // the other engine loads nothing in time
    other.set_fault(TargetFault::OrdersLate(60_000));
    serving.set_fault(TargetFault::PauseAfter { events: 2, ms: 1200 });
    let answer = edge.call(stream_request("stream", "a1")).await.unwrap();
    assert_eq!(answer.body, whole_stream());
    assert_eq!(other.executed_requests().len(), 0);
    assert!(!serving.executed_requests().last().unwrap().abandoned);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(!d.log(1).contains("stream goes on at another target"));
}
