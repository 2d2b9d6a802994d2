//! What makes a target an engine: orders, adapters, and streams in a batch.

use {
    super::{
        batch::{Batch, Place},
        raw::{RawConn, RawRequest, head},
        target::{Adapter, EngineConf, Shared, TargetFault},
    },
    serde_json::{Value, json},
    std::{
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Rank of a request that names none.
const RANK: u64 = 5;

/// Tokens of an event.
const EVENT_TOKENS: u64 = 6;

/// Tells what it holds.
pub(super) async fn report(conn: &mut RawConn, shared: &Shared) -> io::Result<()> {
    let now = Instant::now();
    let (seq, pending) = {
        let state = shared.state.lock();
        let coming = state.adapters.iter().filter(|(_, a)| a.ready_at > now);
        let model = shared.conf.engine.as_ref().map_or("", |e| e.model.as_str());
        let named = coming.map(|(name, a)| format!("{model}/{name}@{}", a.version));
        (state.seq, named.collect::<Vec<String>>())
    };
    let body = json!({
        "stage": "both", "models": shared.models(), "busy": false, "seq": seq, "queued": 0,
        "running": shared.batch.running(), "kv_used": 0, "kv_total": 1000, "handles": 0, "pending": pending,
    });
    conn.answer(200, &[("Content-Type", "application/json")], body.to_string().as_bytes()).await
}

/// Carries out an order; none when it gets no answer.
pub(super) async fn order(
    conn: &mut RawConn,
    request: &RawRequest,
    shared: &Arc<Shared>,
) -> Option<io::Result<()>> {
    let fault = shared.state.lock().fault;
    if let TargetFault::OrdersLate(ms) = fault {
        let (shared, body) = (shared.clone(), request.body.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            carry_out(&shared, &body);
        });
        return None;
    }
    let status = carry_out(shared, &request.body);
    Some(conn.answer(status, &[], b"").await)
}

fn carry_out(shared: &Shared, body: &[u8]) -> u16 {
    let Some(engine) = &shared.conf.engine else {
        return 400;
    };
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return 400;
    };
    let (Some(fence), Some(_)) = (order["fence_token"].as_u64(), order["holder"].as_str()) else {
        return 400;
    };
    let mut state = shared.state.lock();
    if fence < state.fence {
        return 412;
    }
    state.fence = fence;
    let now = Instant::now();
    let Some(adapter) = order["adapter"].as_str() else {
        return 200;
    };
    let newest = state.versions.get(adapter).copied().unwrap_or(1);
    let version = order["version"].as_u64().unwrap_or(newest);
    let load = order["op_type"] == "load";
    match state.adapters.get(adapter) {
        Some(held) if load && held.version >= version && held.ready_at <= now => return 200,
        Some(held) if load && held.version >= version => return 202,
        None if !load => return 200,
        _ => {}
    }
    if order["expected"].as_u64().is_some_and(|seq| seq != state.seq) {
        return 409;
    }
    state.seq += 1;
    if !load {
        state.adapters.swap_remove(adapter);
        return 200;
    }
    let copy = !state.copies.insert((adapter.to_owned(), version));
    let held = Adapter { version, ready_at: engine.weights.begin(now, copy) };
    state.adapters.insert(adapter.to_owned(), held);
    if state.adapters.len() > engine.adapter_slots {
        state.crashed_by_orders = true;
    }
    202
}

/// The status for a request whose adapter is not there.
pub(super) fn not_held(shared: &Shared, request: &RawRequest) -> Option<u16> {
    let engine = shared.conf.engine.as_ref()?;
    let (model, adapter) = request.header("model")?.split_once('/')?;
    if model != engine.model {
        return Some(421);
    }
    let state = shared.state.lock();
    let Some(held) = state.adapters.get(adapter) else {
        return Some(421);
    };
    if held.ready_at > Instant::now() {
        return Some(503);
    }
    let wanted = request.header("expect-version").and_then(|v| v.parse().ok());
    wanted.is_some_and(|wanted: u64| wanted != held.version).then_some(421)
}

fn number(request: &RawRequest, header: &str) -> Option<u64> {
    // the first of several: a prompt's tokens come before those of its answer
    request.header(header)?.split(',').next()?.trim().parse().ok()
}

/// Takes a request into the batch; none when too many wait.
pub(super) fn enter(shared: &Shared, request: &RawRequest) -> Option<Place> {
    let events = shared.conf.engine.as_ref().map_or(0, |engine| engine.events);
    let tokens = number(request, "token-count").unwrap_or(0) + events * EVENT_TOKENS;
    shared.batch.enter(number(request, "request-priority").unwrap_or(RANK), tokens)
}

/// A stream in the batch.
pub(super) struct Streaming<'a> {
    pub(super) conf: &'a EngineConf,
    pub(super) batch: &'a Batch,
    pub(super) place: &'a Place,
    pub(super) fault: TargetFault,
}

impl Streaming<'_> {
    /// Streams the answer to `request`.
    ///
    /// # Errors
    ///
    /// When its caller has left.
    pub(super) async fn run(
        &self,
        conn: &mut RawConn,
        request: &RawRequest,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let prefill = Duration::from_millis(
            self.batch.prefill_ms(number(request, "token-count").unwrap_or(0)),
        );
        while_there(conn, self.read(prefill)).await?;
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        headers.push(("Transfer-Encoding", "chunked"));
        conn.write(&head(200, &headers, None)).await?;
        let last = number(request, "last-event-id").unwrap_or(0);
        for id in last + 1..=self.conf.events {
            if self.fault == TargetFault::CutAfter(id - 1) {
                // the beginning of the next event goes out as well
                return conn.write(b"10\r\nid: ").await;
            }
            if !self.place.runs() {
                // its memory was taken: its prompt is read anew
                while_there(conn, self.read(prefill)).await?;
            }
            let event = format!("id: {id}\ndata: token-{id}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
            let step = self.conf.pause + Duration::from_micros(self.batch.step_us());
            while_there(conn, tokio::time::sleep(step)).await?;
        }
        conn.write(b"0\r\n\r\n").await
    }

    async fn read(&self, prefill: Duration) {
        self.place.admitted().await;
        tokio::time::sleep(prefill).await;
    }
}

// a caller that has left shows as a closed connection
async fn while_there(conn: &RawConn, work: impl Future<Output = ()>) -> io::Result<()> {
    let mut byte = [0; 1];
    tokio::select! {
        () = work => Ok(()),
        _ = conn.stream.peek(&mut byte) => Err(io::ErrorKind::BrokenPipe.into()),
    }
}
