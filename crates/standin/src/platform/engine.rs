//! The engine side of a target: load reports, adapter orders, and streams from a batch.

use {
    super::{
        batch::{Batch, SequenceHandle},
        raw_http::{RawConn, RawRequest, response_head},
        target::{AdapterState, EngineConf, Shared, StreamFraming, TargetFault},
    },
    serde_json::{Value, json},
    std::{
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Priority of a request without a `request-priority` header.
const DEFAULT_PRIORITY: u64 = 5;

const TOKENS_PER_EVENT: u64 = 6;

/// Every so many events of a target in a process of its own, one comes in two parts.
const PARTED_EVENT: u64 = 4;

/// Answers a request for the load report.
pub(super) async fn answer_report(conn: &mut RawConn, shared: &Shared) -> io::Result<()> {
    let now = Instant::now();
    let (seq, start, pending) = {
        let state = shared.state.lock();
        let pending = state.adapters.iter().filter(|(_, a)| a.ready_at > now);
        let model = shared.conf.engine.as_ref().map_or("", |e| e.model.as_str());
        let pending = pending.map(|(name, a)| format!("{model}/{name}@{}", a.version));
        let start = (!state.hides_start).then_some(state.starts);
        (state.seq, start, pending.collect::<Vec<String>>())
    };
    let mut body = json!({
        "stage": "both", "models": shared.models_json(), "busy": false, "seq": seq, "queued": 0,
        "running": shared.batch.running(), "kv_used": 0, "kv_total": 1000, "handles": 0, "pending": pending,
    });
    if let Some(start) = start {
        body["born"] = json!(start);
    }
    conn.write_response(200, &[("Content-Type", "application/json")], body.to_string().as_bytes())
        .await
}

/// Carries out an order and answers it. Returns `None` when the fault leaves it unanswered.
pub(super) async fn answer_order(
    conn: &mut RawConn,
    request: &RawRequest,
    shared: &Arc<Shared>,
) -> Option<io::Result<()>> {
    let fault = shared.state.lock().fault;
    if let TargetFault::OrdersLate(ms) = fault {
        let (shared, body) = (shared.clone(), request.body.clone());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            apply_order(&shared, &body);
        });
        return None;
    }
    let status = apply_order(shared, &request.body);
    Some(conn.write_response(status, &[], b"").await)
}

fn apply_order(shared: &Shared, body: &[u8]) -> u16 {
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
    let newest = state.newest_versions.get(adapter).copied().unwrap_or(1);
    let version = order["version"].as_u64().unwrap_or(newest);
    let is_load = order["op_type"] == "load";
    match state.adapters.get(adapter) {
        Some(current) if is_load && current.version >= version && current.ready_at <= now => {
            return 200;
        }
        Some(current) if is_load && current.version >= version => return 202,
        None if !is_load => return 200,
        _ => {}
    }
    if order["expected"].as_u64().is_some_and(|seq| seq != state.seq) {
        return 409;
    }
    state.seq += 1;
    if !is_load {
        state.adapters.swap_remove(adapter);
        return 200;
    }
    let has_copy = !state.local_copies.insert((adapter.to_owned(), version));
    let new = AdapterState { version, ready_at: engine.weight_store.start_load(now, has_copy) };
    state.adapters.insert(adapter.to_owned(), new);
    if state.adapters.len() > engine.adapter_slots {
        state.overfilled = true;
    }
    202
}

/// The status that refuses a request for an adapter that is not loaded in the expected version.
pub(super) fn missing_adapter_status(shared: &Shared, request: &RawRequest) -> Option<u16> {
    let engine = shared.conf.engine.as_ref()?;
    let (model, adapter) = request.header("model")?.split_once('/')?;
    if model != engine.model {
        return Some(421);
    }
    let state = shared.state.lock();
    let Some(current) = state.adapters.get(adapter) else {
        return Some(421);
    };
    if current.ready_at > Instant::now() {
        return Some(503);
    }
    let expected = request.header("expect-version").and_then(|v| v.parse().ok());
    expected.is_some_and(|expected: u64| expected != current.version).then_some(421)
}

fn header_number(request: &RawRequest, header: &str) -> Option<u64> {
    // `token-count` holds the prompt's tokens first, then those of the answer
    request.header(header)?.split(',').next()?.trim().parse().ok()
}

/// Adds a request to the batch. Returns `None` when the batch refuses it.
pub(super) fn submit(shared: &Shared, request: &RawRequest) -> Option<SequenceHandle> {
    let events = shared.conf.engine.as_ref().map_or(0, |engine| engine.events_per_stream);
    let tokens = header_number(request, "token-count").unwrap_or(0) + events * TOKENS_PER_EVENT;
    shared
        .batch
        .submit(header_number(request, "request-priority").unwrap_or(DEFAULT_PRIORITY), tokens)
}

/// An answer streamed by a request in the batch.
pub(super) struct EventStream<'a> {
    pub(super) conf: &'a EngineConf,
    pub(super) shared: &'a Shared,
    /// Index of the request among those that were executed.
    pub(super) index: usize,
    pub(super) batch: &'a Batch,
    pub(super) sequence: &'a SequenceHandle,
    pub(super) fault: TargetFault,
    pub(super) framing: StreamFraming,
    /// Who writes the events, where they name their writer.
    pub(super) writer: Option<String>,
    /// Number of events after which the stream breaks off, and whether within the next one.
    pub(super) breaks_after: Option<(u64, bool)>,
}

impl EventStream<'_> {
    /// Streams the answer to `request`, after the event that its `last-event-id` names.
    ///
    /// # Errors
    ///
    /// When the caller has disconnected.
    pub(super) async fn write_events(
        &self,
        conn: &mut RawConn,
        request: &RawRequest,
        headers: &[(&str, &str)],
    ) -> io::Result<()> {
        let prefill = Duration::from_millis(
            self.batch.prefill_ms(header_number(request, "token-count").unwrap_or(0)),
        );
        while_connected(conn, self.run_prefill(prefill)).await?;
        self.pause_after(conn, 0).await?;
        let mut headers = headers.to_vec();
        headers.push(("Content-Type", "text/event-stream"));
        if self.framing == StreamFraming::Chunked {
            headers.push(("Transfer-Encoding", "chunked"));
        }
        conn.write(&response_head(200, &headers, None)).await?;
        let last = header_number(request, "last-event-id").unwrap_or(0);
        let ends_after = match self.fault {
            TargetFault::CutAfter(events) => Some(events),
            TargetFault::CutUnresumedAfter(events) | TargetFault::StallUnresumedAfter(events)
                if last == 0 =>
            {
                Some(events)
            }
            _ => self.breaks_after.map(|(events, _)| last + events),
        };
        let total = self.total(request);
        for id in last + 1..=total {
            if ends_after == Some(id - 1) {
                if matches!(self.fault, TargetFault::StallUnresumedAfter(_)) {
                    conn.wait_for_close().await;
                    return Err(io::ErrorKind::BrokenPipe.into());
                }
                if matches!(self.breaks_after, Some((_, false))) {
                    return Ok(());
                }
                // the stream breaks off within the next event
                return match self.framing {
                    StreamFraming::Chunked => conn.write(b"10\r\nid: ").await,
                    StreamFraming::UntilClose => conn.write(b"id: ").await,
                };
            }
            if !self.sequence.is_running() {
                // preemption frees the request's memory, so its prompt needs another prefill
                while_connected(conn, self.run_prefill(prefill)).await?;
            }
            let event = match &self.writer {
                Some(writer) => format!("id: {id}\ndata: {writer}/{id}/{total}\n\n"),
                None => format!("id: {id}\ndata: token-{id}\n\n"),
            };
            let mut rest = event.as_str();
            if self.writer.is_some() && id % PARTED_EVENT == 0 {
                let (start, end) = event.split_at(event.len() / 2);
                self.write_part(conn, start).await?;
                while_connected(conn, tokio::time::sleep(self.conf.event_interval)).await?;
                rest = end;
            }
            self.write_part(conn, rest).await?;
            self.shared.state.lock().executed_requests[self.index].events += 1;
            self.pause_after(conn, id).await?;
            let step = self.conf.event_interval + Duration::from_micros(self.batch.step_us());
            while_connected(conn, tokio::time::sleep(step)).await?;
        }
        match self.framing {
            StreamFraming::Chunked => conn.write(b"0\r\n\r\n").await,
            StreamFraming::UntilClose => Ok(()),
        }
    }

    // a request names the number of its events where they name their writer
    fn total(&self, request: &RawRequest) -> u64 {
        let tokens = request.header("token-count").and_then(|text| text.split_once(','));
        let asked = tokens.and_then(|(_, answer)| answer.trim().parse().ok());
        asked.filter(|_| self.writer.is_some()).unwrap_or(self.conf.events_per_stream)
    }

    async fn write_part(&self, conn: &mut RawConn, part: &str) -> io::Result<()> {
        match self.framing {
            StreamFraming::Chunked => {
                conn.write(format!("{:x}\r\n{part}\r\n", part.len()).as_bytes()).await
            }
            StreamFraming::UntilClose => conn.write(part.as_bytes()).await,
        }
    }

    async fn pause_after(&self, conn: &RawConn, event: u64) -> io::Result<()> {
        match self.fault {
            TargetFault::PauseAfter { events, ms } if events == event => {
                while_connected(conn, tokio::time::sleep(Duration::from_millis(ms))).await
            }
            _ => Ok(()),
        }
    }

    async fn run_prefill(&self, prefill: Duration) {
        self.sequence.wait_until_running().await;
        tokio::time::sleep(prefill).await;
    }
}

// any readable byte or end of stream counts as a disconnect
pub(super) async fn while_connected(
    conn: &RawConn,
    work: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut byte = [0; 1];
    tokio::select! {
        () = work => Ok(()),
        _ = conn.stream.peek(&mut byte) => Err(io::ErrorKind::BrokenPipe.into()),
    }
}
