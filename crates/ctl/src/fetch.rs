//! Reaching the log and the hosts.

use {
    crate::conf::Settings,
    egret_core::{ConfigLog, ConfigRecord, Time},
    egret_runtime::{HostEntry, HostsClient, HttpClient, LogClient, LogError, now},
    serde_json::Value,
    std::net::SocketAddr,
};

/// How long one call may take, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2000;

/// The deadline of a call that begins now.
pub(crate) fn call_deadline() -> Time {
    now().after_ms(CALL_TIMEOUT_MS)
}

/// Reads the configuration stream to its end.
pub(crate) async fn read_config(log: &LogClient) -> Result<ConfigLog, LogError> {
    let mut fold = ConfigLog::default();
    let mut from = 0;
    loop {
        let batch = log.read("config", from, 0, call_deadline()).await?;
        fold.set_stream_start(batch.start);
        let at_end = batch.reaches_end();
        from = batch.next_offset();
        for (offset, record) in batch.decode::<ConfigRecord>() {
            if let Some(record) = record {
                fold.apply_record(offset, record);
            }
        }
        if at_end && fold.is_contiguous() {
            return Ok(fold);
        }
        if at_end {
            // what is in force can't be told from what is left: a plan would be against nothing
            let problem = "its old records are gone and no snapshot is left".to_owned();
            return Err(LogError::Refused(problem));
        }
    }
}

/// What one program on one host says.
#[derive(Clone, Debug)]
pub(crate) struct ProgramReply {
    /// Host.
    pub(crate) host: String,
    /// Program.
    pub(crate) program: &'static str,
    /// Its answer, none when it could not be reached.
    pub(crate) body: Option<Value>,
}

/// The host list, none when it could not be reached.
pub(crate) async fn list_hosts(cfg: &Settings) -> Option<Vec<HostEntry>> {
    let mut list = HostsClient::new(cfg.platform.hosts).list(call_deadline()).await?;
    list.sort_by(|a, b| a.host.cmp(&b.host));
    Some(list)
}

/// Asks the entry and the keeper of each entry host, in the order of the hosts' names.
pub(crate) async fn query_programs(
    cfg: &Settings,
    hosts: &[HostEntry],
    path: &str,
) -> Vec<ProgramReply> {
    let caller = HttpClient::pooled();
    let mut asked = Vec::new();
    for host in hosts.iter().filter(|h| h.role == "entry") {
        for (program, port) in [("egret-entry", cfg.entry_port), ("egret-keeper", cfg.keeper_port)]
        {
            let address = SocketAddr::new(host.ip, port);
            let (caller, path) = (caller.clone(), path.to_owned());
            let asking = tokio::spawn(async move {
                let reply = caller.get(address, &path, call_deadline()).await.ok()?;
                reply.status.is_success().then(|| reply.json().ok()).flatten()
            });
            asked.push((host.host.to_string(), program, asking));
        }
    }
    let mut all = Vec::new();
    for (host, program, asking) in asked {
        let answer = asking.await.ok().flatten();
        all.push(ProgramReply { host, program, body: answer });
    }
    all
}
