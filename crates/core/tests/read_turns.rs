//! A fleet that loses the host that reads for all, and one whose store is away for a while.

use egret_core::{ReadTurns, Time};

const HOSTS: u64 = 77;
const STEP_MS: u64 = 10;
/// Time until a read by one host is known to all others.
const SPREAD_MS: u64 = 250;
/// Time for which a read serves the others.
const VALID_MS: u64 = 1200;

struct Fleet {
    turns: Vec<ReadTurns>,
    // calls by time
    calls: Vec<u64>,
    // reads that were answered: time and host
    reads: Vec<(u64, u64)>,
}

impl Fleet {
    fn new() -> Self {
        let turns = (0..HOSTS).map(|host| ReadTurns::new(1000 + host * 7919)).collect();
        Self { turns, calls: Vec::new(), reads: Vec::new() }
    }

    // the hosts that run, by rank, until `end`; `can_read` tells whom the store answers
    fn run(&mut self, from: u64, end: u64, hosts: &[u64], can_read: impl Fn(u64, u64) -> bool) {
        for now in (from..end).step_by(usize::try_from(STEP_MS).unwrap()) {
            for (rank, host) in hosts.iter().enumerate() {
                let turns = &mut self.turns[usize::try_from(*host).unwrap()];
                let serves = |(at, reader): &(u64, u64)| {
                    let known_after_ms = if reader == host { 0 } else { SPREAD_MS };
                    (at + known_after_ms..at + VALID_MS + SPREAD_MS).contains(&now)
                };
                let is_served = self.reads.iter().any(serves);
                let rank = u64::try_from(rank).unwrap();
                if is_served {
                    turns.record_served();
                } else if turns.is_due(Time::from_millis(now), rank) {
                    self.calls.push(now);
                    if can_read(now, *host) {
                        turns.record_answer();
                        self.reads.push((now, *host));
                    } else {
                        turns.record_failure(Time::from_millis(now), rank);
                    }
                }
            }
        }
    }

    fn calls_within(&self, from: u64, end: u64) -> usize {
        self.calls.iter().filter(|at| (from..end).contains(*at)).count()
    }
}

/// When the host that read for all was lost, all others read at the same moment.
#[test]
fn is_due_after_reader_is_lost() {
    let mut fleet = Fleet::new();
    fleet.reads.push((0, 0));
    let others: Vec<u64> = (1..HOSTS).collect();
    fleet.run(SPREAD_MS, 3000, &others, |_, _| true);
    let first = fleet.calls[0];
    assert!(first <= VALID_MS + SPREAD_MS + 50, "first read after {first} ms");
    assert!(fleet.calls.len() <= 6, "{} calls", fleet.calls.len());
}

/// While the store was away, each host tried it for itself: 77 hosts made about 90 calls a second for
/// each stream.
#[test]
fn is_due_while_store_is_away() {
    let mut fleet = Fleet::new();
    let all: Vec<u64> = (0..HOSTS).collect();
    let back_at = 8000;
    fleet.run(0, 12_000, &all, |now, _| now >= back_at);
    let away = fleet.calls_within(0, back_at);
    assert!(away <= 4 * 30 + usize::try_from(HOSTS).unwrap() * 4, "{away} calls while away");
    assert!(fleet.calls_within(back_at, back_at + 500) <= 30);
    let first = fleet.calls.iter().find(|at| **at >= back_at).unwrap() - back_at;
    assert!(first <= 800, "first read {first} ms after the return");
}

/// The store may turn away just the hosts that try it: another one has to find out.
#[test]
fn is_due_when_first_hosts_are_turned_away() {
    let mut fleet = Fleet::new();
    let all: Vec<u64> = (0..HOSTS).collect();
    let can_read = |now: u64, host: u64| now < 1000 || host >= 6;
    fleet.run(0, 9000, &all, can_read);
    let mut served: Vec<u64> = fleet.calls.iter().copied().filter(|at| *at > 1000).collect();
    served.dedup();
    assert!(!served.is_empty());
    let (latest, _) = *fleet.reads.last().unwrap();
    assert!(latest >= 9000 - VALID_MS - SPREAD_MS - 4000, "last read at {latest} ms");
}

#[test]
fn is_due_alone_at_once() {
    let mut turns = ReadTurns::new(5);
    assert!(turns.is_due(Time::from_millis(10), 0));
    assert_eq!(turns.record_failure(Time::from_millis(10), 0), 1);
    assert!(!turns.is_due(Time::from_millis(20), 0));
    assert!(turns.is_due(Time::from_millis(1010), 0));
    assert_eq!(turns.record_answer(), 1);
    assert!(turns.is_due(Time::from_millis(1020), 0));
}
