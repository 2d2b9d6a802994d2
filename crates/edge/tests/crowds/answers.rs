//! Answers that clients ask for and do not read.

use {
    crate::{
        crowd::Scene,
        raw::{End, Script, ScriptedTarget, Scripts, header, raw_request, stream_headers},
    },
    egret_scenarios::Sent,
};

const BODY_MAX: usize = 65_536;

/// Less than the largest error answer of an engine that is passed on.
const ERROR_BYTES: usize = 900 * 1024;

// Error answers of engines did not count for the memory that answers share.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn error_answers_unread() {
    let scene = Scene::new(BODY_MAX).await;
    let scripts = Scripts::new();
    scripts.set(|request, _| {
        let id = header(request, "request-id").unwrap_or_default();
        let mut bytes = format!(
            "HTTP/1.1 400 Bad Request\r\nRequest-Id: {id}\r\nServer-Seal: s.1\r\n\
             Content-Length: {ERROR_BYTES}\r\n\r\n"
        )
        .into_bytes();
        bytes.resize(bytes.len() + ERROR_BYTES, b'x');
        Script { bytes, end: End::Keep }
    });
    let _engine = ScriptedTarget::start(&scene.d, "e-1", true, &scripts).await;
    let address = scene.edge.caller_address;
    scene.edge.call_until(400, || crate::support::stream_request("frail", "a1")).await;
    let sent = |_| Sent::whole(raw_request("/frail/x", &stream_headers()).0);
    scene.check(address, 250, sent).await;
}
