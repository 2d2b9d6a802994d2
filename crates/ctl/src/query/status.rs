//! Shows the system's state and what the operator should do.

use {
    crate::{
        conf::Settings,
        exit::Exit,
        fetch::{ProgramReply, list_hosts, query_programs, read_config},
    },
    egret_runtime::LogClient,
    serde_json::{Value, json},
};

/// Runs `egretctl status`.
pub(crate) async fn run(cfg: &Settings, json: bool) -> Exit {
    let revision = read_config(&LogClient::new(cfg.platform.log))
        .await
        .map(|config_log| config_log.current().revision);
    let revision = revision.ok();
    let Some(hosts) = list_hosts(cfg).await else {
        print_without_hosts(revision, json);
        return Exit::PartialResult;
    };
    let replies = query_programs(cfg, &hosts, "/status").await;
    let findings = collect_findings(revision, &replies);
    let all_reached = replies.iter().all(|r| r.body.is_some()) && revision.is_some();
    if json {
        let programs: Vec<Value> = replies.iter().map(program_json).collect();
        println!(
            "{}",
            json!({
                "revision": revision, "programs": programs, "findings": findings,
            })
        );
    } else {
        print_status(revision, &replies, &findings);
    }
    if all_reached { Exit::Success } else { Exit::PartialResult }
}

fn print_without_hosts(revision: Option<u64>, json: bool) {
    if json {
        println!("{}", json!({ "revision": revision, "error": "host list not reached" }));
    } else {
        println!("host list: not reached; revision on the log: {revision:?}");
    }
}

fn program_json(reply: &ProgramReply) -> Value {
    json!({ "host": reply.host, "program": reply.program, "status": reply.body })
}

/// Returns the problems found, each with what the operator should do.
fn collect_findings(revision: Option<u64>, replies: &[ProgramReply]) -> Vec<String> {
    let mut findings = Vec::new();
    if revision.is_none() {
        findings.push(
            "log not reached: serving goes on, loads pause; do: nothing, unless it lasts"
                .to_owned(),
        );
    }
    for reply in replies {
        let (host, program) = (&reply.host, reply.program);
        let Some(status) = &reply.body else {
            findings.push(format!(
                "{program} on {host} not reached; do: nothing for a minute, then replace the host"
            ));
            continue;
        };
        if revision.is_some_and(|r| status["revision"].as_u64() != Some(r)) {
            let revision = &status["revision"];
            findings.push(format!("{program} on {host} is at revision {revision}; do: nothing"));
        }
        if status["stopping"] == json!(true) {
            findings.push(format!("{program} on {host} is stopping; do: nothing"));
        }
        for engine in status["engines"].as_array().into_iter().flatten() {
            findings.extend(engine_finding(program, engine));
        }
    }
    findings
}

fn engine_finding(program: &str, engine: &Value) -> Option<String> {
    if program != "egret-keeper" {
        return None;
    }
    let name = engine["engine"].as_str().unwrap_or("?");
    if engine["down"] == json!(true) {
        return Some(format!("engine {name} takes no connections; do: restart that host"));
    }
    if engine["can_load"] == json!(false) {
        return Some(format!("engine {name} loads nothing for now; do: nothing"));
    }
    if engine["may_evict"] == json!(false) {
        let unregistered = &engine["unregistered"];
        return Some(format!(
            "engine {name} evicts nothing until {unregistered} have registered; do: replace those \
             hosts if this lasts for minutes"
        ));
    }
    None
}

fn print_status(revision: Option<u64>, replies: &[ProgramReply], findings: &[String]) {
    match revision {
        Some(revision) => println!("revision on the log: {revision}"),
        None => println!("revision on the log: not reached"),
    }
    for reply in replies {
        match &reply.body {
            None => println!("{:<14} {:<13} not reached", reply.host, reply.program),
            Some(status) => print_program(reply, status),
        }
    }
    if findings.is_empty() {
        println!("no problems found; do: nothing");
    }
    for finding in findings {
        println!("- {finding}");
    }
}

fn print_program(reply: &ProgramReply, status: &Value) {
    let engines = status["engines"].as_array();
    let (host, program, revision) = (&reply.host, reply.program, &status["revision"]);
    if program == "egret-entry" {
        println!(
            "{host:<14} {program:<13} revision {revision}, {} requests open, {} engines known",
            status["requests_open"],
            engines.map_or(0, Vec::len),
        );
        return;
    }
    println!(
        "{host:<14} {program:<13} revision {revision}, lease valid for {} ms, owns {}",
        status["right_ms"],
        status["held"].as_array().map_or(0, Vec::len),
    );
    for engine in engines.into_iter().flatten() {
        println!(
            "  {:<12} fence {} running {} queued {} resident {} stalled {} of {} granted",
            engine["engine"].as_str().unwrap_or("?"),
            engine["fence"],
            engine["running"],
            engine["queued"],
            engine["resident"].as_array().map_or(0, Vec::len),
            engine["stalled"],
            engine["granted"],
        );
    }
}
