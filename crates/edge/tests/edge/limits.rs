//! Targets that name the requests a second that they take from all hosts together.

use {
    crate::support::{Deployment, EdgeProcess, request, wait_until},
    egret_standin::platform::Target,
    http::Method,
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
