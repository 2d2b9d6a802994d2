//! Policies compared in virtual time, on the same decision core as the daemons use, with small
//! fakes of engines and store.

mod deployment;
mod engine;
mod faults;
mod outcome;
mod table;
mod trace;

use {
    crate::{
        cli::{BenchArgs, Fault},
        live::LoadShape,
    },
    deployment::Deployment,
    egret_core::{EvictionPolicy, PlacementPolicy, Weights},
    outcome::Outcome,
    std::{process::ExitCode, thread::ScopedJoinHandle},
    trace::Trace,
};

/// A policy as a whole: how engines are chosen and how adapters give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BenchPolicy {
    pub(crate) name: &'static str,
    pub(crate) placement: PlacementPolicy,
    pub(crate) eviction: EvictionPolicy,
}

/// The baselines, then ours.
pub(crate) const BENCH_POLICIES: [BenchPolicy; 4] = [
    BenchPolicy {
        name: "random+lru",
        placement: PlacementPolicy::Random,
        eviction: EvictionPolicy::Lru,
    },
    BenchPolicy {
        name: "rendezvous+lru",
        placement: PlacementPolicy::Rendezvous,
        eviction: EvictionPolicy::Lru,
    },
    BenchPolicy {
        name: "least-loaded+lru",
        placement: PlacementPolicy::LeastLoaded,
        eviction: EvictionPolicy::Lru,
    },
    BenchPolicy {
        name: "weighted",
        placement: PlacementPolicy::Weighted,
        eviction: EvictionPolicy::ExpectedUse,
    },
];

/// Weights of each deployment, as in its default settings.
pub(crate) fn default_weights(shape: LoadShape) -> Weights {
    match shape {
        LoadShape::Meteora => Weights::default(),
        LoadShape::Cronometria => Weights {
            stall_milli: 2000,
            gather_ms: 45_000,
            gather_most: 10,
            gather_slack_ms: 15_000,
            ..Weights::default()
        },
    }
}

/// Runs all contenders, each in a thread of its own.
fn run_policies(shape: LoadShape, fault: Fault, args: &BenchArgs) -> Vec<table::Row> {
    let runs = |contender: BenchPolicy| -> Vec<Outcome> {
        let run = |seed| {
            let trace = Trace::new(shape, fault, seed, args);
            Deployment::new(shape, contender, fault).run(trace)
        };
        (1..=args.seeds).map(run).collect()
    };
    std::thread::scope(|scope| {
        let started = BENCH_POLICIES.map(|c| (c, scope.spawn(move || runs(c))));
        let row = |(contender, thread): (BenchPolicy, ScopedJoinHandle<'_, Vec<Outcome>>)| {
            let runs = thread.join().unwrap_or_default();
            table::Row { shape, fault, policy: contender, runs }
        };
        started.into_iter().map(row).collect()
    })
}

/// Runs the comparison and prints it.
pub(crate) fn run(args: &BenchArgs) -> ExitCode {
    let mut rows = Vec::new();
    for shape in &args.shapes {
        for fault in &args.faults {
            rows.extend(run_policies(*shape, *fault, args));
        }
    }
    if args.json {
        println!("{}", table::json(&rows));
    } else {
        print!("{}", table::text(&rows));
    }
    ExitCode::SUCCESS
}
