//! Processes and configuration.

use {
    super::{Scenario, arg_or, requests::full_model_name},
    datadriven::TestCase,
    egret_core::{Adapter, HostState, Manifest},
    egret_scenarios::{Deployment, Layout},
    faststr::FastStr,
    nix::sys::signal::Signal,
    serde_json::json,
    std::time::Duration,
};

/// Longest wait for a process to stop.
const STOP_TIMEOUT: Duration = Duration::from_mins(3);

impl Scenario {
    fn process_names(case: &mut TestCase) -> Vec<String> {
        case.take_args("who").unwrap()
    }

    pub(super) fn kill(&mut self, case: &mut TestCase) -> String {
        for process_names in Self::process_names(case) {
            self.deployment_mut().process(&process_names).kill();
        }
        "killed".to_owned()
    }

    /// Stops processes by SIGTERM, all at once, and tells how each exits.
    pub(super) fn stop(&mut self, case: &mut TestCase) -> String {
        let who = Self::process_names(case);
        for who in &who {
            self.deployment_mut().process(who).send_signal(Signal::SIGTERM);
        }
        if case.take_flag("begin").unwrap() {
            return "asked to stop".to_owned();
        }
        self.wait_for_exits(&who)
    }

    fn wait_for_exits(&mut self, who: &[String]) -> String {
        let mut codes = Vec::new();
        for who in who {
            let status = self.deployment_mut().process(who).wait_for_exit(STOP_TIMEOUT);
            let code = status.and_then(|s| s.code());
            codes.push(code.map_or("still runs".to_owned(), |code| format!("exit {code}")));
        }
        codes.join(", ")
    }

    pub(super) fn freeze(&mut self, case: &mut TestCase) -> String {
        for process_names in Self::process_names(case) {
            self.deployment_mut().process(&process_names).send_signal(Signal::SIGSTOP);
        }
        "frozen".to_owned()
    }

    pub(super) fn thaw(&mut self, case: &mut TestCase) -> String {
        for process_names in Self::process_names(case) {
            self.deployment_mut().process(&process_names).send_signal(Signal::SIGCONT);
        }
        "thawed".to_owned()
    }

    pub(super) fn restart(&mut self, case: &mut TestCase) -> String {
        for who in Self::process_names(case) {
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

    fn initial_manifest(&self) -> Manifest {
        let deployment = self.deployment();
        deployment.layout.manifest(&deployment.spec)
    }

    /// Applies the first manifest with the changes named.
    pub(super) fn apply_change(&mut self, case: &mut TestCase) -> String {
        let mut manifest = self.initial_manifest();
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
        let operator: String = arg_or(case, "by", "desk".to_owned());
        let (code, said) = self.deployment().apply_manifest(&manifest, &operator);
        self.revision = self.revision.max(accepted_revision(&said));
        format!("exit {code}")
    }

    /// Two operators apply different manifests against the same revision at the same moment.
    pub(super) fn apply_concurrently(&mut self) -> String {
        let deployment = self.deployment();
        let results: Vec<(i32, String)> = std::thread::scope(|scope| {
            let racer = |adapter: &'static str, operator: &'static str| {
                let mut manifest = self.initial_manifest();
                let name = FastStr::from_string(format!("base/{adapter}"));
                manifest.adapters.insert(name, Adapter { versions: vec![1] });
                scope.spawn(move || deployment.apply_manifest(&manifest, operator))
            };
            let racers = [racer("raced-x", "x"), racer("raced-y", "y")];
            racers.map(|r| r.join().unwrap_or((-1, String::new()))).to_vec()
        });
        let mut codes: Vec<i32> = results.iter().map(|(code, _)| *code).collect();
        codes.sort_unstable();
        let newest = results.iter().map(|(_, said)| accepted_revision(said)).max().unwrap_or(0);
        self.revision = self.revision.max(newest);
        // whoever read the revision after the other had won planned against it and wins as well
        let fair = codes == [0, 3] || codes == [0, 0];
        format!("one accepted, the other accepted later or told that it lost: {fair}")
    }

    /// Shows a host as leaving in the host list.
    pub(super) fn mark_as_leaving(&mut self, case: &mut TestCase) -> String {
        let who = Self::process_names(case);
        let deployment = self.deployment();
        let mut hosts = deployment.layout.host_entries(&deployment.spec);
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
        deployment.replace_host_list(&hosts);
        "listed as leaving".to_owned()
    }

    /// Waits for a condition.
    pub(super) fn wait_for_condition(&mut self, case: &mut TestCase) -> String {
        let until: String = case.take_arg("until").unwrap();
        let who: Vec<String> = case.try_take_args("who").unwrap().unwrap_or_default();
        match until.as_str() {
            "loads" => {
                self.deployment()
                    .wait_until("every engine can load", Deployment::all_engines_ready);
            }
            "held" => self.deployment().wait_until("every engine is held", every_engine_has_owner),
            "revision" => {
                let revision = self.revision;
                self.deployment()
                    .wait_until("it is in force everywhere", |d| is_in_force(d, revision));
            }
            "paused" => self.deployment().wait_until("no engine can load", no_engine_can_load),
            "leaving" => self.deployment().wait_until("all entries see it leave", |d| {
                who.iter().all(|w| is_seen_leaving(d, w))
            }),
            "not-ready" => {
                for who in &who {
                    let address = self.process_address(who);
                    self.deployment().wait_until("it is not ready", |d| {
                        let reply =
                            d.send_json(http::Method::GET, address, "/readyz", &json!(null));
                        reply.is_some_and(|r| !r.status.is_success())
                    });
                }
            }
            "resident" => {
                let model = full_model_name(&case.take_arg::<String>("model").unwrap());
                self.deployment().wait_until("it is resident", |d| is_resident(d, &model));
            }
            "down" => self.deployment().wait_until("keepers see it down", |d| {
                let engines = keeper_engines(d);
                who.iter()
                    .all(|w| engines.iter().any(|e| e["engine"] == json!(w) && e["down"] == true))
            }),
            "snapshots" => self.deployment().wait_until("snapshots are on the log", |d| {
                ["config", "claims"].iter().all(|stream| ends_with_snapshot(d, stream))
            }),
            "recovered" => {
                for who in &who {
                    let address = self.process_address(who);
                    self.deployment().wait_until("it has crashed and is seen back", |d| {
                        let stats = d.get_json(address, "/stats").unwrap_or_default();
                        stats["crashes"].as_u64() >= Some(1) && is_engine_up(d, who)
                    });
                }
            }
            "exit" => return self.wait_for_exits(&who),
            other => panic!("no condition {other}"),
        }
        "so it is".to_owned()
    }
}

/// True when keepers and entries count on an engine.
fn is_engine_up(deployment: &Deployment, who: &str) -> bool {
    let keepers = keeper_engines(deployment);
    let held = keepers.iter().any(|e| e["engine"] == json!(who) && e["down"] == false);
    held && (0..deployment.spec.hosts).all(|number| {
        let status = deployment.entry_status(number).unwrap_or_default();
        let engines = status["engines"].as_array().cloned().unwrap_or_default();
        engines.iter().any(|e| e["engine"] == json!(who) && e["leaving"] == false)
    })
}

/// True when the newest records of a stream hold a snapshot.
fn ends_with_snapshot(deployment: &Deployment, stream: &str) -> bool {
    let path = format!("/v1/streams/{stream}/records?from=0&wait_ms=0");
    let batch = deployment.get_json(deployment.layout.log(), &path).unwrap_or_default();
    let records = batch["records"].as_array().cloned().unwrap_or_default();
    records.iter().rev().take(2).any(|r| r["kind"] == json!("snapshot"))
}

fn keeper_engines(deployment: &Deployment) -> Vec<serde_json::Value> {
    let statuses = (0..deployment.spec.hosts).filter_map(|n| deployment.keeper_status(n));
    statuses.flat_map(|s| s["engines"].as_array().cloned().unwrap_or_default()).collect()
}

fn is_resident(deployment: &Deployment, model: &str) -> bool {
    let engines = keeper_engines(deployment);
    engines.iter().any(|e| e["resident"].as_array().is_some_and(|r| r.contains(&json!(model))))
}

fn every_engine_has_owner(deployment: &Deployment) -> bool {
    let engines = keeper_engines(deployment);
    (0..deployment.spec.engines).all(|number| {
        let name = Layout::engine_name(number);
        engines.iter().any(|e| e["engine"] == json!(name) && e["can_load"] == true)
    })
}

fn no_engine_can_load(deployment: &Deployment) -> bool {
    keeper_engines(deployment).iter().all(|e| e["can_load"] == false)
}

/// The revision that egretctl said was accepted, 0 for none.
fn accepted_revision(said: &str) -> u64 {
    let after = said.split("accepted: revision ").nth(1);
    after.and_then(|rest| rest.trim().parse().ok()).unwrap_or(0)
}

/// True when every entry and keeper has at least `revision` in force.
fn is_in_force(deployment: &Deployment, revision: u64) -> bool {
    let newest = |status: Option<serde_json::Value>| {
        status.is_some_and(|s| s["revision"].as_u64() >= Some(revision.max(1)))
    };
    (0..deployment.spec.hosts)
        .all(|n| newest(deployment.entry_status(n)) && newest(deployment.keeper_status(n)))
}

fn is_seen_leaving(deployment: &Deployment, who: &str) -> bool {
    if let Some(number) = who.strip_prefix("entry-") {
        let number = number.parse::<usize>().unwrap_or(1) - 1;
        return deployment.entry_status(number).is_some_and(|s| s["leaving"] == true);
    }
    (0..deployment.spec.hosts).filter_map(|n| deployment.entry_status(n)).all(|status| {
        let engines = status["engines"].as_array().into_iter().flatten();
        engines.filter(|e| e["engine"] == json!(who)).all(|e| e["leaving"] == true)
    })
}
