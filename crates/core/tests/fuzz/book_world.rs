//! The book of an engine against an engine that loses answers, carries orders out late, reports
//! late, restarts under the same id, and has another holder now and then. Promises: the engine is
//! never ordered to hold more than it has room for, nothing that serves is dropped while the book
//! knows of it, and once nothing goes wrong any more, what is wanted is there.

use {
    super::support::Command,
    egret_core::{AdapterOrder, Book, NextOrder, OrderAnswer, Report, Time},
    faststr::FastStr,
    indexmap::{IndexMap, IndexSet},
};

const SLOTS: usize = 3;
const ADAPTERS: u8 = 9;
const COLD_MS: u64 = 250;

#[derive(Clone, Debug, Default)]
struct Engine {
    seq: u64,
    // when each adapter is there
    adapters: IndexMap<FastStr, Time>,
    held_before: IndexSet<FastStr>,
    base: bool,
}

#[derive(Clone, Debug)]
struct Late {
    order: AdapterOrder,
    expected: u64,
    at: Time,
}

struct World {
    now: Time,
    book: Book,
    engine: Engine,
    late: Vec<Late>,
    reports: Vec<(Time, Report)>,
    in_use: IndexSet<FastStr>,
    // what goes wrong with the next orders
    silent: u8,
    late_ms: u64,
    // another holder has ordered since this one did
    fenced: bool,
}

fn name(number: u8) -> FastStr {
    FastStr::from_string(format!("base/a{}", number % ADAPTERS))
}

impl Engine {
    fn carry_out(&mut self, now: Time, order: &AdapterOrder, expected: u64) -> OrderAnswer {
        match order {
            AdapterOrder::LoadBase { .. } if self.base => return OrderAnswer::Holds,
            AdapterOrder::Load { adapter, .. } => match self.adapters.get(adapter) {
                Some(at) if *at <= now => return OrderAnswer::Holds,
                Some(_) => return OrderAnswer::Accepted,
                None => {}
            },
            AdapterOrder::Unload { adapter } if !self.adapters.contains_key(adapter) => {
                return OrderAnswer::Holds;
            }
            _ => {}
        }
        if expected != self.seq {
            return OrderAnswer::Conflict;
        }
        self.seq += 1;
        match order {
            AdapterOrder::LoadBase { .. } => {
                self.base = true;
                OrderAnswer::Accepted
            }
            AdapterOrder::Load { adapter, .. } => {
                let copy = !self.held_before.insert(adapter.clone());
                let takes = if copy { COLD_MS / 10 } else { COLD_MS };
                self.adapters.insert(adapter.clone(), now.after_ms(takes));
                OrderAnswer::Accepted
            }
            AdapterOrder::Unload { adapter } => {
                self.adapters.swap_remove(adapter);
                OrderAnswer::Holds
            }
        }
    }

    fn report(&self, now: Time) -> Report {
        let there = |at: &Time| *at <= now;
        Report {
            seq: self.seq,
            models: if self.base { vec![FastStr::from_static_str("base")] } else { Vec::new() },
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
            busy: false,
        }
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: Time::from_millis(1),
            book: Book::new(SLOTS, vec![FastStr::from_static_str("base")]),
            engine: Engine { base: true, ..Engine::default() },
            late: Vec::new(),
            reports: Vec::new(),
            in_use: IndexSet::new(),
            silent: 0,
            late_ms: 0,
            fenced: false,
        }
    }

    fn pass(&mut self, ms: u64) -> Result<(), String> {
        self.now = self.now.after_ms(ms);
        let due: Vec<Late> = self.late.extract_if(.., |late| late.at <= self.now).collect();
        for late in due {
            self.engine.carry_out(self.now, &late.order, late.expected);
            self.check()?;
        }
        // reports show the engine as it was some time ago
        let report = self.engine.report(self.now);
        self.reports.push((self.now, report));
        let old = self.now.as_millis().saturating_sub(250);
        let keep = self.reports.iter().rposition(|(at, _)| at.as_millis() <= old).unwrap_or(0);
        self.reports.drain(..keep);
        Ok(())
    }

    fn check(&self) -> Result<(), String> {
        if self.engine.adapters.len() > SLOTS {
            return Err(format!("holds {:?}", self.engine.adapters.keys().collect::<Vec<_>>()));
        }
        Ok(())
    }

    fn step(&mut self) -> Result<(), String> {
        let in_use = self.in_use.clone();
        match self.book.next(self.now, |adapter| in_use.contains(adapter), 8, true) {
            NextOrder::Wait(_) => Ok(()),
            NextOrder::Report => {
                let report = self.reports.first().map(|(_, report)| report.clone());
                match report {
                    Some(report) => self.book.reported(self.now, report),
                    None => self.book.not_reported(self.now),
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
                    self.book = Book::new(SLOTS, vec![FastStr::from_static_str("base")]);
                    return Ok(());
                } else if self.silent > 0 {
                    self.silent -= 1;
                    let at = self.now.after_ms(self.late_ms);
                    self.late.push(Late { order: order.clone(), expected, at });
                    OrderAnswer::Silent
                } else {
                    self.engine.carry_out(self.now, &order, expected)
                };
                self.book.answered(self.now, &order, answer);
                self.check()
            }
        }
    }

    fn run(&mut self, command: Command) -> Result<(), String> {
        match command.action % 10 {
            0..=2 => {
                let aim = self.now.after_ms(u64::from(command.variant) * 4);
                self.book.want(self.now, &name(command.actor), None, aim);
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
                self.silent = command.actor % 4;
                self.late_ms = u64::from(command.subject) * 20;
            }
            6 if command.variant < 20 => {
                // a restart under the same id: empty, counting anew, and with nothing to report
                // of before; orders that are still on their way reach it
                self.engine = Engine { base: true, ..Engine::default() };
                self.reports.clear();
                self.in_use.clear();
            }
            7 if command.variant < 30 => {
                // another holder has ordered meanwhile; the engine refuses what comes under the
                // older fencing number
                self.late.clear();
                self.fenced = true;
                let adapter = name(command.subject);
                if self.engine.adapters.len() < SLOTS {
                    let load = AdapterOrder::Load { adapter, version: None };
                    let seq = self.engine.seq;
                    self.engine.carry_out(self.now, &load, seq);
                } else {
                    let unload = AdapterOrder::Unload { adapter };
                    let seq = self.engine.seq;
                    self.engine.carry_out(self.now, &unload, seq);
                }
            }
            _ => {}
        }
        self.pass(u64::from(command.variant % 32))?;
        self.step()
    }

    fn settle(&mut self) -> Result<(), String> {
        self.silent = 0;
        self.in_use.clear();
        // late orders are over after this time
        for _ in 0..600 {
            self.pass(20)?;
            self.step()?;
        }
        let wanted = name(1);
        for _ in 0..150 {
            self.book.want(self.now, &wanted, None, self.now);
            // a request for it would be refused
            let there = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
            if self.book.has(&wanted, None) && !there {
                self.book.missing(self.now, &wanted);
            }
            self.pass(20)?;
            self.step()?;
        }
        let there = self.engine.adapters.get(&wanted).is_some_and(|at| *at <= self.now);
        if self.book.has(&wanted, None) && there {
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
    world.settle()
}
