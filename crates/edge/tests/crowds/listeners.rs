//! Crowds at the listeners for readiness checks, metrics and links.

use {crate::crowd::Scene, egret_scenarios::Sent};

const BODY_MAX: usize = 65_536;

// a head that grows until the host refuses it
fn endless_head() -> Sent {
    let mut bytes = b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n".to_vec();
    bytes.extend_from_slice(b"X-Filler: ");
    bytes.resize(400_000, b'x');
    Sent::whole(bytes)
}

// a request whose body nobody needs
fn unread_body() -> Sent {
    let mut bytes =
        b"POST /v1/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n".to_vec();
    bytes.resize(1_000_000, b'x');
    Sent::whole(bytes)
}

async fn check(port: u16, count: usize, sent: impl Fn(usize) -> Sent) {
    let scene = Scene::new(BODY_MAX).await;
    let mut address = scene.edge.caller_address;
    address.set_port(port);
    scene.check(address, count, sent).await;
}

// The heads of each connection took 400 KB, for as long as it was open.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_heads_without_end() {
    check(7001, 300, |_| endless_head()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn readiness_unread_bodies() {
    check(7001, 1200, |_| unread_body()).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn metrics_heads_without_end() {
    check(7003, 300, |_| endless_head()).await;
}

// A frame of 16 MB was read from a peer that had not said who it is.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_with_large_first_frame() {
    let mut bytes = (15_000_000u32).to_be_bytes().to_vec();
    bytes.resize(14_000_000, 0);
    check(7002, 20, |_| Sent::whole(bytes.clone())).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn links_without_first_frame() {
    check(7002, 1200, |_| Sent { write_bytes: 1, ..Sent::whole(Vec::new()) }).await;
}
