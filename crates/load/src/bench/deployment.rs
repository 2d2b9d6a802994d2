//! A deployment in virtual time: the core's slots and permits, with fake engines around them.

use {
    super::{
        BenchPolicy, default_weights,
        engine::FakeEngine,
        outcome::Outcome,
        trace::{Arrival, Trace},
    },
    crate::{cli::Fault, live::LoadShape},
    egret_core::{
        Effect, EngineLimits, EngineSlots, EngineView, EngineViews, Fingerprint, Grant, LoadOrder,
        LoadResult, ModelName, OrderKind, Permits, PlacementRequest, RequestKey, SlotSettings,
        TicketEnd, TicketRequest, Time, WeightStoreLimits, Weights, choose_engine, mix_hashes,
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
    std::time::Instant,
};

/// Step of the virtual time.
pub(super) const TIME_STEP_MS: u64 = 5;
/// Virtual time between two checks of the queues, as in the keeper.
const TICK_MS: u64 = 20;
/// Virtual time between two updates of the entries' views.
const HEARTBEAT_MS: u64 = 200;
/// Number of entries, each with its own views.
const ENTRY_COUNT: usize = 4;
const ADAPTER_SLOTS: usize = 16;
/// Sequences that an engine runs at once.
const BATCH_MAX: usize = 8;
/// Duration of a load at full speed.
const LOAD_MS: u64 = 250;
/// Duration of an unload.
const UNLOAD_MS: u64 = 10;

const WEIGHT_STORE_LIMITS: WeightStoreLimits =
    WeightStoreLimits { in_transit_max: 8, loads_per_1000_s: 4000, load_timeout_ms: 2000 };

pub(super) struct EngineNode {
    pub(super) name: FastStr,
    pub(super) slots: EngineSlots,
    pub(super) engine: FakeEngine,
    pub(super) lost: bool,
    // no load starts earlier: no keeper owns the engine until then
    pub(super) can_load_at: Time,
    pub(super) epoch: u64,
}

/// A deployment in virtual time.
pub(crate) struct Deployment {
    policy: BenchPolicy,
    weights: Weights,
    pub(super) fault: Fault,
    pub(super) nodes: Vec<EngineNode>,
    pub(super) views: Vec<EngineViews>,
    permits: Permits,
    // orders in progress: when each ends, and the number of its engine
    pub(super) orders: Vec<(Time, usize, LoadOrder)>,
    // open requests, with the number of the entry that sent each
    pub(super) requests: IndexMap<FastStr, (Arrival, usize)>,
    seen_adapters: IndexSet<usize>,
    pub(super) outcome: Outcome,
    pub(super) now: Time,
    pub(super) end: Time,
}

fn model(adapter: usize) -> ModelName {
    ModelName::new("base".into(), FastStr::from_string(format!("a{adapter}")), 1)
}

impl Deployment {
    /// Creates a deployment of `shape` that follows `policy`.
    pub(crate) fn new(shape: LoadShape, policy: BenchPolicy, fault: Fault) -> Self {
        let engines = match shape {
            LoadShape::Meteora => 9,
            LoadShape::Cronometria => 12,
        };
        let is_weighted = policy.name == "weighted";
        // only the weighted policy gathers requests; the baselines run them as they arrive
        let weights = if is_weighted { default_weights(shape) } else { Weights::default() };
        let cfg = SlotSettings {
            eviction: policy.eviction,
            weights,
            order_timeout_ms: WEIGHT_STORE_LIMITS.load_timeout_ms,
            ..SlotSettings::default()
        };
        let node = |number: usize| EngineNode {
            name: FastStr::from_string(format!("engine-{number}")),
            slots: new_slots(cfg),
            engine: FakeEngine::default(),
            lost: false,
            can_load_at: Time::ZERO,
            epoch: 1,
        };
        let mut permits = Permits::new(WEIGHT_STORE_LIMITS);
        (0..WEIGHT_STORE_LIMITS.in_transit_max)
            .for_each(|number| permits.add_owned(Time::ZERO, number));
        Self {
            policy,
            weights,
            fault,
            nodes: (0..engines).map(node).collect(),
            views: (0..ENTRY_COUNT).map(|_| EngineViews::default()).collect(),
            permits,
            orders: Vec::new(),
            requests: IndexMap::new(),
            seen_adapters: IndexSet::new(),
            outcome: Outcome::default(),
            now: Time::ZERO,
            end: Time::ZERO,
        }
    }

    /// Runs the whole trace, then up to 180 s longer until no request is open.
    pub(crate) fn run(mut self, mut trace: Trace) -> Outcome {
        self.end = trace.end;
        let seconds = usize::try_from(trace.end.as_millis() / 1000).unwrap_or(0);
        self.outcome.stalls_by_second = vec![0; seconds + 1];
        let mut next = trace.next();
        let drain_deadline = trace.end.after_ms(180_000);
        while next.is_some() || (!self.requests.is_empty() && self.now < drain_deadline) {
            self.step();
            while let Some(arrival) = next.filter(|a| a.at <= self.now) {
                self.handle_arrival(arrival);
                next = trace.next();
            }
            self.now = self.now.after_ms(TIME_STEP_MS);
        }
        for node in &self.nodes {
            self.outcome.steps += node.engine.steps;
            self.outcome.sequences += node.engine.sequences;
            self.outcome.adapters += node.engine.adapters;
        }
        if self.fault != Fault::None {
            self.outcome.compute_recovery(seconds / 2);
        }
        self.outcome
    }

    fn step(&mut self) {
        self.inject_fault();
        self.finish_orders();
        for number in 0..self.nodes.len() {
            let done = self.nodes[number].engine.advance(self.now);
            for key in done {
                self.outcome.answered += 1;
                self.requests.swap_remove(&key.request);
                let slots = &mut self.nodes[number].slots;
                let effects = slots.release(self.now, &key, TicketEnd::Done);
                self.apply_effects(number, effects);
            }
        }
        if self.now.as_millis().is_multiple_of(TICK_MS) {
            self.tick();
        }
        if self.now.as_millis().is_multiple_of(HEARTBEAT_MS) {
            self.update_views();
        }
    }

    fn tick(&mut self) {
        for number in 0..self.nodes.len() {
            let can_load = self.now >= self.nodes[number].can_load_at;
            let lost = self.nodes[number].lost;
            let effects = self.nodes[number].slots.tick(self.now, can_load && !lost, lost);
            self.apply_effects(number, effects);
        }
        self.start_loads();
    }

    fn start_loads(&mut self) {
        let mut missing = Vec::new();
        for (number, node) in self.nodes.iter().enumerate() {
            missing.extend(node.slots.missing_adapters().into_iter().map(|m| (number, m)));
        }
        missing.sort_by_key(|(_, m)| (m.class, std::cmp::Reverse(m.waiting), m.since));
        let mut waiting = 0;
        for (number, adapter) in missing {
            let Some(permit) = self.permits.acquire_for_load(self.now, |_| true) else {
                waiting += 1;
                continue;
            };
            let effects = self.nodes[number].slots.begin_load(self.now, &adapter.model, permit);
            if effects.is_empty() {
                self.permits.cancel_acquire(self.now, permit);
            }
            self.apply_effects(number, effects);
        }
        if waiting == 0 && self.policy.name == "weighted" {
            self.prefetch();
        }
        let load_estimate_ms = LOAD_MS
            + waiting * WEIGHT_STORE_LIMITS.start_interval_ms()
                / u64::from(WEIGHT_STORE_LIMITS.in_transit_max);
        for node in &mut self.nodes {
            node.slots.set_load_ms(load_estimate_ms);
        }
    }

    fn prefetch(&mut self) {
        if !self.permits.has_spare_capacity(self.now) {
            return;
        }
        let candidate = self.nodes.iter().enumerate().find_map(|(number, node)| {
            let model = node.slots.prefetch_candidate(self.now)?;
            Some((number, model))
        });
        let Some((number, model)) = candidate else {
            return;
        };
        if let Some(permit) = self.permits.acquire_for_load(self.now, |_| true) {
            let effects = self.nodes[number].slots.begin_load(self.now, &model, permit);
            self.apply_effects(number, effects);
        }
    }

    fn finish_orders(&mut self) {
        let now = self.now;
        let finished: Vec<(Time, usize, LoadOrder)> =
            self.orders.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, number, order) in finished {
            let slots = &mut self.nodes[number].slots;
            let effects = match order.kind {
                OrderKind::Load => slots.finish_load(now, &order.model, LoadResult::Done),
                OrderKind::Unload => slots.finish_unload(now, &order.model, LoadResult::Done),
            };
            self.apply_effects(number, effects);
        }
    }

    pub(super) fn apply_effects(&mut self, number: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(grant) => self.start_granted(number, &grant),
                Effect::Refuse(refusal) => {
                    self.requests.swap_remove(&refusal.key.request);
                    self.outcome.refused += 1;
                    self.count_stall_or_refusal();
                }
                Effect::Order(order) => self.start_order(number, order),
                Effect::FreePermit(permit) => self.permits.release_after_load(self.now, permit),
                Effect::Cancel(_) | Effect::Probe => {}
            }
        }
    }

    fn start_granted(&mut self, number: usize, grant: &Grant) {
        let Some((arrival, _)) = self.requests.get(&grant.key.request).copied() else {
            return;
        };
        if grant.stall_ms > 0 {
            self.outcome.stalled += 1;
            self.outcome.stall_ms.push(grant.stall_ms);
            self.outcome.stalled_live +=
                u64::from(arrival.class == egret_core::PriorityClass::Live);
            self.count_stall_or_refusal();
        }
        self.outcome.late += u64::from(self.now > arrival.deadline);
        let engine = &mut self.nodes[number].engine;
        engine.start(self.now, grant.key.clone(), model(arrival.adapter), arrival.tokens);
    }

    fn start_order(&mut self, number: usize, order: LoadOrder) {
        let duration_ms = match order.kind {
            OrderKind::Load => {
                self.outcome.loads += 1;
                LOAD_MS * self.load_time_factor()
            }
            OrderKind::Unload => UNLOAD_MS,
        };
        self.orders.push((self.now.after_ms(duration_ms), number, order));
        let loads = self.orders.iter().filter(|(_, _, o)| o.kind == OrderKind::Load).count();
        self.outcome.in_transit_max = self.outcome.in_transit_max.max(loads);
    }

    fn count_stall_or_refusal(&mut self) {
        let second = usize::try_from(self.now.as_millis() / 1000).unwrap_or(0);
        if let Some(count) = self.outcome.stalls_by_second.get_mut(second) {
            *count += 1;
        }
    }

    fn update_views(&mut self) {
        for number in 0..self.nodes.len() {
            let view = self.view(number);
            let name = self.nodes[number].name.clone();
            for views in &mut self.views {
                views.update(&name, view.clone());
            }
        }
    }

    fn view(&self, number: usize) -> EngineView {
        let node = &self.nodes[number];
        let slots = &node.slots;
        let to_u32 = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        EngineView {
            base: "base".into(),
            data_centre: "dc".into(),
            keeper: "keeper".into(),
            fencing_token: slots.fencing_token(),
            batch: to_u32(BATCH_MAX),
            running: to_u32(slots.running()),
            queued: to_u32(slots.queued(self.now)),
            service_ms: slots.service_ms(),
            load_ms: slots.load_ms(),
            can_load: slots.can_load(),
            leaving: node.lost,
            resident: slots.resident().cloned().collect(),
        }
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        self.outcome.requests += 1;
        if self.seen_adapters.insert(arrival.adapter) {
            self.outcome.first_uses += 1;
        }
        let number = usize::try_from(self.outcome.requests).unwrap_or(0);
        let request = FastStr::from_string(number.to_string());
        self.send_request(&request, arrival, number % ENTRY_COUNT, 1);
    }

    pub(super) fn send_request(
        &mut self,
        request: &FastStr,
        arrival: Arrival,
        entry: usize,
        attempt: u32,
    ) {
        let model = model(arrival.adapter);
        let placement_request = PlacementRequest {
            model: &model,
            tried: &[],
            data_centre: "dc",
            remote_cost_ms: 0,
            suspect: None,
            seed: mix_hashes(self.outcome.requests, u64::from(attempt)),
        };
        let start = Instant::now();
        let chosen = choose_engine(
            self.policy.placement,
            &self.weights,
            &self.views[entry],
            &placement_request,
        );
        self.outcome.decision_ns_sum += u64::try_from(start.elapsed().as_nanos()).unwrap_or(0);
        self.outcome.decisions += 1;
        let Some(engine) = chosen else {
            self.outcome.refused += 1;
            return;
        };
        let copies = self.views[entry].engines_with(&model).len();
        self.views[entry].record_sent(&engine, &model);
        let number = self.nodes.iter().position(|n| n.name == engine).unwrap_or(0);
        self.requests.insert(request.clone(), (arrival, entry));
        let ticket_request = TicketRequest {
            key: RequestKey {
                entry: "entry".into(),
                incarnation: 1,
                request: request.clone(),
                attempt,
            },
            model,
            caller: FastStr::from_string(format!("caller-{}", number % 10)),
            class: arrival.class,
            deadline: arrival.deadline,
            fingerprint: Fingerprint(self.outcome.requests),
            suspect: false,
            resident_copies: u32::try_from(copies).unwrap_or(u32::MAX),
        };
        let effects = self.nodes[number].slots.acquire(self.now, ticket_request);
        self.apply_effects(number, effects);
    }
}

fn new_slots(cfg: SlotSettings) -> EngineSlots {
    EngineSlots::new(EngineLimits { adapter_slots: ADAPTER_SLOTS, batch: BATCH_MAX }, cfg, 1)
}
