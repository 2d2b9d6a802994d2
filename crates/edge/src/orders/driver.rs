//! Gives orders to one engine, one after the other.

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

/// Time in which an engine answers an order, in milliseconds; it answers at once, and an order
/// whose answer is lost is given again.
const ORDER_MS: u64 = 50;

/// Time in which an engine answers a question for its report, in milliseconds.
const REPORT_MS: u64 = 800;

/// Pause while this host may not order, in milliseconds.
const NO_RIGHT_MS: u64 = 50;

/// Longest pause of a driver that has nothing to do, in milliseconds.
const IDLE_MS: u64 = 1000;

/// Loads of base models allowed in a window beyond the rate, over all hosts.
const BASE_EXTRA: u64 = 3;

/// Orders one engine.
#[derive(Debug)]
pub(crate) struct Driver {
    pub(crate) engine: FastStr,
    born_ms: u64,
    pub(crate) book: Mutex<EngineInventory>,
    wake: Notify,
    waiting: Mutex<Vec<Waiting>>,
    conns: ConnPool,
    ended: AtomicBool,
}

#[derive(Debug)]
struct Waiting {
    wish: Wish,
    tx: oneshot::Sender<bool>,
}

/// Drivers of the engines that this host holds.
#[derive(Debug, Default)]
pub(crate) struct Drivers {
    by_engine: Mutex<IndexMap<FastStr, Arc<Driver>>>,
    base_loads: Mutex<Vec<Time>>,
}

impl Drivers {
    /// The driver of `engine`, if this host holds it.
    pub(crate) fn get(&self, engine: &str) -> Option<Arc<Driver>> {
        self.by_engine.lock().get(engine).cloned()
    }

    /// All drivers.
    pub(crate) fn all(&self) -> Vec<Arc<Driver>> {
        self.by_engine.lock().values().cloned().collect()
    }
}

/// Starts drivers for engines that this host has come to hold, and ends the others.
pub(crate) fn keep_drivers(edge: &Arc<Edge>, engines: &[Arc<Target>]) {
    let routing = edge.routing();
    let mine: Vec<&Arc<Target>> = {
        let tenure = edge.tenure.lock();
        engines.iter().filter(|engine| tenure.is_owner(&engine.id)).collect()
    };
    let hosts = edge.hosts();
    edge.transit.lock().initialize_for_engines(engines.len());
    let mut drivers = edge.drivers.by_engine.lock();
    drivers.retain(|engine, driver| {
        // an engine that has started again under its id holds nothing of before
        let same = |t: &&Arc<Target>| t.id == *engine && t.started_unix_ms == driver.born_ms;
        let keep = mine.iter().any(same);
        if !keep {
            driver.ended.store(true, Ordering::Release);
            driver.wake.notify_one();
        }
        keep
    });
    for target in mine {
        let service = routing.services().get(&target.service);
        let Some(traits) = service.and_then(|s| s.engine.as_ref()) else {
            continue;
        };
        if drivers.contains_key(&target.id) {
            continue;
        }
        let slots = usize::try_from(traits.adapter_slots).unwrap_or(0);
        let driver = Arc::new(Driver {
            engine: target.id.clone(),
            born_ms: target.started_unix_ms,
            book: Mutex::new(EngineInventory::new(slots, traits.models.clone())),
            wake: Notify::new(),
            waiting: Mutex::default(),
            conns: ConnPool::new(target.address),
            ended: AtomicBool::new(false),
        });
        drivers.insert(target.id.clone(), driver.clone());
        events::OWNERSHIP_CHANGED.info(format_args!("engine={} held=true", target.id));
        let base_max = base_loads_max(&edge.cfg.orders, traits.loads_per_s_milli, hosts);
        tokio::spawn(drive(edge.clone(), driver, base_max));
    }
}

/// Adapters on their way to the engines that this host orders.
pub(crate) fn own_transit(edge: &Edge) -> usize {
    edge.drivers.all().iter().map(|driver| driver.book.lock().loading_count()).sum()
}

/// Adapters that the engines which this host orders are to load, those under way included.
pub(crate) fn own_wanted(edge: &Edge) -> usize {
    edge.drivers.all().iter().map(|driver| driver.book.lock().cold_load_demand()).sum()
}

/// Adapters on their way to all engines, as far as is known.
pub(crate) fn in_transit(edge: &Edge) -> usize {
    own_transit(edge) + edge.peers.lock().transit()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn base_loads_max(orders: &OrderSettings, loads_per_s_milli: u64, hosts: u64) -> usize {
    let rated = loads_per_s_milli as f64 / 1000.0 * orders.ceiling_window_s as f64;
    let all = (rated * orders.ceiling_over) as u64 + BASE_EXTRA;
    usize::try_from(all / hosts).unwrap_or(1).max(1)
}

/// An adapter that a request needs at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Wish {
    /// Its name with its base model.
    pub(crate) adapter: FastStr,
    /// Oldest version that will do.
    pub(crate) version: Option<u64>,
    /// When it is late.
    pub(crate) aim: Time,
    /// When it is of no use any more.
    pub(crate) deadline: Time,
}

/// Has an adapter loaded at an engine that this host orders; true once it is there.
pub(crate) async fn load_here(edge: &Arc<Edge>, engine: &str, wish: &Wish) -> bool {
    let Some(driver) = edge.drivers.get(engine) else {
        return false;
    };
    let (tx, rx) = oneshot::channel();
    {
        let mut book = driver.book.lock();
        if book.is_resident(&wish.adapter, wish.version) {
            book.mark_used(now(), &wish.adapter);
            return true;
        }
        book.request_load(now(), &wish.adapter, wish.version, wish.aim);
    }
    driver.waiting.lock().push(Waiting { wish: wish.clone(), tx });
    driver.wake.notify_one();
    with_deadline(wish.deadline, rx).await.is_some_and(|answer| answer.unwrap_or(false))
}

/// Notes that an engine which this host orders has refused a request since it lacks an adapter.
pub(crate) fn missing_here(edge: &Edge, engine: &str, adapter: &str) {
    if let Some(driver) = edge.drivers.get(engine) {
        driver.book.lock().mark_missing(now(), adapter);
        driver.wake.notify_one();
    }
}

async fn drive(edge: Arc<Edge>, driver: Arc<Driver>, base_max: usize) {
    while !driver.ended.load(Ordering::Acquire) {
        let Some(fence) = edge.tenure.lock().order_fence(now(), &driver.engine) else {
            driver.settle(now());
            tokio::time::sleep(Duration::from_millis(NO_RIGHT_MS)).await;
            continue;
        };
        match driver.next(&edge, base_max) {
            NextOrder::WaitUntil(at) => driver.wait(at).await,
            NextOrder::Report => driver.report().await,
            NextOrder::Order(order) => driver.order(&edge, &order, fence).await,
        }
        driver.settle(now());
    }
    driver.waiting.lock().clear();
    events::OWNERSHIP_CHANGED.info(format_args!("engine={} held=false", driver.engine));
}

impl Driver {
    fn next(&self, edge: &Edge, base_max: usize) -> NextOrder {
        let now = now();
        let (in_transit, wanted) = (own_transit(edge), own_wanted(edge));
        let held: Vec<FastStr> = self.book.lock().held().keys().cloned().collect();
        let (theirs, in_use) = {
            let peers = edge.peers.lock();
            let used = held.into_iter().filter(|adapter| peers.uses(&self.engine, adapter));
            (peers.wanted(), used.collect::<Vec<FastStr>>())
        };
        let mine: Vec<FastStr> = {
            let at_targets = edge.at_targets.lock();
            at_targets
                .get(&self.engine)
                .map(|at| at.adapters.keys().cloned().collect())
                .unwrap_or_default()
        };
        let room = edge.transit.lock().share_of_host(wanted, theirs).saturating_sub(in_transit);
        let base_room = {
            let mut loads = edge.drivers.base_loads.lock();
            let window = edge.cfg.orders.ceiling_window_s * 1000;
            loads.retain(|at| now.ms_since(*at) <= window);
            loads.len() < base_max
        };
        let busy = |adapter: &str| mine.iter().chain(&in_use).any(|a| a == adapter);
        let mut book = self.book.lock();
        for adapter in mine.iter().chain(&in_use) {
            book.mark_used(now, adapter);
        }
        book.next_order(now, busy, room, base_room)
    }

    async fn wait(&self, at: Time) {
        let left = now().ms_until(at).min(IDLE_MS);
        let _ = tokio::time::timeout(Duration::from_millis(left), self.wake.notified()).await;
    }

    async fn report(&self) {
        let deadline = now().after_ms(REPORT_MS);
        let headers = order_headers(&self.engine);
        let reply =
            self.conns.call(Method::GET, report_path(), headers, Bytes::new(), deadline).await;
        let report = match &reply {
            Ok(reply) if reply.status == StatusCode::OK => parse_report(&reply.body).ok(),
            _ => None,
        };
        let mut book = self.book.lock();
        let Some(report) = report else {
            events::ENGINE_UNREACHABLE.warn(format_args!("engine={} no report", self.engine));
            book.mark_report_failed(now());
            drop(book);
            // those who wait have it loaded elsewhere
            self.waiting.lock().clear();
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
        book.apply_report(now(), report);
    }

    async fn order(&self, edge: &Edge, order: &AdapterOrder, fence: u64) {
        let (seq, look) = {
            let book = self.book.lock();
            (book.seq(), book.is_status_check(order))
        };
        if matches!(order, AdapterOrder::LoadBase { .. }) {
            edge.drivers.base_loads.lock().push(now());
        }
        let call = OrderCall { order, seq, host: &edge.cfg.host, fencing_token: fence };
        let deadline = now().after_ms(ORDER_MS);
        let headers = order_headers(&self.engine);
        let reply =
            self.conns.call(Method::POST, order_path(), headers, order_body(&call), deadline).await;
        let answer = match &reply {
            Ok(reply) => order_answer(reply.status),
            Err(_) => OrderAnswer::NoAnswer,
        };
        let code = reply.map_or(0, |reply| reply.status.as_u16());
        let fields = format_args!(
            "engine={} order={order:?} seq={seq} fence={fence} status={code}",
            self.engine
        );
        // looks at loads that are under way change nothing
        if look {
            events::ORDER_DONE.debug(fields);
        } else {
            events::ORDER_DONE.info(fields);
        }
        edge.counts.orders.get_or_create(&vec![("status", code.to_string())]).inc();
        match answer {
            OrderAnswer::Fenced => {
                events::ORDER_FENCED.warn(format_args!("engine={} fence={fence}", self.engine));
                edge.tenure.lock().record_refusal(&self.engine, fence);
            }
            OrderAnswer::Rejected | OrderAnswer::NoAnswer => events::ORDER_FAILED.warn(
                format_args!("engine={} order={order:?} seq={seq} status={code}", self.engine),
            ),
            _ => {}
        }
        self.time_load(edge, order, answer);
        self.book.lock().apply_answer(now(), order, answer);
        if let (AdapterOrder::Load { adapter, .. }, OrderAnswer::Done) = (order, answer) {
            edge.homes.lock().record_resident(&self.engine, std::iter::once(adapter));
        }
    }

    // how long loads take tells how many the weight store serves
    fn time_load(&self, edge: &Edge, order: &AdapterOrder, answer: OrderAnswer) {
        let now = now();
        let Some(took_ms) = self.book.lock().loading_for_ms(now, order) else {
            return;
        };
        match answer {
            OrderAnswer::Done => {
                let (mine, theirs) = (own_wanted(edge), edge.peers.lock().wanted());
                let in_transit = in_transit(edge);
                let mut transit = edge.transit.lock();
                let held_back = mine > transit.share_of_host(mine, theirs);
                transit.record_finished_load(now, took_ms, in_transit, held_back);
            }
            OrderAnswer::Accepted => edge.transit.lock().record_unfinished_load(now, took_ms),
            _ => {}
        }
    }

    // answers those who wait for an adapter that is there, and those whose time is over
    fn settle(&self, now: Time) {
        let waiting = std::mem::take(&mut *self.waiting.lock());
        let mut still = Vec::new();
        for one in waiting {
            if self.book.lock().is_resident(&one.wish.adapter, one.wish.version) {
                let _ = one.tx.send(true);
            } else if now >= one.wish.deadline || one.tx.is_closed() {
                let _ = one.tx.send(false);
            } else {
                still.push(one);
            }
        }
        self.waiting.lock().extend(still);
    }
}
