//! Questions from entries and other keepers.

mod acquire;
mod heartbeat;

use {
    crate::{
        engines::{probe_after_current, run_effects},
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

/// What answers questions on links.
pub(crate) type LinkHandler =
    Arc<dyn Fn(Arc<Hello>, Body) -> BoxFuture<'static, Option<Body>> + Send + Sync>;

/// Answers with the state of `keeper`.
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
        // answers make no sense as questions, and the rest is for edge hosts
        Body::HostHeartbeat(_)
        | Body::LoadAdapter(_)
        | Body::PlatformSnapshot(_)
        | Body::Hello(_)
        | Body::Grant(_)
        | Body::Refuse(_)
        | Body::HeartbeatReply(_)
        | Body::Ok(_)
        | Body::PermitLoans(_) => None,
    }
}

/// The key of an attempt of the entry that speaks.
fn request_key(hello: &Hello, key: &AttemptKeyMsg) -> RequestKey {
    RequestKey {
        entry: FastStr::new(&hello.host),
        incarnation: hello.incarnation,
        request: FastStr::new(&key.request),
        attempt: key.attempt,
    }
}

fn release_ticket(keeper: &Arc<Keeper>, hello: &Hello, msg: &ReleaseMsg) {
    let Some(shard) = keeper.engine(&msg.engine) else {
        return;
    };
    let content = Fingerprint(msg.fingerprint);
    let end = match msg.end.as_str() {
        "done" => TicketEnd::Done,
        "not_resident" => TicketEnd::NotResident,
        "broken" => TicketEnd::Broken,
        "abandoned" => TicketEnd::Abandoned,
        _ => TicketEnd::Unused,
    };
    match end {
        TicketEnd::Done => keeper.suspects.lock().clear(content),
        TicketEnd::Broken => {
            let keep_ms = keeper.cfg.slots.suspect_ms;
            keeper.suspects.lock().record_possible_crash(now(), &[content], keep_ms);
        }
        TicketEnd::Unused | TicketEnd::NotResident | TicketEnd::Abandoned => {}
    }
    let key = request_key(hello, &msg.key);
    let effects = shard.slots.lock().release(now(), &key, end);
    run_effects(keeper, &shard, effects);
}

/// Takes back a ticket whose connection broke, and answers once it is known whether the engine
/// has crashed, with what is known of suspects then.
async fn release_broken(keeper: &Arc<Keeper>, hello: &Hello, msg: &ReleaseMsg) -> Body {
    release_ticket(keeper, hello, msg);
    if let Some(shard) = keeper.engine(&msg.engine) {
        probe_after_current(keeper.clone(), shard).await;
    }
    Body::Suspects(SuspectsMsg { suspects: peers::suspect_messages(keeper) })
}

fn register_entry(keeper: &Arc<Keeper>, hello: &Hello, msg: RegisterTicketsMsg) {
    let Some(shard) = keeper.engine(&msg.engine) else {
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
        let mut slots = shard.slots.lock();
        if slots.fence() != msg.fencing_token {
            return;
        }
        slots.register_entry(now(), &entry, hello.incarnation, open)
    };
    let detail =
        format!("engine={} entry={entry} fence={} open={count}", shard.name, msg.fencing_token);
    keeper.audit.record(events::TICKETS_REGISTERED, &detail);
    run_effects(keeper, &shard, effects);
}

fn lend_permits(keeper: &Keeper, hello: &Hello, msg: BorrowPermitsMsg) -> Body {
    let mut own = 0;
    for shard in keeper.owned_engines() {
        own += shard.slots.lock().missing_adapters().len();
    }
    let usable = keeper.ownership.lock().usable_permits(now());
    let count = usize::try_from(msg.count).unwrap_or(usize::MAX);
    let loans = keeper.permits.lock().lend(now(), count, own, |n| usable.contains(&n));
    if !loans.is_empty() {
        events::PERMITS_LENT.debug(format_args!("to={} count={}", hello.host, loans.len()));
    }
    let message = |loan: egret_core::Loan| PermitLoanMsg {
        permit_id: u32::from(loan.number),
        valid_ms: loan.duration_ms,
        start_delay_ms: loan.start_delay_ms,
    };
    Body::PermitLoans(PermitLoansMsg { loans: loans.into_iter().map(message).collect() })
}
