//! Runs the inventory of an engine against an engine that loses answers, carries out orders late,
//! reports late, restarts under the same id, and sometimes has another owner. The engine must
//! never be ordered to hold more adapters than it has slots for, no adapter that is known to be
//! resident and in use may be unloaded, and once the faults end, a wanted adapter must become
//! resident.

use {
    super::support::Command,
    egret_core::{AdapterOrder, EngineInventory, EngineReport, NextOrder, OrderAnswer, Time},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

const SLOTS: usize = 3;
const ADAPTER_COUNT: u8 = 9;
const COLD_LOAD_MS: u64 = 250;

#[derive(Clone, Debug, Default)]
struct Engine {
    seq: u64,
    // when the load of each adapter ends
    adapters: IndexMap<FastStr, Time>,
    local_copies: IndexSet<FastStr>,
    holds_base: bool,
}

#[derive(Clone, Debug)]
struct DelayedOrder {
    order: AdapterOrder,
    expected_seq: u64,
    arrives_at: Time,
}

struct World {
    now: Time,
    inventory: EngineInventory,
    engine: Engine,
    delayed_orders: Vec<DelayedOrder>,
    reports: Vec<(Time, EngineReport)>,
    in_use: IndexSet<FastStr>,
    // faults of the next orders
    orders_to_lose: u8,
    delay_ms: u64,
    // another owner has sent an order since this one did
    fenced: bool,
}

fn adapter_name(number: u8) -> FastStr {
    FastStr::from_string(format!("base/a{}", number % ADAPTER_COUNT))
}

impl Engine {
    fn execute(&mut self, now: Time, order: &AdapterOrder, expected_seq: u64) -> OrderAnswer {
        match order {
            AdapterOrder::LoadBase { .. } if self.holds_base => return OrderAnswer::Done,
            AdapterOrder::Load { adapter, .. } => match self.adapters.get(adapter) {
                Some(at) if *at <= now => return OrderAnswer::Done,
                Some(_) => return OrderAnswer::Accepted,
                None => {}
            },
            AdapterOrder::Unload { adapter } if !self.adapters.contains_key(adapter) => {
                return OrderAnswer::Done;
            }
            _ => {}
        }
        if expected_seq != self.seq {
            return OrderAnswer::Conflict;
        }
        self.seq += 1;
        match order {
            AdapterOrder::LoadBase { .. } => {
                self.holds_base = true;
                OrderAnswer::Accepted
            }
            AdapterOrder::Load { adapter, .. } => {
                let had_copy = !self.local_copies.insert(adapter.clone());
                let load_ms = if had_copy { COLD_LOAD_MS / 10 } else { COLD_LOAD_MS };
                self.adapters.insert(adapter.clone(), now.after_ms(load_ms));
                OrderAnswer::Accepted
            }
            AdapterOrder::Unload { adapter } => {
                self.adapters.swap_remove(adapter);
                OrderAnswer::Done
            }
        }
    }

    fn report(&self, now: Time) -> EngineReport {
        let is_loaded = |at: &Time| *at <= now;
        EngineReport {
            seq: self.seq,
            models: if self.holds_base {
                vec![FastStr::from_static_str("base")]
            } else {
                Vec::new()
            },
            adapters: self
                .adapters
                .iter()
                .filter(|(_, at)| is_loaded(at))
                .map(|(adapter, _)| (adapter.clone(), 1))
                .collect(),
            pending: self
                .adapters
                .iter()
                .filter(|(_, at)| !is_loaded(at))
                .map(|(adapter, _)| adapter.clone())
                .collect(),
            base_loading: false,
        }
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: Time::from_millis(1),
            inventory: EngineInventory::new(SLOTS, vec![FastStr::from_static_str("base")]),
            engine: Engine { holds_base: true, ..Engine::default() },
            delayed_orders: Vec::new(),
            reports: Vec::new(),
            in_use: IndexSet::new(),
            orders_to_lose: 0,
            delay_ms: 0,
            fenced: false,
        }
    }

    fn advance(&mut self, ms: u64) -> Result<(), String> {
        self.now = self.now.after_ms(ms);
        let due: Vec<DelayedOrder> =
            self.delayed_orders.extract_if(.., |delayed| delayed.arrives_at <= self.now).collect();
        for delayed in due {
            self.engine.execute(self.now, &delayed.order, delayed.expected_seq);
            self.check_slot_bound()?;
        }
        // reports show an earlier state of the engine
        let report = self.engine.report(self.now);
        self.reports.push((self.now, report));
        let visible_until = self.now.as_millis().saturating_sub(250);
        let first_kept =
            self.reports.iter().rposition(|(at, _)| at.as_millis() <= visible_until).unwrap_or(0);
        self.reports.drain(..first_kept);
        Ok(())
    }

    fn check_slot_bound(&self) -> Result<(), String> {
        if self.engine.adapters.len() > SLOTS {
            return Err(format!(
                "engine holds more than {SLOTS} adapters: {:?}",
                self.engine.adapters.keys().collect::<Vec<_>>()
            ));
        }
        Ok(())
    }

    fn run_next_order(&mut self) -> Result<(), String> {
        let in_use = self.in_use.clone();
        match self.inventory.next_order(self.now, |adapter| in_use.contains(adapter), 8, true) {
            NextOrder::WaitUntil(_) => Ok(()),
            NextOrder::Report => {
                let report = self.reports.first().map(|(_, report)| report.clone());
                match report {
                    Some(report) => self.inventory.apply_report(self.now, report),
                    None => self.inventory.mark_report_failed(self.now),
                }
                Ok(())
            }
            NextOrder::Order(order) => {
                if let AdapterOrder::Unload { adapter } = &order
                    && self.in_use.contains(adapter)
                    && self.inventory.resident().contains_key(adapter)
                {
                    return Err(format!("{adapter} unloaded while in use"));
                }
                let expected_seq = self.inventory.seq();
                let answer = if self.fenced {
                    // the host claims the engine again and starts a new inventory
                    self.fenced = false;
                    self.inventory =
                        EngineInventory::new(SLOTS, vec![FastStr::from_static_str("base")]);
                    return Ok(());
                } else if self.orders_to_lose > 0 {
                    self.orders_to_lose -= 1;
                    let arrives_at = self.now.after_ms(self.delay_ms);
                    self.delayed_orders.push(DelayedOrder {
                        order: order.clone(),
                        expected_seq,
                        arrives_at,
                    });
                    OrderAnswer::NoAnswer
                } else {
                    self.engine.execute(self.now, &order, expected_seq)
                };
                self.inventory.apply_answer(self.now, &order, answer);
                self.check_slot_bound()
            }
        }
    }

    fn run_command(&mut self, command: Command) -> Result<(), String> {
        match command.action % 10 {
            0..=2 => {
                let due_at = self.now.after_ms(u64::from(command.variant) * 4);
                self.inventory.request_load(self.now, &adapter_name(command.actor), None, due_at);
            }
            3 => {
                let resident: Vec<FastStr> = self.inventory.resident().keys().cloned().collect();
                if let Some(adapter) = resident.get(usize::from(command.actor) % SLOTS.max(1)) {
                    self.in_use.insert(adapter.clone());
                }
            }
            4 => {
                self.in_use.pop();
            }
            5 if command.variant < 90 => {
                self.orders_to_lose = command.actor % 4;
                self.delay_ms = u64::from(command.subject) * 20;
            }
            6 if command.variant < 20 => {
                // A restart under the same id: the engine is empty, counts from zero and reports
                // nothing older. Delayed orders still reach it.
                self.engine = Engine { holds_base: true, ..Engine::default() };
                self.reports.clear();
                self.in_use.clear();
            }
            7 if command.variant < 30 => {
                // Another owner has sent an order; the engine refuses orders with the older
                // fencing token.
                self.delayed_orders.clear();
                self.fenced = true;
                let adapter = adapter_name(command.subject);
                if self.engine.adapters.len() < SLOTS {
                    let load = AdapterOrder::Load { adapter, version: None };
                    let seq = self.engine.seq;
                    self.engine.execute(self.now, &load, seq);
                } else {
                    let unload = AdapterOrder::Unload { adapter };
                    let seq = self.engine.seq;
                    self.engine.execute(self.now, &unload, seq);
                }
            }
            _ => {}
        }
        self.advance(u64::from(command.variant % 32))?;
        self.run_next_order()
    }

    fn check_recovery(&mut self) -> Result<(), String> {
        self.orders_to_lose = 0;
        self.in_use.clear();
        // delayed orders have all arrived after this time
        for _ in 0..600 {
            self.advance(20)?;
            self.run_next_order()?;
        }
        let wanted = adapter_name(1);
        for _ in 0..150 {
            self.inventory.request_load(self.now, &wanted, None, self.now);
            // the engine would refuse a request for it
            let is_loaded = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
            if self.inventory.is_resident(&wanted, None) && !is_loaded {
                self.inventory.mark_missing(self.now, &wanted);
            }
            self.advance(20)?;
            self.run_next_order()?;
        }
        let is_loaded = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
        if self.inventory.is_resident(&wanted, None) && is_loaded {
            Ok(())
        } else {
            Err(format!(
                "{wanted} not resident after the faults: {:?} {:?}",
                self.inventory, self.engine
            ))
        }
    }
}

/// Runs `commands` and returns the first guarantee that they broke.
pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::new();
    for command in commands {
        world.run_command(*command)?;
    }
    world.check_recovery()
}
