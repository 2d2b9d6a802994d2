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
        live::Shape,
    },
    deployment::Deployment,
    egret_core::{EvictionPolicy, PlacementPolicy, Weights},
    outcome::Outcome,
    std::{process::ExitCode, thread::ScopedJoinHandle},
    trace::Trace,
};

/// A policy as a whole: how engines are chosen and how adapters give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Contender {
    pub(crate) name: &'static str,
    pub(crate) policy: PlacementPolicy,
    pub(crate) eviction: EvictionPolicy,
}

/// The baselines, then ours.
pub(crate) const CONTENDERS: [Contender; 4] = [
    Contender {
        name: "random+lru",
        policy: PlacementPolicy::Random,
        eviction: EvictionPolicy::Lru,
    },
    Contender {
        name: "rendezvous+lru",
        policy: PlacementPolicy::Rendezvous,
        eviction: EvictionPolicy::Lru,
    },
    Contender {
        name: "least-loaded+lru",
        policy: PlacementPolicy::LeastLoaded,
        eviction: EvictionPolicy::Lru,
    },
    Contender {
        name: "weighted",
        policy: PlacementPolicy::Weighted,
        eviction: EvictionPolicy::ExpectedUse,
    },
];

/// Weights of each deployment, as in its default settings.
pub(crate) fn weights(shape: Shape) -> Weights {
    match shape {
        Shape::Meteora => Weights::default(),
        Shape::Cronometria => Weights {
            stall_milli: 2000,
            gather_ms: 45_000,
            gather_most: 10,
            gather_slack_ms: 15_000,
            ..Weights::default()
        },
    }
}

/// Runs all contenders, each in a thread of its own.
fn compare(shape: Shape, fault: Fault, args: &BenchArgs) -> Vec<table::Row> {
    let runs = |contender: Contender| -> Vec<Outcome> {
        let run = |seed| {
            let trace = Trace::new(shape, fault, seed, args);
            Deployment::new(shape, contender, fault).run(trace)
        };
        (1..=args.seeds).map(run).collect()
    };
    std::thread::scope(|scope| {
        let started = CONTENDERS.map(|c| (c, scope.spawn(move || runs(c))));
        let row = |(contender, thread): (Contender, ScopedJoinHandle<'_, Vec<Outcome>>)| {
            let runs = thread.join().unwrap_or_default();
            table::Row { shape, fault, contender, runs }
        };
        started.into_iter().map(row).collect()
    })
}

/// Runs the comparison and prints it.
pub(crate) fn run(args: &BenchArgs) -> ExitCode {
    let mut rows = Vec::new();
    for shape in &args.shapes {
        for fault in &args.faults {
            rows.extend(compare(*shape, *fault, args));
        }
    }
    if args.json {
        println!("{}", table::json(&rows));
    } else {
        print!("{}", table::text(&rows));
    }
    ExitCode::SUCCESS
}
