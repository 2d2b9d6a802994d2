//! The stand-in of the users' platform: batches, the weight store, fault switches.

use {
    egret_runtime::{Conn, now},
    egret_standin::platform::{Batch, BatchConf, Scene, SceneConf, Weights},
    http::{Method, Request},
    http_body_util::Full,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

#[tokio::test]
async fn batch_urgent_first() {
    let batch = Batch::new(BatchConf { slots: 2, queue: 2, ..BatchConf::default() });
    let first = batch.enter(5, 10).unwrap();
    let second = batch.enter(5, 10).unwrap();
    let waits = batch.enter(5, 10).unwrap();
    assert_eq!((first.runs(), second.runs(), waits.runs()), (true, true, false));
    // a more urgent one takes the place of the last that came
    let urgent = batch.enter(0, 10).unwrap();
    assert_eq!((urgent.runs(), first.runs(), second.runs()), (true, true, false));
    assert_eq!(batch.preempted(), 1);
    assert!(batch.enter(0, 10).is_none(), "two may wait, and two do");
    drop(first);
    second.admitted().await;
    assert!(!waits.runs());
    assert_eq!(batch.running(), 2);
}

#[test]
fn batch_within_memory() {
    let batch = Batch::new(BatchConf { slots: 8, tokens: 100, ..BatchConf::default() });
    let large = batch.enter(5, 80).unwrap();
    let waits = batch.enter(5, 30).unwrap();
    assert!(!waits.runs());
    assert!(batch.enter(5, 101).is_none(), "it never fits");
    drop(large);
    assert!(waits.runs());
}

#[test]
fn weights_slow_beyond_full_speed() {
    let weights = Weights::new(Duration::from_millis(100), 2);
    let now = Instant::now();
    assert_eq!(weights.begin(now, false) - now, Duration::from_millis(100));
    assert_eq!(weights.begin(now, false) - now, Duration::from_millis(100));
    assert_eq!(weights.begin(now, false) - now, Duration::from_millis(150));
    // a copy takes nothing from the store
    assert_eq!(weights.begin(now, true) - now, Duration::from_millis(10));
    assert_eq!(weights.loads(), (3, 3));
}

async fn call(address: SocketAddr, path: &str, body: Value) -> (u16, String) {
    let deadline = now().after_ms(5000);
    let mut request = Request::new(Full::new(body.to_string().into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = path.parse().unwrap();
    let length = http::HeaderValue::from(body.to_string().len());
    request.headers_mut().insert("content-length", length);
    let reply = Conn::open(address, deadline).await.unwrap().call(request, deadline).await.unwrap();
    (reply.status.as_u16(), String::from_utf8(reply.body.to_vec()).unwrap())
}

#[tokio::test]
async fn scene_switches() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let control = free.local_addr().unwrap();
    drop(free);
    let scene = Scene::start(SceneConf {
        store: "127.0.0.1:0".parse().unwrap(),
        control: Some(control),
        data_centres: 2,
        engines: 2,
        plain: 1,
        adapter_slots: 3,
        load_ms: 50,
        full_speed: 8,
        batch: BatchConf::default(),
    })
    .await
    .unwrap();
    let plain = scene.target("plain-1").unwrap().address();
    assert_eq!(call(plain, "/safe/x", json!({})).await.0, 200);
    let fault = json!({ "target": { "id": "plain-1", "fault": "error" } });
    assert_eq!(call(control, "/faults", fault).await.0, 200);
    assert_eq!(call(plain, "/safe/x", json!({})).await.0, 500);
    for wrong in [json!({ "target": { "id": "plain-9", "fault": "error" } }), json!({ "x": 1 })] {
        assert!(call(control, "/faults", wrong).await.0 >= 400);
    }
    let version = json!({ "version": { "adapter": "a1", "version": 4 } });
    assert_eq!(call(control, "/faults", version).await.0, 200);
    assert!(scene.store.newest("keyed.op", "version/base.a1").is_some());
    let (_, state) = call(control, "/state", json!({})).await;
    let state: Value = serde_json::from_str(&state).unwrap();
    assert_eq!(state["targets"]["plain-1"]["runs"], json!(2));
    assert_eq!(state["targets"]["engine-2"]["adapters"], json!([]));
}
