//! Makes sure that a connection leads to the start of a target that the registry names: the software
//! version of its entry holds for no other one.

use {
    super::request::OutgoingRequest,
    crate::{
        pool::{ConfirmedStart, TargetConnection},
        state::Edge,
    },
    bytes::Bytes,
    egret_core::{RouteKind, StartCheck, Target, Time},
    egret_platform::{order_headers, parse_report_start, report_path},
    egret_runtime::{Conn, HttpError, Reply, events, now},
    http::{Request, StatusCode},
    http_body_util::Full,
    thiserror::Error,
};

/// Longest time from the question to a target until a connection that replaces the one on which it
/// answered.
const REPORT_AGE_MAX_MS: u64 = 500;

/// Longest wait for a report about which start serves at the end of an answer.
const SERVING_TIMEOUT_MS: u64 = 500;

/// Reason why a request cannot be sent on a connection.
#[derive(Debug, Error)]
pub(super) enum StartError {
    /// Another start of the target answers than the one that the registry names.
    #[error("another start of the target than registered")]
    Other,
    /// The report is too old for the connection opened after it.
    #[error("report too old")]
    Outdated,
    /// The target gave no report, or no connection was left after it.
    #[error("no report: {0}")]
    NoReport(#[from] HttpError),
    /// The report could not be read, so it may have been cut.
    #[error("unreadable report")]
    Unreadable,
    /// The target refused to report.
    #[error("no report: status {0}")]
    Refused(StatusCode),
}

/// True if it is known that another start of `target` serves than the one whose software version the
/// request depends on.
pub(super) fn is_other(edge: &Edge, out: &OutgoingRequest, target: &Target) -> bool {
    out.kind() == RouteKind::ResumableStream && check(edge, target) == StartCheck::Other
}

/// Records that a connection to `target` broke or could not be opened.
pub(super) fn record_failure(edge: &Edge, target: &Target) {
    edge.target_starts.lock().record_failure(&target.id);
}

fn check(edge: &Edge, target: &Target) -> StartCheck {
    edge.target_starts.lock().check(now(), &target.id, target.started_unix_ms)
}

/// Confirms that `connection` leads to the registered start of `target`, and asks the target on the
/// connection itself if that is not known. The connection may be replaced by another one.
///
/// # Errors
///
/// Why it is not confirmed by `deadline`. The request must not be sent then.
pub(super) async fn confirm(
    edge: &Edge,
    target: &Target,
    connection: &mut TargetConnection,
    deadline: Time,
) -> Result<(), StartError> {
    if connection.confirmed_start.is_some() {
        return Ok(());
    }
    match confirmed_start(edge, target) {
        Ok(start) => connection.confirmed_start = Some(start),
        Err(StartCheck::Other) => return Err(StartError::Other),
        Err(_) => ask(edge, target, connection, deadline).await?,
    }
    Ok(())
}

// for a new connection to `target`
fn confirmed_start(edge: &Edge, target: &Target) -> Result<ConfirmedStart, StartCheck> {
    let (unix_ms, starts) = (target.started_unix_ms, edge.target_starts.lock());
    match starts.check(now(), &target.id, unix_ms) {
        StartCheck::Registered => {
            Ok(ConfirmedStart { unix_ms, _connection: starts.confirmed_connection(&target.id) })
        }
        other => Err(other),
    }
}

// the start that a report names, if it names one
fn start_in(reply: &Reply) -> Result<Option<u64>, StartError> {
    match reply.status {
        StatusCode::OK => parse_report_start(&reply.body).map_err(|_| StartError::Unreadable),
        // a target without reports
        StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED | StatusCode::NOT_IMPLEMENTED => {
            Ok(None)
        }
        StatusCode::MISDIRECTED_REQUEST => Err(StartError::Other),
        status => Err(StartError::Refused(status)),
    }
}

/// Which start of a target serves at its address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ServingStart {
    /// The registered one, or one that names no start.
    Registered,
    /// Another one.
    Other,
    /// The connection broke.
    Broken,
    /// The target did not report in time, or not readably.
    Unknown,
}

/// Asks a target on a new connection which start serves.
pub(super) async fn find_serving(edge: &Edge, target: &Target, deadline: Time) -> ServingStart {
    let deadline = deadline.min(now().after_ms(SERVING_TIMEOUT_MS));
    let Ok(conn) = Conn::open(target.address, deadline).await else {
        return ServingStart::Broken;
    };
    let mut connection =
        TargetConnection { conn, is_new: true, replaces_closed: false, confirmed_start: None };
    match ask(edge, target, &mut connection, deadline).await {
        Ok(()) => ServingStart::Registered,
        Err(StartError::Other) => ServingStart::Other,
        Err(StartError::NoReport(HttpError::Broken(_) | HttpError::NotSent(_))) => {
            ServingStart::Broken
        }
        Err(_) => ServingStart::Unknown,
    }
}

async fn ask(
    edge: &Edge,
    target: &Target,
    connection: &mut TargetConnection,
    deadline: Time,
) -> Result<(), StartError> {
    let asked_at = now();
    edge.counts.start_reports.inc();
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static(report_path());
    *request.headers_mut() = order_headers(&target.id);
    let reply = connection.conn.call(request, deadline).await?;
    let named = start_in(&reply)?;
    let registered = target.started_unix_ms;
    let mark = edge.target_starts.lock().record_report(asked_at, &target.id, registered, named);
    if let Some(named) = named.filter(|named| *named != registered) {
        events::TARGET_START_UNKNOWN.info(format_args!(
            "target={} registered={registered} named={named} version={}",
            target.id, target.software_version
        ));
        return Err(StartError::Other);
    }
    if !connection.conn.wait_until_ready(deadline).await {
        // some targets close a connection after each answer
        connection.conn = Conn::open(target.address, deadline).await?;
        if now().ms_since(asked_at) > REPORT_AGE_MAX_MS {
            return Err(StartError::Outdated);
        }
    }
    connection.confirmed_start =
        Some(ConfirmedStart { unix_ms: registered, _connection: Some(mark) });
    Ok(())
}
