//! The book of an engine against an engine that loses answers, carries orders out late, reports
//! late, restarts under the same id, and has another holder now and then. Promises: the engine is
//! never ordered to hold more than it has room for, nothing that serves is dropped while the book
//! knows of it, and once nothing goes wrong any more, what is wanted is there.

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
    // when each adapter is there
    adapters: IndexMap<FastStr, Time>,
    local_copies: IndexSet<FastStr>,
    holds_base: bool,
}

#[derive(Clone, Debug)]
struct DelayedOrder {
    order: AdapterOrder,
    expected: u64,
    at: Time,
}

struct World {
    now: Time,
    book: EngineInventory,
    engine: Engine,
    delayed_orders: Vec<DelayedOrder>,
    reports: Vec<(Time, EngineReport)>,
    in_use: IndexSet<FastStr>,
    // what goes wrong with the next orders
    orders_to_lose: u8,
    delay_ms: u64,
    // another holder has ordered since this one did
    fenced: bool,
}

fn adapter_name(number: u8) -> FastStr {
    FastStr::from_string(format!("base/a{}", number % ADAPTER_COUNT))
}

impl Engine {
    fn execute(&mut self, now: Time, order: &AdapterOrder, expected: u64) -> OrderAnswer {
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
        if expected != self.seq {
            return OrderAnswer::Conflict;
        }
        self.seq += 1;
        match order {
            AdapterOrder::LoadBase { .. } => {
                self.holds_base = true;
                OrderAnswer::Accepted
            }
            AdapterOrder::Load { adapter, .. } => {
                let copy = !self.local_copies.insert(adapter.clone());
                let takes = if copy { COLD_LOAD_MS / 10 } else { COLD_LOAD_MS };
                self.adapters.insert(adapter.clone(), now.after_ms(takes));
                OrderAnswer::Accepted
            }
            AdapterOrder::Unload { adapter } => {
                self.adapters.swap_remove(adapter);
                OrderAnswer::Done
            }
        }
    }

    fn report(&self, now: Time) -> EngineReport {
        let there = |at: &Time| *at <= now;
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
                .filter(|(_, at)| there(at))
                .map(|(adapter, _)| (adapter.clone(), 1))
                .collect(),
            pending: self
                .adapters
                .iter()
                .filter(|(_, at)| !there(at))
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
            book: EngineInventory::new(SLOTS, vec![FastStr::from_static_str("base")]),
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
            self.delayed_orders.extract_if(.., |late| late.at <= self.now).collect();
        for late in due {
            self.engine.execute(self.now, &late.order, late.expected);
            self.check_slot_bound()?;
        }
        // reports show the engine as it was some time ago
        let report = self.engine.report(self.now);
        self.reports.push((self.now, report));
        let old = self.now.as_millis().saturating_sub(250);
        let keep = self.reports.iter().rposition(|(at, _)| at.as_millis() <= old).unwrap_or(0);
        self.reports.drain(..keep);
        Ok(())
    }

    fn check_slot_bound(&self) -> Result<(), String> {
        if self.engine.adapters.len() > SLOTS {
            return Err(format!("holds {:?}", self.engine.adapters.keys().collect::<Vec<_>>()));
        }
        Ok(())
    }

    fn run_next_order(&mut self) -> Result<(), String> {
        let in_use = self.in_use.clone();
        match self.book.next_order(self.now, |adapter| in_use.contains(adapter), 8, true) {
            NextOrder::WaitUntil(_) => Ok(()),
            NextOrder::Report => {
                let report = self.reports.first().map(|(_, report)| report.clone());
                match report {
                    Some(report) => self.book.apply_report(self.now, report),
                    None => self.book.mark_report_failed(self.now),
                }
                Ok(())
            }
            NextOrder::Order(order) => {
                if let AdapterOrder::Unload { adapter } = &order
                    && self.in_use.contains(adapter)
                    && self.book.held().contains_key(adapter)
                {
                    return Err(format!("drops {adapter} in use"));
                }
                let expected = self.book.seq();
                let answer = if self.fenced {
                    // it claims again, and begins a new book
                    self.fenced = false;
                    self.book = EngineInventory::new(SLOTS, vec![FastStr::from_static_str("base")]);
                    return Ok(());
                } else if self.orders_to_lose > 0 {
                    self.orders_to_lose -= 1;
                    let at = self.now.after_ms(self.delay_ms);
                    self.delayed_orders.push(DelayedOrder { order: order.clone(), expected, at });
                    OrderAnswer::NoAnswer
                } else {
                    self.engine.execute(self.now, &order, expected)
                };
                self.book.apply_answer(self.now, &order, answer);
                self.check_slot_bound()
            }
        }
    }

    fn run(&mut self, command: Command) -> Result<(), String> {
        match command.action % 10 {
            0..=2 => {
                let aim = self.now.after_ms(u64::from(command.variant) * 4);
                self.book.request_load(self.now, &adapter_name(command.actor), None, aim);
            }
            3 => {
                let held: Vec<FastStr> = self.book.held().keys().cloned().collect();
                if let Some(adapter) = held.get(usize::from(command.actor) % SLOTS.max(1)) {
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
                // a restart under the same id: empty, counting anew, and with nothing to report
                // of before; orders that are still on their way reach it
                self.engine = Engine { holds_base: true, ..Engine::default() };
                self.reports.clear();
                self.in_use.clear();
            }
            7 if command.variant < 30 => {
                // another holder has ordered meanwhile; the engine refuses what comes under the
                // older fencing number
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
        // late orders are over after this time
        for _ in 0..600 {
            self.advance(20)?;
            self.run_next_order()?;
        }
        let wanted = adapter_name(1);
        for _ in 0..150 {
            self.book.request_load(self.now, &wanted, None, self.now);
            // a request for it would be refused
            let there = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
            if self.book.is_resident(&wanted, None) && !there {
                self.book.mark_missing(self.now, &wanted);
            }
            self.advance(20)?;
            self.run_next_order()?;
        }
        let there = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
        if self.book.is_resident(&wanted, None) && there {
            Ok(())
        } else {
            Err(format!("{wanted} is not there: {:?} {:?}", self.book, self.engine))
        }
    }
}

/// Runs commands and says which promise they broke.
pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::new();
    for command in commands {
        world.run(*command)?;
    }
    world.check_recovery()
}
