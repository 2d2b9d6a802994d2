//! Replays the limit on cold loads against a weight store in virtual time.

use {
    egret_core::{ColdLoadLimit, Time},
    std::collections::VecDeque,
};

/// Time of a load at full speed.
const LOAD_MS: u64 = 250;

/// Delay with which hosts know of each other's loads.
const GOSSIP_DELAY_MS: usize = 300;

/// Time until a host's first check of a load; further checks follow every 30 ms.
const FIRST_CHECK_MS: u64 = 252;

/// Adapters that wait at each host.
const BACKLOG_PER_HOST: usize = 8;

struct Load {
    started_at_ms: u64,
    ends_at_ms: u64,
}

struct Replay {
    loads_started: u64,
    load_times_ms: Vec<u64>,
}

// Replays `hosts` hosts that want more loads than the store serves at full speed, which is
// `full_speed_loads` loads at once.
fn replay(full_speed_loads: u64, hosts: usize, from_ms: u64, until_ms: u64) -> Replay {
    let mut limits = vec![ColdLoadLimit::default(); hosts];
    let mut running_loads: Vec<Vec<Load>> = (0..hosts).map(|_| Vec::new()).collect();
    let mut known_wanted: VecDeque<Vec<usize>> = VecDeque::new();
    let mut replayed = Replay { loads_started: 0, load_times_ms: Vec::new() };
    for ms in 0..until_ms {
        let now = Time::from_millis(ms);
        // a host wants its backlog and the loads that it has running
        known_wanted
            .push_back(running_loads.iter().map(|loads| loads.len() + BACKLOG_PER_HOST).collect());
        if known_wanted.len() > GOSSIP_DELAY_MS {
            known_wanted.pop_front();
        }
        for host in 0..hosts {
            let others_wanted: usize =
                known_wanted[0].iter().sum::<usize>() - known_wanted[0][host];
            for load in &running_loads[host] {
                let age_ms = ms - load.started_at_ms;
                if age_ms >= FIRST_CHECK_MS && (age_ms - FIRST_CHECK_MS).is_multiple_of(30) {
                    if load.ends_at_ms > ms {
                        limits[host].record_unfinished_load(now, age_ms);
                    } else {
                        let known_running = running_loads[host].len() + others_wanted
                            - BACKLOG_PER_HOST * (hosts - 1);
                        limits[host].record_finished_load(now, age_ms, known_running, true);
                        if ms >= from_ms {
                            replayed.load_times_ms.push(load.ends_at_ms - load.started_at_ms);
                        }
                    }
                }
            }
            let is_seen_finished = |load: &Load| {
                let age_ms = ms - load.started_at_ms;
                let is_checked =
                    age_ms >= FIRST_CHECK_MS && (age_ms - FIRST_CHECK_MS).is_multiple_of(30);
                is_checked && load.ends_at_ms <= ms
            };
            running_loads[host].retain(|load| !is_seen_finished(load));
            while running_loads[host].len()
                < limits[host]
                    .share_of_host(running_loads[host].len() + BACKLOG_PER_HOST, others_wanted)
            {
                let running = running_loads.iter().map(Vec::len).sum::<usize>() as u64 + 1;
                let load_ms = LOAD_MS * running.max(full_speed_loads) / full_speed_loads;
                running_loads[host].push(Load { started_at_ms: ms, ends_at_ms: ms + load_ms });
                replayed.loads_started += u64::from(ms >= from_ms);
            }
        }
    }
    replayed
}

#[test]
fn limit_follows_store_capacity() {
    for (full_speed_loads, hosts) in [(4, 4), (8, 4), (48, 23), (56, 26), (300, 45)] {
        let replayed = replay(full_speed_loads, hosts, 5_000, 20_000);
        let capacity = full_speed_loads * 15_000 / LOAD_MS;
        let percent = replayed.loads_started * 100 / capacity;
        let mean_ms =
            replayed.load_times_ms.iter().sum::<u64>() / replayed.load_times_ms.len() as u64;
        // the store is kept busy, and loads take little longer than at full speed
        assert!(percent > 80, "{full_speed_loads} loads at {hosts} hosts: {percent}% of capacity");
        assert!(
            mean_ms < LOAD_MS * 16 / 10,
            "{full_speed_loads} loads at {hosts} hosts: {mean_ms} ms per load"
        );
    }
}

#[test]
fn limit_rises_fast_at_start() {
    // A deployment of 60 engines whose store serves 48 loads at once: the limit must follow within
    // half of the time for which demand stays on one set of adapters.
    let replayed = replay(48, 23, 4_000, 8_000);
    let percent = replayed.loads_started * 100 / (48 * 4_000 / LOAD_MS);
    assert!(percent > 80, "{percent}% of capacity");
}

#[test]
fn limit_starts_from_engine_count() {
    let mut limit = ColdLoadLimit::default();
    limit.initialize_for_engines(9);
    assert_eq!(limit.limit(), 8);
    limit.initialize_for_engines(60);
    assert_eq!(limit.limit(), 30);
    // once a load has changed the limit, the number of engines no longer does
    limit.record_unfinished_load(Time::from_millis(400), 300);
    limit.initialize_for_engines(3500);
    assert_eq!(limit.limit(), 22);
}

#[test]
fn limit_ignores_local_copy_loads() {
    let mut limit = ColdLoadLimit::default();
    for ms in 0..1000 {
        let now = Time::from_millis(ms);
        limit.record_finished_load(now, 26, 8, true);
        limit.record_finished_load(now, 400, 8, true);
        limit.record_finished_load(now, 255, 8, false);
    }
    assert_eq!(limit.limit(), 8);
}
