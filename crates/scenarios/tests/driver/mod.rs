//! The test language of the scenarios: directives on a deployment.

mod operations;
mod requests;

use {
    datadriven::TestCase,
    egret_load::LoadReport,
    egret_scenarios::{Deployment, DeploymentSpec},
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::{
        cell::RefCell,
        net::SocketAddr,
        sync::{Condvar, Mutex},
    },
    tokio::task::JoinHandle,
};

/// Deployments that may run at the same time.
const MAX_DEPLOYMENTS: usize = 2;

static RUNNING_DEPLOYMENTS: Mutex<usize> = Mutex::new(0);
static DEPLOYMENT_ENDED: Condvar = Condvar::new();

/// Permits one of the deployments that may run at the same time. It is released when dropped.
struct DeploymentPermit;

impl DeploymentPermit {
    fn acquire() -> Self {
        let running = RUNNING_DEPLOYMENTS.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let running = DEPLOYMENT_ENDED.wait_while(running, |running| *running >= MAX_DEPLOYMENTS);
        *running.unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for DeploymentPermit {
    fn drop(&mut self) {
        *RUNNING_DEPLOYMENTS.lock().unwrap_or_else(std::sync::PoisonError::into_inner) -= 1;
        DEPLOYMENT_ENDED.notify_all();
    }
}

/// The state of one scenario.
#[derive(Default)]
pub(crate) struct Scenario {
    deployment: Option<Deployment>,
    /// The highest revision that a change in the scenario was accepted as.
    accepted_revision: u64,
    background_loads: Vec<JoinHandle<LoadReport>>,
    streams: IndexMap<String, JoinHandle<String>>,
}

/// Runs the scenario in `live/NAME.txt`.
pub(crate) fn run_scenario(name: &str) {
    let _permit = DeploymentPermit::acquire();
    let scenario = RefCell::new(Scenario::default());
    let file = format!("{}/tests/live/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&file, |f| {
        f.run(|case| -> String { scenario.borrow_mut().run_directive(case) });
    });
}

impl Scenario {
    fn run_directive(&mut self, case: &TestCase) -> String {
        let mut case = case.clone();
        let mut output = match case.directive.as_str() {
            "start" => self.start_deployment(&mut case),
            "ask" => self.send_completion(&mut case),
            "raw" => self.send_raw(&mut case),
            "stream-begin" => self.begin_stream(&mut case),
            "stream-end" => self.end_stream(&mut case),
            "publish" => self.send_publication(&mut case),
            "publish-twice" => self.publish_at_two_entries(&mut case),
            "effects" => self.count_effects(&mut case),
            "load" => self.send_load(&mut case),
            "load-begin" => self.begin_load(&mut case),
            "load-end" => self.end_load(),
            "fault" => self.inject_faults(&mut case),
            "kill" => self.kill(&mut case),
            "stop" => self.stop(&mut case),
            "freeze" => self.freeze(&mut case),
            "thaw" => self.thaw(&mut case),
            "restart" => self.restart(&mut case),
            "change" => self.apply_change(&mut case),
            "race" => self.apply_concurrently(),
            "unlist" => self.mark_as_leaving(&mut case),
            "ctl" => self.run_ctl(&mut case),
            "wait" => self.wait_for_condition(&mut case),
            "engines" => self.count_evictions_in_use(),
            "crashes" => self.check_engine_crashes(),
            other => panic!("no directive {other}"),
        };
        if !output.ends_with('\n') {
            output.push('\n');
        }
        output
    }

    fn deployment(&self) -> &Deployment {
        self.deployment.as_ref().expect("start comes first")
    }

    fn deployment_mut(&mut self) -> &mut Deployment {
        self.deployment.as_mut().expect("start comes first")
    }

    fn start_deployment(&mut self, case: &mut TestCase) -> String {
        let small = DeploymentSpec::small();
        let snapshots: Option<u64> = case.try_take_arg("snapshots").unwrap();
        let keeper_settings = snapshots
            .map(|records| format!("[ownership]\nsnapshot_records = {records}\n"))
            .unwrap_or_default();
        let spec = DeploymentSpec {
            hosts: arg_or(case, "hosts", small.hosts),
            engines: arg_or(case, "engines", small.engines),
            service_targets: arg_or(case, "services", small.service_targets),
            adapters: arg_or(case, "adapters", small.adapters),
            adapter_slots: arg_or(case, "slots", small.adapter_slots),
            checks_fence: !case.take_flag("ignores_fence").unwrap(),
            has_log_relays: case.take_flag("relays").unwrap(),
            entry_settings: "[times]\nsilence_ms = 1500\nfirst_part_ms = 3000\nservice_ms = 2000\n"
                .to_owned(),
            keeper_settings,
            ..small
        };
        self.deployment = Some(Deployment::start(spec));
        "every engine can load".to_owned()
    }

    fn entry_address(&self, case: &mut TestCase) -> SocketAddr {
        let number: usize = arg_or(case, "entry", 1);
        self.deployment().layout.entry(number - 1)
    }

    /// Returns the address of the process `name`, for instance `engine-2` or `log`. For a relay it
    /// is the address of its fault switches.
    fn process_address(&self, name: &str) -> SocketAddr {
        let layout = &self.deployment().layout;
        let (kind, number) = name.rsplit_once('-').unwrap_or((name, "1"));
        let index = number.parse::<usize>().unwrap_or(1) - 1;
        match kind {
            "engine" => layout.engine(index),
            "studio" => layout.service_target(index),
            "relay" => layout.relay_control(index),
            "entry" => layout.entry(index),
            "keeper" => layout.keeper_http(index),
            "log" => layout.log(),
            "store" => layout.weight_store(),
            "hosts" => layout.host_list(),
            other => panic!("no process {other}"),
        }
    }

    fn inject_faults(&mut self, case: &mut TestCase) -> String {
        let switches: Value = serde_json::from_str(&case.input).expect("the input is JSON");
        let names: Vec<String> = case.take_args("who").unwrap();
        for name in names {
            self.deployment().inject_faults(self.process_address(&name), &switches);
        }
        "ok".to_owned()
    }

    /// Counts the evictions of adapters that were serving requests, over all engines. None may
    /// occur.
    fn count_evictions_in_use(&self) -> String {
        let deployment = self.deployment();
        let mut evicted_in_use = 0;
        for address in deployment.engine_addresses() {
            let stats = deployment.get_json(address, "/stats").unwrap_or(json!({}));
            evicted_in_use += stats["unloads_in_use"].as_u64().unwrap_or(0);
        }
        format!("evicted while serving: {evicted_in_use}")
    }

    /// Checks that one or two crashes occurred over all engines.
    fn check_engine_crashes(&self) -> String {
        let deployment = self.deployment();
        let crashes = |address: SocketAddr| {
            deployment.wait_until("the engine has restarted", |d| d.is_healthy(address));
            deployment.get_json(address, "/stats").and_then(|stats| stats["crashes"].as_u64())
        };
        let counts: Vec<Option<u64>> =
            deployment.engine_addresses().into_iter().map(crashes).collect();
        let sum: u64 = counts.iter().flatten().sum();
        // a count that can't be read fails the check too
        if (1..=2).contains(&sum) && counts.iter().all(Option::is_some) {
            "at most two engines lost: true".to_owned()
        } else {
            format!("at most two engines lost: false, counts {counts:?}")
        }
    }

    fn run_ctl(&mut self, case: &mut TestCase) -> String {
        let args: Vec<String> = case.input.split_whitespace().map(str::to_owned).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let show = case.take_flag("show").unwrap();
        let (code, output) = self.deployment().run_ctl(&args);
        if show { format!("{output}exit {code}") } else { format!("exit {code}") }
    }
}

/// Returns the argument `name` of a directive, `default` when it is absent.
fn arg_or<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).unwrap().unwrap_or(default)
}
