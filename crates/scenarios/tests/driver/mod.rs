//! The small test language: directives on a deployment.

mod asks;
mod hosts;

use {
    datadriven::TestCase,
    egret_load::LoadReport,
    egret_scenarios::{Deployment, Plan},
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
const AT_ONCE: usize = 2;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

struct Turn;

impl Turn {
    fn take() -> Self {
        let lock = RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let waited = ENDED.wait_while(lock, |running| *running >= AT_ONCE);
        *waited.unwrap_or_else(std::sync::PoisonError::into_inner) += 1;
        Self
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner) -= 1;
        ENDED.notify_all();
    }
}

/// The state of one scenario.
#[derive(Default)]
pub(crate) struct Scenario {
    deployment: Option<Deployment>,
    revision: u64,
    loads: Vec<JoinHandle<LoadReport>>,
    streams: IndexMap<String, JoinHandle<String>>,
}

/// Runs the scenario in `live/NAME.txt`.
pub(crate) fn run(name: &str) {
    let _turn = Turn::take();
    let scenario = RefCell::new(Scenario::default());
    let file = format!("{}/tests/live/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    datadriven::walk(&file, |f| {
        f.run(|case| -> String { scenario.borrow_mut().directive(case) });
    });
}

impl Scenario {
    fn directive(&mut self, case: &TestCase) -> String {
        let mut case = case.clone();
        let mut said = match case.directive.as_str() {
            "start" => self.start(&mut case),
            "ask" => self.ask(&mut case),
            "raw" => self.raw(&mut case),
            "stream-begin" => self.stream_begin(&mut case),
            "stream-end" => self.stream_end(&mut case),
            "publish" => self.publish(&mut case),
            "publish-twice" => self.publish_twice(&mut case),
            "effects" => self.effects(&mut case),
            "load" => self.load(&mut case),
            "load-begin" => self.load_begin(&mut case),
            "load-end" => self.load_end(),
            "fault" => self.fault(&mut case),
            "kill" => self.kill(&mut case),
            "stop" => self.stop(&mut case),
            "freeze" => self.freeze(&mut case),
            "thaw" => self.thaw(&mut case),
            "restart" => self.restart(&mut case),
            "change" => self.change(&mut case),
            "race" => self.race(),
            "unlist" => self.unlist(&mut case),
            "ctl" => self.ctl(&mut case),
            "wait" => self.wait(&mut case),
            "engines" => self.engines(),
            "crashes" => self.crashes(),
            other => panic!("no directive {other}"),
        };
        if !said.ends_with('\n') {
            said.push('\n');
        }
        said
    }

    fn deployment(&self) -> &Deployment {
        self.deployment.as_ref().expect("start comes first")
    }

    fn deployment_mut(&mut self) -> &mut Deployment {
        self.deployment.as_mut().expect("start comes first")
    }

    fn start(&mut self, case: &mut TestCase) -> String {
        let small = Plan::small();
        let snapshots: Option<u64> = case.try_take_arg("snapshots").unwrap();
        let keeper_settings = snapshots
            .map(|records| format!("[ownership]\nsnapshot_records = {records}\n"))
            .unwrap_or_default();
        let plan = Plan {
            hosts: number(case, "hosts", small.hosts),
            engines: number(case, "engines", small.engines),
            services: number(case, "services", small.services),
            adapters: number(case, "adapters", small.adapters),
            adapter_slots: number(case, "slots", small.adapter_slots),
            checks_fence: !case.take_flag("ignores_fence").unwrap(),
            log_relays: case.take_flag("relays").unwrap(),
            entry_settings: "[times]\nsilence_ms = 1500\nfirst_part_ms = 3000\nservice_ms = 2000\n"
                .to_owned(),
            keeper_settings,
            ..small
        };
        self.deployment = Some(Deployment::start(plan));
        "every engine can load".to_owned()
    }

    fn entry(&self, case: &mut TestCase) -> SocketAddr {
        let number: usize = number(case, "entry", 1);
        self.deployment().layout.entry(number - 1)
    }

    /// The address of a process by its name, as `engine-2` or `log`.
    fn address(&self, who: &str) -> SocketAddr {
        let layout = &self.deployment().layout;
        let (kind, number) = who.rsplit_once('-').unwrap_or((who, "1"));
        let number = number.parse::<usize>().unwrap_or(1) - 1;
        match kind {
            "engine" => layout.engine(number),
            "studio" => layout.service(number),
            "relay" => layout.relay_control(number),
            "entry" => layout.entry(number),
            "keeper" => layout.keeper(number),
            "log" => layout.log(),
            "store" => layout.store(),
            "hosts" => layout.host_list(),
            other => panic!("no process {other}"),
        }
    }

    fn fault(&mut self, case: &mut TestCase) -> String {
        let switches: Value = serde_json::from_str(&case.input).expect("the input is JSON");
        let who: Vec<String> = case.take_args("who").unwrap();
        for who in who {
            self.deployment().fault(self.address(&who), &switches);
        }
        "ok".to_owned()
    }

    /// What must never happen at the engines, summed over all of them.
    fn engines(&self) -> String {
        let deployment = self.deployment();
        let mut evicted_in_use = 0;
        for address in deployment.engines() {
            let stats = deployment.get(address, "/stats").unwrap_or(json!({}));
            evicted_in_use += stats["unloads_in_use"].as_u64().unwrap_or(0);
        }
        format!("evicted while serving: {evicted_in_use}")
    }

    /// Crashes of engines, summed over all of them.
    fn crashes(&self) -> String {
        let deployment = self.deployment();
        let crashes = |address: SocketAddr| {
            deployment.wait("it has restarted", |d| d.healthy(address));
            deployment.get(address, "/stats").and_then(|stats| stats["crashes"].as_u64())
        };
        let counts: Vec<Option<u64>> = deployment.engines().into_iter().map(crashes).collect();
        let sum: u64 = counts.iter().flatten().sum();
        // a count that can't be read is no proof either
        if (1..=2).contains(&sum) && counts.iter().all(Option::is_some) {
            "at most two engines lost: true".to_owned()
        } else {
            format!("at most two engines lost: false, counts {counts:?}")
        }
    }

    fn ctl(&mut self, case: &mut TestCase) -> String {
        let args: Vec<String> = case.input.split_whitespace().map(str::to_owned).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let shown = case.take_flag("show").unwrap();
        let (code, said) = self.deployment().ctl(&args);
        if shown { format!("{said}exit {code}") } else { format!("exit {code}") }
    }
}

fn number<T: std::str::FromStr>(case: &mut TestCase, name: &str, default: T) -> T
where
    T::Err: std::error::Error + Send + Sync + 'static,
{
    case.try_take_arg(name).unwrap().unwrap_or(default)
}
