//! Keepers, entries and engines with frozen processes, kills, lost answers, log outages and
//! outdated views.
//!
//! The engine is the oracle, since its state shows what runs. Invariants: an adapter in use is
//! never unloaded; two keepers never hold a valid lease on the same resource at once; loads in
//! transit never exceed the permits.
//!
//! `k` is the index of a keeper and `e` that of an entry.

mod engines;
mod entries;

use {
    crate::support::Command,
    egret_core::{
        ClaimRecord, Effect, EngineLimits, EngineSlots, Fingerprint, LoadOrder, LoadResult,
        ModelName, OrderKind, Ownership, OwnershipTimes, Permits, PriorityClass, RequestKey,
        Resource, SlotSettings, TicketEnd, TicketRequest, Time, WeightStoreLimits,
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

/// A fault, and the commands that showed it.
pub(crate) type Regression = (&'static str, &'static [(u8, u8, u8, u8)]);

/// Command sequences that once broke an invariant.
pub(crate) const REGRESSIONS: &[Regression] = &[
    (
        "an owner that had released a resource gave orders until it read its own record",
        &[(64, 0, 187, 110), (8, 0, 128, 230), (64, 2, 234, 69)],
    ),
    (
        "an owner that still waited for an earlier lease released the resource without a wait",
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
    lease_ms: 3000,
    margin_ms: 300,
    load_timeout_ms: LOAD_TIMEOUT_MS,
    claim_retry_ms: 1000,
};

const LIMITS: WeightStoreLimits = WeightStoreLimits {
    in_transit_max: PERMITS,
    loads_per_1000_s: 100_000,
    load_timeout_ms: LOAD_TIMEOUT_MS,
};

struct Engine {
    checks_fence: bool,
    fencing_token: u64,
    epoch: u64,
    resident: IndexSet<ModelName>,
    running: IndexMap<RequestKey, ModelName>,
}

/// An order in flight to an engine, or being carried out there.
struct InFlightOrder {
    keeper: usize,
    incarnation: u64,
    engine: usize,
    order: LoadOrder,
}

/// An answer in flight to a keeper.
struct Answer {
    engine: usize,
    order: LoadOrder,
    result: LoadResult,
}

struct Keeper {
    ownership: Ownership,
    engine_slots: IndexMap<usize, EngineSlots>,
    permits: Permits,
    orders: Vec<(usize, LoadOrder)>,
    answers: Vec<Answer>,
    read_to: u64,
    alive: bool,
    frozen: bool,
    incarnation: u64,
}

/// A ticket that has reached an entry, or under which a request runs.
#[derive(Clone)]
struct OpenTicket {
    key: RequestKey,
    engine: usize,
    fencing_token: u64,
    model: ModelName,
}

#[derive(Default)]
struct Entry {
    incarnation: u64,
    /// True once the entry knows the current claims, so that it starts nothing under an older one.
    knows_claims: bool,
    frozen: bool,
    min_fencing_tokens: IndexMap<usize, u64>,
    inbox: Vec<OpenTicket>,
    running: Vec<OpenTicket>,
    requests: u64,
}

struct World {
    now: Time,
    log: Vec<ClaimRecord>,
    log_up: bool,
    keepers: Vec<Keeper>,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    orders_in_flight: Vec<InFlightOrder>,
    violation: Option<String>,
}

pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::new();
    for command in commands {
        world.step(*command);
        world.check();
        if let Some(problem) = world.violation.take() {
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
        ownership: Ownership::new(name("host", number), incarnation, TIMES),
        engine_slots: IndexMap::new(),
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
            fencing_token: 0,
            epoch: 1,
            resident: IndexSet::new(),
            running: IndexMap::new(),
        };
        let entry = || Entry { knows_claims: true, ..Entry::default() };
        let mut world = Self {
            now: Time::from_millis(1000),
            log: Vec::new(),
            log_up: true,
            keepers: (0..KEEPERS).map(|n| keeper(n, 1)).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            engines: (0..ENGINES).map(engine).collect(),
            orders_in_flight: Vec::new(),
            violation: None,
        };
        // The world starts settled, so that short sequences already reach states with owners,
        // permits and registered entries.
        for _ in 0..3 {
            for k in 0..KEEPERS {
                world.read(k);
                world.plan(k, 0xff);
                world.read(k);
            }
            world.advance_time(4000);
        }
        for k in 0..KEEPERS {
            world.read(k);
            world.register(k, 0);
            world.register(k, 1);
        }
        world
    }

    fn step(&mut self, command: Command) {
        let k = usize::from(command.actor) % KEEPERS;
        let e = usize::from(command.actor) % ENTRIES;
        match command.action % 72 {
            64..=71 => self.take_over(k, command.variant),
            40..=49 => {
                let k = self.pick_owner(usize::from(command.variant) % ENGINES, command.subject);
                self.request_ticket(e, k, command.variant);
                if command.subject & 0x10 != 0 {
                    self.run_keeper(k);
                }
            }
            50..=59 => self.run_keeper(k),
            0..=2 => self.advance_time(u64::from(command.variant) * 16 + 1),
            3..=7 => self.read(k),
            8 | 9 => self.plan(k, command.variant),
            10..=14 => self.tick(k),
            15..=18 => self.send_order(k, command.subject),
            19..=22 => self.execute_order(command.subject, command.variant),
            23..=27 => {
                self.request_ticket(e, usize::from(command.subject) % KEEPERS, command.variant);
            }
            28 | 29 => self.register(usize::from(command.subject) % KEEPERS, e),
            30 | 31 | 60..=63 => self.finish(e, command.subject, command.variant),
            32 => self.freeze_keeper(k, command.variant),
            33 => self.freeze_entry(e, command.variant),
            34 => self.kill_keeper(k, command.variant),
            35 => self.kill_entry(e),
            36 => self.log_up = !command.variant.is_multiple_of(4),
            37 => self.restart_engine(usize::from(command.subject) % ENGINES, command.variant),
            38 => self.probe(k, usize::from(command.subject) % ENGINES),
            _ => self.lend(k, usize::from(command.subject) % KEEPERS),
        }
    }

    fn advance_time(&mut self, ms: u64) {
        self.now = self.now.after_ms(ms);
        // An engine gives up a load at the order's deadline.
        let now = self.now;
        let is_expired = |f: &InFlightOrder| now >= f.order.deadline;
        let given_up: Vec<InFlightOrder> =
            self.orders_in_flight.extract_if(.., |f| is_expired(f)).collect();
        for in_flight in given_up {
            self.deliver_answer(in_flight, LoadResult::Lost);
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
            changed.extend(keeper.ownership.apply_record(
                now,
                offset,
                self.log[offset as usize].clone(),
            ));
        }
        keeper.read_to = self.log.len() as u64;
        keeper.ownership.extend_lease(now);
        for resource in changed {
            Self::apply_owner_change(now, keeper, &resource);
        }
    }

    fn apply_owner_change(now: Time, keeper: &mut Keeper, changed: &Resource) {
        let fencing_token = keeper.ownership.owned_fencing_token(changed);
        match (changed, fencing_token) {
            (Resource::Permit(number), Some(_)) => keeper.permits.add_owned(now, *number),
            (Resource::Permit(number), None) => keeper.permits.remove_owned(*number),
            (Resource::Engine(_), fencing_token) => {
                let engine = (0..ENGINES).find(|e| resource(*e) == *changed).unwrap_or(0);
                keeper.engine_slots.shift_remove(&engine);
                keeper.orders.retain(|(e, _)| *e != engine);
                if let Some(fencing_token) = fencing_token {
                    let limits = EngineLimits { adapter_slots: 2, batch: 3 };
                    let settings = SlotSettings {
                        order_timeout_ms: LOAD_TIMEOUT_MS,
                        ..SlotSettings::default()
                    };
                    keeper
                        .engine_slots
                        .insert(engine, EngineSlots::new(limits, settings, fencing_token));
                }
            }
        }
    }

    fn plan(&mut self, k: usize, variant: u8) {
        if !self.log_up || !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        // Any view of the other keepers is possible.
        let is_in_view = |n: &usize| *n == k || variant & (1 << n) != 0;
        let live: Vec<FastStr> = (0..KEEPERS).filter(is_in_view).map(|n| name("host", n)).collect();
        let settled = variant & 0x80 != 0;
        let records =
            self.keepers[k].ownership.plan_records(self.now, &live, settled, &resources());
        self.log.extend(records);
    }

    /// The entries on the host list: all of them, even if dead, frozen or restarted.
    fn listed_entries() -> IndexSet<FastStr> {
        (0..ENTRIES).map(|e| name("entry", e)).collect()
    }

    fn tick(&mut self, k: usize) {
        if !self.keepers[k].alive || self.keepers[k].frozen {
            return;
        }
        let now = self.now;
        for answer in std::mem::take(&mut self.keepers[k].answers) {
            self.handle_answer(k, &answer);
        }
        for engine in self.keepers[k].engine_slots.keys().copied().collect::<Vec<_>>() {
            let keeper = &mut self.keepers[k];
            let can_load = keeper.ownership.order_fencing_token(now, &resource(engine)).is_some();
            let slots = &mut keeper.engine_slots[&engine];
            slots.set_required_entries(Self::listed_entries());
            let mut effects = slots.tick(now, can_load, false);
            for group in slots.missing_adapters() {
                let usable = keeper.ownership.usable_permits(now);
                let Some(permit) = keeper.permits.acquire_for_load(now, |n| usable.contains(&n))
                else {
                    break;
                };
                let begun = slots.begin_load(now, &group.model, permit);
                if begun.is_empty() {
                    keeper.permits.cancel_acquire(now, permit);
                }
                effects.extend(begun);
            }
            self.apply_effects(k, engine, effects);
        }
    }

    /// A keeper that sees no other keeper claims everything and waits for its lease.
    fn take_over(&mut self, k: usize, variant: u8) {
        self.read(k);
        self.plan(k, 0);
        self.read(k);
        for _ in 0..4 {
            self.advance_time(u64::from(variant) * 8);
            self.read(k);
        }
        for engine in 0..ENGINES {
            self.probe(k, engine);
        }
        for e in 0..ENTRIES {
            if variant & (1 << e) != 0 {
                self.register(k, e);
            }
        }
    }

    /// One of the keepers that believe they own an engine.
    fn pick_owner(&self, engine: usize, subject: u8) -> usize {
        let is_owner = |k: &usize| self.keepers[*k].engine_slots.contains_key(&engine);
        let owners: Vec<usize> = (0..KEEPERS).filter(is_owner).collect();
        owners.get(usize::from(subject) % owners.len().max(1)).copied().unwrap_or(0)
    }

    /// Runs a keeper without faults: it gives orders, takes their answers and grants tickets.
    fn run_keeper(&mut self, k: usize) {
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
            while !self.orders_in_flight.is_empty() {
                self.execute_order(0, 1);
            }
            self.advance_time(50);
        }
        self.tick(k);
    }

    fn apply_effects(&mut self, k: usize, engine: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Grant(grant) => {
                    self.handle_grant(k, engine, grant.key, grant.fencing_token);
                }
                Effect::Refuse(_) => {}
                Effect::Order(order) => self.keepers[k].orders.push((engine, order)),
                Effect::Cancel(cancel) => {
                    self.engines[engine].running.shift_remove(&cancel.key);
                    for entry in &mut self.entries {
                        entry.running.retain(|ticket| ticket.key != cancel.key);
                    }
                    let now = self.now;
                    if let Some(slots) = self.keepers[k].engine_slots.get_mut(&engine) {
                        let effects = slots.confirm_cancel(now, &cancel.key);
                        self.apply_effects(k, engine, effects);
                    }
                }
                Effect::Probe => self.probe(k, engine),
                Effect::FreePermit(number) => {
                    self.keepers[k].permits.release_after_load(self.now, number);
                }
            }
        }
    }

    fn freeze_keeper(&mut self, k: usize, variant: u8) {
        self.keepers[k].frozen = variant.is_multiple_of(2);
    }

    fn kill_keeper(&mut self, k: usize, variant: u8) {
        let incarnation = self.keepers[k].incarnation + 1;
        self.keepers[k] = keeper(k, incarnation);
        self.keepers[k].alive = !variant.is_multiple_of(3);
        // Orders that the dead process has sent stay in flight.
    }

    fn lend(&mut self, from: usize, to: usize) {
        let is_running = |k: &Keeper| k.alive && !k.frozen;
        if from == to || !is_running(&self.keepers[from]) || !is_running(&self.keepers[to]) {
            return;
        }
        let now = self.now;
        let usable = self.keepers[from].ownership.usable_permits(now);
        let loans = self.keepers[from].permits.lend(now, 2, 0, |n| usable.contains(&n));
        for loan in loans {
            self.keepers[to].permits.add_borrowed(now, now, loan);
        }
    }

    fn check(&mut self) {
        for resource in resources() {
            let has_lease = |k: &&Keeper| {
                k.alive && k.ownership.order_fencing_token(self.now, &resource).is_some()
            };
            let owners = self.keepers.iter().filter(has_lease).count();
            if owners > 1 {
                self.violation = Some(format!("{owners} keepers hold a valid lease on {resource}"));
            }
        }
        let loads =
            self.orders_in_flight.iter().filter(|f| f.order.kind == OrderKind::Load).count();
        if loads > usize::from(PERMITS) {
            self.violation = Some(format!("{loads} loads in transit exceed the permits"));
        }
    }
}
