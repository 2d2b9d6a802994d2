//! Compares our policy with the best baseline on real processes: the same seeded load on a
//! deployment of Meteora's shape for each.

use {
    egret_load::{LoadPlan, run_load},
    egret_scenarios::{Deployment, DeploymentSpec},
};

/// Seconds of load on each deployment.
const LOAD_SECONDS: u64 = 40;

/// Requests a second.
const REQUESTS_PER_SECOND: f64 = 12.0;

fn main() {
    let contenders = [("rendezvous", "lru"), ("weighted", "expected_use")];
    println!("policy     | sent answered refused stalled | batch efficiency");
    for (policy, eviction) in contenders {
        let plan = DeploymentSpec {
            entry_settings: format!("[routing]\npolicy = \"{policy}\"\n"),
            keeper_settings: format!("[slots]\neviction = \"{eviction}\"\n"),
            ..DeploymentSpec::meteora()
        };
        let deployment = Deployment::start(plan);
        let report = deployment.block_on(run_load(LoadPlan {
            rate: REQUESTS_PER_SECOND,
            seconds: LOAD_SECONDS,
            publications: 0.0,
            ..deployment.load_plan()
        }));
        println!(
            "{policy:<10} | {:>4} {:>8} {:>7} {:>7} | {:.3}",
            report.sent,
            report.answered,
            report.refused,
            report.stalled,
            report.batch_efficiency(),
        );
        assert_eq!(report.wrong, 0, "no output may be wrong");
    }
}
