//! Policies compared in virtual time, on the same decision core as the daemons use, with small
//! fakes of engines and store.

mod deployment;
mod engine;
mod outcome;
mod table;
mod trace;

use {
    crate::{cli::BenchArgs, live::Shape},
    deployment::Deployment,
    egret_core::{Eviction, Policy, Weights},
    outcome::Outcome,
    std::process::ExitCode,
    trace::Trace,
};

/// A policy as a whole: how engines are chosen and how adapters give way.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Contender {
    pub(crate) name: &'static str,
    pub(crate) policy: Policy,
    pub(crate) eviction: Eviction,
}

/// The baselines, then ours.
pub(crate) const CONTENDERS: [Contender; 4] = [
    Contender { name: "random+lru", policy: Policy::Random, eviction: Eviction::Lru },
    Contender { name: "rendezvous+lru", policy: Policy::Rendezvous, eviction: Eviction::Lru },
    Contender { name: "least-loaded+lru", policy: Policy::LeastLoaded, eviction: Eviction::Lru },
    Contender { name: "weighted", policy: Policy::Weighted, eviction: Eviction::ExpectedUse },
];

/// Weights of each deployment, as in its default settings.
pub(crate) fn weights(shape: Shape) -> Weights {
    match shape {
        Shape::Meteora => Weights::default(),
        Shape::Cronometria => Weights {
            stall_milli: 2000,
            gather_ms: 30_000,
            gather_most: 8,
            gather_slack_ms: 15_000,
            ..Weights::default()
        },
    }
}

/// Runs the comparison and prints it.
pub(crate) fn run(args: &BenchArgs) -> ExitCode {
    let mut rows = Vec::new();
    for shape in &args.shapes {
        for fault in &args.faults {
            for contender in CONTENDERS {
                let runs: Vec<Outcome> = (1..=args.seeds)
                    .map(|seed| {
                        let trace = Trace::new(*shape, *fault, seed, args);
                        Deployment::new(*shape, contender, *fault).run(trace)
                    })
                    .collect();
                rows.push(table::Row { shape: *shape, fault: *fault, contender, runs });
            }
        }
    }
    if args.json {
        println!("{}", table::json(&rows));
    } else {
        print!("{}", table::text(&rows));
    }
    ExitCode::SUCCESS
}
