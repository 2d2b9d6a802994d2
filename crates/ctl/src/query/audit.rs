//! Lists audit records.

use {
    crate::{
        cli::AuditArgs,
        conf::Settings,
        exit::Exit,
        fetch::{call_deadline, list_hosts, query_programs},
    },
    egret_runtime::{AuditRecord, LogClient},
    std::time::Duration,
};

/// How long a read with `--follow` waits for new records, and the wait after a failed read, in
/// milliseconds.
const FOLLOW_POLL_MS: u64 = 1000;

/// Runs `egretctl audit`.
pub(crate) async fn run(cfg: &Settings, args: &AuditArgs, json: bool) -> Exit {
    let log = LogClient::new(cfg.platform.log);
    let mut from = 0;
    let mut wait_ms = 0;
    loop {
        let Ok(batch) = log.read("audit", from, wait_ms, call_deadline()).await else {
            if from == 0 && !args.follow {
                return print_records_of_hosts(cfg, args, json).await;
            }
            eprintln!("egretctl: log not reached");
            tokio::time::sleep(Duration::from_millis(FOLLOW_POLL_MS)).await;
            continue;
        };
        let at_end = batch.reaches_end();
        from = batch.next_offset();
        for (_, record) in batch.decode::<AuditRecord>() {
            if let Some(record) = record.filter(|r| matches_filter(args, r)) {
                print_record(&record, json);
            }
        }
        if at_end && !args.follow {
            return Exit::Success;
        }
        if at_end {
            wait_ms = FOLLOW_POLL_MS;
        }
    }
}

fn matches_filter(args: &AuditArgs, record: &AuditRecord) -> bool {
    let event_matches = args.event.as_ref().is_none_or(|event| record.event == *event);
    event_matches && record.detail.contains(&args.about)
}

/// Prints one audit record.
pub(crate) fn print_record(record: &AuditRecord, json: bool) {
    if json {
        println!("{}", serde_json::to_string(record).unwrap_or_default());
    } else {
        let AuditRecord { at_unix_ms, host, event, meaning, detail } = record;
        println!("{at_unix_ms} {host} {event} {meaning}: {detail}");
    }
}

/// Prints the newest records that the reachable hosts keep in memory.
async fn print_records_of_hosts(cfg: &Settings, args: &AuditArgs, json: bool) -> Exit {
    eprintln!("egretctl: log not reached; showing the records that the hosts keep");
    let Some(hosts) = list_hosts(cfg).await else {
        eprintln!("egretctl: host list not reached");
        return Exit::Unreachable;
    };
    let mut records: Vec<AuditRecord> = Vec::new();
    for reply in query_programs(cfg, &hosts, "/audit?about=").await {
        match reply.body.and_then(|body| serde_json::from_value::<Vec<AuditRecord>>(body).ok()) {
            Some(found) => records.extend(found),
            None => eprintln!("egretctl: {} on {} not reached", reply.program, reply.host),
        }
    }
    records.sort_by(|a, b| (a.at_unix_ms, &a.host).cmp(&(b.at_unix_ms, &b.host)));
    for record in records.iter().filter(|r| matches_filter(args, r)) {
        print_record(record, json);
    }
    Exit::PartialResult
}
