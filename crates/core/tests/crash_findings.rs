//! Refusals of what crashes targets over the lives of processes: how often they are tested, by whom.

use {
    egret_core::{
        CrashFinding, CrashReports, CrashVerdict, Fingerprint, HostProcess, Suspect, Time,
    },
    faststr::FastStr,
    indexmap::IndexMap,
    quickcheck::{Gen, QuickCheck},
};

/// Tests of one part over the life of its finding.
const TESTS_MAX: usize = 3;

const PART: Suspect = Suspect::Part(Fingerprint(0xdead));

/// Unix time at the origin of the clock, in milliseconds.
const UNIX_MS: u64 = 1_800_000_000_000;

struct Host {
    process: HostProcess,
    reports: CrashReports,
    // records of the log that it has read
    read: usize,
}

/// Hosts with a host log.
struct Scene {
    now_ms: u64,
    hosts: Vec<Host>,
    log: Vec<(Suspect, Option<CrashFinding>)>,
    crashes: u64,
    starts: u64,
}

impl Scene {
    fn new(hosts: usize) -> Self {
        let mut scene =
            Self { now_ms: 1000, hosts: Vec::new(), log: Vec::new(), crashes: 0, starts: 0 };
        for number in 0..hosts {
            let host = scene.start(number);
            scene.hosts.push(host);
        }
        scene
    }

    fn start(&mut self, number: usize) -> Host {
        self.starts += 1;
        let host = FastStr::from_string(format!("h{number}"));
        let process = HostProcess { host, incarnation: self.starts };
        Host { process, reports: CrashReports::default(), read: 0 }
    }

    fn now(&self) -> Time {
        Time::from_millis(self.now_ms)
    }

    fn times(&self) -> (Time, u64) {
        (self.now(), UNIX_MS + self.now_ms)
    }

    /// A request with the part crashes a target, as all hosts know.
    fn crash(&mut self) {
        self.crashes += 1;
        let now = self.now();
        for host in &mut self.hosts {
            let id = (FastStr::from_string(format!("t-{}", self.crashes)), 1);
            host.reports.record_crash(now, id, [PART]);
        }
    }

    /// A host reads the log, as its newest records if it has just started.
    fn read(&mut self, number: usize) {
        let times = self.times();
        let host = &mut self.hosts[number];
        let mut records: Vec<(Suspect, Option<CrashFinding>)> = self.log[host.read..].to_vec();
        if host.read == 0 {
            let newest: IndexMap<Suspect, Option<CrashFinding>> = records.into_iter().collect();
            host.reports.record_listing(&newest.keys().copied().collect());
            records = newest.into_iter().filter(|(_, finding)| finding.is_some()).collect();
        }
        host.read = self.log.len();
        for (suspect, finding) in records {
            host.reports.apply_finding(times, &host.process, suspect, finding);
        }
    }

    /// A host writes what is due. That fails if it has not read the whole log.
    fn write(&mut self, number: usize, is_first: bool) {
        let times = self.times();
        let host = &mut self.hosts[number];
        let findings = host.reports.findings_to_write(times, &host.process, |_| is_first);
        let removals = host.reports.findings_to_remove(times.0);
        if host.read == self.log.len() {
            self.log.extend(findings.into_iter().map(|(suspect, f)| (suspect, Some(f))));
            let removals = removals.into_iter().filter(|_| is_first);
            self.log.extend(removals.map(|suspect| (suspect, None)));
        }
    }

    fn exchange(&mut self) {
        for number in 0..self.hosts.len() {
            self.write(number, number == 0);
            for reader in 0..self.hosts.len() {
                self.read(reader);
            }
        }
    }

    fn judge(&mut self, number: usize, is_tester: bool) -> CrashVerdict {
        let now = self.now();
        self.hosts[number].reports.judge(now, &[PART], is_tester)
    }

    /// Requests with the part at all hosts for so many seconds. Each test crashes a target. Returns the
    /// seconds in which there was one.
    fn send_for(&mut self, seconds: u64) -> Vec<u64> {
        let mut tests = Vec::new();
        for second in 1..=seconds {
            self.now_ms += 1000;
            for number in 0..self.hosts.len() {
                if self.judge(number, number == 0) == CrashVerdict::Test {
                    tests.push(second);
                    self.crash();
                }
            }
            self.exchange();
        }
        tests
    }

    fn kill_all(&mut self) {
        for number in 0..self.hosts.len() {
            self.hosts[number] = self.start(number);
            self.read(number);
        }
    }

    fn is_refused(&self, number: usize) -> bool {
        self.hosts[number].reports.is_refused(&[PART])
    }
}

fn scene_with_refused_part(crashes: usize) -> Scene {
    let mut scene = Scene::new(3);
    for _ in 0..crashes {
        scene.crash();
    }
    scene.exchange();
    scene
}

// The fourth request with a part that crashes targets was sent some 80 s after the fifth crash.
#[test]
fn judge_part_is_tested_three_times() {
    let mut scene = scene_with_refused_part(6);
    assert_eq!(scene.send_for(3600), [6, 17, 38]);
    assert!(scene.is_refused(1));
}

// After all hosts were killed, the part was unknown and was tested anew.
#[test]
fn judge_all_hosts_are_killed() {
    for killed_after in [1, 6, 10, 17, 30, 60] {
        let mut scene = scene_with_refused_part(3);
        let before = scene.send_for(killed_after).len();
        for _ in 0..3 {
            scene.kill_all();
            assert!((0..3).all(|number| scene.is_refused(number)));
        }
        let after = scene.send_for(3600).len();
        assert!(before + after <= TESTS_MAX, "{before} and {after} after {killed_after} s");
        assert!(after > 0 || before == TESTS_MAX || killed_after < 6);
    }
}

// The finding about a part that is sound outlives its hosts as well.
#[test]
fn judge_sound_part_after_kill() {
    let mut scene = scene_with_refused_part(3);
    scene.kill_all();
    scene.now_ms += 4000;
    for _ in 0..3 {
        scene.now_ms += 1000;
        if scene.judge(0, true) == CrashVerdict::Test {
            let now = scene.now();
            assert_eq!(scene.hosts[0].reports.record_sound(now, [PART]), [PART]);
        }
        scene.exchange();
    }
    assert!((0..3).all(|number| !scene.is_refused(number)));
    scene.kill_all();
    assert!((0..3).all(|number| !scene.is_refused(number)));
}

// Each host takes itself for the one that tests.
#[test]
fn judge_hosts_differ_on_the_tester() {
    let mut scene = scene_with_refused_part(4);
    let mut tests = 0;
    for _ in 0..600 {
        scene.now_ms += 1000;
        for number in 0..3 {
            if scene.judge(number, true) == CrashVerdict::Test {
                tests += 1;
                scene.crash();
            }
        }
        scene.exchange();
    }
    assert_eq!(tests, TESTS_MAX);
}

#[test]
fn return_test_of_unsent_request() {
    let mut scene = scene_with_refused_part(3);
    scene.now_ms += 6000;
    assert!(matches!(scene.judge(0, true), CrashVerdict::Refused(_)));
    scene.exchange();
    for _ in 0..10 {
        assert_eq!(scene.judge(0, true), CrashVerdict::Test);
        let now = scene.now();
        scene.hosts[0].reports.return_test(now, &[PART]);
    }
    assert_eq!(scene.send_for(600).len(), TESTS_MAX);
}

#[test]
fn finding_expires_unless_confirmed() {
    const SHORT_S: u64 = 600;
    for (is_confirmed, kept_s) in [(false, SHORT_S), (true, 24 * 3600)] {
        let mut scene = scene_with_refused_part(if is_confirmed { 5 } else { 3 });
        scene.exchange();
        scene.kill_all();
        scene.now_ms += (kept_s - 1) * 1000;
        scene.exchange();
        assert!(scene.is_refused(0), "confirmed: {is_confirmed}");
        scene.now_ms += 2000;
        scene.exchange();
        assert!(!scene.is_refused(0) && !scene.is_refused(1), "confirmed: {is_confirmed}");
    }
}

// The store came back from a copy without the finding, or with an earlier one.
#[test]
fn finding_is_written_again_after_restore() {
    for kept in [0, 1] {
        let mut scene = scene_with_refused_part(3);
        assert_eq!(scene.send_for(20).len(), 2);
        scene.log.truncate(kept);
        for host in &mut scene.hosts {
            host.read = 0;
        }
        for number in 0..3 {
            scene.read(number);
        }
        scene.exchange();
        scene.kill_all();
        assert_eq!(scene.send_for(3600).len(), 1, "{kept} records kept");
    }
}

// Whatever the order of kills, reads, appends and views, no part has more tests than are allowed.
#[test]
fn judge_any_order_tests_are_bounded() {
    #[expect(clippy::needless_pass_by_value, reason = "as quickcheck calls it")]
    fn holds(commands: Vec<(u8, u8)>) -> bool {
        let mut scene = scene_with_refused_part(3);
        let mut tests = 0;
        for (kind, number) in &commands {
            let host = usize::from(number % 3);
            match kind % 8 {
                0 => {
                    scene.hosts[host] = scene.start(host);
                    scene.read(host);
                }
                1 => scene.kill_all(),
                2 => scene.read(host),
                3 => scene.write(host, number / 128 == 0),
                4 => scene.now_ms += 100 * u64::from(*number),
                5 => scene.exchange(),
                _ => {
                    if scene.judge(host, number / 128 == 0) == CrashVerdict::Test {
                        tests += 1;
                        if number / 64 % 2 == 0 {
                            scene.crash();
                        }
                    }
                }
            }
        }
        tests <= TESTS_MAX
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 20_261_207))
        .tests(400)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}
