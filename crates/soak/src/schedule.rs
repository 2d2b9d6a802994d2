//! The schedule of faults, a function of the seed.

use {
    clap::ValueEnum,
    egret_standin::{
        platform::StoreFault,
        relay::{Flow, RelayFaults},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::fmt::{self, Display},
};

/// Time before the first fault, in milliseconds.
const SETTLE_MS: u64 = 3000;

/// Time without unplanned faults before planned ones, in milliseconds.
const QUIET_MS: u64 = 4000;

/// Share of unplanned faults beside which all targets change their version.
const RELEASE_SHARE: f64 = 0.04;

/// Share of unplanned faults that come while the store is harmed.
const STORE_SHARE: f64 = 0.25;

/// Length of a time in which a service is brittle, in milliseconds.
const BRITTLE_MS: std::ops::Range<u64> = 6000..14_000;

/// Time between two of these, in milliseconds.
const BRITTLE_GAP_MS: std::ops::Range<u64> = 4000..12_000;

/// True if targets of two software versions serve from the start.
pub(crate) fn starts_mixed(seed: u64) -> bool {
    seed % 2 == 1
}

/// Kinds of faults, any of which a run can leave out.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum FaultKind {
    /// Answers with neither a length nor chunks.
    Unframed,
    /// Targets that come back under their id with another software version.
    InPlace,
    /// SIGKILL of targets.
    TargetKills,
    /// SIGTERM of targets.
    TargetStops,
    /// SIGSTOP and SIGCONT of targets.
    TargetFreezes,
    /// SIGKILL of hosts.
    HostKills,
    /// SIGTERM of hosts.
    HostStops,
    /// SIGSTOP and SIGCONT of hosts.
    HostFreezes,
    /// New settings and SIGHUP at hosts.
    HostSettings,
    /// Faults of the store for all.
    Store,
    /// The store away for a moment and back from an older copy.
    StoreCopies,
    /// Faults of the paths between hosts and the store.
    StorePaths,
    /// Faults of the paths between hosts and targets.
    TargetPaths,
    /// Faults of the paths between callers and hosts.
    CallerPaths,
    /// Bursts at a service whose targets are brittle.
    Brittle,
}

/// A service of the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// Engines, which stream.
    Engines,
    /// Targets with whole answers.
    Plain,
}

/// How a target comes back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Back {
    /// Milliseconds from its end to its next start.
    pub after_ms: u64,
    /// True if it keeps its id and address.
    pub keeps_id: bool,
    /// True if it runs the other software version.
    pub changes_version: bool,
}

/// One fault. Hosts and targets are named by their indices.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fault {
    /// SIGKILL of targets.
    KillTargets(Vec<usize>, Back),
    /// SIGTERM of a target.
    StopTarget(usize, Back),
    /// SIGSTOP of a target for this many milliseconds.
    FreezeTarget(usize, u64),
    /// SIGKILL of hosts, which start again after this many milliseconds.
    KillHosts(Vec<usize>, u64),
    /// SIGTERM of hosts, which start again at once.
    StopHosts(Vec<usize>),
    /// SIGSTOP of hosts for this many milliseconds.
    FreezeHosts(Vec<usize>, u64),
    /// New settings and SIGHUP at a host.
    ReloadHost(usize),
    /// SIGTERM of a host, which starts again as the other build.
    ReplaceHost(usize),
    /// A fault of the store for this many milliseconds.
    Store(StoreFault, u64),
    /// The store is copied, goes away after this many milliseconds and comes back from the copy.
    RestoreStore(u64),
    /// A fault of a host's path to the store for this many milliseconds.
    StorePath(usize, RelayFaults, u64),
    /// A fault of the hosts' path to a target for this many milliseconds.
    TargetPath(usize, RelayFaults, u64),
    /// A fault of the callers' path to a host for this many milliseconds.
    CallerPath(usize, RelayFaults, u64),
    /// The targets of a service are brittle for this many milliseconds, under a burst.
    Brittle(Service, u64),
}

impl Fault {
    fn kind(&self) -> FaultKind {
        match self {
            Self::KillTargets(..) => FaultKind::TargetKills,
            Self::StopTarget(..) => FaultKind::TargetStops,
            Self::FreezeTarget(..) => FaultKind::TargetFreezes,
            Self::KillHosts(..) => FaultKind::HostKills,
            Self::StopHosts(_) | Self::ReplaceHost(_) => FaultKind::HostStops,
            Self::FreezeHosts(..) => FaultKind::HostFreezes,
            Self::ReloadHost(_) => FaultKind::HostSettings,
            Self::Store(..) => FaultKind::Store,
            Self::RestoreStore(_) => FaultKind::StoreCopies,
            Self::StorePath(..) => FaultKind::StorePaths,
            Self::TargetPath(..) => FaultKind::TargetPaths,
            Self::CallerPath(..) => FaultKind::CallerPaths,
            Self::Brittle(..) => FaultKind::Brittle,
        }
    }
}

/// What a schedule is drawn for.
#[derive(Clone, Debug)]
pub struct ScheduleConf {
    /// Seed of all draws.
    pub seed: u64,
    /// Seconds in which faults begin.
    pub seconds: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// True if all hosts are replaced by another build, one after the other, and back.
    pub replaces_hosts: bool,
    /// Kinds that are left out.
    pub without: Vec<FaultKind>,
}

/// Faults by their time in milliseconds since the start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Schedule(pub Vec<(u64, Fault)>);

impl Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(at_ms, fault)| writeln!(f, "{at_ms:>7} ms  {fault:?}"))
    }
}

impl Schedule {
    /// Draws the schedule of a seed. What is left out does not change the other draws.
    #[must_use]
    pub fn draw(conf: &ScheduleConf) -> Self {
        let mut draws = Draws { rng: ChaCha8Rng::seed_from_u64(conf.seed), conf };
        let end_ms = conf.seconds * 1000;
        let mut faults = Vec::new();
        let mut at_ms = SETTLE_MS;
        while at_ms < end_ms {
            let is_planned = draws.rng.random_bool(0.25);
            let length_ms = draws.rng.random_range(6000..12_000);
            if is_planned {
                at_ms += QUIET_MS;
            }
            let until_ms = (at_ms + length_ms).min(end_ms);
            while at_ms < until_ms {
                let fault = if is_planned { draws.planned() } else { draws.unplanned() };
                if !is_planned && draws.rng.random_bool(STORE_SHARE) {
                    // hosts learn late what the fault changes
                    let lead_ms = draws.rng.random_range(0..500);
                    faults.push((at_ms - lead_ms, draws.store_fault()));
                }
                faults.push((at_ms, fault));
                if !is_planned && draws.rng.random_bool(RELEASE_SHARE) {
                    faults.extend(draws.release(at_ms));
                }
                let overlaps = draws.rng.random_bool(0.35);
                let gap_ms = if overlaps { 20..300 } else { 400..2500 };
                at_ms += draws.rng.random_range(gap_ms);
            }
        }
        if conf.replaces_hosts {
            let step_ms = (end_ms - SETTLE_MS) / (2 * conf.hosts as u64 + 1);
            let hosts = (0..conf.hosts).chain(0..conf.hosts).zip(0..);
            faults
                .extend(hosts.map(|(host, n)| (SETTLE_MS + n * step_ms, Fault::ReplaceHost(host))));
        }
        faults.extend(draw_brittle(conf));
        faults.retain(|(_, fault)| !conf.without.contains(&fault.kind()));
        faults.sort_by_key(|(at_ms, _)| *at_ms);
        Self(faults)
    }
}

// one service after the other, so that the times of one do not overlap
fn draw_brittle(conf: &ScheduleConf) -> Vec<(u64, Fault)> {
    let mut rng = ChaCha8Rng::seed_from_u64(conf.seed);
    rng.set_stream(1);
    let mut faults = Vec::new();
    let mut at_ms = SETTLE_MS + rng.random_range(0..8000);
    while at_ms < conf.seconds * 1000 {
        let service = if rng.random_bool(0.5) { Service::Engines } else { Service::Plain };
        let length_ms = rng.random_range(BRITTLE_MS);
        faults.push((at_ms, Fault::Brittle(service, length_ms)));
        at_ms += length_ms + rng.random_range(BRITTLE_GAP_MS);
    }
    faults
}

struct Draws<'a> {
    rng: ChaCha8Rng,
    conf: &'a ScheduleConf,
}

impl Draws<'_> {
    // one of them, some or all
    fn some_of(&mut self, count: usize) -> Vec<usize> {
        let first = self.rng.random_range(0..count);
        match self.rng.random_range(0..10) {
            0 => (0..count).collect(),
            1..=3 => (0..count).filter(|n| *n == first || self.rng.random_bool(0.4)).collect(),
            _ => vec![first],
        }
    }

    fn back(&mut self) -> Back {
        // where all targets begin at one version, the other one joins late
        let change_share = if starts_mixed(self.conf.seed) { 0.5 } else { 0.1 };
        let changes_version = self.rng.random_bool(change_share);
        self.back_at(changes_version)
    }

    fn back_at(&mut self, changes_version: bool) -> Back {
        let keeps_id = self.rng.random_bool(0.5);
        let is_quick = self.rng.random_bool(0.5);
        let is_in_place = keeps_id && changes_version;
        Back {
            after_ms: self.rng.random_range(if is_quick { 20..300 } else { 300..3500 }),
            keeps_id: keeps_id && !(is_in_place && self.conf.without.contains(&FaultKind::InPlace)),
            changes_version,
        }
    }

    // all targets change their version, one after the other
    fn release(&mut self, from_ms: u64) -> Vec<(u64, Fault)> {
        let step_ms = self.rng.random_range(50..1500);
        let times = (0..).map(|n| from_ms + n * step_ms);
        let faults = (0..self.conf.targets).map(|n| Fault::StopTarget(n, self.back_at(true)));
        times.zip(faults).collect()
    }

    fn relay_faults(&mut self) -> RelayFaults {
        let none = RelayFaults::default();
        match self.rng.random_range(0..6) {
            0 => RelayFaults { cut: true, ..none },
            1 => RelayFaults { cut: true, reset: true, ..none },
            2 => RelayFaults { silence_open: true, ..none },
            3 => RelayFaults { hold: Some(Flow::Answers), ..none },
            4 => RelayFaults { hold: Some(Flow::Requests), ..none },
            _ => RelayFaults { delay_ms: self.rng.random_range(20..400), ..none },
        }
    }

    fn store_fault(&mut self) -> Fault {
        let ms = self.rng.random_range(500..4000);
        match self.rng.random_range(0..6) {
            0 => Fault::Store(StoreFault::Slow(self.rng.random_range(50..900)), ms),
            1 => Fault::Store(StoreFault::Refuse(503), ms),
            2 => Fault::Store(StoreFault::Silent, ms),
            3 => Fault::Store(StoreFault::Reset, ms),
            _ => {
                let host = self.rng.random_range(0..self.conf.hosts);
                Fault::StorePath(host, self.relay_faults(), ms)
            }
        }
    }

    fn planned(&mut self) -> Fault {
        match self.rng.random_range(0..3) {
            0 => Fault::ReloadHost(self.rng.random_range(0..self.conf.hosts)),
            _ => Fault::StopHosts(self.some_of(self.conf.hosts)),
        }
    }

    fn unplanned(&mut self) -> Fault {
        let ms = self.rng.random_range(200..4000);
        let host = self.rng.random_range(0..self.conf.hosts);
        let target = self.rng.random_range(0..self.conf.targets);
        match self.rng.random_range(0..23) {
            0..=4 => Fault::KillTargets(self.some_of(self.conf.targets), self.back()),
            5..=7 => Fault::StopTarget(target, self.back()),
            8 => Fault::FreezeTarget(target, ms / 3),
            9..=11 => Fault::KillHosts(self.some_of(self.conf.hosts), ms),
            12 | 13 => self.planned(),
            14 => Fault::FreezeHosts(self.some_of(self.conf.hosts), ms),
            15..=17 => self.store_fault(),
            18 | 19 => Fault::TargetPath(target, self.relay_faults(), ms),
            20 | 21 => Fault::CallerPath(host, self.relay_faults(), ms),
            _ => Fault::RestoreStore(ms),
        }
    }
}
