//! Bodies that stop short, are too large, or come in many pieces.

use {
    crate::{
        crowd::{Scene, request_head},
        support::request,
    },
    egret_scenarios::Sent,
    egret_standin::platform::TargetFault,
    http::Method,
    http_body_util::Full,
};

/// Largest body that callers of the small deployment may send.
const SMALL_MAX: usize = 65_536;

/// Largest body that the platform's deployments allow.
const LARGE_MAX: usize = 4 * 1024 * 1024;

fn announced(length: usize, sent: usize) -> Vec<u8> {
    let mut bytes = request_head(&format!("Content-Length: {length}"));
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

// a body of `length` bytes in chunks of `chunk_bytes`, without its end
fn in_chunks(length: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = request_head("Transfer-Encoding: chunked");
    let size = format!("{chunk_bytes:x}\r\n");
    for _ in 0..length / chunk_bytes {
        bytes.extend_from_slice(size.as_bytes());
        bytes.resize(bytes.len() + chunk_bytes, b'x');
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

async fn check(body_max: usize, count: usize, sent: impl Fn(usize) -> Sent) {
    let scene = Scene::new(body_max).await;
    let address = scene.edge.caller_address;
    scene.check(address, count, sent).await;
}

// a single body of the largest size is served on a small machine
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_in_calm() {
    let scene = Scene::new(LARGE_MAX).await;
    for _ in 0..3 {
        let (head, _) = request(Method::POST, "/once/a", &[]).into_parts();
        let request = http::Request::from_parts(head, Full::new(vec![b'x'; LARGE_MAX].into()));
        let answer = scene.edge.call(request).await.unwrap();
        assert_eq!(answer.status, 200);
    }
}

// Each chunk kept the buffer of the connection from which it was cut, and a list entry.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_very_small() {
    check(SMALL_MAX, 150, |_| Sent::whole(in_chunks(65_000, 1))).await;
}

// The bodies of all connections together took what the callers liked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_bodies_large() {
    check(SMALL_MAX, 800, |_| Sent::whole(in_chunks(65_000, 13_000))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_one_byte_short() {
    check(SMALL_MAX, 800, |_| Sent::whole(announced(65_000, 64_999))).await;
}

// Each read kept a whole buffer for its few bytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announced_bodies_in_small_writes() {
    check(SMALL_MAX, 300, |_| Sent::whole(announced(65_000, 64_999)).in_writes(100)).await;
}

// Bodies that are known to be too large were read up to the limit before they were refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_bodies_announced() {
    check(LARGE_MAX, 40, |_| Sent::whole(announced(1 << 30, 2 * LARGE_MAX))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_bodies_unannounced() {
    check(LARGE_MAX, 40, |_| Sent::whole(in_chunks(2 * LARGE_MAX, 64 * 1024))).await;
}

// one that keeps sending has to be closed
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_bodies_endless() {
    check(SMALL_MAX, 300, |_| Sent::whole(announced(1 << 40, 64 * 1024)).without_end()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_whole() {
    check(LARGE_MAX, 40, |_| Sent::whole(announced(LARGE_MAX, LARGE_MAX - 1))).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_in_pieces() {
    check(LARGE_MAX, 40, |_| Sent::whole(announced(LARGE_MAX, LARGE_MAX - 1)).in_writes(10_000))
        .await;
}

// one in four is complete; its target does not answer, so that the host keeps it
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_some_complete() {
    let scene = Scene::new(LARGE_MAX).await;
    scene.target.set_fault(TargetFault::NoAnswer);
    let address = scene.edge.caller_address;
    let sent = |number: usize| {
        let short = usize::from(!number.is_multiple_of(4));
        Sent::whole(announced(LARGE_MAX, LARGE_MAX - short))
    };
    scene.check(address, 40, sent).await;
}
