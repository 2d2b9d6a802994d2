//! What crashes targets, over the lives of hosts.

use {
    crate::{
        crashes::{
            MARKER, NOTICE, PART_CRASHES_MAX, crashes, request_with_part, start_engines,
            start_ready_edges,
        },
        support::{Deployment, EdgeProcess, wait_until, whole_stream},
    },
    egret_standin::platform::{Target, TargetFault},
    std::time::{Duration, Instant},
};

/// Tests of one part over the life of its finding.
const TESTS_MAX: u64 = 3;

/// Longest time until a part that was refused wrongly is served again: the first test, with the time
/// that callers wait.
const SERVED_AGAIN_MAX: Duration = Duration::from_secs(8);

fn findings(d: &Deployment) -> Vec<String> {
    let keys = d.store.keys("keyed.egretshore");
    keys.into_iter().filter(|key| key.starts_with("crash/part-")).collect()
}

async fn send_crashing(edges: &[EdgeProcess], numbers: std::ops::Range<usize>) {
    for number in numbers {
        let edge = &edges[number % edges.len()];
        let _ = edge.call(request_with_part(MARKER, number)).await;
    }
}

async fn restart_all(d: &Deployment, edges: &mut Vec<EdgeProcess>) {
    let count = edges.len() as u64;
    for edge in edges.iter_mut() {
        edge.process.kill();
    }
    edges.clear();
    *edges = start_ready_edges(d, count).await;
}

async fn start_with_refused_part(d: &Deployment) -> (Vec<EdgeProcess>, Vec<Target>) {
    d.configure(7);
    let engines = start_engines(d, 1..=16, 1).await;
    let edges = start_ready_edges(d, 2).await;
    for number in 0..4 {
        let answer = edges[number % 2].call(request_with_part("50f7", number)).await.unwrap();
        assert_eq!(answer.body, whole_stream());
    }
    send_crashing(&edges, 0..12).await;
    assert!(crashes(&engines) <= PART_CRASHES_MAX, "{} crashes", crashes(&engines));
    wait_until("finding in the host log", || findings(d).len() == 1).await;
    (edges, engines)
}

// After all hosts were killed, a part that crashes targets was unknown again: it took three crashes to
// refuse it, and the tests began anew.
#[tokio::test]
async fn part_stays_refused_after_kill_of_all_hosts() {
    let d = Deployment::new().await;
    let (mut edges, engines) = start_with_refused_part(&d).await;
    let before = crashes(&engines);
    for round in 1..=2 {
        restart_all(&d, &mut edges).await;
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(7) {
            send_crashing(&edges, 0..2).await;
            let sound = edges[round % 2].call(request_with_part("50f7", 100)).await.unwrap();
            assert_eq!(sound.body, whole_stream());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let tests = crashes(&engines) - before;
    assert!(tests <= TESTS_MAX, "{tests} crashes after the part was refused");
    assert!(tests > 0, "a part that is refused is tested");
}

// A part that was refused wrongly has to be served again, also after all hosts were killed.
#[tokio::test]
async fn sound_part_is_served_again_after_kill_of_all_hosts() {
    let d = Deployment::new().await;
    let (mut edges, engines) = start_with_refused_part(&d).await;
    restart_all(&d, &mut edges).await;
    // what crashed the engines was mended
    for engine in &engines {
        engine.crash_on("none", 1, true);
    }
    let started_at = Instant::now();
    let mut number = 200;
    loop {
        let answer = edges[number % 2].call(request_with_part(MARKER, number)).await.unwrap();
        if answer.status == 200 {
            break;
        }
        assert!(started_at.elapsed() < SERVED_AGAIN_MAX, "still refused");
        number += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("finding removed", || findings(&d).is_empty()).await;
    tokio::time::sleep(NOTICE).await;
    for edge in &edges {
        assert_eq!(edge.call(request_with_part(MARKER, 300)).await.unwrap().status, 200);
    }
    restart_all(&d, &mut edges).await;
    assert_eq!(edges[0].call(request_with_part(MARKER, 301)).await.unwrap().status, 200);
}

// A test whose request no target took was spent.
#[tokio::test]
async fn part_is_tested_after_requests_that_no_target_takes() {
    let d = Deployment::new().await;
    let (edges, engines) = start_with_refused_part(&d).await;
    for engine in &engines {
        engine.crash_on("none", 1, true);
        engine.set_fault(TargetFault::Full);
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    send_crashing(&edges, 0..4).await;
    for engine in &engines {
        engine.set_fault(TargetFault::None);
    }
    let started_at = Instant::now();
    let mut number = 400;
    while edges[number % 2].call(request_with_part(MARKER, number)).await.unwrap().status != 200 {
        assert!(started_at.elapsed() < Duration::from_secs(24), "still refused");
        number += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
