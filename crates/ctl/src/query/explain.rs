//! What happened to a request, an adapter or a host.

use {
    crate::{
        cli::ExplainArgs,
        conf::Settings,
        exit::Exit,
        fetch::{ProgramReply, call_deadline, list_hosts, query_programs, read_config},
        query::audit,
    },
    egret_core::{Config, ModelName},
    egret_runtime::{AuditRecord, HostEntry, LogClient},
    serde_json::{Value, json},
};

/// Changes shown of an adapter or a host.
const MAX_CHANGES: usize = 20;

/// Runs `egretctl explain`.
pub(crate) async fn run(cfg: &Settings, args: &ExplainArgs, json: bool) -> Exit {
    let subject = args.subject.as_str();
    let log = LogClient::new(cfg.platform.log);
    let Some(list) = list_hosts(cfg).await else {
        eprintln!("egretctl: host list not reached");
        return Exit::Unreachable;
    };
    if let Some(trace) = find_request_trace(cfg, &list, subject).await {
        print_request(&trace, json);
        return Exit::Success;
    }
    let config = read_config(&log).await.ok().map(|fold| fold.current().clone());
    let said = query_programs(cfg, &list, "/status").await;
    let facts = if subject.contains('/') {
        adapter_facts(config.as_deref(), &said, subject)
    } else {
        host_facts(config.as_deref(), &list, &said, subject)
    };
    if facts.is_empty() {
        println!("{subject}: not known; a request is remembered by its entry for a while only");
        return Exit::NotFound;
    }
    let changes = recent_changes(&log, subject).await;
    if json {
        println!("{}", json!({ "subject": subject, "facts": facts, "changes": changes }));
    } else {
        for fact in &facts {
            println!("{fact}");
        }
        for record in &changes {
            audit::print_record(record, false);
        }
    }
    Exit::Success
}

async fn find_request_trace(cfg: &Settings, list: &[HostEntry], subject: &str) -> Option<Value> {
    let safe = subject.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    if !safe {
        return None;
    }
    let said = query_programs(cfg, list, &format!("/requests/{subject}")).await;
    said.into_iter().filter(|s| s.program == "egret-entry").find_map(|s| s.body)
}

fn print_request(trace: &Value, json: bool) {
    if json {
        println!("{trace}");
        return;
    }
    let text = |name: &str| trace[name].as_str().unwrap_or("?").to_owned();
    println!("request {} for {} by caller {}", text("request"), text("subject"), text("caller"));
    for step in trace["steps"].as_array().into_iter().flatten() {
        let what = step["what"].as_str().unwrap_or("?");
        println!("  after {:>6} ms: {what}", step["after_ms"].as_u64().unwrap_or(0));
    }
}

fn adapter_facts(config: Option<&Config>, said: &[ProgramReply], subject: &str) -> Vec<String> {
    let mut facts = Vec::new();
    let key = subject.split('@').next().unwrap_or(subject);
    match config {
        None => facts.push("log not reached: what is declared is not known".to_owned()),
        Some(config) => match config.manifest.adapters.get(key) {
            Some(adapter) => facts.push(format!(
                "{key}: declared with versions {:?} in revision {}",
                adapter.versions, config.revision
            )),
            None => return Vec::new(),
        },
    }
    if let (Ok(model), Some(config)) = (subject.parse::<ModelName>(), config)
        && !config.serves(&model)
    {
        facts.push(format!("{model}: this version is not declared, requests get 404"));
    }
    for engine in keeper_engines(said) {
        let resident = engine["resident"].as_array().into_iter().flatten();
        let copies = resident.filter_map(Value::as_str).filter(|m| m.starts_with(key));
        for model in copies {
            let name = engine["engine"].as_str().unwrap_or("?");
            facts.push(format!("{model}: resident or being loaded on {name}"));
        }
    }
    facts
}

fn host_facts(
    config: Option<&Config>,
    list: &[HostEntry],
    said: &[ProgramReply],
    subject: &str,
) -> Vec<String> {
    let mut facts = Vec::new();
    if let Some(host) = list.iter().find(|h| h.host == *subject) {
        facts.push(format!("{subject}: in the host list as {:?}, {}", host.state, host.ip));
    }
    if let Some(config) = config {
        let hosts = &config.manifest.hosts;
        if hosts.stop.contains(subject) {
            facts.push(format!("{subject}: to be stopped, by revision {}", config.revision));
        }
        if hosts.retire.contains(subject) {
            facts.push(format!("{subject}: retired, by revision {}", config.revision));
        }
    }
    for said in said.iter().filter(|s| s.host == *subject) {
        let (host, program) = (&said.host, said.program);
        facts.push(match &said.body {
            None => format!("{host}: {program} not reached"),
            Some(status) => {
                let (up, revision) = (&status["up_ms"], &status["revision"]);
                format!("{host}: {program} up {up} ms, revision {revision}")
            }
        });
    }
    for engine in keeper_engines(said).filter(|e| e["engine"] == json!(subject)) {
        facts.push(format!(
            "{subject}: engine with fence {}, running {}, queued {}, loads {}, evictions {}",
            engine["fence"],
            engine["running"],
            engine["queued"],
            engine["loads"],
            engine["evictions"],
        ));
    }
    facts
}

fn keeper_engines(said: &[ProgramReply]) -> impl Iterator<Item = &Value> {
    let keepers = said.iter().filter(|s| s.program == "egret-keeper");
    let statuses = keepers.filter_map(|s| s.body.as_ref());
    statuses.flat_map(|status| status["engines"].as_array().into_iter().flatten())
}

/// The newest changes that name the subject.
async fn recent_changes(log: &LogClient, subject: &str) -> Vec<AuditRecord> {
    let mut found = Vec::new();
    let mut from = 0;
    while let Ok(batch) = log.read("audit", from, 0, call_deadline()).await {
        let at_end = batch.reaches_end();
        from = batch.next_offset();
        let records = batch.decode::<AuditRecord>().filter_map(|(_, record)| record);
        found.extend(records.filter(|r| r.detail.contains(subject)));
        if at_end {
            break;
        }
    }
    let skip = found.len().saturating_sub(MAX_CHANGES);
    found.split_off(skip)
}
