//! Explains what happened to a request, an adapter or a host.

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

/// Most audit records shown for an adapter or a host.
const MAX_AUDIT_RECORDS: usize = 20;

/// Runs `egretctl explain`.
pub(crate) async fn run(cfg: &Settings, args: &ExplainArgs, json: bool) -> Exit {
    let subject = args.subject.as_str();
    let log = LogClient::new(cfg.platform.log);
    let Some(hosts) = list_hosts(cfg).await else {
        eprintln!("egretctl: host list not reached");
        return Exit::Unreachable;
    };
    if let Some(trace) = find_request_trace(cfg, &hosts, subject).await {
        print_request(&trace, json);
        return Exit::Success;
    }
    let config = read_config(&log).await.ok().map(|config_log| config_log.current().clone());
    let replies = query_programs(cfg, &hosts, "/status").await;
    let facts = if subject.contains('/') {
        adapter_facts(config.as_deref(), &replies, subject)
    } else {
        host_facts(config.as_deref(), &hosts, &replies, subject)
    };
    if facts.is_empty() {
        println!("{subject}: not found; an entry keeps a request only for a limited time");
        return Exit::NotFound;
    }
    let records = recent_audit_records(&log, subject).await;
    if json {
        println!("{}", json!({ "subject": subject, "facts": facts, "changes": records }));
    } else {
        for fact in &facts {
            println!("{fact}");
        }
        for record in &records {
            audit::print_record(record, false);
        }
    }
    Exit::Success
}

async fn find_request_trace(cfg: &Settings, hosts: &[HostEntry], subject: &str) -> Option<Value> {
    // the id becomes a part of the URL path
    let is_valid_id = subject.chars().all(|c| c.is_ascii_alphanumeric() || c == '-' || c == '_');
    if !is_valid_id {
        return None;
    }
    let replies = query_programs(cfg, hosts, &format!("/requests/{subject}")).await;
    replies.into_iter().filter(|r| r.program == "egret-entry").find_map(|r| r.body)
}

fn print_request(trace: &Value, json: bool) {
    if json {
        println!("{trace}");
        return;
    }
    let field = |name: &str| trace[name].as_str().unwrap_or("?").to_owned();
    println!("request {} for {} by caller {}", field("request"), field("subject"), field("caller"));
    for step in trace["steps"].as_array().into_iter().flatten() {
        let event = step["what"].as_str().unwrap_or("?");
        println!("  after {:>6} ms: {event}", step["after_ms"].as_u64().unwrap_or(0));
    }
}

fn adapter_facts(config: Option<&Config>, replies: &[ProgramReply], subject: &str) -> Vec<String> {
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
    for engine in keeper_engines(replies) {
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
    hosts: &[HostEntry],
    replies: &[ProgramReply],
    subject: &str,
) -> Vec<String> {
    let mut facts = Vec::new();
    if let Some(host) = hosts.iter().find(|h| h.host == *subject) {
        facts.push(format!("{subject}: in the host list as {:?}, {}", host.state, host.ip));
    }
    if let Some(config) = config {
        let out_of_service = &config.manifest.hosts;
        if out_of_service.stop.contains(subject) {
            facts.push(format!("{subject}: to be stopped, by revision {}", config.revision));
        }
        if out_of_service.retire.contains(subject) {
            facts.push(format!("{subject}: retired, by revision {}", config.revision));
        }
    }
    for reply in replies.iter().filter(|r| r.host == *subject) {
        let (host, program) = (&reply.host, reply.program);
        facts.push(match &reply.body {
            None => format!("{host}: {program} not reached"),
            Some(status) => {
                let (up_ms, revision) = (&status["up_ms"], &status["revision"]);
                format!("{host}: {program} up {up_ms} ms, revision {revision}")
            }
        });
    }
    for engine in keeper_engines(replies).filter(|e| e["engine"] == json!(subject)) {
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

fn keeper_engines(replies: &[ProgramReply]) -> impl Iterator<Item = &Value> {
    let keepers = replies.iter().filter(|r| r.program == "egret-keeper");
    let statuses = keepers.filter_map(|r| r.body.as_ref());
    statuses.flat_map(|status| status["engines"].as_array().into_iter().flatten())
}

/// Returns the newest audit records whose detail contains the subject.
async fn recent_audit_records(log: &LogClient, subject: &str) -> Vec<AuditRecord> {
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
    let skip = found.len().saturating_sub(MAX_AUDIT_RECORDS);
    found.split_off(skip)
}
