//! Selects the targets of a plain service and sends requests to them.

use {
    crate::state::Entry,
    bytes::Bytes,
    egret_core::{Config, ConnectResult, EndStep, Time, UnframedEnd, rendezvous_weight},
    egret_runtime::{AnswerReadError, CallError, WholeAnswer, now, with_deadline},
    faststr::FastStr,
    http::{HeaderMap, Method, StatusCode, header},
    std::{io::ErrorKind, net::SocketAddr, time::Duration},
    thiserror::Error,
    tokio::net::TcpStream,
};

/// Largest answer of a service, in bytes.
const ANSWER_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Timeout of a connection that shows whether a target lives.
const CHECK_TIMEOUT_MS: u64 = 150;

#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) name: FastStr,
    pub(super) address: SocketAddr,
}

/// Returns the targets of `service` that accept requests, those in this data centre first. Returns
/// `None` if the service does not exist. `seed` determines the order within the data centre and
/// outside it. It is the request id, so that the order differs between requests.
pub(super) fn ranked_targets(
    entry: &Entry,
    config: &Config,
    service: &str,
    seed: &str,
) -> Option<Vec<Target>> {
    let spec = config.manifest.services.get(service)?;
    let accepts_requests =
        |name: &FastStr| !config.manifest.hosts.is_leaving(name) && !entry.hosts.is_leaving(name);
    let mut targets: Vec<_> =
        spec.targets.iter().filter(|(name, _)| accepts_requests(name)).collect();
    targets.sort_by_key(|(name, target)| {
        let is_remote = target.data_centre != entry.cfg.data_centre;
        (is_remote, std::cmp::Reverse(rendezvous_weight(seed, name)))
    });
    let to_target = |(name, target): (&FastStr, &egret_core::ServiceTarget)| Target {
        name: name.clone(),
        address: target.address,
    };
    Some(targets.into_iter().map(to_target).collect())
}

/// Answer of a target.
#[derive(Debug)]
pub(super) struct TargetReply {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: WholeAnswer,
}

impl TargetReply {
    /// Value of a header, if it is text.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason why there is no answer of a target.
#[derive(Debug, Error)]
pub(super) enum SendError {
    /// The call failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The target has answered, and there is no memory for its answer.
    #[error("no memory for the answer")]
    NoRoom {
        /// Status of the answer.
        status: StatusCode,
    },
}

impl SendError {
    /// True if no part of the request was sent.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(self, Self::Call(e) if e.is_unsent())
    }
}

/// Request as sent to a service.
#[derive(Clone, Debug)]
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OutgoingRequest {
    /// Sends the request to `target` over a new connection. An answer that only the end of its connection
    /// ends counts as broken if the target was killed.
    pub(super) async fn send(
        &self,
        entry: &Entry,
        target: &Target,
        deadline: Time,
    ) -> Result<TargetReply, SendError> {
        let client = &entry.service_client;
        let (method, body) = (self.method.clone(), self.body.clone());
        let response = client
            .send_request(target.address, method, &self.path, &self.headers, body, deadline)
            .await?;
        let (head, body) = response.into_parts();
        let read = WholeAnswer::read(&entry.held_answers, body, ANSWER_BYTES_MAX);
        let read = with_deadline(deadline, read).await.ok_or(CallError::TimedOut)?;
        let body = read.map_err(|e| match e {
            AnswerReadError::NoRoom => SendError::NoRoom { status: head.status },
            AnswerReadError::Incomplete => CallError::Broken(e.to_string()).into(),
        })?;
        let reply = TargetReply { status: head.status, headers: head.headers, body };
        if !self.is_framed(&reply) && is_cut(target, deadline).await {
            let problem = "nothing shows that the answer is whole".to_owned();
            return Err(CallError::Broken(problem).into());
        }
        Ok(reply)
    }

    // true if a length or chunks mark the end of the answer, or it can have no body
    fn is_framed(&self, reply: &TargetReply) -> bool {
        let last_coding = |value: &str| value.rsplit(',').next().map(|c| c.trim().to_lowercase());
        let is_chunked = reply.header("transfer-encoding").and_then(last_coding);
        reply.headers.contains_key(header::CONTENT_LENGTH)
            || is_chunked.is_some_and(|coding| coding == "chunked")
            || self.method == Method::HEAD
            || matches!(reply.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    }
}

async fn is_cut(target: &Target, deadline: Time) -> bool {
    let end = UnframedEnd::new(now(), deadline);
    let mut connect_at = end.first_connect_at(now(), false);
    loop {
        tokio::time::sleep(Duration::from_millis(now().ms_until(connect_at))).await;
        let began_at = now().max(connect_at);
        let timeout = began_at.after_ms(CHECK_TIMEOUT_MS);
        let result = match with_deadline(timeout, TcpStream::connect(target.address)).await {
            Some(Ok(_)) => ConnectResult::Accepted,
            Some(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => ConnectResult::Refused,
            Some(Err(_)) | None => ConnectResult::NoAnswer,
        };
        match end.decide(now(), began_at, result) {
            EndStep::ConnectAt(at) => connect_at = at,
            EndStep::Whole => return false,
            EndStep::Cut(_) => return true,
        }
    }
}
