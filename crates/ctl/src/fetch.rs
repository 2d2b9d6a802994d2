//! Reads the log, the host list and the programs on the hosts.

use {
    crate::conf::Settings,
    egret_core::{ConfigLog, ConfigRecord, Time},
    egret_runtime::{HostEntry, HostsClient, HttpClient, LogClient, LogError, now},
    serde_json::Value,
    std::net::SocketAddr,
};

/// Timeout of one call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;

/// Returns the deadline of a call that starts now.
pub(crate) fn call_deadline() -> Time {
    now().after_ms(CALL_TIMEOUT_MS)
}

/// Reads the configuration stream to its end.
///
/// # Errors
///
/// The log could not be read, or it lacks records that the configuration depends on.
pub(crate) async fn read_config(log: &LogClient) -> Result<ConfigLog, LogError> {
    let mut config_log = ConfigLog::default();
    let mut from = 0;
    loop {
        let batch = log.read("config", from, 0, call_deadline()).await?;
        config_log.set_stream_start(batch.start);
        let at_end = batch.reaches_end();
        from = batch.next_offset();
        for (offset, record) in batch.decode::<ConfigRecord>() {
            if let Some(record) = record {
                config_log.apply_record(offset, record);
            }
        }
        if at_end && config_log.is_contiguous() {
            return Ok(config_log);
        }
        if at_end {
            // the remaining records don't determine the configuration in force: a plan would be
            // computed against an empty one
            let problem = "its old records were dropped and no snapshot is left".to_owned();
            return Err(LogError::Refused(problem));
        }
    }
}

/// Reply of one program on one host.
#[derive(Clone, Debug)]
pub(crate) struct ProgramReply {
    /// Name of the host.
    pub(crate) host: String,
    /// Name of the program.
    pub(crate) program: &'static str,
    /// Body of the reply, none when the program could not be reached.
    pub(crate) body: Option<Value>,
}

/// Returns the host list sorted by name, none when it could not be reached.
pub(crate) async fn list_hosts(cfg: &Settings) -> Option<Vec<HostEntry>> {
    let mut list = HostsClient::new(cfg.platform.hosts).list(call_deadline()).await?;
    list.sort_by(|a, b| a.host.cmp(&b.host));
    Some(list)
}

/// Gets `path` from the entry and the keeper of each entry host. Replies are in the order of
/// `hosts`.
pub(crate) async fn query_programs(
    cfg: &Settings,
    hosts: &[HostEntry],
    path: &str,
) -> Vec<ProgramReply> {
    let client = HttpClient::pooled();
    let mut tasks = Vec::new();
    for host in hosts.iter().filter(|h| h.role == "entry") {
        for (program, port) in [("egret-entry", cfg.entry_port), ("egret-keeper", cfg.keeper_port)]
        {
            let address = SocketAddr::new(host.ip, port);
            let (client, path) = (client.clone(), path.to_owned());
            let task = tokio::spawn(async move {
                let reply = client.get(address, &path, call_deadline()).await.ok()?;
                reply.status.is_success().then(|| reply.json().ok()).flatten()
            });
            tasks.push((host.host.to_string(), program, task));
        }
    }
    let mut replies = Vec::new();
    for (host, program, task) in tasks {
        let body = task.await.ok().flatten();
        replies.push(ProgramReply { host, program, body });
    }
    replies
}
