//! Targets that name the requests a second that they take from all hosts together.

use {
    crate::support::{Deployment, EdgeProcess, request, stream_request, wait_until, whole_stream},
    egret_standin::platform::{Target, TargetFault},
    http::Method,
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
};

/// Window in which the users count the requests that a target gets.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after a target first named its limit from which on it has to be kept.
const SETTLING: Duration = Duration::from_secs(3);

// sends requests at an even pace until the time is over; returns how many were answered and refused
async fn load(edge: &EdgeProcess, pace: Duration, time: Duration) -> (usize, usize) {
    let started = Instant::now();
    let (mut answered, mut refused) = (0, 0);
    while started.elapsed() < time {
        match edge.call(request(Method::POST, "/once/a", &[])).await {
            Ok(answer) if answer.status == 200 => answered += 1,
            Ok(answer) if answer.status == 503 => {
                assert!(answer.header("retry-after").is_some());
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
        tokio::time::sleep(pace).await;
    }
    (answered, refused)
}

// the most requests in a window that ends `SETTLING` after `named_at` or later
fn most_in_window(target: &Target, named_at: Instant) -> usize {
    // requests of the first half second are those that told the hosts of the limit
    let told_at = named_at + Duration::from_millis(500);
    let arrivals: Vec<Instant> =
        target.arrivals().into_iter().filter(|at| *at >= told_at).collect();
    let in_window = |end: Instant| {
        arrivals.iter().filter(|at| **at <= end && end.duration_since(**at) < WINDOW).count()
    };
    let ends = arrivals.iter().filter(|at| **at >= named_at + SETTLING);
    ends.map(|end| in_window(*end)).max().unwrap_or(0)
}

// one and a half times the limit, and five more
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

// share of the limit that was used between two times
#[allow(clippy::cast_precision_loss)]
fn used_share(target: &Target, per_s: f64, from: Instant, to: Instant) -> f64 {
    let count = target.arrivals().iter().filter(|at| **at >= from && **at < to).count();
    count as f64 / (per_s * (to - from).as_secs_f64())
}

async fn settle(time: Duration) {
    let since = Instant::now();
    wait_until("hosts know each other", || since.elapsed() > time).await;
}

// Hosts did not read the limit, and each sent as many requests as before.
#[tokio::test]
async fn request_limit_is_kept_over_hosts() {
    const LIMIT: f64 = 2.7;
    let d = Deployment::new().await;
    d.configure(7);
    let (a, _b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let mut edges = Vec::new();
    for host in 1..=4 {
        edges.push(d.start_ready_edge(host).await);
    }
    settle(Duration::from_secs(1)).await;
    a.set_request_limit(Some(LIMIT));
    let named_at = Instant::now();
    let time = Duration::from_secs(10);
    let loads = edges.iter().map(|edge| load(edge, Duration::from_millis(50), time));
    let results = futures::future::join_all(loads).await;
    let most = most_in_window(&a, named_at);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    let refused: usize = results.iter().map(|(_, refused)| refused).sum();
    assert_eq!(refused, 0, "the other target takes what the limit does not allow");
    let used = used_share(&a, LIMIT, named_at + SETTLING, named_at + time);
    assert!(used > 0.8, "{used:.2} of the limit is used");
}

// One host had all of the demand, and an even share of the limit would have been a quarter of it.
#[tokio::test]
async fn request_limit_is_used_by_one_busy_host() {
    const LIMIT: f64 = 4.0;
    let d = Deployment::new().await;
    d.configure(7);
    let (a, _b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let mut edges = Vec::new();
    for host in 1..=4 {
        edges.push(d.start_ready_edge(host).await);
    }
    settle(Duration::from_secs(1)).await;
    a.set_request_limit(Some(LIMIT));
    let named_at = Instant::now();
    let time = Duration::from_secs(9);
    let (_, refused) = load(&edges[3], Duration::from_millis(15), time).await;
    assert_eq!(refused, 0);
    let most = most_in_window(&a, named_at);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    let used = used_share(&a, LIMIT, named_at + SETTLING, named_at + time);
    assert!(used > 0.8, "{used:.2} of the limit is used");
}

// Hosts that freeze, end and start while others go on; those that wake did not know what was used.
#[tokio::test]
async fn request_limit_is_kept_while_hosts_come_and_go() {
    const LIMIT: f64 = 5.0;
    let d = Deployment::new().await;
    d.configure(7);
    let (a, _b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let mut edges = Vec::new();
    for host in 1..=4 {
        edges.push(d.start_ready_edge(host).await);
    }
    settle(Duration::from_secs(1)).await;
    a.set_request_limit(Some(LIMIT));
    let named_at = Instant::now();
    let time = Duration::from_secs(14);
    let pace = Duration::from_millis(30);
    let troubles = async {
        tokio::time::sleep(Duration::from_secs(4)).await;
        edges[2].signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_secs(3)).await;
        edges[2].signal(Signal::SIGCONT);
        edges[3].signal(Signal::SIGKILL);
        let started = d.start_ready_edge(5).await;
        let left = time.saturating_sub(named_at.elapsed());
        load(&started, pace, left).await.1
    };
    let (first, second, third) =
        tokio::join!(load(&edges[0], pace, time), load(&edges[1], pace, time), troubles);
    assert_eq!((first.1, second.1, third), (0, 0, 0), "requests were refused");
    let most = most_in_window(&a, named_at);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    // a missing host's part is lost until it is forgotten
    let used = used_share(&a, LIMIT, named_at + SETTLING, named_at + time);
    assert!(used > 0.5, "{used:.2} of the limit is used");
}

// A limit falls, rises and ends while it is in force, and belongs to one start of the target.
#[tokio::test]
async fn request_limit_is_followed() {
    let d = Deployment::new().await;
    d.configure(7);
    let (mut a, _b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    settle(Duration::from_secs(1)).await;
    let pace = Duration::from_millis(20);
    let load_both =
        async |time| tokio::join!(load(&edges[0], pace, time), load(&edges[1], pace, time));
    for (limit, seconds) in [(12.0, 3), (2.0, 8)] {
        a.set_request_limit(Some(limit));
        let named_at = Instant::now();
        load_both(Duration::from_secs(seconds)).await;
        let most = most_in_window(&a, named_at);
        assert!(most <= allowed(limit), "{most} at {limit} a second");
    }
    a.set_request_limit(Some(10.0));
    let raised_at = Instant::now();
    load_both(Duration::from_secs(4)).await;
    let from = raised_at + Duration::from_secs(2);
    let used = used_share(&a, 10.0, from, Instant::now());
    assert!(used > 0.8, "{used:.2} of the limit is used after it rose");
    a.restart(&d.store, "v1").await.unwrap();
    load_both(Duration::from_secs(2)).await;
    let before = a.arrivals().len();
    load_both(Duration::from_secs(1)).await;
    let arrived = a.arrivals().len() - before;
    assert!(arrived > 20, "{arrived} requests in 1 s after a start without a limit");
}

// What no target takes is refused at once, and what the limits allow is still served.
#[tokio::test]
async fn request_limit_of_all_targets_refuses_at_once() {
    const LIMIT: f64 = 5.0;
    let d = Deployment::new().await;
    d.configure(7);
    let targets = [d.start_plain_target("p-1").await, d.start_plain_target("p-2").await];
    let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    settle(Duration::from_secs(1)).await;
    for target in &targets {
        target.set_request_limit(Some(LIMIT));
    }
    let named_at = Instant::now();
    let time = Duration::from_secs(9);
    let pace = Duration::from_millis(20);
    let (first, second) = tokio::join!(load(&edges[0], pace, time), load(&edges[1], pace, time));
    assert!(first.1 > 100 && second.1 > 100, "{first:?} {second:?}");
    for target in &targets {
        let most = most_in_window(target, named_at);
        assert!(most <= allowed(LIMIT), "{most} requests in 4 s");
        let used = used_share(target, LIMIT, named_at + SETTLING, named_at + time);
        assert!(used > 0.8, "{used:.2} of the limit is used");
    }
    assert!(d.log(1).contains("some are at their rate limits"));
    // a refusal waits for nothing
    let asked_at = Instant::now();
    for _ in 0..20 {
        edges[0].call(request(Method::POST, "/once/a", &[])).await.unwrap();
    }
    assert!(asked_at.elapsed() < Duration::from_secs(1));
}

// Repeated sends reached the target beside its limit.
#[tokio::test]
async fn request_limit_counts_repeats() {
    const LIMIT: f64 = 2.0;
    let d = Deployment::new().await;
    d.configure(7);
    let (a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    b.set_request_limit(Some(LIMIT));
    edge.call_until(200, || request(Method::GET, "/safe/a", &[])).await;
    while b.arrivals().is_empty() {
        edge.call(request(Method::GET, "/safe/a", &[])).await.unwrap();
    }
    let named_at = Instant::now();
    // requests that were lost are sent to the other target
    a.set_fault(TargetFault::LoseAnswer);
    while named_at.elapsed() < Duration::from_secs(8) {
        let _ = edge.call(request(Method::GET, "/safe/a", &[])).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let most = most_in_window(&b, named_at);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    assert!(b.arrivals().len() > 10, "no request was repeated");
}

// An engine at its limit keeps its adapters, and another one loads those that are asked for.
#[tokio::test]
async fn request_limit_of_engine_moves_its_adapters() {
    const LIMIT: f64 = 2.0;
    let d = Deployment::new().await;
    d.configure(7);
    let engines = [d.start_engine("e-1", 8).await, d.start_engine("e-2", 8).await];
    let edge = d.start_ready_edge(1).await;
    for adapter in ["a1", "a2", "a3", "a4"] {
        edge.call_until(200, || stream_request("stream", adapter)).await;
    }
    let [limited, other] = if engines[0].adapters().len() >= engines[1].adapters().len() {
        [&engines[0], &engines[1]]
    } else {
        [&engines[1], &engines[0]]
    };
    let adapters = limited.adapters();
    let other_before = other.arrivals().len();
    limited.set_request_limit(Some(LIMIT));
    let named_at = Instant::now();
    while named_at.elapsed() < Duration::from_secs(8) {
        for adapter in ["a1", "a2", "a3", "a4"] {
            let answer = edge.call(stream_request("stream", adapter)).await.unwrap();
            assert_eq!(
                (answer.status.as_u16(), &answer.body[..]),
                (200, whole_stream().as_bytes())
            );
        }
    }
    let most = most_in_window(limited, named_at);
    assert!(most <= allowed(LIMIT), "{most} requests in 4 s, {} allowed", allowed(LIMIT));
    assert!(adapters.iter().all(|adapter| limited.adapters().contains(adapter)));
    // as many as the limit does not allow
    assert!(adapters.iter().any(|adapter| other.adapters().contains(adapter)));
    let moved = other.arrivals().len() - other_before;
    assert!(moved > 20, "{moved} requests at the other engine");
}
