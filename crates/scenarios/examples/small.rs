//! Starts a deployment of Meteora's shape on loopback addresses, sends requests to it, and prints
//! the report.

use {
    egret_load::{LoadPlan, run_load},
    egret_scenarios::{Deployment, DeploymentSpec},
    std::process::ExitCode,
};

/// Request rate that the weight store sustains from a cold start.
const REQUESTS_PER_SECOND: f64 = 6.0;

/// Exponent of the adapters' popularity distribution.
const POPULARITY_EXPONENT: f64 = 1.8;

fn main() -> ExitCode {
    let seconds = std::env::args().nth(1).and_then(|v| v.parse().ok()).unwrap_or(10);
    println!("starting 4 entry hosts, 9 engines, 3 service targets, log, weight store, host list");
    let deployment = Deployment::start(DeploymentSpec::meteora());
    println!("sending requests for {seconds} s");
    let report = deployment.block_on(run_load(LoadPlan {
        rate: REQUESTS_PER_SECOND,
        seconds,
        exponent: POPULARITY_EXPONENT,
        ..deployment.load_plan()
    }));
    print!("{}", report.text());
    let (_, status) = deployment.run_ctl(&["status"]);
    print!("{status}");
    let succeeded = report.wrong == 0 && report.unknown == 0 && report.unanswered == 0;
    if succeeded { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
