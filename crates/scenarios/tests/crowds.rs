//! Crowds of clients that do not behave, at real entries and keepers.
//!
//! Whatever a crowd sends, the process lives, stays within the memory that it takes for its machine's and within
//! its descriptors, and an entry answers an ordinary caller while the crowd is still connected.

use {
    egret_runtime::unix_ms,
    egret_scenarios::{Deployment, DeploymentSpec, Holdings, Sent, send_crowd},
    http::Method,
    nix::sys::resource::{Resource, getrlimit, setrlimit},
    parking_lot::Mutex,
    serde_json::json,
    std::net::SocketAddr,
};

/// Memory of the machine, in megabytes.
const MACHINE_MB: u64 = 512;

/// Descriptors of each process.
const DESCRIPTORS: u64 = 1024;

/// Descriptors that are reserved for files.
const RESERVED_DESCRIPTORS: u64 = 200;

/// Largest body that callers may send.
const BODY_MAX: usize = 4 * 1024 * 1024;

/// Validity of the keys of requests to a service, in milliseconds.
const KEY_MS: u64 = 600_000;

/// Crowds come one after another, so that a process has the processor for itself.
static TURN: Mutex<()> = Mutex::new(());

#[derive(Clone, Copy)]
enum At {
    Entry,
    Keeper,
    KeeperLinks,
}

impl At {
    fn place(self, d: &Deployment) -> (&'static str, SocketAddr) {
        match self {
            Self::Entry => ("entry-1", d.layout.entry(0)),
            Self::Keeper => ("keeper-1", d.layout.keeper_http(0)),
            Self::KeeperLinks => ("keeper-1", d.layout.keeper_links(0)),
        }
    }
}

// starts processes that may open so many descriptors; this process needs more for the crowd
fn start() -> Deployment {
    start_with("")
}

fn start_with(more_limits: &str) -> Deployment {
    let spec = DeploymentSpec {
        hosts: 1,
        engines: 1,
        entry_settings: format!("[limits]\nbody_bytes = {BODY_MAX}\n{more_limits}"),
        ..DeploymentSpec::small()
    };
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).unwrap();
    setrlimit(Resource::RLIMIT_NOFILE, DESCRIPTORS, hard).unwrap();
    let d = Deployment::start(spec);
    setrlimit(Resource::RLIMIT_NOFILE, soft.max(4 * DESCRIPTORS).min(hard), hard).unwrap();
    d
}

fn check(at: At, count: usize, sent: impl Fn(usize) -> Sent) {
    let _turn = TURN.lock();
    check_on(start(), at, count, sent);
}

fn check_on(mut d: Deployment, at: At, count: usize, sent: impl Fn(usize) -> Sent) {
    let (name, address) = at.place(&d);
    let process = d.process(name).id();
    let holdings = d.block_on(async { Holdings::watch(process, address) });
    let clients = d.block_on(async {
        let clients = send_crowd(address, count, sent).await;
        holdings.settle().await;
        clients
    });
    check_process(&mut d, name, &holdings, "beside the crowd");
    d.wait_until("an ordinary caller is answered", is_answered);
    drop(clients);
    d.block_on(holdings.settle());
    check_process(&mut d, name, &holdings, "after the crowd");
    d.wait_until("an ordinary caller is answered", is_answered);
}

fn check_process(d: &mut Deployment, name: &str, holdings: &Holdings, when: &str) {
    let process = d.process(name);
    assert!(process.is_running(), "{name} has ended {when}");
    let (resident_kb, unread_kb) = (process.peak_memory_kb(), holdings.unread_kb());
    let descriptors = holdings.descriptors();
    println!("{when}: {resident_kb} KB, {unread_kb} KB unread, {descriptors} descriptors");
    assert!(
        resident_kb + unread_kb <= MACHINE_MB * 1024,
        "{resident_kb} KB of memory and {unread_kb} KB unread {when}"
    );
    assert!(descriptors <= DESCRIPTORS - RESERVED_DESCRIPTORS, "{descriptors} descriptors {when}");
}

fn is_answered(d: &Deployment) -> bool {
    let body = json!({ "model": "base/a1@1", "prompt": "p", "max_tokens": 2 });
    let reply = d.send_json(Method::POST, d.layout.entry(0), "/v1/completions", &body);
    reply.is_some_and(|reply| reply.status == 200) && d.keeper_status(0).is_some()
}

fn announced(path: &str, length: usize, sent: usize) -> Sent {
    let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + sent, b' ');
    Sent::whole(bytes)
}

fn endless_head() -> Sent {
    let mut bytes = b"GET /healthz HTTP/1.1\r\nHost: x\r\nX-Filler: ".to_vec();
    bytes.resize(400_000, b'x');
    Sent::whole(bytes)
}

fn nothing() -> Sent {
    Sent { write_bytes: 1, ..Sent::whole(Vec::new()) }
}

// Each caller might send a body, and their sum had no bound.
#[test]
fn entry_bodies_one_byte_short() {
    let sent = announced("/v1/completions", BODY_MAX, BODY_MAX - 1);
    check(At::Entry, 200, |_| sent.clone());
}

#[test]
fn entry_service_bodies_one_byte_short() {
    let sent = announced("/services/studio/x", BODY_MAX, BODY_MAX - 1);
    check(At::Entry, 200, |_| sent.clone());
}

// Answers of services are held whole for callers that do not read them, and their sum has no bound.
#[test]
fn entry_service_answers_unread() {
    let _turn = TURN.lock();
    let d = start();
    d.inject_faults(d.layout.service_target(0), &json!({ "answer_bytes": BODY_MAX }));
    let expires = unix_ms() + KEY_MS;
    check_on(d, At::Entry, 250, |number| {
        let head = format!(
            "POST /services/studio/x HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k-{number}\r\n\
             Idempotency-Expires: {expires}\r\nContent-Length: 4\r\n\r\nbody"
        );
        Sent::whole(head.into_bytes())
    });
}

// The same for answers of engines. An ordinary caller's answer needs memory as well, so that those who do not
// read theirs have to make way.
#[test]
fn entry_engine_answers_unread() {
    let _turn = TURN.lock();
    let d = start();
    d.inject_faults(d.layout.engine(0), &json!({ "answer_bytes": 2 * BODY_MAX }));
    let body = json!({ "model": "base/a1@1", "prompt": "p", "max_tokens": 2 }).to_string();
    let sent = |_| {
        let head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json";
        let length = body.len();
        Sent::whole(format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes())
    };
    check_on(d, At::Entry, 250, sent);
}

// A request for whose answer there is no memory has run, and a refused repeat of its key may not say otherwise.
#[test]
fn entry_service_answer_without_memory() {
    const PATH: &str = "/services/studio/x";
    let _turn = TURN.lock();
    // answers share 4 MB
    let d = start_with("memory_mb = 32\n");
    let entry = d.layout.entry(0);
    let targets: Vec<_> = (0..d.spec.service_targets).map(|i| d.layout.service_target(i)).collect();
    for target in &targets {
        d.inject_faults(*target, &json!({ "answer_bytes": 2 * BODY_MAX }));
    }
    let headers = [
        ("idempotency-key", "k-1".to_owned()),
        ("idempotency-expires", (unix_ms() + KEY_MS).to_string()),
    ];
    let send = |body: &serde_json::Value| {
        let reply = d.send_json_with_headers(Method::POST, entry, PATH, &headers, body);
        let reply = reply.expect("an answer");
        let outcome = reply.header("x-egret-outcome").unwrap_or_default().to_owned();
        (reply.status.as_u16(), outcome)
    };
    let small = json!({ "text": "x" });
    assert_eq!(send(&small), (502, "done".to_owned()));
    assert_eq!(send(&small), (200, "done".to_owned()));
    let oversized = json!({ "text": "x".repeat(BODY_MAX) });
    assert_eq!(send(&oversized), (413, "unknown".to_owned()));
    let effects = targets.iter().filter_map(|target| d.get_json(*target, "/stats")).map(|stats| {
        let effects = stats["effects"].as_array();
        effects.map_or(0, Vec::len)
    });
    assert_eq!(effects.sum::<usize>(), 1);
}

// Connections were accepted until there were no descriptors.
#[test]
fn entry_heads_without_end() {
    let sent = endless_head();
    check(At::Entry, 1200, |_| sent.clone());
}

#[test]
fn entry_connections_without_request() {
    check(At::Entry, 1200, |_| nothing());
}

#[test]
fn keeper_heads_without_end() {
    let sent = endless_head();
    check(At::Keeper, 1200, |_| sent.clone());
}

#[test]
fn keeper_connections_without_request() {
    check(At::Keeper, 1200, |_| nothing());
}

#[test]
fn keeper_links_without_first_frame() {
    check(At::KeeperLinks, 1200, |_| nothing());
}
