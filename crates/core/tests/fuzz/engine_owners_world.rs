//! Several hosts claim one engine that does not check fencing tokens. Invariants: at no moment may
//! two hosts order, the lease lies between the orders of two hosts, and no fencing token is used by
//! two processes.

use {
    super::support::Command,
    egret_core::{EngineClaim, EngineOwners, Fencing, Time},
    faststr::FastStr,
    indexmap::IndexMap,
};

const HOSTS: usize = 3;
const LEASE_MS: u64 = 1000;

struct Host {
    name: FastStr,
    incarnation: u64,
    owners: EngineOwners,
    read_to: usize,
}

struct World {
    now: Time,
    log: Vec<EngineClaim>,
    hosts: Vec<Host>,
    // Time and host of the last order.
    last_order: Option<(Time, FastStr)>,
    fencing_tokens: IndexMap<u64, (FastStr, u64)>,
}

fn host(number: usize, incarnation: u64) -> Host {
    let name = FastStr::from_string(format!("host-{number}"));
    let process = EngineClaim { host: name.clone(), incarnation, taken_over: false };
    Host {
        owners: EngineOwners::new(process, Fencing::Unchecked, LEASE_MS),
        name,
        incarnation,
        read_to: 0,
    }
}

impl World {
    fn new() -> Self {
        Self {
            now: Time::from_millis(1),
            log: Vec::new(),
            hosts: (0..HOSTS).map(|number| host(number, 1)).collect(),
            last_order: None,
            fencing_tokens: IndexMap::new(),
        }
    }

    fn read(&mut self, number: usize) {
        let started = self.now;
        let host = &mut self.hosts[number];
        for (offset, record) in self.log.iter().enumerate().skip(host.read_to) {
            host.owners.apply_record(self.now, "e", offset as u64, Some(record.clone()));
        }
        host.read_to = self.log.len();
        host.owners.record_complete_read(started);
    }

    // Host `number` claims for `other`, of which it may know an earlier process.
    fn claim(&mut self, number: usize, other: usize, lost_answer: bool, outdated: bool) {
        let host = &self.hosts[number];
        let other = &self.hosts[other];
        // The append succeeds only if the log ends where this host last read it.
        if host.read_to != self.log.len() {
            return;
        }
        let live = IndexMap::new();
        let Some(successor) = host.owners.successor("e", &live, &[&other.name]) else {
            return;
        };
        let incarnation = other.incarnation - u64::from(outdated && other.incarnation > 1);
        self.log.push(host.owners.new_claim("e", successor, incarnation));
        if !lost_answer {
            self.read(number);
        }
    }

    fn order(&mut self, number: usize) -> Result<(), String> {
        let host = &self.hosts[number];
        let Some(fencing_token) = host.owners.order_fencing_token(self.now, "e") else {
            return Ok(());
        };
        let process = (host.name.clone(), host.incarnation);
        let first = self.fencing_tokens.entry(fencing_token).or_insert_with(|| process.clone());
        if *first != process {
            return Err(format!("fencing token {fencing_token} used by {first:?} and {process:?}"));
        }
        if let Some((at, by)) = &self.last_order
            && *by != host.name
            && self.now.ms_since(*at) < LEASE_MS
        {
            return Err(format!(
                "orders within the lease: {by} at {at}, {} at {}",
                host.name, self.now
            ));
        }
        self.last_order = Some((self.now, host.name.clone()));
        Ok(())
    }
}

/// Runs commands and returns the invariant that they broke.
pub(crate) fn run(commands: &[Command]) -> Result<(), String> {
    let mut world = World::new();
    for command in commands {
        let number = usize::from(command.actor) % HOSTS;
        match command.action % 8 {
            0..=2 => world.read(number),
            3 => {
                let other = usize::from(command.variant) % HOSTS;
                world.claim(number, other, command.subject < 60, command.subject > 200);
            }
            4..=6 => world.order(number)?,
            _ if command.variant < 40 => {
                let incarnation = world.hosts[number].incarnation + 1;
                world.hosts[number] = host(number, incarnation);
            }
            _ => {}
        }
        // Time sometimes advances by more than a read stays valid, as for frozen hosts.
        let ms = if command.variant > 250 { 6000 } else { u64::from(command.variant) * 3 };
        world.now = world.now.after_ms(ms);
    }
    Ok(())
}
