//! Directives that control processes, change the configuration or wait for conditions.

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

/// Longest wait for a process to exit.
const STOP_TIMEOUT: Duration = Duration::from_mins(3);

impl Scenario {
    fn process_names(case: &mut TestCase) -> Vec<String> {
        case.take_args("who").unwrap()
    }

    pub(super) fn kill(&mut self, case: &mut TestCase) -> String {
        for name in Self::process_names(case) {
            self.deployment_mut().process(&name).kill();
        }
        "killed".to_owned()
    }

    /// Sends SIGTERM to processes at the same time and returns their exit codes. With `begin` it
    /// doesn't wait for them to exit.
    pub(super) fn stop(&mut self, case: &mut TestCase) -> String {
        let names = Self::process_names(case);
        for name in &names {
            self.deployment_mut().process(name).send_signal(Signal::SIGTERM);
        }
        if case.take_flag("begin").unwrap() {
            return "asked to stop".to_owned();
        }
        self.wait_for_exits(&names)
    }

    fn wait_for_exits(&mut self, names: &[String]) -> String {
        let mut codes = Vec::new();
        for name in names {
            let status = self.deployment_mut().process(name).wait_for_exit(STOP_TIMEOUT);
            let code = status.and_then(|s| s.code());
            codes.push(code.map_or("still runs".to_owned(), |code| format!("exit {code}")));
        }
        codes.join(", ")
    }

    pub(super) fn freeze(&mut self, case: &mut TestCase) -> String {
        for name in Self::process_names(case) {
            self.deployment_mut().process(&name).send_signal(Signal::SIGSTOP);
        }
        "frozen".to_owned()
    }

    pub(super) fn thaw(&mut self, case: &mut TestCase) -> String {
        for name in Self::process_names(case) {
            self.deployment_mut().process(&name).send_signal(Signal::SIGCONT);
        }
        "thawed".to_owned()
    }

    /// Starts stopped processes again. Waits until an entry is ready for requests and a keeper
    /// answers. A ready entry may still have to read its journal: see the condition `journal`.
    pub(super) fn restart(&mut self, case: &mut TestCase) -> String {
        for name in Self::process_names(case) {
            let (kind, number) = name.rsplit_once('-').expect("a name with a number");
            let index = number.parse::<usize>().expect("a number") - 1;
            match kind {
                "entry" => {
                    self.deployment_mut().start_entry(index);
                    let address = self.process_address(&name);
                    self.deployment().wait_until("the entry is ready", |d| d.is_ready(address));
                }
                "keeper" => self.deployment_mut().start_keeper(index),
                other => panic!("{other} can't be restarted"),
            }
        }
        "started".to_owned()
    }

    fn initial_manifest(&self) -> Manifest {
        let deployment = self.deployment();
        deployment.layout.manifest(&deployment.spec)
    }

    /// Applies the initial manifest with the changes that the arguments name.
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
        let (code, output) = self.deployment().apply_manifest(&manifest, &operator);
        self.accepted_revision = self.accepted_revision.max(accepted_revision(&output));
        format!("exit {code}")
    }

    /// Applies different manifests of two operators against the same revision at the same time.
    pub(super) fn apply_concurrently(&mut self) -> String {
        let deployment = self.deployment();
        let results: Vec<(i32, String)> = std::thread::scope(|scope| {
            let spawn_apply = |adapter: &'static str, operator: &'static str| {
                let mut manifest = self.initial_manifest();
                let name = FastStr::from_string(format!("base/{adapter}"));
                manifest.adapters.insert(name, Adapter { versions: vec![1] });
                scope.spawn(move || deployment.apply_manifest(&manifest, operator))
            };
            let threads = [spawn_apply("raced-x", "x"), spawn_apply("raced-y", "y")];
            threads.map(|t| t.join().unwrap_or((-1, String::new()))).to_vec()
        });
        let mut codes: Vec<i32> = results.iter().map(|(code, _)| *code).collect();
        codes.sort_unstable();
        let newest = results.iter().map(|(_, output)| accepted_revision(output)).max().unwrap_or(0);
        self.accepted_revision = self.accepted_revision.max(newest);
        // an operator that reads the revision after the other's change was accepted plans against
        // the new revision, so both changes can be accepted
        if codes == [0, 3] || codes == [0, 0] {
            return "one accepted, the other accepted later or told that it lost: true".to_owned();
        }
        format!("one accepted, the other accepted later or told that it lost: false, {results:?}")
    }

    /// Lists hosts as leaving in the host list. Engines are added to it as hosts of role `target`.
    pub(super) fn mark_as_leaving(&mut self, case: &mut TestCase) -> String {
        let names = Self::process_names(case);
        let deployment = self.deployment();
        let mut hosts = deployment.layout.host_entries(&deployment.spec);
        for host in &mut hosts {
            if names.iter().any(|n| host.host == *n) {
                host.state = HostState::Leaving;
            }
        }
        for name in names.iter().filter(|n| n.starts_with("engine")) {
            let mut host = hosts[0].clone();
            host.host = FastStr::new(name);
            host.role = "target".into();
            host.state = HostState::Leaving;
            hosts.push(host);
        }
        deployment.replace_host_list(&hosts);
        "listed as leaving".to_owned()
    }

    /// Waits until the named condition holds.
    pub(super) fn wait_for_condition(&mut self, case: &mut TestCase) -> String {
        let condition: String = case.take_arg("until").unwrap();
        let names: Vec<String> = case.try_take_args("who").unwrap().unwrap_or_default();
        match condition.as_str() {
            "loads" => {
                self.deployment()
                    .wait_until("every engine is ready", Deployment::all_engines_ready);
            }
            "held" => self
                .deployment()
                .wait_until("every engine has an owner that can load", every_engine_can_load),
            "revision" => {
                let revision = self.accepted_revision;
                self.deployment()
                    .wait_until("the revision is in force", |d| is_in_force(d, revision));
            }
            "paused" => self.deployment().wait_until("no engine can load", no_engine_can_load),
            "leaving" => self.deployment().wait_until("entries report them as leaving", |d| {
                names.iter().all(|n| is_seen_leaving(d, n))
            }),
            "not-ready" => {
                for name in &names {
                    let address = self.process_address(name);
                    self.deployment().wait_until("the process is not ready", |d| {
                        let reply =
                            d.send_json(http::Method::GET, address, "/readyz", &json!(null));
                        reply.is_some_and(|r| !r.status.is_success())
                    });
                }
            }
            // readiness does not cover the journal, since completions are served without it
            "journal" => {
                for name in &names {
                    let address = self.process_address(name);
                    self.deployment().wait_until("the entry has read its journal", |d| {
                        let status = d.get_json(address, "/status").unwrap_or_default();
                        status["journal_ready"] == true
                    });
                }
            }
            "resident" => {
                let model = full_model_name(&case.take_arg::<String>("model").unwrap());
                self.deployment().wait_until("the model is resident", |d| is_resident(d, &model));
            }
            "down" => self.deployment().wait_until("keepers report them as down", |d| {
                let engines = keeper_engines(d);
                names
                    .iter()
                    .all(|n| engines.iter().any(|e| e["engine"] == json!(n) && e["down"] == true))
            }),
            "snapshots" => self.deployment().wait_until("the streams end with snapshots", |d| {
                ["config", "claims"].iter().all(|stream| ends_with_snapshot(d, stream))
            }),
            "recovered" => {
                for name in &names {
                    let address = self.process_address(name);
                    self.deployment().wait_until("the engine has crashed and is up again", |d| {
                        let stats = d.get_json(address, "/stats").unwrap_or_default();
                        stats["crashes"].as_u64() >= Some(1) && is_engine_up(d, name)
                    });
                }
            }
            "exit" => return self.wait_for_exits(&names),
            other => panic!("no condition {other}"),
        }
        "so it is".to_owned()
    }
}

/// True when a keeper reports the engine as up and every entry lists it as not leaving.
fn is_engine_up(deployment: &Deployment, name: &str) -> bool {
    let keepers = keeper_engines(deployment);
    let is_up_at_keeper = keepers.iter().any(|e| e["engine"] == json!(name) && e["down"] == false);
    is_up_at_keeper
        && (0..deployment.spec.hosts).all(|index| {
            let status = deployment.entry_status(index).unwrap_or_default();
            let engines = status["engines"].as_array().cloned().unwrap_or_default();
            engines.iter().any(|e| e["engine"] == json!(name) && e["leaving"] == false)
        })
}

/// True when one of the two newest records of a stream is a snapshot.
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

fn every_engine_can_load(deployment: &Deployment) -> bool {
    let engines = keeper_engines(deployment);
    (0..deployment.spec.engines).all(|index| {
        let name = Layout::engine_name(index);
        engines.iter().any(|e| e["engine"] == json!(name) && e["can_load"] == true)
    })
}

fn no_engine_can_load(deployment: &Deployment) -> bool {
    keeper_engines(deployment).iter().all(|e| e["can_load"] == false)
}

/// Returns the accepted revision from the output of egretctl, 0 for none.
fn accepted_revision(output: &str) -> u64 {
    let rest = output.split("accepted: revision ").nth(1);
    rest.and_then(|rest| rest.trim().parse().ok()).unwrap_or(0)
}

/// True when every entry and keeper has at least `revision` in force.
fn is_in_force(deployment: &Deployment, revision: u64) -> bool {
    let has_revision = |status: Option<serde_json::Value>| {
        status.is_some_and(|s| s["revision"].as_u64() >= Some(revision.max(1)))
    };
    (0..deployment.spec.hosts).all(|n| {
        has_revision(deployment.entry_status(n)) && has_revision(deployment.keeper_status(n))
    })
}

/// True when the entry `name` reports itself as leaving; for an engine, when no reachable entry
/// lists it as not leaving.
fn is_seen_leaving(deployment: &Deployment, name: &str) -> bool {
    if let Some(number) = name.strip_prefix("entry-") {
        let index = number.parse::<usize>().unwrap_or(1) - 1;
        return deployment.entry_status(index).is_some_and(|s| s["leaving"] == true);
    }
    (0..deployment.spec.hosts).filter_map(|n| deployment.entry_status(n)).all(|status| {
        let engines = status["engines"].as_array().into_iter().flatten();
        engines.filter(|e| e["engine"] == json!(name)).all(|e| e["leaving"] == true)
    })
}
