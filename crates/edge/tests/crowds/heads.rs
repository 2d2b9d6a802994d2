//! Heads that do not end, and requests that are sent before earlier ones are answered.

use {
    crate::crowd::{Scene, request_head},
    egret_scenarios::Sent,
    egret_standin::platform::TargetFault,
};

const BODY_MAX: usize = 65_536;

/// A little less than the largest head that callers may send.
const HEAD_BYTES: usize = 15_000;

// Connections were accepted until there were no descriptors, neither for callers nor for targets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end() {
    let scene = Scene::new(BODY_MAX).await;
    let address = scene.edge.caller_address;
    let mut bytes = request_head("Content-Length: 4");
    bytes.truncate(bytes.len() - 4);
    bytes.extend_from_slice(b"\r\nX-Filler: ");
    bytes.resize(HEAD_BYTES, b'x');
    scene.check(address, 1200, move |_| Sent::whole(bytes.clone())).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_request() {
    let scene = Scene::new(BODY_MAX).await;
    let address = scene.edge.caller_address;
    scene.check(address, 1200, |_| Sent { write_bytes: 1, ..Sent::whole(Vec::new()) }).await;
}

// What a client sends while its request runs is not read, and takes the memory of the system.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pipelined_requests() {
    let scene = Scene::new(BODY_MAX).await;
    scene.target.set_fault(TargetFault::NoAnswer);
    let address = scene.edge.caller_address;
    let sent = |_| {
        let mut bytes = request_head("Content-Length: 60000");
        bytes.resize(bytes.len() + 60_000, b'x');
        while bytes.len() < 1024 * 1024 {
            bytes.extend(request_head("Content-Length: 4"));
            bytes.extend_from_slice(b"body");
        }
        Sent::whole(bytes)
    };
    scene.check(address, 400, sent).await;
}

// Requests that took long held all connections, and those of ordinary callers were closed without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_unanswered() {
    let scene = Scene::new(BODY_MAX).await;
    scene.target.set_fault(TargetFault::NoAnswer);
    let address = scene.edge.caller_address;
    let sent = |_| {
        let mut bytes = request_head("Content-Length: 4");
        bytes.extend_from_slice(b"body");
        Sent::whole(bytes)
    };
    scene.check_answered(503, address, 1200, sent).await;
}
