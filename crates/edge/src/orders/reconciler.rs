//! Reconciles one engine: sends it one order after another, and answers requests for adapters.

use {
    crate::{conf::OrderSettings, state::Edge},
    bytes::Bytes,
    egret_core::{AdapterOrder, EngineInventory, NextOrder, OrderAnswer, Target, Time},
    egret_platform::{
        OrderCall, order_answer, order_body, order_headers, order_path, parse_report, report_path,
    },
    egret_runtime::{ConnPool, events, now, with_deadline},
    faststr::FastStr,
    http::{Method, StatusCode},
    indexmap::IndexMap,
    parking_lot::Mutex,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, oneshot},
};

/// Longest wait for the answer to an order. An engine answers at once, and an order whose answer
/// is lost is sent again.
const ORDER_TIMEOUT_MS: u64 = 50;

/// Longest wait for an engine's report.
const REPORT_TIMEOUT_MS: u64 = 800;

/// Pause while this host has no fencing token for the engine.
const NO_FENCING_TOKEN_PAUSE_MS: u64 = 50;

/// Longest pause of a reconciler that has nothing to do.
const IDLE_MAX_MS: u64 = 1000;

/// Base model loads that all hosts together may order in a window beyond the rate.
const EXTRA_BASE_LOADS: u64 = 3;

/// Brings the adapters loaded on one engine in line with what requests need.
#[derive(Debug)]
pub(crate) struct EngineReconciler {
    pub(crate) engine: FastStr,
    started_unix_ms: u64,
    pub(crate) inventory: Mutex<EngineInventory>,
    wake: Notify,
    waiters: Mutex<Vec<Waiter>>,
    conns: ConnPool,
    is_ended: AtomicBool,
}

#[derive(Debug)]
struct Waiter {
    request: AdapterRequest,
    tx: oneshot::Sender<bool>,
}

/// Reconcilers of the engines that this host owns.
#[derive(Debug, Default)]
pub(crate) struct EngineReconcilers {
    by_engine: Mutex<IndexMap<FastStr, Arc<EngineReconciler>>>,
    recent_base_loads: Mutex<Vec<Time>>,
}

impl EngineReconcilers {
    /// The reconciler of `engine`, if this host owns that engine.
    pub(crate) fn get(&self, engine: &str) -> Option<Arc<EngineReconciler>> {
        self.by_engine.lock().get(engine).cloned()
    }

    /// All reconcilers.
    pub(crate) fn all(&self) -> Vec<Arc<EngineReconciler>> {
        self.by_engine.lock().values().cloned().collect()
    }
}

/// Starts reconcilers for engines that this host has newly claimed, and ends those of engines that
/// it no longer owns.
pub(crate) fn update_reconcilers(edge: &Arc<Edge>, engines: &[Arc<Target>]) {
    let routing = edge.routing();
    let own_engines: Vec<&Arc<Target>> = {
        let owners = edge.engine_owners.lock();
        engines.iter().filter(|engine| owners.is_owner(&engine.id)).collect()
    };
    let hosts = edge.budget_host_count();
    edge.load_limit.lock().initialize_for_engines(engines.len());
    let mut reconcilers = edge.reconcilers.by_engine.lock();
    reconcilers.retain(|engine, reconciler| {
        // an engine that restarted under the same id has lost its adapters
        let is_same_process =
            |t: &&Arc<Target>| t.id == *engine && t.started_unix_ms == reconciler.started_unix_ms;
        let is_owned = own_engines.iter().any(is_same_process);
        if !is_owned {
            reconciler.is_ended.store(true, Ordering::Release);
            reconciler.wake.notify_one();
        }
        is_owned
    });
    for target in own_engines {
        let service = routing.services().get(&target.service);
        let Some(engine_traits) = service.and_then(|s| s.engine.as_ref()) else {
            continue;
        };
        if reconcilers.contains_key(&target.id) {
            continue;
        }
        let slots = usize::try_from(engine_traits.adapter_slots).unwrap_or(0);
        let reconciler = Arc::new(EngineReconciler {
            engine: target.id.clone(),
            started_unix_ms: target.started_unix_ms,
            inventory: Mutex::new(EngineInventory::new(slots, engine_traits.models.clone())),
            wake: Notify::new(),
            waiters: Mutex::default(),
            conns: ConnPool::new(target.address),
            is_ended: AtomicBool::new(false),
        });
        reconcilers.insert(target.id.clone(), reconciler.clone());
        events::OWNERSHIP_CHANGED.info(format_args!("engine={} held=true", target.id));
        let base_load_max =
            base_loads_max(&edge.cfg.orders, engine_traits.loads_per_s_milli, hosts);
        tokio::spawn(reconcile(edge.clone(), reconciler, base_load_max));
    }
}

/// Adapter loads in progress on the engines of this host.
pub(crate) fn own_loads_in_progress(edge: &Edge) -> usize {
    edge.reconcilers
        .all()
        .iter()
        .map(|reconciler| reconciler.inventory.lock().loading_count())
        .sum()
}

/// Adapter loads wanted on the engines of this host, including those in progress.
pub(crate) fn own_loads_wanted(edge: &Edge) -> usize {
    edge.reconcilers
        .all()
        .iter()
        .map(|reconciler| reconciler.inventory.lock().cold_loads_wanted())
        .sum()
}

/// Known adapter loads in progress on all engines.
pub(crate) fn all_loads_in_progress(edge: &Edge) -> usize {
    own_loads_in_progress(edge) + edge.peers.lock().loads_in_progress()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn base_loads_max(orders: &OrderSettings, loads_per_s_milli: u64, hosts: u64) -> usize {
    let rated = loads_per_s_milli as f64 / 1000.0 * orders.ceiling_window_s;
    let all = (rated * orders.ceiling_over) as u64 + EXTRA_BASE_LOADS;
    usize::try_from(all / hosts).unwrap_or(1).max(1)
}

/// A request for an adapter on an engine.
#[derive(Clone, Debug)]
pub(crate) struct AdapterRequest {
    /// Adapter name, including its base model.
    pub(crate) adapter: FastStr,
    /// Oldest acceptable version.
    pub(crate) min_version: Option<u64>,
    /// Time at which the load becomes late.
    pub(crate) due_at: Time,
    /// Time after which the load is of no use.
    pub(crate) deadline: Time,
}

/// Requests an adapter on an engine of this host. Returns true once the adapter is loaded.
pub(crate) async fn load_on_own_engine(
    edge: &Arc<Edge>,
    engine: &str,
    request: &AdapterRequest,
) -> bool {
    let Some(reconciler) = edge.reconcilers.get(engine) else {
        return false;
    };
    let (tx, rx) = oneshot::channel();
    let is_cut_off = edge.is_cut_off_from(engine);
    {
        let mut inventory = reconciler.inventory.lock();
        if inventory.is_resident(&request.adapter, request.min_version) {
            inventory.mark_used(now(), &request.adapter);
            return true;
        }
        if is_cut_off {
            return false;
        }
        inventory.request_load(now(), &request.adapter, request.min_version, request.due_at);
    }
    reconciler.waiters.lock().push(Waiter { request: request.clone(), tx });
    reconciler.wake.notify_one();
    with_deadline(request.deadline, rx).await.is_some_and(|answer| answer.unwrap_or(false))
}

/// Records that an engine of this host refused a request because it lacks an adapter.
pub(crate) fn record_missing_adapter(edge: &Edge, engine: &str, adapter: &str) {
    if let Some(reconciler) = edge.reconcilers.get(engine) {
        reconciler.inventory.lock().mark_missing(now(), adapter);
        reconciler.wake.notify_one();
    }
}

async fn reconcile(edge: Arc<Edge>, reconciler: Arc<EngineReconciler>, base_load_max: usize) {
    while !reconciler.is_ended.load(Ordering::Acquire) {
        let Some(fencing_token) =
            edge.engine_owners.lock().order_fencing_token(now(), &reconciler.engine)
        else {
            reconciler.answer_waiters(now());
            tokio::time::sleep(Duration::from_millis(NO_FENCING_TOKEN_PAUSE_MS)).await;
            continue;
        };
        match reconciler.next_order(&edge, base_load_max) {
            NextOrder::WaitUntil(at) => reconciler.wait(at).await,
            NextOrder::Report => reconciler.fetch_report().await,
            NextOrder::Order(order) => reconciler.send_order(&edge, &order, fencing_token).await,
        }
        reconciler.answer_waiters(now());
    }
    reconciler.waiters.lock().clear();
    events::OWNERSHIP_CHANGED.info(format_args!("engine={} held=false", reconciler.engine));
}

impl EngineReconciler {
    fn next_order(&self, edge: &Edge, base_load_max: usize) -> NextOrder {
        let now = now();
        let (in_progress, wanted) = (own_loads_in_progress(edge), own_loads_wanted(edge));
        let resident: Vec<FastStr> = self.inventory.lock().resident().keys().cloned().collect();
        let (wanted_by_peers, used_by_peers) = {
            let peers = edge.peers.lock();
            let used =
                resident.into_iter().filter(|adapter| peers.uses_adapter(&self.engine, adapter));
            (peers.loads_wanted(), used.collect::<Vec<FastStr>>())
        };
        let used_here: Vec<FastStr> = {
            let activity = edge.target_activity.lock();
            activity
                .get(&self.engine)
                .map(|entry| entry.adapters.keys().cloned().collect())
                .unwrap_or_default()
        };
        let load_allowance = edge
            .load_limit
            .lock()
            .share_of_host(wanted, wanted_by_peers)
            .saturating_sub(in_progress);
        let may_load_base = {
            let mut loads = edge.reconcilers.recent_base_loads.lock();
            let window_ms = edge.cfg.orders.ceiling_window_ms();
            loads.retain(|at| now.ms_since(*at) <= window_ms);
            loads.len() < base_load_max
        };
        let is_in_use =
            |adapter: &str| used_here.iter().chain(&used_by_peers).any(|a| a == adapter);
        let mut inventory = self.inventory.lock();
        for adapter in used_here.iter().chain(&used_by_peers) {
            inventory.mark_used(now, adapter);
        }
        inventory.next_order(now, is_in_use, load_allowance, may_load_base)
    }

    async fn wait(&self, at: Time) {
        let wait_ms = now().ms_until(at).min(IDLE_MAX_MS);
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), self.wake.notified()).await;
    }

    async fn fetch_report(&self) {
        let deadline = now().after_ms(REPORT_TIMEOUT_MS);
        let headers = order_headers(&self.engine);
        let reply =
            self.conns.call(Method::GET, report_path(), headers, Bytes::new(), deadline).await;
        let report = match &reply {
            Ok(reply) if reply.status == StatusCode::OK => parse_report(&reply.body).ok(),
            _ => None,
        };
        let mut inventory = self.inventory.lock();
        let Some(report) = report else {
            events::ENGINE_UNREACHABLE.warn(format_args!("engine={} gave no report", self.engine));
            inventory.mark_report_failed(now());
            drop(inventory);
            // waiting requests can have the adapter loaded on another engine
            self.waiters.lock().clear();
            return;
        };
        events::ENGINE_REPORTED.info(format_args!(
            "engine={} seq={} adapters={} pending={} models={}",
            self.engine,
            report.seq,
            report.adapters.len(),
            report.pending.len(),
            report.models.len()
        ));
        inventory.apply_report(now(), report);
    }

    async fn send_order(&self, edge: &Edge, order: &AdapterOrder, fencing_token: u64) {
        let (seq, is_poll) = {
            let inventory = self.inventory.lock();
            (inventory.seq(), inventory.is_status_check(order))
        };
        if matches!(order, AdapterOrder::LoadBase { .. }) {
            edge.reconcilers.recent_base_loads.lock().push(now());
        }
        let call = OrderCall { order, seq, host: &edge.cfg.host, fencing_token };
        let deadline = now().after_ms(ORDER_TIMEOUT_MS);
        let headers = order_headers(&self.engine);
        let reply =
            self.conns.call(Method::POST, order_path(), headers, order_body(&call), deadline).await;
        let answer = match &reply {
            Ok(reply) => order_answer(reply.status),
            Err(_) => OrderAnswer::NoAnswer,
        };
        let code = reply.map_or(0, |reply| reply.status.as_u16());
        let fields = format_args!(
            "engine={} order={order:?} seq={seq} fence={fencing_token} status={code}",
            self.engine
        );
        // an order that only polls an earlier one changes nothing
        if is_poll {
            events::ORDER_DONE.debug(fields);
        } else {
            events::ORDER_DONE.info(fields);
        }
        edge.counts.orders.get_or_create(&vec![("status", code.to_string())]).inc();
        match answer {
            OrderAnswer::Fenced => {
                events::ORDER_FENCED
                    .warn(format_args!("engine={} fence={fencing_token}", self.engine));
                edge.engine_owners.lock().record_refusal(&self.engine, fencing_token);
            }
            OrderAnswer::Rejected | OrderAnswer::NoAnswer => events::ORDER_FAILED.warn(
                format_args!("engine={} order={order:?} seq={seq} status={code}", self.engine),
            ),
            _ => {}
        }
        self.record_load_time(edge, order, answer);
        let (cold_load_ms, early_check_every) = {
            let limit = edge.load_limit.lock();
            (limit.full_speed_ms(), limit.early_check_every())
        };
        let mut inventory = self.inventory.lock();
        inventory.set_cold_load_ms(cold_load_ms, early_check_every);
        inventory.apply_answer(now(), order, answer);
        drop(inventory);
        if let (AdapterOrder::Load { adapter, .. }, OrderAnswer::Done) = (order, answer) {
            edge.local_copies.lock().record_resident(&self.engine, std::iter::once(adapter));
        }
    }

    // load times show how many loads the weight store serves at full speed
    fn record_load_time(&self, edge: &Edge, order: &AdapterOrder, answer: OrderAnswer) {
        let now = now();
        let Some(took_ms) = self.inventory.lock().cold_loading_for_ms(now, order) else {
            return;
        };
        match answer {
            OrderAnswer::Done => {
                let (wanted_here, wanted_by_peers) =
                    (own_loads_wanted(edge), edge.peers.lock().loads_wanted());
                let in_progress = all_loads_in_progress(edge);
                let mut limit = edge.load_limit.lock();
                let held_back = wanted_here > limit.share_of_host(wanted_here, wanted_by_peers);
                limit.record_finished_load(now, took_ms, in_progress, held_back);
            }
            OrderAnswer::Accepted => edge.load_limit.lock().record_unfinished_load(now, took_ms),
            _ => {}
        }
    }

    // answers the waiters whose adapter is loaded or whose deadline has passed
    fn answer_waiters(&self, now: Time) {
        let waiting = std::mem::take(&mut *self.waiters.lock());
        let mut remaining = Vec::new();
        for waiter in waiting {
            if self
                .inventory
                .lock()
                .is_resident(&waiter.request.adapter, waiter.request.min_version)
            {
                let _ = waiter.tx.send(true);
            } else if now >= waiter.request.deadline || waiter.tx.is_closed() {
                let _ = waiter.tx.send(false);
            } else {
                remaining.push(waiter);
            }
        }
        self.waiters.lock().extend(remaining);
    }
}
