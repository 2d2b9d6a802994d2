//! A comparison of policies in virtual time. The decisions are made by the same core that the
//! daemons use; the engines and the weight store are fakes.

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

/// A placement policy and an eviction policy that are compared as one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct BenchPolicy {
    pub(crate) name: &'static str,
    pub(crate) placement: PlacementPolicy,
    pub(crate) eviction: EvictionPolicy,
}

/// The baselines, followed by the policy of egretshore.
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

/// Placement weights of a deployment, as in its default settings.
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

/// Runs all policies, each in its own thread.
fn run_policies(shape: LoadShape, fault: Fault, args: &BenchArgs) -> Vec<table::Row> {
    let run_seeds = |policy: BenchPolicy| -> Vec<Outcome> {
        let run = |seed| {
            let trace = Trace::new(shape, fault, seed, args);
            Deployment::new(shape, policy, fault).run(trace)
        };
        (1..=args.seeds).map(run).collect()
    };
    std::thread::scope(|scope| {
        let threads = BENCH_POLICIES.map(|p| (p, scope.spawn(move || run_seeds(p))));
        let row = |(policy, thread): (BenchPolicy, ScopedJoinHandle<'_, Vec<Outcome>>)| {
            let runs = thread.join().unwrap_or_default();
            table::Row { shape, fault, policy, runs }
        };
        threads.into_iter().map(row).collect()
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
