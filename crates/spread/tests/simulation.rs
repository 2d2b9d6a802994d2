//! A fleet in virtual time: how long a row takes to all hosts, what it costs each of them, and that
//! no host ever goes back, with cuts, freezes, lost links, restarts and all processes killed.

use {
    bytes::Bytes,
    egret_core::Time,
    egret_spread::{Known, Member, Progress, Replica, SourceDelta, contacts, is_prober},
    faststr::FastStr,
    indexmap::IndexMap,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
    },
};

const TICK_MS: u64 = 150;
const BEAT_TICKS: u64 = 3;
const LIVE_MS: u64 = 2500;
const DELTA_BYTES_MAX: usize = 64 * 1024;
/// Restart of a process after it has ended.
const RESTART_MS: u64 = 400;

enum Event {
    Tick(usize),
    Frame { from: usize, to: usize, process: u64, deltas: Vec<SourceDelta> },
    // a link is open: the contact reports what it knows
    Report { from: usize, to: usize, process: u64, known: Vec<(FastStr, Progress)> },
    Start(usize),
}

#[derive(Default)]
struct Host {
    replica: Option<Replica>,
    process: u64,
    listening_since: u64,
    frozen_until: u64,
    ticks: u64,
    // by contact: the process that the link leads to, and what it knows once it has reported
    links: IndexMap<usize, (u64, Option<Known>)>,
    sent_bytes: u64,
    received_bytes: u64,
    // what arrived while the host was frozen
    waiting: VecDeque<Event>,
}

struct World {
    now: u64,
    sequence: u64,
    rng: ChaCha8Rng,
    members: Vec<Member>,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    // hosts in different groups can't reach each other
    groups: Vec<usize>,
    // (epoch, version) that each host knew of each other one
    seen: IndexMap<(usize, u64, FastStr), (u64, u64)>,
}

fn host_name(host: usize) -> FastStr {
    FastStr::from_string(format!("front-be-central-{host}"))
}

impl World {
    fn new(host_count: usize, data_centres: usize, seed: u64) -> Self {
        let member = |host: usize| Member {
            host: host_name(host),
            data_centre: FastStr::from_string(format!("dc-{}", host % data_centres)),
        };
        let mut world = Self {
            now: 0,
            sequence: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: (0..host_count).map(member).collect(),
            hosts: (0..host_count).map(|_| Host::default()).collect(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            groups: vec![0; host_count],
            seen: IndexMap::new(),
        };
        for host in 0..host_count {
            let at = world.rng.random_range(0..300);
            world.schedule(at, Event::Start(host));
        }
        world
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Some(event));
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, self.events.len() - 1)));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if self.groups[from] == self.groups[to] {
            let delay = self.rng.random_range(1..10);
            self.schedule(self.now + delay, event);
        }
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, index))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events[index].take().unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let (Event::Tick(host)
        | Event::Start(host)
        | Event::Frame { to: host, .. }
        | Event::Report { to: host, .. }) = event;
        if self.now < self.hosts[host].frozen_until && !matches!(event, Event::Start(_)) {
            if matches!(event, Event::Tick(_)) {
                self.schedule(self.hosts[host].frozen_until, event);
            } else {
                self.hosts[host].waiting.push_back(event);
            }
            return;
        }
        match event {
            Event::Start(host) => self.start(host),
            Event::Tick(host) => self.tick(host),
            Event::Frame { from, to, process, deltas } if self.hosts[to].process == process => {
                self.receive(from, to, deltas);
            }
            Event::Report { from, to, process, known } if self.hosts[from].process == process => {
                if let Some((reached, link)) = self.hosts[to].links.get_mut(&from)
                    && *reached == process
                {
                    *link = Some(Known::new(known));
                }
            }
            Event::Frame { .. } | Event::Report { .. } => {}
        }
    }

    fn start(&mut self, host: usize) {
        let process = self.now + 1;
        let replica = Replica::new(host_name(host), process, Time::from_millis(self.now));
        self.hosts[host] = Host {
            replica: Some(replica),
            process,
            listening_since: self.now,
            sent_bytes: self.hosts[host].sent_bytes,
            received_bytes: self.hosts[host].received_bytes,
            ..Host::default()
        };
        let at = self.now + self.rng.random_range(1..TICK_MS);
        self.schedule(at, Event::Tick(host));
    }

    fn kill(&mut self, host: usize) {
        self.hosts[host].replica = None;
        self.hosts[host].process = 0;
        self.schedule(self.now + RESTART_MS, Event::Start(host));
    }

    // the members that `host` takes for live
    fn live(&self, host: usize) -> (Vec<Member>, Vec<usize>) {
        let state = &self.hosts[host];
        let replica = state.replica.as_ref().unwrap();
        let (mut live, mut dead) = (Vec::new(), Vec::new());
        for (other, member) in self.members.iter().enumerate().filter(|(other, _)| *other != host) {
            let beat_at = replica.last_beat_at(&member.host).unwrap_or(Time::ZERO).as_millis();
            if self.now < beat_at.max(state.listening_since) + LIVE_MS {
                live.push(member.clone());
            } else {
                dead.push(other);
            }
        }
        (live, dead)
    }

    fn tick(&mut self, host: usize) {
        let now = Time::from_millis(self.now);
        let state = &mut self.hosts[host];
        let Some(replica) = state.replica.as_mut() else {
            return;
        };
        state.ticks += 1;
        if state.ticks.is_multiple_of(BEAT_TICKS) {
            replica.beat(now);
        }
        while let Some(event) = self.hosts[host].waiting.pop_front() {
            self.handle(event);
        }
        if self.hosts[host].ticks % (2 * BEAT_TICKS) == 1 {
            self.choose_contacts(host);
        }
        let others: Vec<usize> = self.hosts[host].links.keys().copied().collect();
        for other in others {
            self.send_news(host, other);
        }
        self.schedule(self.now + TICK_MS, Event::Tick(host));
    }

    fn choose_contacts(&mut self, host: usize) {
        let (live, dead) = self.live(host);
        let own = self.members[host].clone();
        let names = contacts(&own, &live);
        let mut chosen: Vec<usize> =
            (0..self.members.len()).filter(|o| names.contains(&self.members[*o].host)).collect();
        let probed =
            dead.into_iter().filter(|o| is_prober(&own.host, &self.members[*o].host, &live));
        let probed: Vec<usize> = probed.collect();
        if !probed.is_empty() {
            let first = usize::try_from(self.hosts[host].ticks).unwrap() % probed.len();
            chosen.extend((0..probed.len().min(4)).map(|i| probed[(first + i) % probed.len()]));
        }
        self.hosts[host].links.retain(|other, _| chosen.contains(other));
        for other in chosen {
            self.hosts[host].links.entry(other).or_insert((0, None));
        }
    }

    fn send_news(&mut self, host: usize, other: usize) {
        let process = self.hosts[other].process;
        let is_reachable = process > 0 && self.groups[host] == self.groups[other];
        let now = Time::from_millis(self.now);
        let Host { replica, links, .. } = &mut self.hosts[host];
        let link = links.get_mut(&other).unwrap();
        if !is_reachable {
            // the link breaks
            *link = (0, None);
            return;
        }
        if link.0 != process {
            *link = (process, None);
            let replica = self.hosts[other].replica.as_ref().unwrap();
            let known = replica.progress().map(|(s, p)| (s.clone(), p)).collect();
            self.send(other, host, Event::Report { from: other, to: host, process, known });
            return;
        }
        let Some(known) = link.1.as_mut() else {
            return;
        };
        let deltas = replica.as_ref().unwrap().delta(now, known, DELTA_BYTES_MAX);
        if deltas.is_empty() {
            return;
        }
        let bytes: usize = deltas.iter().map(delta_bytes).sum();
        self.hosts[host].sent_bytes += bytes as u64;
        self.send(host, other, Event::Frame { from: host, to: other, process, deltas });
    }

    fn receive(&mut self, from: usize, to: usize, deltas: Vec<SourceDelta>) {
        let now = Time::from_millis(self.now);
        let host = &mut self.hosts[to];
        host.received_bytes += deltas.iter().map(delta_bytes).sum::<usize>() as u64;
        for delta in deltas {
            let source = delta.source.clone();
            let progress =
                Progress { epoch: delta.epoch, version: delta.version, beat: delta.beat };
            let replica = host.replica.as_mut().unwrap();
            let applied = replica.apply(now, delta);
            if applied.has_gap {
                // the sender is asked to begin again
                self.hosts[from].links.swap_remove(&to);
                return;
            }
            let known = replica.progress_of(&source);
            let seen = self.seen.entry((to, host.process, source.clone())).or_default();
            assert!((known.epoch, known.version) >= *seen, "{to} went back on {source}");
            *seen = (known.epoch, known.version);
            if let Some((_, Some(known))) = host.links.get_mut(&from) {
                known.observe(&source, progress);
            }
        }
    }

    fn write(&mut self, host: usize, key: &str, value: u64) {
        let now = Time::from_millis(self.now);
        let value = Bytes::copy_from_slice(&value.to_be_bytes());
        if let Some(replica) = self.hosts[host].replica.as_mut() {
            replica.set(now, &FastStr::new(key), value);
        }
    }

    fn knows(&self, host: usize, source: usize, key: &str, value: u64) -> bool {
        let Some(replica) = &self.hosts[host].replica else {
            return false;
        };
        let mut rows = replica.rows(&self.members[source].host);
        rows.any(|(k, row)| {
            k == key && row.value.as_deref() == Some(value.to_be_bytes().as_slice())
        })
    }

    // milliseconds until all hosts know a row that `source` writes now
    fn delay_to_all(&mut self, source: usize, value: u64, limit_ms: u64) -> u64 {
        let began = self.now;
        self.write(source, "delay", value);
        while self.now < began + limit_ms {
            let hosts = 0..self.hosts.len();
            let is_known =
                |host: &usize| *host == source || self.knows(*host, source, "delay", value);
            if hosts.clone().all(|host| is_known(&host)) {
                break;
            }
            self.run_until(self.now + 10);
        }
        self.now - began
    }

    fn all_live(&self) -> bool {
        (0..self.hosts.len()).all(|host| {
            self.hosts[host].replica.is_some() && {
                let replica = self.hosts[host].replica.as_ref().unwrap();
                self.members.iter().all(|member| {
                    let beat_at = replica.last_beat_at(&member.host);
                    beat_at.is_some_and(|at| self.now < at.as_millis() + LIVE_MS)
                })
            }
        })
    }

    fn ms_until_all_live(&mut self, limit_ms: u64) -> u64 {
        let began = self.now;
        while !self.all_live() && self.now < began + limit_ms {
            self.run_until(self.now + 100);
        }
        self.now - began
    }
}

// names of sources are sent once on each link
fn delta_bytes(delta: &SourceDelta) -> usize {
    const HEAD: usize = 12;
    HEAD + delta.rows.iter().map(egret_spread::RowDelta::bytes).sum::<usize>()
}

fn fleet(hosts: usize, seed: u64) -> World {
    let data_centres = match hosts {
        ..10 => 3,
        10..200 => 5,
        _ => 9,
    };
    let mut world = World::new(hosts, data_centres, seed);
    world.run_until(4000);
    assert!(world.all_live(), "{hosts} hosts do not know each other after 4 s");
    world
}

#[test]
fn spread_delay_to_all() {
    for (hosts, seed) in [(4, 1), (77, 2), (410, 3)] {
        let mut world = fleet(hosts, seed);
        for round in 0..5 {
            let source = world.rng.random_range(0..hosts);
            let delay = world.delay_to_all(source, round, 5000);
            assert!(delay <= 1800, "{hosts} hosts: {delay} ms");
        }
    }
}

/// The bytes of a host may grow with what is written in the fleet, and not with the square of its
/// size: that was the end at a hundred hosts.
#[test]
fn spread_bytes_per_host() {
    const MEASURED_S: u64 = 2;
    let mut per_host = Vec::new();
    for hosts in [77, 410] {
        let mut world = fleet(hosts, 7);
        let sent: u64 = world.hosts.iter().map(|host| host.sent_bytes).sum();
        let most = world.hosts.iter().map(|host| host.sent_bytes).max().unwrap();
        world.run_until(6000);
        let sent = world.hosts.iter().map(|host| host.sent_bytes).sum::<u64>() - sent;
        per_host.push(sent / hosts as u64 / MEASURED_S);
        let busiest = world.hosts.iter().map(|host| host.sent_bytes).max().unwrap() - most;
        assert!(busiest / MEASURED_S < 10 * per_host.last().unwrap(), "one host sends {busiest}");
    }
    let growth = per_host[1] * 100 / per_host[0];
    println!("{per_host:?} bytes a second for each host");
    assert!(growth <= 410 * 130 / 77, "{per_host:?} bytes a second for each host");
}

#[test]
fn spread_after_cut_in_halves() {
    let mut world = fleet(77, 11);
    for host in 0..77 {
        world.groups[host] = host % 2;
    }
    world.run_until(14_000);
    assert!(!world.all_live());
    world.groups.fill(0);
    let healed = world.ms_until_all_live(10_000);
    assert!(healed <= 3000, "{healed} ms");
    assert!(world.delay_to_all(3, 1, 5000) <= 1800);
}

#[test]
fn spread_after_host_was_alone() {
    let mut world = fleet(77, 12);
    world.groups[5] = 1;
    world.run_until(14_000);
    world.groups[5] = 0;
    let healed = world.ms_until_all_live(10_000);
    assert!(healed <= 3000, "{healed} ms");
}

#[test]
fn spread_after_all_were_killed() {
    for hosts in [4, 77, 300] {
        let mut world = fleet(hosts, 13);
        for host in 0..hosts {
            world.kill(host);
        }
        world.run_until(world.now + RESTART_MS + 1);
        let known = world.ms_until_all_live(10_000);
        assert!(known <= 3000, "{hosts} hosts: {known} ms");
    }
}

/// Rows get through while a third of the hosts is killed, frozen or cut off, one after the other.
#[test]
fn spread_among_faults() {
    for seed in 0..6 {
        let mut world = fleet(40, 100 + seed);
        for round in 0..12 {
            for _ in 0..4 {
                let host = world.rng.random_range(1..40);
                match world.rng.random_range(0..3) {
                    0 => world.kill(host),
                    1 => world.hosts[host].frozen_until = world.now + 1500,
                    _ => world.groups[host] = 1 + host,
                }
            }
            world.write(0, "round", round);
            world.run_until(world.now + 700);
            world.groups.fill(0);
        }
        world.run_until(world.now + 6000);
        assert!(world.all_live(), "seed {seed}");
        for host in 1..40 {
            assert!(world.knows(host, 0, "round", 11), "seed {seed}, host {host}");
        }
    }
}

#[test]
fn contacts_are_mutual_and_few() {
    for hosts in [1, 2, 4, 9, 26, 77, 300, 410] {
        let world = World::new(hosts, 5.min(hosts), 1);
        let of = |host: usize| {
            let others: Vec<Member> = world
                .members
                .iter()
                .filter(|m| m.host != world.members[host].host)
                .cloned()
                .collect();
            contacts(&world.members[host], &others)
        };
        let all: Vec<_> = (0..hosts).map(of).collect();
        for (host, own) in all.iter().enumerate() {
            assert!(own.len() <= 6 + 8, "{hosts} hosts: {} contacts", own.len());
            let others = world.members.iter().zip(&all).filter(|(m, _)| own.contains(&m.host));
            for (_, other) in others {
                assert!(other.contains(&world.members[host].host));
            }
        }
    }
}

/// Hops between the two hosts that are farthest from each other. The delay of a row grows with them.
#[test]
fn contacts_reach_all_in_few_hops() {
    for (hosts, data_centres, hops_max) in [(16, 1, 3), (77, 5, 9), (100, 1, 6), (410, 9, 12)] {
        let world = World::new(hosts, data_centres, 1);
        let of = |host: usize| {
            let others = world.members.iter().filter(|m| m.host != world.members[host].host);
            let others: Vec<Member> = others.cloned().collect();
            let own = contacts(&world.members[host], &others);
            (0..hosts).filter(|o| own.contains(&world.members[*o].host)).collect::<Vec<usize>>()
        };
        let graph: Vec<Vec<usize>> = (0..hosts).map(of).collect();
        let farthest = (0..hosts).map(|host| hops_from(host, &graph)).max().unwrap();
        assert!(farthest <= hops_max, "{hosts} hosts: {farthest} hops");
    }
}

// hops to the host that is farthest from `start`
fn hops_from(start: usize, graph: &[Vec<usize>]) -> usize {
    let mut hops = vec![usize::MAX; graph.len()];
    hops[start] = 0;
    let mut queue = VecDeque::from([start]);
    while let Some(host) = queue.pop_front() {
        for other in &graph[host] {
            if hops[*other] == usize::MAX {
                hops[*other] = hops[host] + 1;
                queue.push_back(*other);
            }
        }
    }
    hops.into_iter().max().unwrap()
}
