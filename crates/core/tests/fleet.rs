//! Targets that leave, in listings of the registry that are older than what is known.

use {
    egret_core::{Fleet, Target, TargetState, Time},
    faststr::FastStr,
    quickcheck::{Gen, QuickCheck},
};

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn target(id: &str, state: TargetState, started_unix_ms: u64) -> Target {
    Target {
        id: FastStr::new(id),
        service: FastStr::from_static_str("s"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: FastStr::from_static_str("dc"),
        software_version: FastStr::from_static_str("v1"),
        slots: 4,
        state,
        started_unix_ms,
        registered_at: 0,
        models: Vec::new(),
    }
}

// A target that had left was ready again when the store came back from a copy of before.
#[test]
fn fleet_left_target_in_older_copy_stays_left() {
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![target("a", TargetState::Ready, 5)]);
    fleet.apply_entry(target("a", TargetState::Leaving, 5));
    fleet.handle_removed_entry(at(2), "a");
    fleet.advance_position(9);
    let restored = (1 << 32) | 8;
    assert!(fleet.apply_listing(at(3), restored, vec![target("a", TargetState::Ready, 5)]));
    assert!(fleet.ready("a").is_none());
    // a later start is a new target
    fleet.apply_entry(target("a", TargetState::Ready, 6));
    assert!(fleet.ready("a").is_some());
}

fn registered(state: TargetState, started_unix_ms: u64, registered_at: u64) -> Target {
    Target { registered_at, ..target("a", state, started_unix_ms) }
}

// Entries lapse while a target is cut off from the registry, and nothing is wrong with the target.
#[test]
fn fleet_lapsed_target_is_used_once_registered_again() {
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![registered(TargetState::Ready, 5, 3)]);
    fleet.handle_removed_entry(at(2), "a");
    fleet.advance_position(8);
    // the store comes back from a copy that has the entry from before
    let restored = (1 << 32) | 6;
    fleet.distrust_entries_before(restored);
    fleet.apply_listing(at(3), restored, vec![registered(TargetState::Ready, 5, restored - 3)]);
    assert!(fleet.ready("a").is_none());
    fleet.apply_entry(registered(TargetState::Ready, 5, restored));
    assert!(fleet.ready("a").is_some());
}

// Without the time of the start, a registration after the end of the entry is that of a new start.
#[test]
fn fleet_unknown_start_is_used_once_registered_again() {
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![registered(TargetState::Leaving, 0, 3)]);
    fleet.apply_entry(registered(TargetState::Ready, 0, 8));
    assert!(fleet.ready("a").is_none());
    fleet.advance_position(9);
    fleet.handle_removed_entry(at(2), "a");
    fleet.apply_entry(registered(TargetState::Ready, 0, 10));
    assert!(fleet.ready("a").is_some());
}

#[test]
fn fleet_departure_of_another_host_is_merged() {
    let mut teller = Fleet::default();
    assert!(teller.record_leaving(at(10), &FastStr::from_static_str("a"), 5));
    assert!(!teller.record_leaving(at(11), &FastStr::from_static_str("a"), 5));
    assert_eq!(teller.recent_departures(at(20)).count(), 1);
    assert_eq!(teller.recent_departures(at(60_000)).count(), 0);
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![registered(TargetState::Ready, 5, 3)]);
    for departure in teller.departures() {
        assert!(fleet.merge_departure(departure.clone()));
        assert!(!fleet.merge_departure(departure.clone()));
    }
    assert!(fleet.ready("a").is_none());
    fleet.apply_entry(registered(TargetState::Ready, 6, 8));
    assert!(fleet.ready("a").is_some());
    for departure in teller.departures() {
        assert!(!fleet.merge_departure(departure.clone()), "it is of an earlier start");
    }
    assert!(fleet.ready("a").is_some());
}

#[test]
fn fleet_departures_are_forgotten_at_last() {
    let mut fleet = Fleet::default();
    fleet.apply_listing(at(1), 7, vec![registered(TargetState::Leaving, 5, 3)]);
    // as long as the target is listed
    fleet.remove_expired(at(1_000_000));
    assert_eq!(fleet.departures().count(), 1);
    fleet.handle_removed_entry(at(1_000_000), "a");
    fleet.remove_expired(at(1_000_100));
    fleet.remove_expired(at(1_100_000));
    assert_eq!(fleet.departures().count(), 1);
    fleet.remove_expired(at(1_200_000));
    assert_eq!(fleet.departures().count(), 0);
    // and not without bound
    for number in 0..20_000 {
        fleet.record_leaving(at(1_200_001), &FastStr::from_string(format!("t-{number}")), 1);
    }
    fleet.remove_expired(at(1_200_002));
    assert!(fleet.departures().count() < 10_000);
}

/// A target, the registry that it writes to, and a host that follows it.
#[derive(Default)]
struct World {
    now_ms: u64,
    // start of the target, and whether this start has said that it leaves
    start: u64,
    is_leaving: bool,
    // the newest entry and the end of the registry, as positions
    entry: Option<Target>,
    end: u64,
    copy: Option<(Option<Target>, u64)>,
    fleet: Fleet,
    // the start that the host knows to leave
    known_leaving: u64,
}

impl World {
    fn write(&mut self, state: Option<TargetState>) {
        self.entry = state.map(|state| registered(state, self.start, self.end));
        self.end += 1;
    }

    fn write_own_state(&mut self) {
        let state = if self.is_leaving { TargetState::Leaving } else { TargetState::Ready };
        self.write(Some(state));
    }

    fn read(&mut self) {
        let now = at(self.now_ms);
        let is_restored = self.end >> 32 != self.fleet.position() >> 32;
        if is_restored && self.fleet.position() > 0 {
            self.fleet.extend_grace_period(at(self.now_ms + 2000));
            self.fleet.distrust_entries_before(self.end);
        }
        let listed: Vec<Target> = self.entry.iter().cloned().collect();
        if self.fleet.apply_listing(now, self.end, listed) {
            let leaves = |entry: &&Target| entry.state == TargetState::Leaving;
            if let Some(entry) = self.entry.as_ref().filter(leaves) {
                self.known_leaving = self.known_leaving.max(entry.started_unix_ms);
            }
        }
        self.fleet.remove_expired(now);
    }

    fn step(&mut self, command: u8) {
        self.now_ms += 100;
        match command % 10 {
            0 | 1 => self.read(),
            2 if self.start > 0 => self.write_own_state(),
            3 => self.write(None),
            4 => self.is_leaving = self.start > 0,
            // an answer that says so
            5 if self.start > 0 => {
                self.is_leaving = true;
                let id = FastStr::from_static_str("a");
                self.fleet.record_leaving(at(self.now_ms), &id, self.start);
                self.known_leaving = self.known_leaving.max(self.start);
            }
            6 => {
                self.start += 1;
                self.is_leaving = false;
                self.write_own_state();
            }
            7 => self.copy = Some((self.entry.clone(), self.end)),
            8 => {
                if let Some((entry, end)) = self.copy.clone() {
                    let era = (self.end >> 32) + 1;
                    let place = |position: u64| (era << 32) | (position & u64::from(u32::MAX));
                    self.entry = entry.map(|target| Target {
                        registered_at: place(target.registered_at),
                        ..target
                    });
                    self.end = place(end);
                }
            }
            // a late heartbeat from before it left
            9 if self.start > 0 => self.write(Some(TargetState::Ready)),
            _ => {}
        }
    }
}

// A start that is known to leave is never ready again, and a sound target that has just written its
// entry is ready at once.
#[test]
fn fleet_random_registries() {
    #[expect(clippy::needless_pass_by_value, reason = "as quickcheck calls it")]
    fn holds(commands: Vec<u8>) -> bool {
        let mut world = World { end: 1, ..World::default() };
        commands.iter().all(|command| {
            world.step(*command);
            let ready = world.fleet.ready("a").map(|target| target.started_unix_ms);
            let leaves = ready.is_some_and(|start| start <= world.known_leaving);
            let is_sound = world.start > 0 && !world.is_leaving;
            let is_missing = command % 10 == 2 && is_sound && {
                // an entry written before the first read after a restore may be one of the copy
                world.read();
                world.write_own_state();
                world.read();
                world.fleet.ready("a").is_none()
            };
            !leaves && !is_missing
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 20_261_204))
        .tests(3000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}
