//! Compares the default routing and eviction policies with the best of their baselines on real
//! processes: each pair gets the same seeded load on a deployment of Meteora's shape.

use {
    egret_load::{LoadPlan, run_load},
    egret_scenarios::{Deployment, DeploymentSpec},
};

/// Duration of the load on each deployment.
const LOAD_SECONDS: u64 = 40;

/// Request rate.
const REQUESTS_PER_SECOND: f64 = 12.0;

fn main() {
    let policies = [("rendezvous", "lru"), ("weighted", "expected_use")];
    println!("policy     | sent answered refused stalled | batch efficiency");
    for (policy, eviction) in policies {
        let spec = DeploymentSpec {
            entry_settings: format!("[routing]\npolicy = \"{policy}\"\n"),
            keeper_settings: format!("[slots]\neviction = \"{eviction}\"\n"),
            ..DeploymentSpec::meteora()
        };
        let deployment = Deployment::start(spec);
        let report = deployment.block_on(run_load(LoadPlan {
            rate: REQUESTS_PER_SECOND,
            seconds: LOAD_SECONDS,
            publication_share: 0.0,
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
