//! What the system does now, and what the desk should do.

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
    let revision =
        read_config(&LogClient::new(cfg.platform.log)).await.map(|f| f.current().revision);
    let revision = revision.ok();
    let Some(list) = list_hosts(cfg).await else {
        print_without_hosts(revision, json);
        return Exit::PartialResult;
    };
    let said = query_programs(cfg, &list, "/status").await;
    let findings = collect_findings(revision, &said);
    let reached = said.iter().all(|s| s.body.is_some()) && revision.is_some();
    if json {
        let programs: Vec<Value> = said.iter().map(program_json).collect();
        println!(
            "{}",
            json!({
                "revision": revision, "programs": programs, "findings": findings,
            })
        );
    } else {
        print_status(revision, &said, &findings);
    }
    if reached { Exit::Success } else { Exit::PartialResult }
}

fn print_without_hosts(revision: Option<u64>, json: bool) {
    if json {
        println!("{}", json!({ "revision": revision, "error": "host list not reached" }));
    } else {
        println!("host list: not reached; revision on the log: {revision:?}");
    }
}

fn program_json(said: &ProgramReply) -> Value {
    json!({ "host": said.host, "program": said.program, "status": said.body })
}

/// What is not as it should be, each with what the desk should do.
fn collect_findings(revision: Option<u64>, said: &[ProgramReply]) -> Vec<String> {
    let mut findings = Vec::new();
    if revision.is_none() {
        findings.push(
            "log not reached: serving goes on, loads pause; do: nothing, unless it lasts"
                .to_owned(),
        );
    }
    for said in said {
        let (host, program) = (&said.host, said.program);
        let Some(status) = &said.body else {
            findings.push(format!(
                "{program} on {host} not reached; do: nothing for a minute, then replace the host"
            ));
            continue;
        };
        if revision.is_some_and(|r| status["revision"].as_u64() != Some(r)) {
            let has = &status["revision"];
            findings.push(format!("{program} on {host} is at revision {has}; do: nothing"));
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
        let waits = &engine["unregistered"];
        return Some(format!(
            "engine {name} evicts nothing until {waits} have registered; do: replace those hosts \
             if this lasts for minutes"
        ));
    }
    None
}

fn print_status(revision: Option<u64>, said: &[ProgramReply], findings: &[String]) {
    match revision {
        Some(revision) => println!("revision on the log: {revision}"),
        None => println!("revision on the log: not reached"),
    }
    for said in said {
        match &said.body {
            None => println!("{:<14} {:<13} not reached", said.host, said.program),
            Some(status) => print_program(said, status),
        }
    }
    if findings.is_empty() {
        println!("all is as it should be; do: nothing");
    }
    for finding in findings {
        println!("- {finding}");
    }
}

fn print_program(said: &ProgramReply, status: &Value) {
    let engines = status["engines"].as_array();
    let (host, program, revision) = (&said.host, said.program, &status["revision"]);
    if program == "egret-entry" {
        println!(
            "{host:<14} {program:<13} revision {revision}, {} requests open, {} engines seen",
            status["requests_open"],
            engines.map_or(0, Vec::len),
        );
        return;
    }
    println!(
        "{host:<14} {program:<13} revision {revision}, right for {} ms, holds {}",
        status["right_ms"],
        status["held"].as_array().map_or(0, Vec::len),
    );
    for engine in engines.into_iter().flatten() {
        println!(
            "  {:<12} fence {} running {} queued {} resident {} stalls {} of {}",
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
