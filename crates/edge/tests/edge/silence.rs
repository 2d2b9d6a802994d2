//! Targets that fall silent for a while and then go on. A request leaves a silent target only for
//! another one that has taken it.

use {
    crate::support::{
        Deployment, EdgeProcess, config, request, stream_request, wait_until, whole_stream,
    },
    egret_runtime::now,
    egret_standin::platform::{Target, TargetFault},
    http::Method,
    std::time::Duration,
};

/// Longer than any wait after which the edge looks for another target.
const PAUSE_MS: u64 = 2500;

/// Longest time for which a silent target goes on with a request that another one has answered.
const RELEASE_MAX_MS: u64 = 400;

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
        let released_by = now().after_ms(RELEASE_MAX_MS);
        let last = || serving.executed_requests().last().cloned().unwrap();
        wait_until("silent engine released", || last().abandoned).await;
        assert!(now() < released_by, "pause after {events}");
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
    assert!(!d.log(1).contains("stream goes on at another target"));
}

// a request that met two silent targets was not sent to a third one
#[tokio::test]
async fn silent_second_target_not_the_last() {
    let d = Deployment::new().await;
    let mut config = config(7, 8000);
    config["routes"][0]["max_attempts"] = 3.into();
    d.store.write("keyed.op", "config", Some(&config.to_string()));
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for silent in [&a, &b] {
        silent.set_fault(TargetFault::NoAnswer);
    }
    let call = edge.call(request(Method::GET, "/safe/a", &[]));
    let third = async {
        let runs = || a.executed_requests().len() + b.executed_requests().len();
        wait_until("both silent targets have it", || runs() == 2).await;
        d.start_plain_target("p-3").await
    };
    let (answer, _third) = tokio::join!(call, third);
    assert_eq!(answer.unwrap().status, 200);
}

// the answer of the second target was dropped unless it was a success
#[tokio::test]
async fn silent_call_gets_refusal_from_elsewhere() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for (silent, other) in [(&a, &b), (&b, &a)] {
        silent.set_fault(TargetFault::NoAnswer);
        other.set_fault(TargetFault::NotFound);
        let began = now();
        let answer = edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
        assert_eq!(answer.status, 404);
        assert!(answer.header("server-seal").is_some());
        assert!(now().ms_since(began) < 4000);
    }
}

// an error of the silent target ended the request although another target had it
#[tokio::test]
async fn silent_call_survives_late_error() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for (failing, other) in [(&a, &b), (&b, &a)] {
        failing.set_fault(TargetFault::ErrorAfter(2000));
        other.set_fault(TargetFault::PauseAfter { events: 0, ms: PAUSE_MS });
        let answer = edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

// no other target was looked for again after all had refused once
#[tokio::test]
async fn silent_call_moves_once_a_target_is_free() {
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    for (silent, other) in [(&a, &b), (&b, &a)] {
        silent.set_fault(TargetFault::NoAnswer);
        other.set_fault(TargetFault::Full);
        let runs_before = silent.executed_requests().len();
        let call = edge.call(request(Method::GET, "/safe/a", &[]));
        let free = async {
            wait_until("silent target has it", || silent.executed_requests().len() > runs_before)
                .await;
            // after the wait for the head and a refusal
            wait_until("refused", || d.log(1).matches("refused with status 503").count() > 0).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            other.set_fault(TargetFault::None);
        };
        let (answer, ()) = tokio::join!(call, free);
        assert_eq!(answer.unwrap().status, 200);
    }
}
