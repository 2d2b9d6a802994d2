//! Processes and configuration.

use {
    super::{Scenario, asks::model_name, number},
    datadriven::TestCase,
    egret_core::{Adapter, HostState, Manifest},
    egret_scenarios::{Deployment, Layout},
    faststr::FastStr,
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::Duration,
};

/// Longest wait for a process to stop.
const STOP: Duration = Duration::from_mins(3);

impl Scenario {
    fn who(case: &mut TestCase) -> Vec<String> {
        case.take_args("who").unwrap()
    }

    pub(super) fn kill(&mut self, case: &mut TestCase) -> String {
        for who in Self::who(case) {
            self.deployment_mut().process(&who).kill();
        }
        "killed".to_owned()
    }

    /// Stops processes by SIGTERM, all at once, and tells how each exits.
    pub(super) fn stop(&mut self, case: &mut TestCase) -> String {
        let who = Self::who(case);
        for who in &who {
            self.deployment_mut().process(who).signal(Signal::SIGTERM);
        }
        if case.take_flag("begin").unwrap() {
            return "asked to stop".to_owned();
        }
        self.exits(&who)
    }

    fn exits(&mut self, who: &[String]) -> String {
        let mut codes = Vec::new();
        for who in who {
            let status = self.deployment_mut().process(who).wait(STOP);
            let code = status.and_then(|s| s.code());
            codes.push(code.map_or("still runs".to_owned(), |code| format!("exit {code}")));
        }
        codes.join(", ")
    }

    pub(super) fn freeze(&mut self, case: &mut TestCase) -> String {
        for who in Self::who(case) {
            self.deployment_mut().process(&who).signal(Signal::SIGSTOP);
        }
        "frozen".to_owned()
    }

    pub(super) fn thaw(&mut self, case: &mut TestCase) -> String {
        for who in Self::who(case) {
            self.deployment_mut().process(&who).signal(Signal::SIGCONT);
        }
        "thawed".to_owned()
    }

    pub(super) fn restart(&mut self, case: &mut TestCase) -> String {
        for who in Self::who(case) {
            let (kind, host) = who.rsplit_once('-').expect("a name with a number");
            let host = host.parse::<usize>().expect("a number") - 1;
            match kind {
                "entry" => self.deployment_mut().start_entry(host),
                "keeper" => self.deployment_mut().start_keeper(host),
                other => panic!("{other} can't be restarted"),
            }
        }
        "started".to_owned()
    }

    fn manifest(&self) -> Manifest {
        let deployment = self.deployment();
        deployment.layout.manifest(&deployment.plan)
    }

    /// Applies the first manifest with the changes named.
    pub(super) fn change(&mut self, case: &mut TestCase) -> String {
        let mut manifest = self.manifest();
        for host in case.try_take_args::<String>("retire").unwrap().unwrap_or_default() {
            manifest.hosts.retire.insert(FastStr::from_string(host));
        }
        for host in case.try_take_args::<String>("stop").unwrap().unwrap_or_default() {
            manifest.hosts.stop.insert(FastStr::from_string(host));
        }
        if let Some(name) = case.try_take_arg::<String>("adapter").unwrap() {
            let versions = case.take_args("versions").unwrap();
            let name = FastStr::from_string(format!("base/{name}"));
            manifest.adapters.insert(name, Adapter { versions });
        }
        let operator: String = number(case, "by", "desk".to_owned());
        let (code, said) = self.deployment().apply(&manifest, &operator);
        self.revision = self.revision.max(accepted(&said));
        format!("exit {code}")
    }

    /// Two operators apply different manifests against the same revision at the same moment.
    pub(super) fn race(&mut self) -> String {
        let deployment = self.deployment();
        let results: Vec<(i32, String)> = std::thread::scope(|scope| {
            let racer = |adapter: &'static str, operator: &'static str| {
                let mut manifest = self.manifest();
                let name = FastStr::from_string(format!("base/{adapter}"));
                manifest.adapters.insert(name, Adapter { versions: vec![1] });
                scope.spawn(move || deployment.apply(&manifest, operator))
            };
            let racers = [racer("raced-x", "x"), racer("raced-y", "y")];
            racers.map(|r| r.join().unwrap_or((-1, String::new()))).to_vec()
        });
        let mut codes: Vec<i32> = results.iter().map(|(code, _)| *code).collect();
        codes.sort_unstable();
        let newest = results.iter().map(|(_, said)| accepted(said)).max().unwrap_or(0);
        self.revision = self.revision.max(newest);
        // whoever read the revision after the other had won planned against it and wins as well
        let fair = codes == [0, 3] || codes == [0, 0];
        format!("one accepted, the other accepted later or told that it lost: {fair}")
    }

    /// Shows a host as leaving in the host list.
    pub(super) fn unlist(&mut self, case: &mut TestCase) -> String {
        let who = Self::who(case);
        let deployment = self.deployment();
        let mut hosts = deployment.layout.hosts(&deployment.plan);
        for host in &mut hosts {
            if who.iter().any(|w| host.host == *w) {
                host.state = HostState::Leaving;
            }
        }
        for name in who.iter().filter(|w| w.starts_with("engine")) {
            let mut host = hosts[0].clone();
            host.host = FastStr::new(name);
            host.role = "target".into();
            host.state = HostState::Leaving;
            hosts.push(host);
        }
        deployment.set_hosts(&hosts);
        "listed as leaving".to_owned()
    }

    /// Waits for a condition.
    pub(super) fn wait(&mut self, case: &mut TestCase) -> String {
        let until: String = case.take_arg("until").unwrap();
        let who: Vec<String> = case.try_take_args("who").unwrap().unwrap_or_default();
        match until.as_str() {
            "loads" => {
                self.deployment().wait("every engine can load", Deployment::every_engine_loads);
            }
            "held" => self.deployment().wait("every engine is held", every_engine_held),
            "revision" => {
                let revision = self.revision;
                self.deployment().wait("it is in force everywhere", |d| in_force(d, revision));
            }
            "paused" => self.deployment().wait("no engine can load", no_engine_loads),
            "leaving" => self
                .deployment()
                .wait("all entries see it leave", |d| who.iter().all(|w| seen_leaving(d, w))),
            "not-ready" => {
                for who in &who {
                    let address = self.address(who);
                    self.deployment().wait("it is not ready", |d| {
                        let reply = d.call(http::Method::GET, address, "/readyz", &json!(null));
                        reply.is_some_and(|r| !r.status.is_success())
                    });
                }
            }
            "resident" => {
                let model = model_name(&case.take_arg::<String>("model").unwrap());
                self.deployment().wait("it is resident", |d| resident(d, &model));
            }
            "down" => self.deployment().wait("keepers see it down", |d| {
                let engines = keepers_engines(d);
                who.iter()
                    .all(|w| engines.iter().any(|e| e["engine"] == json!(w) && e["down"] == true))
            }),
            "snapshots" => self.deployment().wait("snapshots are on the log", |d| {
                ["config", "claims"].iter().all(|stream| ends_with_snapshot(d, stream))
            }),
            "recovered" => {
                for who in &who {
                    let address = self.address(who);
                    self.deployment().wait("it has crashed and is seen back", |d| {
                        let stats = d.get(address, "/stats").unwrap_or_default();
                        stats["crashes"].as_u64() >= Some(1) && seen_up(d, who)
                    });
                }
            }
            "exit" => return self.exits(&who),
            other => panic!("no condition {other}"),
        }
        "so it is".to_owned()
    }
}

/// True when keepers and entries count on an engine.
fn seen_up(deployment: &Deployment, who: &str) -> bool {
    let keepers = keepers_engines(deployment);
    let held = keepers.iter().any(|e| e["engine"] == json!(who) && e["down"] == false);
    held && (0..deployment.plan.hosts).all(|number| {
        let status = deployment.entry_status(number).unwrap_or_default();
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        engines.iter().any(|e| e["engine"] == json!(who) && e["leaving"] == false)
    })
}

/// True when the newest records of a stream hold a snapshot.
fn ends_with_snapshot(deployment: &Deployment, stream: &str) -> bool {
    let path = format!("/v1/streams/{stream}/records?from=0&wait_ms=0");
    let batch = deployment.get(deployment.layout.log(), &path).unwrap_or_default();
    let records = batch["records"].as_array().cloned().unwrap_or_default();
    records.iter().rev().take(2).any(|r| r["kind"] == json!("snapshot"))
}

fn keepers_engines(deployment: &Deployment) -> Vec<serde_json::Value> {
    let statuses = (0..deployment.plan.hosts).filter_map(|n| deployment.keeper_status(n));
    statuses.flat_map(|s| s["engines"].as_array().cloned().unwrap_or_default()).collect()
}

fn resident(deployment: &Deployment, model: &str) -> bool {
    let engines = keepers_engines(deployment);
    engines.iter().any(|e| e["resident"].as_array().is_some_and(|r| r.contains(&json!(model))))
}

fn every_engine_held(deployment: &Deployment) -> bool {
    let engines = keepers_engines(deployment);
    (0..deployment.plan.engines).all(|number| {
        let name = Layout::engine_name(number);
        engines.iter().any(|e| e["engine"] == json!(name) && e["can_load"] == true)
    })
}

fn no_engine_loads(deployment: &Deployment) -> bool {
    keepers_engines(deployment).iter().all(|e| e["can_load"] == false)
}

/// The revision that egretctl said was accepted, 0 for none.
fn accepted(said: &str) -> u64 {
    let after = said.split("accepted: revision ").nth(1);
    after.and_then(|rest| rest.trim().parse().ok()).unwrap_or(0)
}

/// True when every entry and keeper has at least `revision` in force.
fn in_force(deployment: &Deployment, revision: u64) -> bool {
    let newest = |status: Option<serde_json::Value>| {
        status.is_some_and(|s| s["revision"].as_u64() >= Some(revision.max(1)))
    };
    (0..deployment.plan.hosts)
        .all(|n| newest(deployment.entry_status(n)) && newest(deployment.keeper_status(n)))
}

fn seen_leaving(deployment: &Deployment, who: &str) -> bool {
    if let Some(number) = who.strip_prefix("entry-") {
        let number = number.parse::<usize>().unwrap_or(1) - 1;
        return deployment.entry_status(number).is_some_and(|s| s["leaving"] == true);
    }
    (0..deployment.plan.hosts).filter_map(|n| deployment.entry_status(n)).all(|status| {
        let engines = status["engines"].as_array().into_iter().flatten();
        engines.filter(|e| e["engine"] == json!(who)).all(|e| e["leaving"] == true)
    })
}
