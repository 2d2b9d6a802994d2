//! One run: start, faults under load, end, checks.

use {
    crate::{
        caller::{Callers, run_burst_caller, run_caller},
        checks::{
            Attempt, End, Route, Violation, check_falls, check_lost, check_mixed, check_order,
            check_refused, check_twice,
        },
        fleet::{Fleet, FleetConf, PLAIN_TARGETS},
        schedule::{Fault, FaultKind, Schedule, ScheduleConf, starts_mixed},
    },
    indexmap::IndexMap,
    std::{
        fmt::Write,
        io,
        path::{Path, PathBuf},
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Callers, each of which has one open call at most.
const CALLERS: u64 = 30;

/// Further callers while the targets of a service are brittle.
const BURST_CALLERS: u64 = 60;

/// Time without faults before the end of the load, in seconds.
const CALM_S: u64 = 8;

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct SoakConf {
    /// Seed of the schedule and of the load.
    pub seed: u64,
    /// Seconds in which faults begin; the load goes on a little longer.
    pub seconds: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of engines.
    pub engines: usize,
    /// Program of the hosts; without it, the one beside this program.
    pub edge: Option<PathBuf>,
    /// An older build, from which hosts are replaced one after the other, and back.
    pub old_edge: Option<PathBuf>,
    /// Kinds of faults that are left out.
    pub without: Vec<FaultKind>,
    /// Existing folder for settings and logs.
    pub folder: PathBuf,
}

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// Broken rules.
    pub violations: Vec<Violation>,
    /// All attempts.
    pub attempts: Vec<Attempt>,
    /// What went otherwise than the schedule has it.
    pub notes: Vec<String>,
}

impl SoakConf {
    /// The schedule of this run.
    #[must_use]
    pub fn schedule(&self) -> Schedule {
        Schedule::draw(&ScheduleConf {
            seed: self.seed,
            seconds: self.seconds,
            hosts: self.hosts,
            targets: self.engines + PLAIN_TARGETS,
            replaces_hosts: self.old_edge.is_some(),
            without: self.without.clone(),
        })
    }
}

/// Plays one run.
///
/// # Errors
///
/// When a process can't be started or does not get ready.
pub async fn play(conf: &SoakConf) -> io::Result<Report> {
    let fleet = Fleet::start(FleetConf {
        folder: conf.folder.clone(),
        hosts: conf.hosts,
        engines: conf.engines,
        edge: conf.edge.clone(),
        old_edge: conf.old_edge.clone(),
        without: conf.without.clone(),
        starts_mixed: starts_mixed(conf.seed),
    })
    .await?;
    // dropping it ends the load balancer
    let mut balancer = JoinSet::new();
    balancer.spawn(fleet.clone().balance());
    fleet.wait_until_ready().await?;
    let start = Instant::now();
    let callers = Arc::new(Callers {
        fleet: fleet.clone(),
        seed: conf.seed,
        until: start + Duration::from_secs(conf.seconds + CALM_S),
        attempts: parking_lot::Mutex::default(),
        calls: AtomicU64::default(),
    });
    let mut load: JoinSet<()> =
        (0..CALLERS).map(|number| run_caller(callers.clone(), number)).collect();
    let mut faults = JoinSet::new();
    for (at_ms, fault) in conf.schedule().0 {
        tokio::time::sleep_until((start + Duration::from_millis(at_ms)).into()).await;
        if let Fault::Brittle(service, ms) = fault {
            let until = Instant::now() + Duration::from_millis(ms);
            for number in 0..BURST_CALLERS {
                load.spawn(run_burst_caller(callers.clone(), number, service, until));
            }
        }
        faults.spawn(fleet.clone().play(fault));
    }
    while load.join_next().await.is_some() {}
    while faults.join_next().await.is_some() {}
    let executed = fleet.end()?;
    let attempts = std::mem::take(&mut *callers.attempts.lock());
    let violations = [
        check_order(&attempts),
        check_mixed(&attempts),
        check_twice(&attempts, &executed),
        check_refused(&attempts, &executed),
        check_lost(&attempts, &executed, &fleet.history()),
        check_falls(&fleet.history()),
    ];
    Ok(Report { violations: violations.concat(), attempts, notes: fleet.notes() })
}

impl Report {
    /// Number of calls of a route that got a whole answer with status 200.
    #[must_use]
    pub fn served(&self, route: Route) -> usize {
        let is_served =
            |a: &&Attempt| a.route == route && a.status == Some(200) && a.end == End::Whole;
        self.attempts.iter().filter(is_served).count()
    }

    /// Number of attempts that went on with a stream of an earlier attempt.
    #[must_use]
    pub fn resumed(&self) -> usize {
        let goes_on = |a: &&Attempt| a.resumes_after > 0 && a.status == Some(200);
        self.attempts.iter().filter(goes_on).count()
    }

    /// Counts, notes, and each violation with its attempts and the lines of the logs in `folder`
    /// that name them.
    #[must_use]
    pub fn text(&self, folder: &Path) -> String {
        let mut text = String::new();
        for route in [Route::Stream, Route::Frail, Route::Once, Route::Safe] {
            let of_route = || self.attempts.iter().filter(|a| a.route == route);
            let mut ends: IndexMap<String, usize> = IndexMap::new();
            for attempt in of_route() {
                let status = attempt.status.map_or("none".to_owned(), |s| s.to_string());
                *ends.entry(format!("{status} {:?}", attempt.end)).or_default() += 1;
            }
            ends.sort_keys();
            let calls: std::collections::HashSet<u64> = of_route().map(|a| a.call).collect();
            let _ = writeln!(
                text,
                "{}: {} calls, {} served; attempts {ends:?}",
                route.name(),
                calls.len(),
                self.served(route)
            );
        }
        let _ = writeln!(text, "{} attempts went on with a stream", self.resumed());
        for note in &self.notes {
            let _ = writeln!(text, "{note}");
        }
        for violation in &self.violations {
            let _ = writeln!(text, "\n{violation}");
            let mut ids = Vec::new();
            for attempt in self.attempts.iter().filter(|a| a.call == violation.call) {
                let _ = writeln!(text, "  {attempt:?}");
                ids.push(format!("={} ", attempt.id));
            }
            text += &log_lines(folder, &ids);
        }
        let _ = writeln!(text, "{} violations", self.violations.len());
        text
    }
}

fn log_lines(folder: &Path, ids: &[String]) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let path = entry.path();
        let log = std::fs::read_to_string(&path).unwrap_or_default();
        if path.extension().is_some_and(|extension| extension == "log") {
            let name = entry.file_name();
            for line in log.lines().filter(|line| ids.iter().any(|id| line.contains(id))) {
                let _ = writeln!(text, "  {}: {line}", name.display());
            }
        }
    }
    text
}
