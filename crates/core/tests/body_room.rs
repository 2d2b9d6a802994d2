//! Memory for the bodies of requests under crowds of callers that stop short.

use {
    egret_core::{BodyDecision, BodyRoom, Time},
    quickcheck::{Gen, QuickCheck},
};

const MB: usize = 1024 * 1024;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

// begins a body that is slow 5 s later, and takes `bytes` for it
fn hold(room: &mut BodyRoom, ms: u64, bytes: usize) -> (u64, BodyDecision) {
    let id = room.begin(at(ms), at(ms + 5000));
    (id, room.take(at(ms), id, bytes))
}

// fills the room with bodies of 10 KB, which begin a millisecond after each other
fn crowd(room: &mut BodyRoom) -> Vec<u64> {
    let mut ids = Vec::new();
    loop {
        let (id, decision) = hold(room, ids.len() as u64, 10_000);
        if decision != BodyDecision::Taken {
            room.remove(id);
            return ids;
        }
        ids.push(id);
    }
}

// Bodies that had stopped kept out those of the callers that came next.
#[test]
fn take_cuts_those_that_stopped_longest() {
    let mut room = BodyRoom::new(MB, 16 * MB);
    let ids = crowd(&mut room);
    assert_eq!(ids.len(), 104);
    let (caller, decision) = hold(&mut room, 2000, 15_000);
    assert_eq!(decision, BodyDecision::Cut(vec![ids[0]]));
    room.remove(ids[0]);
    assert_eq!(room.take(at(2010), caller, 15_000), BodyDecision::Taken);
    let (_, decision) = hold(&mut room, 2020, 15_000);
    assert_eq!(decision, BodyDecision::Cut(ids[1..3].to_vec()));
}

// Callers were refused while memory was about to be given back.
#[test]
fn take_waits_for_bodies_that_are_being_cut() {
    let mut room = BodyRoom::new(MB, MB);
    let ids = crowd(&mut room);
    for id in &ids[1..] {
        room.complete(*id, 10_000);
    }
    assert_eq!(hold(&mut room, 2000, 10_000).1, BodyDecision::Cut(vec![ids[0]]));
    let (next, decision) = hold(&mut room, 2001, 9000);
    assert_eq!(decision, BodyDecision::Cut(Vec::new()));
    // the body was complete before it was cut
    room.complete(ids[0], 10_000);
    assert_eq!(room.take(at(2002), next, 9000), BodyDecision::Full);
}

// A configuration that allows huge bodies made the room larger than the machine.
#[test]
fn fit_keeps_to_machine() {
    let mut room = BodyRoom::new(MB, 2 * MB);
    room.fit(1024 * MB);
    assert_eq!(hold(&mut room, 0, 2 * MB).1, BodyDecision::Full);
    assert_eq!(hold(&mut room, 0, MB).1, BodyDecision::Taken);
}

#[test]
fn take_spares_bodies_that_arrive() {
    let mut room = BodyRoom::new(MB, 16 * MB);
    let ids = crowd(&mut room);
    let (_, decision) = hold(&mut room, 900, 10_000);
    assert_eq!(decision, BodyDecision::Full, "no body has paused for a second");
    // all but one go on
    for id in &ids[1..] {
        room.record_part(at(1400), *id);
    }
    let (_, decision) = hold(&mut room, 2000, 10_000);
    assert_eq!(decision, BodyDecision::Cut(vec![ids[0]]));
}

// A byte now and then kept a body alive.
#[test]
fn take_cuts_trickling_bodies() {
    let mut room = BodyRoom::new(MB, 16 * MB);
    let ids = crowd(&mut room);
    for ms in (500..=5500).step_by(500) {
        for id in &ids {
            room.record_part(at(ms), *id);
        }
    }
    let (_, decision) = hold(&mut room, 5600, 10_000);
    assert_eq!(decision, BodyDecision::Cut(vec![ids[0]]));
}

#[test]
fn take_never_cuts_complete_bodies() {
    let mut room = BodyRoom::new(MB, 16 * MB);
    for id in crowd(&mut room) {
        room.complete(id, 10_000);
    }
    let (_, decision) = hold(&mut room, 60_000, 10_000);
    assert_eq!(decision, BodyDecision::Full);
}

// Large bodies kept out small ones.
#[test]
fn take_leaves_a_part_to_small_bodies() {
    let mut room = BodyRoom::new(4 * MB, 16 * MB);
    let (_, decision) = hold(&mut room, 0, 3 * MB);
    assert_eq!(decision, BodyDecision::Taken);
    assert_eq!(hold(&mut room, 0, 100_000).1, BodyDecision::Full);
    assert_eq!(hold(&mut room, 0, 10_000).1, BodyDecision::Taken);
}

// One caller inside the limits was refused on the smallest machine.
#[test]
fn fit_two_largest_bodies() {
    let mut room = BodyRoom::new(MB, 16 * MB);
    room.fit(4 * MB);
    assert_eq!(hold(&mut room, 0, 4 * MB).1, BodyDecision::Taken);
    assert_eq!(hold(&mut room, 0, 4 * MB).1, BodyDecision::Taken);
    assert_eq!(hold(&mut room, 0, 4 * MB).1, BodyDecision::Full);
}

// whatever comes, the room holds what its bodies have taken, and no more than it has
#[test]
fn take_any_order_stays_within_room() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut room = BodyRoom::new(MB, 16 * MB);
        let mut held: Vec<(u64, usize)> = Vec::new();
        for (now, (kind, which, bytes)) in (0..).zip(steps) {
            let bytes = usize::from(bytes) * 4;
            let index = usize::from(which) % held.len().max(1);
            match (kind % 4, held.get_mut(index)) {
                (0, _) => held.push((room.begin(at(now * 100), at(now * 100 + 3000)), 0)),
                (1, Some((id, taken))) => {
                    let is_taken = room.take(at(now * 100), *id, bytes) == BodyDecision::Taken;
                    *taken += if is_taken { bytes } else { 0 };
                }
                (2, Some((id, taken))) => {
                    *taken = bytes.min(*taken);
                    room.complete(*id, *taken);
                }
                (3, Some(_)) => {
                    let (id, _) = held.swap_remove(index);
                    room.remove(id);
                }
                _ => {}
            }
            let sum: usize = held.iter().map(|(_, taken)| taken).sum();
            if room.taken() != sum || sum > MB {
                return false;
            }
        }
        true
    }
    let cases = QuickCheck::new().tests(500);
    cases
        .rng(Gen::from_size_and_seed(400, 58))
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}
