//! Applies a manifest.

use {
    crate::{
        cli::ApplyArgs,
        conf::Settings,
        exit::Exit,
        fetch::{call_deadline, read_config},
        manifest,
        query::check::print_manifest_errors,
    },
    egret_core::{
        ChangeResult, ConfigChange, ConfigRecord, ManifestOp, Rejection, diff, hex_digest,
    },
    egret_runtime::{LogClient, LogError, unix_ms},
    faststr::FastStr,
    serde_json::json,
    std::time::Duration,
};

/// Number of log reads for the result of a change before the result is reported as unknown.
const RESULT_POLL_ATTEMPTS: u32 = 5;

/// Wait between two reads for the result of a change, in milliseconds.
const RESULT_POLL_INTERVAL_MS: u64 = 300;

/// Runs `egretctl apply`.
pub(crate) async fn run(cfg: &Settings, args: &ApplyArgs, json: bool) -> Exit {
    let log = LogClient::new(cfg.platform.log);
    if let Some(id) = &args.resume {
        return poll_result(&log, id, json).await;
    }
    let Some(path) = &args.manifest else {
        return Exit::InvalidInput;
    };
    let manifest = match manifest::read_manifest(path) {
        Ok(manifest) => manifest,
        Err(errors) => return print_manifest_errors(path, &errors, json),
    };
    let config_log = match read_config(&log).await {
        Ok(config_log) => config_log,
        Err(e) => return print_not_applied(&e, json),
    };
    let current = config_log.current();
    if let Some(base) = args.base
        && base != current.revision
    {
        let rejection =
            Rejection::Conflict { revision: current.revision, operator: current.operator.clone() };
        return print_result("-", &Err(rejection), json);
    }
    let ops = diff(&current.manifest, &manifest);
    print_plan(&ops, current.revision, json);
    if ops.is_empty() || args.dry_run {
        return Exit::Success;
    }
    let id = new_change_id(&args.operator);
    let change = ConfigChange {
        id: FastStr::new(&id),
        operator: FastStr::new(&args.operator),
        base_revision: current.revision,
        ops,
    };
    match log.append("config", &[ConfigRecord::Change(change)], call_deadline()).await {
        Err(e @ LogError::Refused(_)) => print_not_applied(&e, json),
        // even when the answer was lost, the log shows whether the record was appended
        Ok(_) | Err(LogError::Unknown(_)) => poll_result(&log, &id, json).await,
    }
}

fn new_change_id(operator: &str) -> String {
    let seed = format!("{operator} {} {}", unix_ms(), std::process::id());
    hex_digest(seed.as_bytes())[..16].to_owned()
}

async fn poll_result(log: &LogClient, id: &str, json: bool) -> Exit {
    for _ in 0..RESULT_POLL_ATTEMPTS {
        if let Ok(config_log) = read_config(log).await
            && let Some(change_result) = config_log.change_result(id)
        {
            return print_result(id, change_result, json);
        }
        tokio::time::sleep(Duration::from_millis(RESULT_POLL_INTERVAL_MS)).await;
    }
    let advice = format!("egretctl apply --resume {id}");
    if json {
        println!("{}", json!({ "result": "unknown", "id": id, "settle_with": advice }));
    } else {
        println!("unknown: the log does not show this change yet; check again with: {advice}");
    }
    Exit::ResultUnknown
}

fn print_result(id: &str, change_result: &ChangeResult, json: bool) -> Exit {
    let (result, text, exit) = match change_result {
        Ok(revision) => ("accepted", format!("accepted: revision {revision}"), Exit::Success),
        Err(e @ Rejection::Conflict { .. }) => ("lost", e.to_string(), Exit::ChangeConflict),
        Err(e @ Rejection::Invalid(_)) => ("invalid", e.to_string(), Exit::InvalidInput),
    };
    if json {
        let revision = change_result.as_ref().ok();
        println!("{}", json!({ "result": result, "id": id, "revision": revision, "text": text }));
    } else {
        println!("{text}");
    }
    exit
}

fn print_not_applied(error: &LogError, json: bool) -> Exit {
    if json {
        println!("{}", json!({ "result": "unreachable", "text": error.to_string() }));
    } else {
        println!("not applied: {error}; nothing was changed");
    }
    Exit::Unreachable
}

fn print_plan(ops: &[ManifestOp], base: u64, json: bool) {
    if json {
        let steps: Vec<String> = ops.iter().map(ToString::to_string).collect();
        println!("{}", json!({ "base_revision": base, "plan": steps }));
        return;
    }
    println!("plan against revision {base}: {} steps", ops.len());
    for op in ops {
        println!("  {op}");
    }
}
