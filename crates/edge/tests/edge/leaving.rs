//! Targets that leave, as the registry, answers and other hosts tell it.

use {
    crate::support::{Deployment, EdgeProcess, request, wait_until},
    egret_standin::platform::{Target, TargetFault},
    http::Method,
    nix::sys::signal::Signal,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::{Duration, Instant},
};

async fn call_many(edge: &EdgeProcess, calls: usize) {
    for _ in 0..calls {
        assert_eq!(edge.call(request(Method::POST, "/once/a", &[])).await.unwrap().status, 200);
    }
}

// calls all hosts for a while, and returns the number of requests that the target got meanwhile
async fn runs_within(time: Duration, edges: &[&EdgeProcess], target: &Target) -> usize {
    let before = target.executed_requests().len();
    let started = Instant::now();
    while started.elapsed() < time {
        for edge in edges {
            call_many(edge, 3).await;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    target.executed_requests().len() - before
}

async fn settle(time: Duration) {
    let since = Instant::now();
    wait_until("hosts know each other", || since.elapsed() > time).await;
}

// A target that had left was ready again when the store came back from a copy of before.
#[tokio::test]
async fn left_target_in_older_copy_is_not_used() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    settle(Duration::from_secs(2)).await;
    let copy = d.store.copy();
    b.register(&d.store, "draining");
    for host in [1, 2] {
        wait_until("leaving", || d.log(host).contains("target leaves target=p-2")).await;
    }
    d.store.write("keyed.servers", "p-2", None);
    for host in [1, 2] {
        wait_until("removed", || d.log(host).contains("registration ended target=p-2")).await;
    }
    d.store.restore(copy);
    wait_until("restored", || d.log(1).contains("E1027") || d.log(2).contains("E1027")).await;
    let runs = runs_within(Duration::from_secs(2), &[&edges[0], &edges[1]], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had left");
}

// The same for a target that never says in the registry that it leaves: its entry is removed.
#[tokio::test]
async fn removed_target_in_older_copy_is_not_used() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edges = [d.start_ready_edge(1).await, d.start_ready_edge(2).await];
    settle(Duration::from_secs(2)).await;
    let copy = d.store.copy();
    d.store.write("keyed.servers", "p-2", None);
    for host in [1, 2] {
        wait_until("removed", || d.log(host).contains("registration ended target=p-2")).await;
    }
    d.store.restore(copy);
    wait_until("restored", || d.log(1).contains("E1027") || d.log(2).contains("E1027")).await;
    let runs = runs_within(Duration::from_secs(2), &[&edges[0], &edges[1]], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had left");
    // it lives and writes its entry again
    b.register(&d.store, "ready");
    wait_until("used again at both hosts", || {
        [1, 2].iter().all(|host| d.log(*host).matches("target=p-2").count() > 1)
    })
    .await;
    let runs = runs_within(Duration::from_secs(1), &[&edges[0], &edges[1]], &b).await;
    assert!(runs > 0, "a target that is registered again is not used");
}

// What a target had said in an answer was forgotten with its entry in the registry.
#[tokio::test]
async fn leaving_told_in_answer_outlasts_entry() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, mut b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    b.set_fault(TargetFault::Leaving);
    while !d.log(1).contains("target leaves target=p-2") {
        call_many(&edge, 3).await;
    }
    d.store.write("keyed.servers", "p-2", None);
    wait_until("removed", || d.log(1).contains("registration ended target=p-2")).await;
    settle(Duration::from_secs(1)).await;
    // a late entry from before
    b.register(&d.store, "ready");
    let runs = runs_within(Duration::from_secs(2), &[&edge], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had said that it leaves");
    // it starts again under its id
    b.set_fault(TargetFault::None);
    b.restart(&d.store, "v1").await.unwrap();
    let restarted_at = Instant::now();
    while b.executed_requests().last().is_none_or(|run| run.software_version != "v1")
        || runs_within(Duration::from_millis(100), &[&edge], &b).await == 0
    {
        assert!(restarted_at.elapsed() < Duration::from_secs(2), "a new start is not used");
    }
}

// What a target had said in an answer stayed with the host that got the answer.
#[tokio::test]
async fn leaving_told_in_answer_is_passed_on() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let first = d.start_ready_edge(1).await;
    let second = d.start_ready_edge(2).await;
    settle(Duration::from_secs(2)).await;
    b.set_fault(TargetFault::Leaving);
    while !d.log(1).contains("target leaves target=p-2") {
        call_many(&first, 3).await;
    }
    settle(Duration::from_millis(600)).await;
    let runs = runs_within(Duration::from_secs(1), &[&second], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had told another host that it leaves");
    // a host that starts now learns of it as well
    let third = d.start_ready_edge(3).await;
    settle(Duration::from_millis(1500)).await;
    let runs = runs_within(Duration::from_secs(1), &[&third], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had told another host that it leaves");
}

// A host that started while only an older copy was to be had took targets that had left for ready.
#[tokio::test]
async fn started_host_knows_targets_that_left_before() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let _first = d.start_ready_edge(1).await;
    let copy = d.store.copy();
    b.register(&d.store, "draining");
    wait_until("leaving", || d.log(1).contains("target leaves target=p-2")).await;
    d.store.write("keyed.servers", "p-2", None);
    wait_until("removed", || d.log(1).contains("registration ended target=p-2")).await;
    d.store.restore(copy);
    let second = d.start_ready_edge(2).await;
    settle(Duration::from_millis(1500)).await;
    let runs = runs_within(Duration::from_secs(2), &[&second], &b).await;
    assert_eq!(runs, 0, "requests reached a target that had left");
}

// A pause that a target had asked for was forgotten with its entry in the registry.
#[tokio::test]
async fn pause_outlasts_entry() {
    let d = Deployment::new().await;
    d.configure(7);
    let (_a, b) = (d.start_plain_target("p-1").await, d.start_plain_target("p-2").await);
    let edge = d.start_ready_edge(1).await;
    b.set_fault(TargetFault::FullFor(6000));
    while b.refused_requests() == 0 {
        call_many(&edge, 3).await;
    }
    b.set_fault(TargetFault::None);
    d.store.write("keyed.servers", "p-2", None);
    wait_until("removed", || d.log(1).contains("registration ended target=p-2")).await;
    settle(Duration::from_secs(1)).await;
    b.register(&d.store, "ready");
    let runs = runs_within(Duration::from_secs(2), &[&edge], &b).await;
    assert_eq!(runs, 0, "requests reached a target within the pause that it had asked for");
}

/// Time after which no further request may reach a target that has left, in the users' words.
const DRAIN: Duration = Duration::from_secs(2);

/// A target of the random deployment, and since when its present start is known to leave.
struct RandomTarget {
    target: Target,
    id: String,
    starts: u64,
    left_at: Option<Instant>,
}

impl RandomTarget {
    // requests of this start that arrived too late
    fn late_requests(&self) -> usize {
        let Some(left_at) = self.left_at else {
            return 0;
        };
        self.target.arrivals().iter().filter(|at| **at > left_at + DRAIN).count()
    }
}

async fn leave(
    d: &Deployment,
    hosts: &[u64],
    edge: &EdgeProcess,
    target: &mut RandomTarget,
    by_answer: bool,
) {
    let line = format!("target leaves target={} started={}", target.id, target.starts);
    if by_answer {
        target.target.set_fault(TargetFault::Leaving);
        // until one of its answers was passed on
        let since = Instant::now();
        while !hosts.iter().any(|host| d.log(*host).contains(&line)) {
            let _ = edge.call(request(Method::POST, "/once/a", &[])).await;
            if since.elapsed() > Duration::from_secs(3) {
                // no request reaches it: it is not known to leave
                return;
            }
        }
    } else {
        target.target.register(&d.store, "draining");
    }
    // the other hosts read or hear it
    settle(Duration::from_secs(1)).await;
    target.left_at = Some(Instant::now());
}

// Targets leave, start again and lose their entries, and hosts end and start, while the store comes
// back from older copies.
async fn run_random_registry(seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let d = Deployment::new().await;
    d.configure(7);
    let stays = d.start_plain_target("stays").await;
    let mut targets = Vec::new();
    for number in 1..=5 {
        let id = format!("p-{number}");
        let target = d.start_plain_target(&id).await;
        targets.push(RandomTarget { target, id, starts: 1, left_at: None });
    }
    let hosts = [1, 2, 3];
    let mut edges = Vec::new();
    for host in hosts {
        edges.push(d.start_ready_edge(host).await);
    }
    settle(Duration::from_secs(1)).await;
    let mut copy = d.store.copy();
    let mut steps = Vec::new();
    for _ in 0..40 {
        let index = random.random_range(0..targets.len());
        let step = random.random_range(0..10);
        steps.push((step, index));
        let target = &mut targets[index];
        match step {
            0 | 1 if target.left_at.is_none() => {
                leave(&d, &hosts, &edges[index % 3], target, step == 0).await;
            }
            2 => d.store.write("keyed.servers", &target.id, None),
            3 => target.target.register(&d.store, "ready"),
            4 => copy = d.store.copy(),
            5 | 6 => d.store.restore(copy.clone()),
            7 if target.left_at.is_some_and(|at| at.elapsed() > DRAIN * 2) => {
                assert_eq!(target.late_requests(), 0, "seed {seed}: {} after {steps:?}", target.id);
                target.target.set_fault(TargetFault::None);
                target.starts += 1;
                target.left_at = None;
                target.target.restart(&d.store, "v1").await.unwrap();
            }
            8 if random.random_range(0..3) == 0 => {
                edges[index % 3].signal(Signal::SIGKILL);
                edges[index % 3] = d.start_ready_edge(hosts[index % 3]).await;
                // a host that has just started is not bound by what it does not know yet
                settle(Duration::from_millis(1500)).await;
            }
            _ => {}
        }
        // what the targets write again, and what does not change
        stays.register(&d.store, "ready");
        let pause = Duration::from_millis(random.random_range(50..400));
        let since = Instant::now();
        while since.elapsed() < pause {
            for edge in &edges {
                let answer = edge.call(request(Method::POST, "/once/a", &[])).await;
                assert_eq!(answer.unwrap().status, 200, "seed {seed} after {steps:?}");
            }
        }
    }
    for target in &targets {
        assert_eq!(target.late_requests(), 0, "seed {seed}: {} after {steps:?}", target.id);
    }
}

// More seeds: LEAVING_SEEDS=20 cargo test -p egret-edge --test edge leaving_random
#[tokio::test]
async fn leaving_random_registry() {
    let seeds = std::env::var("LEAVING_SEEDS").ok().and_then(|text| text.parse().ok());
    for seed in 1..=seeds.unwrap_or(1) {
        run_random_registry(seed).await;
    }
}
