//! Streams whose targets send bytes that are no events.

use egret_core::{EventSplitter, EventWait, EventWaitStep, Time};

const GAP_MS: u64 = 1000;
const DEADLINE: Time = Time::from_millis(6000);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Plays bytes that arrive at these times. Returns when the target counted as silent, or the deadline
/// was seen.
fn play(arrivals: impl Iterator<Item = (u64, &'static [u8])>) -> (u64, EventWaitStep) {
    let mut splitter = EventSplitter::default();
    let mut wait = EventWait::new(at(GAP_MS), DEADLINE);
    for (ms, bytes) in arrivals {
        match wait.step(at(ms)) {
            EventWaitStep::Wait(_) | EventWaitStep::TakeReady => {}
            step => return (ms, step),
        }
        let before = splitter.content_count();
        splitter.push(bytes).unwrap();
        if splitter.content_count() > before {
            wait.restart(at(ms + GAP_MS));
        }
    }
    panic!("the stream went on");
}

// A byte, a comment line or half an event every 300 ms counted as life, so the stream was not moved.
#[test]
fn step_drips_are_silence() {
    for bytes in [&b"x"[..], b": comment\n", b": comment\n\n", b"id: 1\nda", b"retry: 3\n\n", b"\n"]
    {
        let drips = (0..100).map(|n| (300 * n, bytes));
        assert_eq!(play(drips), (1200, EventWaitStep::Silent), "{bytes:?}");
    }
}

// Bytes that arrived without pause kept a stream beyond its deadline.
#[test]
fn step_deadline_is_seen_while_bytes_arrive() {
    let mut wait = EventWait::new(Time::NEVER, DEADLINE);
    assert_eq!(wait.step(at(5999)), EventWaitStep::Wait(DEADLINE));
    assert_eq!(wait.step(at(6000)), EventWaitStep::TakeReady);
    wait.restart(at(7000));
    assert_eq!(wait.step(at(6399)), EventWaitStep::TakeReady);
    assert_eq!(wait.step(at(6400)), EventWaitStep::DeadlinePassed);
}

#[test]
fn step_slow_but_sound_stream() {
    let events = (0..7).map(|n| (900 * n, &b"data: x\n\n"[..]));
    assert_eq!(play(events.chain([(6400, &b""[..])])), (6400, EventWaitStep::DeadlinePassed));
}

#[test]
fn resume_slow_caller_is_no_silence() {
    let mut wait = EventWait::new(at(GAP_MS), DEADLINE);
    wait.pause(at(400));
    wait.resume(at(3400));
    assert_eq!(wait.step(at(3999)), EventWaitStep::Wait(at(4000)));
    assert_eq!(wait.step(at(4000)), EventWaitStep::Silent);
}

// Each byte of an event without an end was looked at again with each further one.
#[test]
fn push_single_bytes_take_linear_time() {
    let started = std::time::Instant::now();
    let mut splitter = EventSplitter::default();
    for _ in 0..200 * 1024 {
        splitter.push(b"x").unwrap();
    }
    assert_eq!(splitter.push(b"\n\n").unwrap().len(), 200 * 1024 + 2);
    assert!(started.elapsed().as_secs() < 5, "took {:?}", started.elapsed());
}

#[test]
fn push_blank_line_in_single_bytes() {
    let mut splitter = EventSplitter::default();
    let mut passed_on = Vec::new();
    let stream = b"id: 1\r\ndata: a\r\n\r\n: c\n\nid: 2\ndata: b\n\n";
    for byte in stream {
        passed_on.extend(splitter.push(std::slice::from_ref(byte)).unwrap());
    }
    assert_eq!(passed_on, stream);
    assert_eq!((splitter.event_count(), splitter.content_count()), (3, 2));
    assert_eq!(splitter.last_number(), Some(2));
}
