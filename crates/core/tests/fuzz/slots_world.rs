//! Keepers, entries and engines with frozen processes, kills, lost answers, log outages and
//! stale views.
//!
//! The oracle is the engine: it knows what runs. Promises: an adapter that serves is never
//! unloaded; two keepers never have the right to the same resource at once; loads in transit
//! never exceed the permits.

use {
    crate::support::Command,
    egret_core::{
        ClaimRecord, Class, Effect, EngineLimits, EngineSlots, Fingerprint, LoadOrder, LoadResult,
        ModelName, OrderKind, Ownership, OwnershipTimes, Permits, RequestKey, Resource,
        SlotSettings, StoreLimits, TicketEnd, Time, Waiting,
    },
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

const KEEPERS: usize = 3;
const ENTRIES: usize = 2;
const ENGINES: usize = 2;
const MODELS: u8 = 4;
const PERMITS: u16 = 2;
const LOAD_TIMEOUT_MS: u64 = 2000;

/// What a sequence found, and its commands.
pub(crate) type Found = (&'static str, &'static [(u8, u8, u8, u8)]);

/// Sequences that once broke a promise.
pub(crate) const FOUND: &[Found] = &[
    (
        "a holder that gave a resource up ordered until it read its own record",
        &[(64, 0, 187, 110), (8, 0, 128, 230), (64, 2, 234, 69)],
    ),
    (
        "a holder that still waited for an earlier one's right gave the resource up without a wait",
        &[
            (64, 0, 12, 209),
            (64, 2, 134, 3),
            (50, 1, 223, 103),
            (8, 2, 153, 150),
            (8, 1, 32, 97),
            (50, 1, 255, 255),
            (1, 1, 8, 41),
        ],
    ),
];

const TIMES: OwnershipTimes = OwnershipTimes {
    right_ms: 3000,
    margin_ms: 300,
    load_timeout_ms: LOAD_TIMEOUT_MS,
    claim_retry_ms: 1000,
};

const LIMITS: StoreLimits = StoreLimits {
    in_transit_max: PERMITS,
    loads_per_1000_s: 100_000,
    load_timeout_ms: LOAD_TIMEOUT_MS,
};

struct Engine {
    checks_fence: bool,
    fence: u64,
    epoch: u64,
    resident: IndexSet<ModelName>,
    running: IndexMap<RequestKey, ModelName>,
}

/// An order on its way to an engine or being carried out there.
struct Flight {
    keeper: usize,
    incarnation: u64,
    engine: usize,
    order: LoadOrder,
}

/// An answer on its way back.
struct Answer {
    engine: usize,
    order: LoadOrder,
    result: LoadResult,
}

struct Keeper {
    own: Ownership,
    shards: IndexMap<usize, EngineSlots>,
    permits: Permits,
    orders: Vec<(usize, LoadOrder)>,
    answers: Vec<Answer>,
    read_to: u64,
    alive: bool,
    frozen: bool,
    incarnation: u64,
}

/// A grant that reached an entry, or a request that runs under one.
#[derive(Clone)]
struct Open {
    key: RequestKey,
    engine: usize,
    fence: u64,
    model: ModelName,
}

#[derive(Default)]
struct Entry {
    incarnation: u64,
    /// True once it knows which claims stand, so that it starts nothing under an older one.
    informed: bool,
    frozen: bool,
    promised: IndexMap<usize, u64>,
    inbox: Vec<Open>,
    running: Vec<Open>,
    requests: u64,
}

struct World {
    now: Time,
    log: Vec<ClaimRecord>,
    log_up: bool,
    keepers: Vec<Keeper>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    flights: Vec<Flight>,
    problem: Option<String>,
}

pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::new();
    for command in commands {
        world.step(*command);
        world.check();
        if let Some(problem) = world.problem.take() {
            return Err(problem);
        }
    }
    Ok(())
}

fn name(prefix: &str, number: usize) -> FastStr {
    FastStr::from_string(format!("{prefix}-{number}"))
}

fn model(number: u8) -> ModelName {
    ModelName::new("b".into(), FastStr::from_string(format!("a{}", number % MODELS)), 1)
}

fn resource(engine: usize) -> Resource {
    Resource::Engine(name("engine", engine))
}

fn resources() -> Vec<Resource> {
    let engines = (0..ENGINES).map(resource);
    engines.chain((0..PERMITS).map(Resource::Permit)).collect()
}

fn keeper(number: usize, incarnation: u64) -> Keeper {
    Keeper {
        own: Ownership::new(name("host", number), incarnation, TIMES),
        shards: IndexMap::new(),
        permits: Permits::new(LIMITS),
        orders: Vec::new(),
        answers: Vec::new(),
        read_to: 0,
        alive: true,
        frozen: false,
        incarnation,
    }
}

impl World {
    fn new() -> Self {
        let engine = |number| Engine {
            checks_fence: number == 0,
            fence: 0,
            epoch: 1,
            resident: IndexSet::new(),
            running: IndexMap::new(),
        };
        let entry = || Entry { informed: true, ..Entry::default() };
        let mut world = Self {
            now: Time::from_millis(1000),
            log: Vec::new(),
            log_up: true,
            keepers: (0..KEEPERS).map(|n| keeper(n, 1)).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            flights: Vec::new(),
            problem: None,
        };
        // a settled start, so that short sequences already reach the interesting states
        for _ in 0..3 {
            for k in 0..KEEPERS {
                world.read(k);
                world.plan(k, 0xff);
                world.read(k);
            }
            world.pass(4000);
        }
        for k in 0..KEEPERS {
            world.read(k);
            world.register(k, 0);
            world.register(k, 1);
        }
        world
    }

    fn step(&mut self, command: Command) {
        let k = usize::from(command.who) % KEEPERS;
        let e = usize::from(command.who) % ENTRIES;
        match command.verb % 72 {
            64..=71 => self.take_over(k, command.how),
            40..=49 => {
                let k = self.holder(usize::from(command.how) % ENGINES, command.what);
                self.ask(e, k, command.how);
                if command.what & 0x10 != 0 {
                    self.work(k);
                }
            }
            50..=59 => self.work(k),
            0..=2 => self.pass(u64::from(command.how) * 16 + 1),
            3..=7 => self.read(k),
            8 | 9 => self.plan(k, command.how),
            10..=14 => self.tick(k),
            15..=18 => self.send_order(k, command.what),
            19..=22 => self.carry_out(command.what, command.how),
            23..=27 => self.ask(e, usize::from(command.what) % KEEPERS, command.how),
            28 | 29 => self.register(usize::from(command.what) % KEEPERS, e),
            30 | 31 | 60..=63 => self.finish(e, command.what, command.how),
            32 => self.freeze_keeper(k, command.how),
            33 => self.freeze_entry(e, command.how),
            34 => self.kill_keeper(k, command.how),
            35 => self.kill_entry(e),
            36 => self.log_up = !command.how.is_multiple_of(4),
            37 => self.restart_engine(usize::from(command.what) % ENGINES, command.how),
            38 => self.probe(k, usize::from(command.what) % ENGINES),
            _ => self.lend(k, usize::from(command.what) % KEEPERS),
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        // an engine gives a load up at the order's deadline
        let now = self.now;
        let late = |f: &Flight| now >= f.order.deadline;
        let given_up: Vec<Flight> = self.flights.extract_if(.., |f| late(f)).collect();
        for flight in given_up {
            self.answered(flight, LoadResult::Lost);
        }
    }

    fn read(&mut self, k: usize) {
        if !self.log_up || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let now = self.now;
        let keeper = &mut self.keepers[k];
        let mut changed = Vec::new();
        for offset in keeper.read_to..self.log.len() as u64 {
            changed.extend(keeper.own.observe(now, offset, self.log[offset as usize].clone()));
        }
        keeper.read_to = self.log.len() as u64;
        keeper.own.reached_end(now);
        for resource in changed {
            Self::holding_changed(now, keeper, &resource);
        }
    }

    fn holding_changed(now: Time, keeper: &mut Keeper, changed: &Resource) {
        let fence = keeper.own.fence(changed);
        match (changed, fence) {
            (Resource::Permit(number), Some(_)) => keeper.permits.own(now, *number),
            (Resource::Permit(number), None) => keeper.permits.disown(*number),
            (Resource::Engine(_), fence) => {
                let engine = (0..ENGINES).find(|e| resource(*e) == *changed).unwrap_or(0);
                keeper.shards.shift_remove(&engine);
                keeper.orders.retain(|(e, _)| *e != engine);
                if let Some(fence) = fence {
                    let limits = EngineLimits { adapter_slots: 2, batch: 3 };
                    let cfg = SlotSettings { order_ms: LOAD_TIMEOUT_MS, ..SlotSettings::default() };
                    keeper.shards.insert(engine, EngineSlots::new(limits, cfg, fence));
                }
            }
        }
    }

    fn plan(&mut self, k: usize, how: u8) {
        if !self.log_up || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        // any view of the others is possible
        let seen = |n: &usize| *n == k || how & (1 << n) != 0;
        let live: Vec<FastStr> = (0..KEEPERS).filter(seen).map(|n| name("host", n)).collect();
        let settled = how & 0x80 != 0;
        let records = self.keepers[k].own.plan(self.now, &live, settled, &resources());
        self.log.extend(records);
    }

    /// The entries that the host list shows: all, whether dead, frozen or restarted.
    fn listed() -> IndexSet<FastStr> {
        (0..ENTRIES).map(|e| name("entry", e)).collect()
    }

    fn tick(&mut self, k: usize) {
        if !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let now = self.now;
        for answer in std::mem::take(&mut self.keepers[k].answers) {
            self.take_answer(k, &answer);
        }
        for engine in self.keepers[k].shards.keys().copied().collect::<Vec<_>>() {
            let keeper = &mut self.keepers[k];
            let can_load = keeper.own.may_order(now, &resource(engine)).is_some();
            let slots = &mut keeper.shards[&engine];
            slots.require(Self::listed());
            let mut effects = slots.tick(now, can_load, false);
            for want in slots.wants() {
                let usable = keeper.own.usable_permits(now);
                let Some(permit) = keeper.permits.start(now, |n| usable.contains(&n)) else {
                    break;
                };
                let begun = slots.begin_load(now, &want.model, permit);
                if begun.is_empty() {
                    keeper.permits.not_started(now, permit);
                }
                effects.extend(begun);
            }
            self.effects(k, engine, effects);
        }
    }

    /// A keeper that sees none of the others claims everything and waits for its right.
    fn take_over(&mut self, k: usize, how: u8) {
        self.read(k);
        self.plan(k, 0);
        self.read(k);
        for _ in 0..4 {
            self.pass(u64::from(how) * 8);
            self.read(k);
        }
        for engine in 0..ENGINES {
            self.probe(k, engine);
        }
        for e in 0..ENTRIES {
            if how & (1 << e) != 0 {
                self.register(k, e);
            }
        }
    }

    /// One of the keepers that believe to hold an engine.
    fn holder(&self, engine: usize, what: u8) -> usize {
        let holds = |k: &usize| self.keepers[*k].shards.contains_key(&engine);
        let holders: Vec<usize> = (0..KEEPERS).filter(holds).collect();
        holders.get(usize::from(what) % holders.len().max(1)).copied().unwrap_or(0)
    }

    /// What a keeper does when nothing goes wrong: order, hear, grant.
    fn work(&mut self, k: usize) {
        for _ in 0..3 {
            self.read(k);
            self.tick(k);
            while !self.keepers[k].orders.is_empty() && self.keepers[k].alive {
                let before = self.keepers[k].orders.len();
                self.send_order(k, 0);
                if self.keepers[k].orders.len() >= before {
                    break;
                }
            }
            while !self.flights.is_empty() {
                self.carry_out(0, 1);
            }
            self.pass(50);
        }
        self.tick(k);
    }

    fn effects(&mut self, k: usize, engine: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(grant) => self.granted(k, engine, grant.key, grant.fence),
                Effect::Refuse(_) => {}
                Effect::Order(order) => self.keepers[k].orders.push((engine, order)),
                Effect::Cancel(cancel) => {
                    self.engines[engine].running.shift_remove(&cancel.key);
                    for entry in &mut self.entries {
                        entry.running.retain(|open| open.key != cancel.key);
                    }
                    let now = self.now;
                    if let Some(slots) = self.keepers[k].shards.get_mut(&engine) {
                        let effects = slots.cancelled(now, &cancel.key);
                        self.effects(k, engine, effects);
                    }
                }
                Effect::Probe => self.probe(k, engine),
                Effect::FreePermit(number) => self.keepers[k].permits.finish(self.now, number),
            }
        }
    }

    fn granted(&mut self, k: usize, engine: usize, key: RequestKey, fence: u64) {
        let Some(e) = (0..ENTRIES).find(|e| name("entry", *e) == key.entry) else {
            return;
        };
        if self.entries[e].incarnation != key.incarnation {
            let slots = self.keepers[k].shards.get_mut(&engine).expect("it granted");
            let effects = slots.release(self.now, &key, TicketEnd::Unused);
            self.effects(k, engine, effects);
            return;
        }
        let number: u8 = key.request.bytes().last().unwrap_or(b'0') - b'0';
        let open = Open { key, engine, fence, model: model(number) };
        self.entries[e].inbox.push(open);
        self.start_granted(e);
    }

    /// Starts what was granted, unless a promise forbids it.
    fn start_granted(&mut self, e: usize) {
        if self.entries[e].frozen {
            return;
        }
        for open in std::mem::take(&mut self.entries[e].inbox) {
            let promised = self.entries[e].promised.get(&open.engine).copied().unwrap_or(0);
            if open.fence < promised {
                self.release(&open, TicketEnd::Unused);
                continue;
            }
            let engine = &mut self.engines[open.engine];
            if engine.resident.contains(&open.model) {
                engine.running.insert(open.key.clone(), open.model.clone());
                self.entries[e].running.push(open);
            } else {
                self.release(&open, TicketEnd::NotResident);
            }
        }
    }

    /// Gives a ticket back to every keeper that holds one for it.
    fn release(&mut self, open: &Open, end: TicketEnd) {
        for k in 0..KEEPERS {
            if !self.keepers[k].alive || self.keepers[k].frozen {
                continue;
            }
            let now = self.now;
            if let Some(slots) = self.keepers[k].shards.get_mut(&open.engine) {
                let effects = slots.release(now, &open.key, end);
                self.effects(k, open.engine, effects);
            }
        }
    }

    fn send_order(&mut self, k: usize, what: u8) {
        if !self.keepers[k].alive || self.keepers[k].frozen || self.keepers[k].orders.is_empty() {
            return;
        }
        let index = usize::from(what) % self.keepers[k].orders.len();
        let (engine, order) = self.keepers[k].orders.remove(index);
        let fence = self.keepers[k].own.may_order(self.now, &resource(engine));
        if fence != Some(order.fence) || self.now >= order.deadline {
            self.take_answer(k, &Answer { engine, order, result: LoadResult::Failed });
            return;
        }
        let incarnation = self.keepers[k].incarnation;
        self.flights.push(Flight { keeper: k, incarnation, engine, order });
        // an engine that ignores fencing numbers must not get an order late: the documented hole
        if !self.engines[engine].checks_fence {
            let last = u8::try_from(self.flights.len() - 1).unwrap_or(u8::MAX);
            if self.flights.last().is_some_and(|f| f.order.kind == OrderKind::Unload) {
                self.carry_out(last, 1);
            }
        }
    }

    fn carry_out(&mut self, what: u8, how: u8) {
        if self.flights.is_empty() {
            return;
        }
        let index = usize::from(what) % self.flights.len();
        let flight = self.flights.remove(index);
        let engine = &mut self.engines[flight.engine];
        let order = &flight.order;
        if order.fence < engine.fence && engine.checks_fence {
            self.answered(flight, LoadResult::Fenced);
            return;
        }
        engine.fence = engine.fence.max(order.fence);
        let done = match order.kind {
            OrderKind::Load => {
                let room = engine.resident.len() < 2 && !how.is_multiple_of(7);
                room && engine.resident.insert(order.model.clone())
            }
            OrderKind::Unload => {
                if engine.running.values().any(|m| *m == order.model) {
                    self.problem = Some(format!("unloaded {} while it serves", order.model));
                }
                engine.resident.shift_remove(&order.model);
                true
            }
        };
        let result = if done { LoadResult::Done } else { LoadResult::Failed };
        self.answered(flight, if how.is_multiple_of(5) { LoadResult::Lost } else { result });
    }

    fn answered(&mut self, flight: Flight, result: LoadResult) {
        let keeper = &mut self.keepers[flight.keeper];
        if keeper.alive && keeper.incarnation == flight.incarnation {
            let (engine, order) = (flight.engine, flight.order);
            keeper.answers.push(Answer { engine, order, result });
        }
    }

    fn take_answer(&mut self, k: usize, answer: &Answer) {
        let now = self.now;
        let Some(slots) = self.keepers[k].shards.get_mut(&answer.engine) else {
            return;
        };
        if slots.fence() != answer.order.fence {
            return;
        }
        let effects = match answer.order.kind {
            OrderKind::Load => slots.loaded(now, &answer.order.model, answer.result),
            OrderKind::Unload => slots.unloaded(now, &answer.order.model, answer.result),
        };
        self.effects(k, answer.engine, effects);
    }

    fn ask(&mut self, e: usize, k: usize, how: u8) {
        let ready = self.entries[e].informed && !self.entries[e].frozen;
        if !ready || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let engine = usize::from(how) % ENGINES;
        let number = (how / 2) % MODELS;
        let entry = &mut self.entries[e];
        entry.requests += 1;
        let request = format!("{e}-{}-{}-{number}", entry.incarnation, entry.requests);
        let key = RequestKey {
            entry: name("entry", e),
            incarnation: entry.incarnation,
            request: FastStr::from_string(request),
            attempt: 1,
        };
        let waiting = Waiting {
            key,
            model: model(number),
            caller: "caller".into(),
            class: Class::Interactive,
            deadline: self.now.after_ms(60_000),
            fingerprint: Fingerprint(u64::from(how)),
            suspect: how.is_multiple_of(31),
            copies: 1,
        };
        let (now, incarnation) = (self.now, self.entries[e].incarnation);
        let Some(slots) = self.keepers[k].shards.get_mut(&engine) else {
            return;
        };
        if slots.has_registered(&name("entry", e), incarnation) {
            let effects = slots.acquire(now, waiting);
            self.effects(k, engine, effects);
        }
    }

    fn register(&mut self, k: usize, e: usize) {
        let reached = self.keepers[k].alive && !self.keepers[k].frozen;
        if !reached || self.entries[e].frozen || !self.entries[e].informed {
            return;
        }
        let now = self.now;
        for engine in self.keepers[k].shards.keys().copied().collect::<Vec<_>>() {
            let fence = self.keepers[k].shards[&engine].fence();
            let entry = &mut self.entries[e];
            let promised = entry.promised.entry(engine).or_insert(0);
            *promised = (*promised).max(fence);
            let of_engine = entry.running.iter().filter(|o| o.engine == engine);
            let content = |o: &Open| {
                (o.key.clone(), o.model.clone(), FastStr::from("caller"), Fingerprint(1))
            };
            let open: Vec<_> = of_engine.map(content).collect();
            let incarnation = entry.incarnation;
            let slots = &mut self.keepers[k].shards[&engine];
            let effects = slots.register(now, &name("entry", e), incarnation, open);
            self.effects(k, engine, effects);
        }
    }

    fn finish(&mut self, e: usize, what: u8, how: u8) {
        if self.entries[e].frozen || self.entries[e].running.is_empty() {
            return;
        }
        let index = usize::from(what) % self.entries[e].running.len();
        let open = self.entries[e].running.remove(index);
        self.engines[open.engine].running.shift_remove(&open.key);
        if !how.is_multiple_of(4) {
            self.release(&open, TicketEnd::Done);
        }
    }

    fn freeze_keeper(&mut self, k: usize, how: u8) {
        self.keepers[k].frozen = how.is_multiple_of(2);
    }

    fn freeze_entry(&mut self, e: usize, how: u8) {
        self.entries[e].frozen = how.is_multiple_of(2);
        self.start_granted(e);
    }

    fn kill_keeper(&mut self, k: usize, how: u8) {
        let incarnation = self.keepers[k].incarnation + 1;
        self.keepers[k] = keeper(k, incarnation);
        self.keepers[k].alive = !how.is_multiple_of(3);
        // what the dead process had sent is on its way all the same
    }

    fn kill_entry(&mut self, e: usize) {
        for open in std::mem::take(&mut self.entries[e].running) {
            // its connection closes, and the engine stops
            self.engines[open.engine].running.shift_remove(&open.key);
        }
        let incarnation = self.entries[e].incarnation + 1;
        self.entries[e] = Entry { incarnation, ..Entry::default() };
        self.inform(e);
    }

    /// A new entry learns which claims stand: from the log, or from all keepers of the list.
    fn inform(&mut self, e: usize) {
        let mut claims = egret_core::Claims::default();
        if self.log_up {
            for (offset, record) in self.log.iter().enumerate() {
                claims.observe(offset as u64, record.clone());
            }
        } else if self.keepers.iter().any(|k| !k.alive || k.frozen) {
            return;
        }
        let entry = &mut self.entries[e];
        entry.informed = true;
        for engine in 0..ENGINES {
            let of_log = claims.get(&resource(engine)).map_or(0, |h| h.fence);
            let shards = self.keepers.iter().filter_map(|k| k.shards.get(&engine));
            let of_keepers = shards.map(EngineSlots::fence).max().unwrap_or(0);
            let fence = if self.log_up { of_log } else { of_keepers };
            entry.promised.insert(engine, fence);
        }
    }

    fn restart_engine(&mut self, g: usize, how: u8) {
        if !how.is_multiple_of(3) {
            return;
        }
        let engine = &mut self.engines[g];
        engine.epoch += 1;
        engine.fence = 0;
        engine.resident.clear();
        engine.running.clear();
        let cut: Vec<Flight> = self.flights.extract_if(.., |f| f.engine == g).collect();
        for flight in cut {
            self.answered(flight, LoadResult::Lost);
        }
        for e in 0..ENTRIES {
            let broken: Vec<Open> =
                self.entries[e].running.extract_if(.., |o| o.engine == g).collect();
            for open in broken {
                self.release(&open, TicketEnd::Broken);
            }
        }
    }

    fn probe(&mut self, k: usize, engine: usize) {
        if !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let (now, epoch) = (self.now, self.engines[engine].epoch);
        let resident = self.engines[engine].resident.clone();
        let Some(slots) = self.keepers[k].shards.get_mut(&engine) else {
            return;
        };
        let (_, effects) = slots.sync(now, now, epoch, &resident);
        self.effects(k, engine, effects);
    }

    fn lend(&mut self, from: usize, to: usize) {
        let able = |k: &Keeper| k.alive && !k.frozen;
        if from == to || !able(&self.keepers[from]) || !able(&self.keepers[to]) {
            return;
        }
        let now = self.now;
        let usable = self.keepers[from].own.usable_permits(now);
        let loans = self.keepers[from].permits.lend(now, 2, 0, |n| usable.contains(&n));
        for loan in loans {
            self.keepers[to].permits.borrow(now, now, loan);
        }
    }

    fn check(&mut self) {
        for resource in resources() {
            let able = |k: &&Keeper| k.alive && k.own.may_order(self.now, &resource).is_some();
            let holders = self.keepers.iter().filter(able).count();
            if holders > 1 {
                self.problem = Some(format!("{holders} keepers may order {resource}"));
            }
        }
        let loads = self.flights.iter().filter(|f| f.order.kind == OrderKind::Load).count();
        if loads > usize::from(PERMITS) {
            self.problem = Some(format!("{loads} loads in transit"));
        }
    }
}
