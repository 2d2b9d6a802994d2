//! Handles messages from entries and other keepers.

mod acquire;
mod heartbeat;

use {
    crate::{
        engines::{check_for_crash, run_effects},
        peers,
        state::Keeper,
    },
    egret_core::{Fingerprint, ModelName, RequestKey, TicketEnd},
    egret_runtime::{
        AttemptKeyMsg, Body, BorrowPermitsMsg, Hello, PermitLoanMsg, PermitLoansMsg,
        RegisterTicketsMsg, ReleaseMsg, StatusMsg, SuspectsMsg, events, now,
    },
    faststr::FastStr,
    futures::future::BoxFuture,
    std::sync::Arc,
};

/// Function that answers messages on links.
pub(crate) type LinkHandler =
    Arc<dyn Fn(Arc<Hello>, Body) -> BoxFuture<'static, Option<Body>> + Send + Sync>;

/// Returns a handler that answers from the state of `keeper`.
pub(crate) fn link_handler(keeper: Arc<Keeper>) -> LinkHandler {
    Arc::new(move |hello, body| {
        let keeper = keeper.clone();
        Box::pin(async move { handle_message(&keeper, &hello, body).await })
    })
}

async fn handle_message(keeper: &Arc<Keeper>, hello: &Arc<Hello>, body: Body) -> Option<Body> {
    match body {
        Body::Acquire(msg) => Some(acquire::acquire(keeper, hello, msg).await),
        Body::Release(msg) if msg.end == "broken" => {
            Some(release_broken(keeper, hello, &msg).await)
        }
        Body::Release(msg) => {
            release_ticket(keeper, hello, &msg);
            Some(Body::Ok(Hello::default()))
        }
        Body::Suspects(msg) => {
            peers::merge_suspects(keeper, &msg.suspects);
            Some(Body::Ok(Hello::default()))
        }
        Body::Heartbeat(msg) => Some(heartbeat::handle_heartbeat(keeper, hello, &msg)),
        Body::RegisterTickets(msg) => {
            register_entry(keeper, hello, msg);
            Some(Body::Ok(Hello::default()))
        }
        Body::BorrowPermits(msg) => Some(lend_permits(keeper, hello, msg)),
        Body::Status(_) => {
            let json = crate::status::status_json(keeper).to_string();
            Some(Body::Status(StatusMsg { json }))
        }
        // These are answers, or messages between edge hosts, and get no answer here.
        Body::Spread(_)
        | Body::AskProgress(_)
        | Body::Progress(_)
        | Body::TargetLoads(_)
        | Body::AskViewAge(_)
        | Body::ViewAge(_)
        | Body::TakeAllowance(_)
        | Body::AllowanceGrant(_)
        | Body::LoadAdapter(_)
        | Body::PlatformSnapshot(_)
        | Body::StreamOrigins(_)
        | Body::FindStreamOrigin(_)
        | Body::StreamOriginReport(_)
        | Body::Hello(_)
        | Body::Grant(_)
        | Body::Refuse(_)
        | Body::HeartbeatReply(_)
        | Body::Ok(_)
        | Body::PermitLoans(_)
        | Body::FetchRoutes(_)
        | Body::Routes(_)
        | Body::TakeToken(_)
        | Body::Token(_)
        | Body::TargetChanges(_)
        | Body::FetchTargets(_)
        | Body::TakePlace(_)
        | Body::Place(_)
        | Body::OpenPlaces(_)
        | Body::WriteDeclaration(_)
        | Body::Written(_) => None,
    }
}

/// Returns the key of an attempt of the entry at the other end of the link.
fn request_key(hello: &Hello, key: &AttemptKeyMsg) -> RequestKey {
    RequestKey {
        entry: FastStr::new(&hello.host),
        incarnation: hello.incarnation,
        request: FastStr::new(&key.request),
        attempt: key.attempt,
    }
}

fn release_ticket(keeper: &Arc<Keeper>, hello: &Hello, msg: &ReleaseMsg) {
    let Some(engine) = keeper.engine(&msg.engine) else {
        return;
    };
    let fingerprint = Fingerprint(msg.fingerprint);
    let end = match msg.end.as_str() {
        "done" => TicketEnd::Done,
        "not_resident" => TicketEnd::NotResident,
        "broken" => TicketEnd::Broken,
        "abandoned" => TicketEnd::Abandoned,
        _ => TicketEnd::Unused,
    };
    match end {
        TicketEnd::Done => keeper.suspects.lock().clear(fingerprint),
        TicketEnd::Broken => {
            let ttl_ms = keeper.cfg.slots.suspect_ms;
            keeper.suspects.lock().record_possible_crash(now(), &[fingerprint], ttl_ms);
        }
        TicketEnd::Unused | TicketEnd::NotResident | TicketEnd::Abandoned => {}
    }
    let key = request_key(hello, &msg.key);
    let effects = engine.slots.lock().release(now(), &key, end);
    run_effects(keeper, &engine, effects);
}

/// Releases a ticket whose connection broke. Answers with the crash suspects once it is known
/// whether the engine has crashed.
async fn release_broken(keeper: &Arc<Keeper>, hello: &Hello, msg: &ReleaseMsg) -> Body {
    release_ticket(keeper, hello, msg);
    if let Some(engine) = keeper.engine(&msg.engine) {
        check_for_crash(keeper, &engine).await;
    }
    Body::Suspects(SuspectsMsg {
        suspects: peers::suspect_messages(keeper),
        ..SuspectsMsg::default()
    })
}

fn register_entry(keeper: &Arc<Keeper>, hello: &Hello, msg: RegisterTicketsMsg) {
    let Some(engine) = keeper.engine(&msg.engine) else {
        return;
    };
    let entry = FastStr::new(&hello.host);
    let count = msg.tickets.len();
    let mut open = Vec::new();
    for ticket in msg.tickets {
        let Ok(model) = ticket.model.parse::<ModelName>() else {
            continue;
        };
        let key = request_key(hello, &ticket.key);
        let caller = FastStr::from_string(ticket.caller);
        open.push((key, model, caller, Fingerprint(ticket.fingerprint)));
    }
    let effects = {
        let mut slots = engine.slots.lock();
        if slots.fencing_token() != msg.fencing_token {
            return;
        }
        slots.register_entry(now(), &entry, hello.incarnation, open)
    };
    let detail =
        format!("engine={} entry={entry} fence={} open={count}", engine.name, msg.fencing_token);
    keeper.audit.record(events::TICKETS_REGISTERED, &detail);
    run_effects(keeper, &engine, effects);
}

fn lend_permits(keeper: &Keeper, hello: &Hello, msg: BorrowPermitsMsg) -> Body {
    let mut own_missing = 0;
    for engine in keeper.owned_engines() {
        own_missing += engine.slots.lock().missing_adapters().len();
    }
    let usable_permits = keeper.ownership.lock().usable_permits(now());
    let count = usize::try_from(msg.count).unwrap_or(usize::MAX);
    let loans =
        keeper.permits.lock().lend(now(), count, own_missing, |n| usable_permits.contains(&n));
    if !loans.is_empty() {
        events::PERMITS_LENT.debug(format_args!("to={} count={}", hello.host, loans.len()));
    }
    let message = |loan: egret_core::Loan| PermitLoanMsg {
        number: u32::from(loan.number),
        valid_ms: loan.duration_ms,
        start_delay_ms: loan.start_delay_ms,
    };
    Body::PermitLoans(PermitLoansMsg { loans: loans.into_iter().map(message).collect() })
}
